#include "fleet.h"

#include <balsamloft/httpclient.h>

#include <boost/beast/http/field.hpp>
#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <set>

namespace http = boost::beast::http;
namespace json = boost::json;

namespace balsamloft::testsuite {

namespace {

constexpr Duration CallTimeout {110'000'000}; // 110 s

HttpRequest makeRequest(const std::string &method, const std::string &target,
                        const std::string &body, const Headers &headers)
{
    HttpRequest request(http::string_to_verb(method), target, 11);
    request.set(http::field::host, "test");
    for (const auto &[name, value] : headers)
        request.set(name, value);
    request.body() = body;
    return request;
}

Reply makeReply(const HttpResult &result)
{
    Reply reply;
    if (!result.response) {
        reply.body = result.failure.reason;
        return reply;
    }
    reply.status = result.response->result_int();
    reply.body = result.response->body();
    for (const auto &field : *result.response)
        reply.headers[std::string(field.name_string())] = std::string(field.value());
    return reply;
}

std::string port(Process &process, const std::string &name)
{
    return "127.0.0.1:" + process.waitFor(name + "=([0-9]+)");
}

} // namespace

json::object Reply::json() const
{
    json::error_code error;
    const json::value value = json::parse(body, error);
    return !error && value.is_object() ? value.get_object() : json::object {};
}

std::string Reply::errorCode() const
{
    const json::object object = json();
    const json::value *error = object.if_contains("error");
    return error ? std::string(error->at("code").as_string()) : std::string();
}

std::string Reply::ran() const
{
    const json::object object = json();
    const json::value *error = object.if_contains("error");
    return error ? std::string(error->at("ran").as_string()) : std::string();
}

std::string Reply::text() const
{
    const auto textOf = [](const json::object &object) {
        return std::string(object.at("choices").at(0).at("text").as_string());
    };
    if (!body.starts_with("data: "))
        return json().contains("choices") ? textOf(json()) : std::string();
    std::string text;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with("data: {"))
            continue;
        const json::value value = json::parse(line.substr(6));
        if (value.as_object().contains("choices"))
            text += textOf(value.as_object());
    }
    return text;
}

Reply send(const std::string &address, const std::string &method, const std::string &target,
           const std::string &body, const Headers &headers)
{
    boost::asio::io_context context(1);
    HttpClient client(context);
    Reply reply;
    HttpClient::Options options;
    options.timeout = CallTimeout;
    client.send(address, makeRequest(method, target, body, headers), options,
                [&](const HttpResult &result) { reply = makeReply(result); });
    context.run();
    return reply;
}

std::vector<Reply> sendAll(const std::vector<Call> &calls, const std::function<void()> &started)
{
    boost::asio::io_context context(1);
    HttpClientSettings settings;
    settings.connectTimeout = std::chrono::seconds(60);
    HttpClient client(context, settings);
    std::vector<Reply> replies(calls.size());
    std::size_t unsent = calls.size();
    for (std::size_t i = 0; i < calls.size(); ++i) {
        HttpClient::Options options;
        options.timeout = CallTimeout;
        options.freshConnection = true;
        options.maySend = [&] {
            if (--unsent == 0 && started)
                boost::asio::post(context, started);
            return true;
        };
        client.send(calls[i].address,
                    makeRequest("POST", calls[i].target, calls[i].body, calls[i].headers), options,
                    [&replies, i](const HttpResult &result) { replies[i] = makeReply(result); });
    }
    context.run();
    return replies;
}

std::string completionBody(const std::string &model, const std::string &prompt, int tokens,
                           bool stream)
{
    return json::serialize(json::object {
        {"model", model}, {"prompt", prompt}, {"max_tokens", tokens}, {"stream", stream}});
}

Fleet::Fleet()
{
    std::string pattern =
        (std::filesystem::temp_directory_path() / "balsamloft-test-XXXXXX").string();
    m_directory = ::mkdtemp(pattern.data());
    m_platform = std::make_unique<Process>("fake_platform", std::vector<std::string> {});
    m_platformAddress = m_platform->waitFor("listening on ([0-9.:]+)");
}

