// Command line for operators: sends requests to the admin listener of a daemon and evaluates log
// lines from standard input.

#include "adminclient.h"
#include "logreport.h"
#include "output.h"

#include <balsamloft/flagsetup.h>

#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <random>
#include <span>
#include <sstream>

DEFINE_string(admin, "127.0.0.1:8081", "IP:port of a daemon's admin listener");
DEFINE_string(operator_token, "",
              "the operators' token (preferably set by the environment variable)");
DEFINE_string(output, "text", "output format: text or json");
DEFINE_bool(dry_run, false, "show the effect of a change without applying it");
DEFINE_int64(base, -1, "version that the change is based on; -1: the latest");
DEFINE_string(author, "", "author of the change, for the audit trail");
DEFINE_string(summary, "", "reason for the change, for the audit trail");
DEFINE_string(change_id, "", "id of the change; repeating the command with it gives the outcome");
DEFINE_int64(limit, 50, "maximum number of changes listed");
DEFINE_int64(from, -1, "diff: first version of the comparison");
DEFINE_int64(to, -1, "diff: second version of the comparison; -1: the latest");

namespace balsamloft {

namespace {

constexpr std::string_view EnvironmentPrefix = "BALSAMLOFT_";
const std::vector<std::string> ProgramFiles {"balsamloft/main.cpp"};

enum ExitCode : int {
    ExitOk = 0,
    ExitUsage = 1,
    ExitInvalid = 2,
    ExitConflict = 3,
    ExitUnavailable = 4,
    ExitUnknown = 5,
    ExitUnauthorized = 6,
    ExitUnreachable = 7,
    ExitNotFound = 8,
};

constexpr std::string_view Usage = R"(balsamloft: operates a fleet of balsamloftd

Usage:
  balsamloft inventory apply FILE     replace the inventory
  balsamloft rules apply FILE         replace the rules
  balsamloft config show [VERSION]    show the configuration
  balsamloft config history           list the accepted changes
  balsamloft config diff --from=N     show the changes since a version
  balsamloft config rollback VERSION  restore a version as a new version
  balsamloft audit                    list the accepted changes with their diffs
  balsamloft status                   show the instance and the members of the fleet
  balsamloft endpoints                show the endpoints and their state on the instance
  balsamloft explain REQUEST-ID       show the routing decisions for a request
  balsamloft logs explain REQUEST-ID  show the outcome of a request, from log lines of
                                      balsamloft-entry on standard input
  balsamloft logs losses              show lost requests by cause and by second, from log lines
                                      on standard input
  balsamloft logs summary             show the number of failures by cause, from log lines on
                                      standard input
  balsamloft placement                show the models on the free engines and the reasons
  balsamloft drain                    stop the instance gracefully

Exit codes: 0 done, 1 usage, 2 invalid document or settings, 3 conflict with
another change, 4 platform unavailable (nothing changed), 5 unknown outcome (repeat
the command with the same --change_id), 6 wrong token, 7 daemon unreachable,
8 not found.

Flags:
)";

/// Runs a command: a request to the admin listener of a daemon, or a report on log lines.
class Commands
{
public:
    explicit Commands(AdminClient client)
        : m_client(std::move(client))
    {
    }

    int run(std::span<const std::string> arguments);

private:
    using Command = int (Commands::*)(const std::string &argument);
    struct Row
    {
        std::vector<std::string_view> name;
        Command command;
        bool needsArgument;
    };
    static const std::vector<Row> s_commands;

    int applyInventory(const std::string &file) { return apply("inventory", file); }
    int applyRules(const std::string &file) { return apply("rules", file); }
    int showConfig(const std::string &version);
    int history(const std::string &);
    int audit(const std::string &);
    int diff(const std::string &);
    int rollback(const std::string &version);
    int status(const std::string &);
    int endpoints(const std::string &);
    int explain(const std::string &request);
    int logsExplain(const std::string &request);
    int logsSummary(const std::string &unused);
    int logsLosses(const std::string &unused);
    int printLogReport(std::string (LogReport::*text)() const);
    int placement(const std::string &);
    int drain(const std::string &);

    int showLines(const std::optional<AdminAnswer> &answer);
    int apply(std::string_view section, const std::string &file);
    boost::json::object proposal() const;
    int showOutcome(const std::optional<AdminAnswer> &answer, std::string_view place);
    int showChanges(bool withEdits);

    /// Prints the error of \a answer, if any, and returns the matching exit code.
    int check(const std::optional<AdminAnswer> &answer);

