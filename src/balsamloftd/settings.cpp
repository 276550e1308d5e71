#include "settings.h"

#include <balsamloft/flagsetup.h>

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(name, "", "name of this instance, unique in the fleet (required)");
DEFINE_string(domain, "", "failure domain of this instance (required)");
DEFINE_string(listen, "127.0.0.1:8080", "IP:port of the listener for callers");
DEFINE_string(admin_listen, "127.0.0.1:8081", "IP:port of the listener for operators");
DEFINE_string(peer_listen, "127.0.0.1:8082", "IP:port of the listener for other instances");
DEFINE_string(peer_advertise, "",
              "IP:port that other instances connect to; empty: the value of peer_listen");
DEFINE_string(seeds, "", "addresses of peers contacted first, separated by commas");
DEFINE_string(platform, "", "IP:port of the platform's services (required)");
DEFINE_string(operator_token_sha256, "", "hex SHA-256 of the operators' token (required)");
DEFINE_int32(traffic_threads, 1, "number of traffic threads, 1 to 64");
DEFINE_int32(drain_grace_ms, 2000,
             "time in a planned stop between reporting \"not ready\" and closing the listener");
DEFINE_int32(config_poll_ms, 5000,
             "interval at which the platform is polled for changes, at least 100");
DEFINE_int32(platform_timeout_ms, 2000, "timeout of requests to the platform");
DEFINE_int32(lease_ms, 9000, "duration of the placement lease, at least 300");
DEFINE_int32(route_away_ms, 15000,
             "how long an engine keeps its model after requests are no longer routed to it");
DEFINE_string(log_level, "info", "lowest level logged: debug, info, warning or error");
DEFINE_int64(random_seed, 0, "seed of the random number generators; 0: chosen by the system");
DEFINE_int32(default_deadline_ms, 60000, "deadline of requests that specify none");
DEFINE_int32(longest_deadline_ms, 600000, "maximum deadline that a caller may specify");
DEFINE_int32(default_max_tokens, 256, "max_tokens of completions that specify none");
DEFINE_int32(max_tokens, 32768, "maximum max_tokens that a caller may specify");
DEFINE_int32(max_header_bytes, 16384, "maximum size of a request header");
DEFINE_int32(max_body_bytes, 4194304, "maximum size of a request body");
DEFINE_int32(max_connections, 10000, "maximum number of caller connections per traffic thread");
DEFINE_int32(memory_mb, 0,
             "memory of the machine in megabytes, at least 32; 0: what the system reports");
DEFINE_int32(max_descriptors, 0,
             "descriptors that the process may have, at least 250, of which 200 are for files; 0: "
             "what the system reports");
DEFINE_int32(request_timeout_ms, 15000, "timeout for receiving a request from a caller");
DEFINE_int32(write_timeout_ms, 15000, "timeout for writing to a caller that does not read");
DEFINE_int32(max_queued, 10000,
             "maximum number of queued requests, per model or service and traffic thread");
DEFINE_int32(max_attempts, 6, "maximum number of attempts per request");
DEFINE_int32(step_floor_ms, 400, "minimum time before a step without an answer times out");
DEFINE_bool(check, false, "check the settings and exit");