Process &Fleet::startEngine(const std::string &name, const EngineOptions &options)
{
    auto process = std::make_unique<Process>(
        "fake_engine",
        std::vector<std::string> {
            "--model=" + (options.placeable ? "" : options.model),
            "--layer_begin=" + std::to_string(options.placeable ? 0 : options.layers.begin),
            "--layer_end=" + std::to_string(options.placeable ? 0 : options.layers.end),
            "--slots=" + std::to_string(options.slots),
            "--step_us=" + std::to_string(options.stepMicros),
            std::string("--checks_fencing=") + (options.checksFencing ? "true" : "false")});
    m_addresses[name] = process->waitFor("listening on ([0-9.:]+)");
    json::object entry {{"name", name},
                        {"address", m_addresses[name]},
                        {"domain", options.domain},
                        {"slots", options.slots},
                        {"accelerator", "card"},
                        {"checks_fencing", options.checksFencing}};
    if (!options.placeable) {
        entry["model"] = options.model;
        entry["version"] = "1";
        entry["layers"] = {options.layers.begin, options.layers.end};
    }
    m_inventory.push_back(std::move(entry));
    return *(m_endpoints[name] = std::move(process));
}

Process &Fleet::startService(const std::string &name, const std::string &domain)
{
    auto process = std::make_unique<Process>("fake_service", std::vector<std::string> {});
    addService(name, process->waitFor("listening on ([0-9.:]+)"), domain);
    return *(m_endpoints[name] = std::move(process));
}

void Fleet::addService(const std::string &name, const std::string &address,
                       const std::string &domain, int slots)
{
    m_addresses[name] = address;
    m_inventory.push_back({{"name", name},
                           {"kind", "service"},
                           {"address", address},
                           {"domain", domain},
                           {"service", "s"},
                           {"slots", slots}});
}

void Fleet::startChains(int chains, const EngineOptions &options)
{
    for (int chain = 0; chain < chains; ++chain) {
        for (std::uint32_t range = 0; range < 3; ++range) {
            EngineOptions part = options;
            part.layers = {range * 4, range * 4 + 4};
            startEngine("e" + std::to_string(chain) + std::to_string(range), part);
        }
    }
}

Daemon &Fleet::startDaemon(const std::string &name, const std::string &domain,
                           const std::vector<std::string> &flags)
{
    std::string seeds;
    for (const auto &[other, daemon] : m_daemons)
        seeds += (seeds.empty() ? "" : ",") + daemon.peers;
    std::vector<std::string> arguments {"--name=" + name,
                                        "--domain=" + domain,
                                        "--listen=127.0.0.1:0",
                                        "--admin_listen=127.0.0.1:0",
                                        "--peer_listen=127.0.0.1:0",
                                        "--platform=" + m_platformAddress,
                                        "--seeds=" + seeds,
                                        "--operator_token_sha256=" + sha256Hex(OperatorToken),
                                        "--drain_grace_ms=100",
                                        "--random_seed=7"};
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    Daemon &daemon = m_daemons[name];
    daemon.process = std::make_unique<Process>("balsamloftd", arguments);
    daemon.callers = port(*daemon.process, "callers");
    daemon.admin = port(*daemon.process, "admin");
    daemon.peers = port(*daemon.process, "peers");
    return daemon;
}

json::object Fleet::inventory() const
{
    std::set<std::string> domains {"a", "b"};
    json::array domainList;
    for (const std::string &domain : domains)
        domainList.push_back(json::object {{"name", domain}});
    return {{"domains", std::move(domainList)},
            {"accelerators", json::array {json::object {{"name", "card"}, {"memory_gb", 24}}}},
            {"endpoints", m_inventory}};
}

json::object Fleet::rules() const
{
    return {
        {"models", json::array {json::object {
                       {"name", "m"}, {"version", "1"}, {"layers", Layers}, {"weight_gb", 48}}}},
        {"services", json::array {json::object {
                         {"name", "s"},
                         {"paths", json::array {json::object {{"prefix", "/once"},
                                                              {"non_idempotent", true}}}}}}},
        {"teams", json::array {json::object {{"name", "t"},
                                             {"token_sha256", sha256Hex("t")},
                                             {"share", 0.5},
                                             {"max_priority", "alert"}}}}};
}