    AdminClient m_client;
};

const std::vector<Commands::Row> Commands::s_commands {
    {{"inventory", "apply"}, &Commands::applyInventory, true},
    {{"rules", "apply"}, &Commands::applyRules, true},
    {{"config", "show"}, &Commands::showConfig, false},
    {{"config", "history"}, &Commands::history, false},
    {{"config", "diff"}, &Commands::diff, false},
    {{"config", "rollback"}, &Commands::rollback, true},
    {{"audit"}, &Commands::audit, false},
    {{"status"}, &Commands::status, false},
    {{"endpoints"}, &Commands::endpoints, false},
    {{"explain"}, &Commands::explain, true},
    {{"logs", "explain"}, &Commands::logsExplain, true},
    {{"logs", "summary"}, &Commands::logsSummary, false},
    {{"logs", "losses"}, &Commands::logsLosses, false},
    {{"placement"}, &Commands::placement, false},
    {{"drain"}, &Commands::drain, false},
};

int Commands::run(std::span<const std::string> arguments)
{
    for (const Row &row : s_commands) {
        if (arguments.size() < row.name.size()
            || !std::equal(row.name.begin(), row.name.end(), arguments.begin()))
            continue;
        const auto rest = arguments.subspan(row.name.size());
        if (rest.size() > 1 || (row.needsArgument && rest.empty())) {
            std::cerr << "balsamloft: wrong number of arguments; see --help\n";
            return ExitUsage;
        }
        return (this->*row.command)(rest.empty() ? std::string() : rest.front());
    }
    std::cerr << "balsamloft: unknown command; see --help\n";
    return ExitUsage;
}

bool jsonOutput()
{
    return FLAGS_output == "json";
}

void printJson(const boost::json::object &body)
{
    std::cout << boost::json::serialize(body) << '\n';
}

int exitCodeOf(unsigned status)
{
    switch (status) {
    case 401:
        return ExitUnauthorized;
    case 404:
        return ExitNotFound;
    case 409:
        return ExitConflict;
    case 422:
    case 400:
        return ExitInvalid;
    case 503:
        return ExitUnavailable;
    case 504:
        return ExitUnknown;
    default:
        return status < 300 ? ExitOk : ExitInvalid;
    }
}

int Commands::check(const std::optional<AdminAnswer> &answer)
{
    if (!answer) {
        std::cerr << "balsamloft: " << m_client.lastReason() << '\n';
        return ExitUnreachable;
    }
    const boost::json::value *error = answer->body.if_contains("error");
    if (error && error->is_object())
        std::cerr << "balsamloft: " << plainText(error->at("message")) << '\n';
    return exitCodeOf(answer->status);
}

boost::json::object Commands::proposal() const
{
    std::string id = FLAGS_change_id;
    if (id.empty()) {
        std::random_device device;
        std::ostringstream text;
        text << std::hex << device() << device();
        id = text.str();
    }
    boost::json::object body {{"id", id},
                              {"author", FLAGS_author},
                              {"summary", FLAGS_summary},
                              {"dry_run", FLAGS_dry_run}};
    if (FLAGS_base >= 0)
        body["base_version"] = FLAGS_base;
    return body;
}

int Commands::apply(std::string_view section, const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    if (!stream) {
        std::cerr << "balsamloft: " << file << ": cannot be read\n";
        return ExitInvalid;
    }
    std::ostringstream content;
    content << stream.rdbuf();
    boost::json::object body = proposal();
    body["section"] = section;
    body["document"] = content.str();
    if (FLAGS_summary.empty())
        body["summary"] = "apply " + std::string(section);
    return showOutcome(m_client.post("/admin/v1/apply", body), file);
}

int Commands::rollback(const std::string &version)
{
    boost::json::object body = proposal();
    char *end = nullptr;
    const long long number = std::strtoll(version.c_str(), &end, 10);
    if (version.empty() || *end != '\0' || number < 0) {
        std::cerr << "balsamloft: " << version << ": is not a version\n";
        return ExitUsage;
    }
    body["version"] = number;
    if (FLAGS_summary.empty())
        body["summary"] = "roll back to " + version;
    return showOutcome(m_client.post("/admin/v1/rollback", body), "version " + version);
}

int Commands::showOutcome(const std::optional<AdminAnswer> &answer, std::string_view place)
{
    const int code = check(answer);
    if (!answer || answer->body.contains("error"))
        return code;
    const boost::json::object &body = answer->body;
    if (jsonOutput()) {
        printJson(body);
        return code;
    }
    for (const auto &problem : body.at("problems").as_array()) {
        const std::string value = plainText(problem.at("value"));
        std::cerr << place << ": " << plainText(problem.at("path")) << ": "
                  << (value.empty() ? "" : value + ": ") << plainText(problem.at("advice")) << '\n';
    }
    for (const auto &path : body.at("conflicts").as_array())
        std::cerr << "conflicting change: " << plainText(path) << '\n';
    std::cerr << renderHistory(body.at("changed_since").as_array(), true);
    std::cout << renderEdits(body.at("edits").as_array());
    std::cout << plainText(body.at("outcome")) << ": version " << plainText(body.at("version"))
              << '\n';
    return code;
}

int Commands::showConfig(const std::string &version)
{
    const auto answer =
        m_client.get("/admin/v1/config" + (version.empty() ? "" : "?version=" + version));
    const int code = check(answer);
    if (code == ExitOk)
        printJson(answer->body);
    return code;
}

int Commands::showChanges(bool withEdits)
{
    const auto answer = m_client.get("/admin/v1/history?limit=" + std::to_string(FLAGS_limit));
    const int code = check(answer);
    if (code != ExitOk)
        return code;
    if (jsonOutput())
        printJson(answer->body);
    else
        std::cout << renderHistory(answer->body.at("changes").as_array(), withEdits);
    return code;
}

int Commands::history(const std::string &)
{
    return showChanges(false);
}

int Commands::audit(const std::string &)
{
    return showChanges(true);
}

int Commands::diff(const std::string &)
{
    if (FLAGS_from < 0) {
        std::cerr << "balsamloft: config diff needs --from=VERSION\n";
        return ExitUsage;
    }
    std::string path = "/admin/v1/diff?from=" + std::to_string(FLAGS_from);
    if (FLAGS_to >= 0)
        path += "&to=" + std::to_string(FLAGS_to);
    const auto answer = m_client.get(path);
    const int code = check(answer);
    if (code != ExitOk)
        return code;
    if (jsonOutput())
        printJson(answer->body);
    else
        std::cout << renderEdits(answer->body.at("edits").as_array());
    return code;
}

int Commands::status(const std::string &)
{
    const auto answer = m_client.get("/admin/v1/status");
    const int code = check(answer);
    if (code != ExitOk)
        return code;
    if (jsonOutput()) {
        printJson(answer->body);
        return code;
    }
    std::cout << renderFields(answer->body);
    if (const auto *members = answer->body.if_contains("members"))
        std::cout << '\n'
                  << renderTable(members->as_array(),
                                 {"name", "domain", "state", "version", "lags", "heard_ms_ago"});
    return code;
}

int Commands::endpoints(const std::string &)
{
    const auto answer = m_client.get("/admin/v1/endpoints");
    const int code = check(answer);
    if (code != ExitOk)
        return code;
    if (jsonOutput())
        printJson(answer->body);
    else
        std::cout << renderTable(answer->body.at("endpoints").as_array(),
                                 {"name", "domain", "address", "slots", "own", "others", "step_us",
                                  "leaving", "ejected"});
    return code;
}

int Commands::logsExplain(const std::string &request)
{
    LogReport report;
    report.read(std::cin);
    const std::string text = report.explain(request);
    if (text.empty()) {
        std::cerr << "balsamloft: no line contains request '" << request << "' (" << report.lines()
                  << " lines read, " << report.unreadable() << " unreadable)\n";
        return ExitNotFound;
    }
    std::cout << text;
    return ExitOk;
}

int Commands::printLogReport(std::string (LogReport::*text)() const)
{
    LogReport report;
    report.read(std::cin);
    std::cout << (report.*text)();
    return ExitOk;
}

int Commands::logsSummary(const std::string & /*unused*/)
{
    return printLogReport(&LogReport::summary);
}

int Commands::logsLosses(const std::string & /*unused*/)
{
    return printLogReport(&LogReport::losses);
}

int Commands::explain(const std::string &request)
{
    return showLines(m_client.get("/admin/v1/explain?request=" + request));
}

int Commands::placement(const std::string &)
{
    return showLines(m_client.get("/admin/v1/placement"));
}

int Commands::showLines(const std::optional<AdminAnswer> &answer)
{
    const int code = check(answer);
    if (code != ExitOk)
        return code;
    if (jsonOutput()) {
        printJson(answer->body);
        return code;
    }
    for (const auto &line : answer->body.at("lines").as_array())
        std::cout << plainText(line) << '\n';
    const auto *holder = answer->body.if_contains("holder");
    if (holder && !answer->body.at("holds_lease").as_bool())
        std::cout << "the lease is held by " << plainText(*holder) << "; query that instance\n";
    return code;
}

int Commands::drain(const std::string &)
{
    const auto answer = m_client.post("/admin/v1/drain", {});
    const int code = check(answer);
    if (code == ExitOk)
        std::cout << "the instance is stopping\n";
    return code;
}

} // namespace

} // namespace balsamloft

int main(int argc, char **argv)
{
    using namespace balsamloft;
    Reason reason;
    const auto parsed = parseFlags(argc, argv, EnvironmentPrefix, ProgramFiles, reason);
    if (!parsed) {
        std::cerr << "balsamloft: " << reason << '\n';
        return ExitUsage;
    }
    if (parsed->helpRequested || parsed->arguments.empty()) {
        std::cout << Usage << flagsHelp(ProgramFiles, EnvironmentPrefix);
        return parsed->helpRequested ? ExitOk : ExitUsage;
    }
    if (FLAGS_output != "text" && FLAGS_output != "json") {
        std::cerr << "balsamloft: --output: must be text or json\n";
        return ExitUsage;
    }
    Commands commands(AdminClient(FLAGS_admin, FLAGS_operator_token));
    return commands.run(parsed->arguments);
}