namespace balsamloft {

namespace {

constexpr std::string_view EnvironmentPrefix = "BALSAMLOFTD_";
constexpr std::size_t Sha256HexLength = 64;
const std::vector<std::string> ProgramFiles {"balsamloftd/settings.cpp"};

Duration millis(std::int64_t count)
{
    return std::chrono::milliseconds(count);
}

/// Collects the errors found in the settings, one per line.
class SettingsChecker
{
public:
    void require(bool holds, const std::string &line)
    {
        if (!holds)
            m_text += (m_text.empty() ? "" : "\n") + line;
    }
    void address(const std::string &flag, const std::string &value)
    {
        Reason reason;
        const bool valid = parseAddress(value, reason).has_value();
        require(valid, "--" + flag + ": " + reason);
    }
    void range(const std::string &flag, std::int64_t value, std::int64_t min, std::int64_t max)
    {
        require(value >= min && value <= max, "--" + flag + ": " + std::to_string(value)
                                                  + " must be from " + std::to_string(min) + " to "
                                                  + std::to_string(max));
    }
    const std::string &text() const { return m_text; }

private:
    std::string m_text;
};

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> items;
    while (!text.empty()) {
        const auto comma = text.find(',');
        if (comma != 0)
            items.emplace_back(text.substr(0, comma));
        text = comma == std::string_view::npos ? "" : text.substr(comma + 1);
    }
    return items;
}

std::optional<LogLevel> logLevel(const std::string &text)
{
    if (text == "debug")
        return LogLevel::Debug;
    if (text == "info")
        return LogLevel::Info;
    if (text == "warning")
        return LogLevel::Warning;
    if (text == "error")
        return LogLevel::Error;
    return std::nullopt;
}

void checkFlags(SettingsChecker &checker)
{
    constexpr std::int64_t Hour = 3'600'000;
    constexpr std::int64_t Large = 1'000'000;
    checker.require(!FLAGS_name.empty(), "--name: is required: the name of this instance");
    checker.require(FLAGS_name.find_first_of(" /\"\n") == std::string::npos,
                    "--name: must not contain spaces, quotes or '/'");
    checker.require(!FLAGS_domain.empty(), "--domain: is required: the failure domain");
    checker.address("listen", FLAGS_listen);
    checker.address("admin_listen", FLAGS_admin_listen);
    checker.address("peer_listen", FLAGS_peer_listen);
    if (!FLAGS_peer_advertise.empty())
        checker.address("peer_advertise", FLAGS_peer_advertise);
    for (const std::string &seed : splitList(FLAGS_seeds))
        checker.address("seeds", seed);
    checker.require(!FLAGS_platform.empty(),
                    "--platform: is required: the address of the platform's services");
    if (!FLAGS_platform.empty())
        checker.address("platform", FLAGS_platform);
    checker.require(FLAGS_operator_token_sha256.size() == Sha256HexLength,
                    "--operator_token_sha256: is required: 64 hex digits");
    checker.require(logLevel(FLAGS_log_level).has_value(),
                    "--log_level: must be debug, info, warning or error");
    checker.range("traffic_threads", FLAGS_traffic_threads, 1, 64);
    checker.range("drain_grace_ms", FLAGS_drain_grace_ms, 0, Hour);
    checker.range("config_poll_ms", FLAGS_config_poll_ms, 100, Hour);
    checker.range("lease_ms", FLAGS_lease_ms, 300, Hour);
    checker.range("route_away_ms", FLAGS_route_away_ms, 0, Hour);
    checker.range("platform_timeout_ms", FLAGS_platform_timeout_ms, 10, Hour);
    checker.range("default_deadline_ms", FLAGS_default_deadline_ms, 1, Hour);
    checker.range("longest_deadline_ms", FLAGS_longest_deadline_ms, 1, Hour);
    checker.range("default_max_tokens", FLAGS_default_max_tokens, 1, Large);
    checker.range("max_tokens", FLAGS_max_tokens, 1, Large);
    checker.range("max_header_bytes", FLAGS_max_header_bytes, 512, Large);
    checker.range("max_body_bytes", FLAGS_max_body_bytes, 1024, 1LL << 30);
    checker.range("max_connections", FLAGS_max_connections, 1, Large);
    if (FLAGS_memory_mb != 0)
        checker.range("memory_mb", FLAGS_memory_mb, MinMemoryMegabytes, 1LL << 30);
    if (FLAGS_max_descriptors != 0)
        checker.range("max_descriptors", FLAGS_max_descriptors, MinDescriptors, 1LL << 30);
    checker.range("request_timeout_ms", FLAGS_request_timeout_ms, 10, Hour);
    checker.range("write_timeout_ms", FLAGS_write_timeout_ms, 10, Hour);
    checker.range("max_queued", FLAGS_max_queued, 1, Large);
    checker.range("max_attempts", FLAGS_max_attempts, 1, 100);
    checker.range("step_floor_ms", FLAGS_step_floor_ms, 1, Hour);
}

void checkFlagCombinations(SettingsChecker &checker)
{
    checker.require(FLAGS_default_deadline_ms <= FLAGS_longest_deadline_ms,
                    "--default_deadline_ms: must not exceed --longest_deadline_ms");
    checker.require(FLAGS_default_max_tokens <= FLAGS_max_tokens,
                    "--default_max_tokens: must not exceed --max_tokens");
    const bool fixedPort = !FLAGS_listen.ends_with(":0");
    checker.require(FLAGS_traffic_threads == 1 || fixedPort,
                    "--listen: port 0 requires --traffic_threads=1");
    checker.require(!fixedPort || FLAGS_listen != FLAGS_admin_listen,
                    "--admin_listen: must differ from --listen");
}

} // namespace