std::string Fleet::file(const std::string &name, const json::value &document)
{
    std::string path = m_directory + "/" + name;
    std::ofstream(path) << json::serialize(document);
    return path;
}

int Fleet::cli(const Daemon &daemon, const std::vector<std::string> &arguments, std::string *output)
{
    std::vector<std::string> all {"--admin=" + daemon.admin};
    all.insert(all.end(), arguments.begin(), arguments.end());
    Process process("balsamloft", all, {std::string("BALSAMLOFT_OPERATOR_TOKEN=") + OperatorToken});
    const int code = process.wait();
    if (output)
        *output = process.output();
    return code;
}

void Fleet::configure()
{
    const Daemon &first = m_daemons.begin()->second;
    REQUIRE(cli(first, {"rules", "apply", file("rules.json", rules())}) == 0);
    REQUIRE(cli(first, {"inventory", "apply", file("inventory.json", inventory())}) == 0);
    for (const auto &[name, daemon] : m_daemons)
        REQUIRE(waitForVersion(daemon, 2));
}

bool Fleet::waitForVersion(const Daemon &daemon, std::uint64_t version)
{
    const std::string metric = "balsamloft_config_version ";
    return waitUntil([&] {
        const std::string metrics = send(daemon.callers, "GET", "/metrics").body;
        const auto at = metrics.find(metric);
        return at != std::string::npos
               && std::strtoull(metrics.c_str() + at + metric.size(), nullptr, 10) >= version
               && send(daemon.callers, "GET", "/readyz").status == 200;
    });
}

void Fleet::injectFaults(const std::string &address, const json::object &faults)
{
    REQUIRE(send(address, "POST", "/control/faults", json::serialize(faults)).status == 200);
}

json::object Fleet::log(const std::string &endpoint)
{
    return send(m_addresses.at(endpoint), "GET", "/control/log").json();
}

void Fleet::setInstanceList(const json::array &instances)
{
    const json::object body {{"instances", instances}};
    REQUIRE(send(m_platformAddress, "POST", "/control/instances", json::serialize(body)).status
            == 200);
}

std::multimap<std::string, Fleet::Step> Fleet::steps()
{
    std::multimap<std::string, Step> result;
    for (const auto &[name, process] : m_endpoints) {
        const json::object document = log(name);
        const json::value *list = document.if_contains("steps");
        for (std::size_t i = 0; list && i < list->as_array().size(); ++i) {
            const json::value &step = list->as_array()[i];
            result.emplace(std::string(step.at("request").as_string()),
                           Step {name, step.at("attempt").to_number<int>(),
                                 step.at("position").to_number<int>(),
                                 step.at("layers").at(0).to_number<int>(),
                                 step.at("layers").at(1).to_number<int>(),
                                 std::string(step.at("output").as_string())});
        }
    }
    return result;
}

void checkLayersOnce(const std::multimap<std::string, Fleet::Step> &steps,
                     const std::string &request, const std::string &text)
{
    // Layer ranges executed for each (position, attempt), and the resulting token.
    std::map<std::pair<int, int>, std::vector<std::pair<int, int>>> runs;
    std::map<std::pair<int, int>, std::string> tokens;
    const auto [begin, end] = steps.equal_range(request);
    int last = -1;
    for (auto it = begin; it != end; ++it) {
        const Fleet::Step &step = it->second;
        const std::pair key(step.position, step.attempt);
        runs[key].emplace_back(step.begin, step.end);
        if (step.end == Fleet::Layers)
            tokens[key] = step.output;
        last = std::max(last, step.position);
    }
    std::string rest = text;
    for (int position = 0; !rest.empty(); ++position) {
        bool found = false;
        REQUIRE(position <= last);
        for (auto &[key, layers] : runs) {
            if (key.first != position || !tokens.contains(key) || !rest.starts_with(tokens[key]))
                continue;
            std::sort(layers.begin(), layers.end());
            int next = 0;
            for (const auto &[from, to] : layers) {
                REQUIRE(from == next);
                next = to;
            }
            REQUIRE(next == Fleet::Layers);
            rest = rest.substr(tokens[key].size());
            found = true;
            break;
        }
        REQUIRE(found);
    }
}

} // namespace balsamloft::testsuite