bool checkOnly()
{
    return FLAGS_check;
}

std::optional<DaemonSettings> readSettings(int argc, char **argv, Reason &reason)
{
    const auto parsed = parseFlags(argc, argv, EnvironmentPrefix, ProgramFiles, reason);
    if (!parsed)
        return std::nullopt;
    if (parsed->helpRequested) {
        std::cout << "balsamloftd: routes requests to the endpoints of the fleet\n\n"
                     "Usage: balsamloftd --name=NAME --domain=DOMAIN --platform=IP:PORT [flags]\n\n"
                  << flagsHelp(ProgramFiles, EnvironmentPrefix);
        std::exit(0); // NOLINT(concurrency-mt-unsafe): no other thread yet
    }
    SettingsChecker checker;
    for (const std::string &argument : parsed->arguments)
        checker.require(false, argument + ": is not a flag; balsamloftd takes only flags");
    checkFlags(checker);
    checkFlagCombinations(checker);
    if (!checker.text().empty()) {
        reason = checker.text();
        return std::nullopt;
    }
    DaemonSettings settings;
    settings.name = FLAGS_name;
    settings.domain = FLAGS_domain;
    settings.listen = FLAGS_listen;
    settings.adminListen = FLAGS_admin_listen;
    settings.peerListen = FLAGS_peer_listen;
    settings.peerAdvertise = FLAGS_peer_advertise;
    settings.seeds = splitList(FLAGS_seeds);
    settings.platform = FLAGS_platform;
    settings.operatorTokenSha256 = FLAGS_operator_token_sha256;
    settings.trafficThreads = static_cast<std::uint32_t>(FLAGS_traffic_threads);
    settings.drainGrace = millis(FLAGS_drain_grace_ms);
    settings.configPollInterval = millis(FLAGS_config_poll_ms);
    settings.platformTimeout = millis(FLAGS_platform_timeout_ms);
    settings.leaseDuration = millis(FLAGS_lease_ms);
    settings.unloadDelay = millis(FLAGS_route_away_ms);
    settings.logLevel = *logLevel(FLAGS_log_level);
    settings.seed = static_cast<std::uint64_t>(FLAGS_random_seed);
    settings.server.maxHeaderBytes = static_cast<std::uint32_t>(FLAGS_max_header_bytes);
    settings.server.maxBodyBytes = static_cast<std::uint64_t>(FLAGS_max_body_bytes);
    settings.server.maxConnections = static_cast<std::size_t>(FLAGS_max_connections);
    settings.machine = machineSize(FLAGS_memory_mb, FLAGS_max_descriptors);
    settings.server.requestTimeout = millis(FLAGS_request_timeout_ms);
    settings.server.writeTimeout = millis(FLAGS_write_timeout_ms);
    settings.callers.defaultDeadline = millis(FLAGS_default_deadline_ms);
    settings.callers.maxDeadline = millis(FLAGS_longest_deadline_ms);
    settings.callers.defaultMaxTokens = static_cast<std::uint32_t>(FLAGS_default_max_tokens);
    settings.router.domain = FLAGS_domain;
    settings.router.maxQueued = static_cast<std::size_t>(FLAGS_max_queued);
    settings.router.maxTokens = static_cast<std::uint32_t>(FLAGS_max_tokens);
    settings.router.maxAttempts = static_cast<std::uint32_t>(FLAGS_max_attempts);
    settings.router.minStepTimeout = millis(FLAGS_step_floor_ms);
    return settings;
}

} // namespace balsamloft
