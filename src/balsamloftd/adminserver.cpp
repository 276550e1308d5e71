#include "adminserver.h"

#include "controlplane.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace http = boost::beast::http;
namespace json = boost::json;

namespace balsamloft {

namespace {

constexpr std::size_t DefaultHistoryLimit = 50;
constexpr std::string_view UnauthorizedMessage =
    "the header Authorization: Bearer with the operators' token is required";

HttpServerSettings adminSettings(ResourceAccount &resources)
{
    HttpServerSettings settings;
    settings.resources = &resources;
    settings.use = ResourceUse::Operator;
    settings.maxBodyBytes = 2 * MaxDocumentBytes;
    return settings;
}

void respond(const HttpExchangePtr &exchange, http::status status, const json::value &value)
{
    exchange->respond(jsonResponse(status, json::serialize(value)));
}

HttpResponse errorResponse(http::status status, std::string_view code, std::string_view message)
{
    return jsonResponse(
        status, json::serialize(json::value {{"error", {{"code", code}, {"message", message}}}}));
}

void respondError(const HttpExchangePtr &exchange, http::status status, std::string_view code,
                  std::string_view message)
{
    exchange->respond(errorResponse(status, code, message));
}

std::string_view queryValue(const HttpExchangePtr &exchange, std::string_view name)
{
    return queryParameter(exchange->request(), name);
}

std::optional<std::uint64_t> parseUnsigned(std::string_view text)
{
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || parsed.ec != std::errc {} || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

json::value stringOrNull(const std::optional<std::string> &text)
{
    return text ? json::value(*text) : json::value(nullptr);
}

json::array editsJson(std::span<const ConfigEdit> edits)
{
    json::array result;
    for (const ConfigEdit &edit : edits)
        result.push_back({{"path", edit.path},
                          {"before", stringOrNull(edit.before)},
                          {"after", stringOrNull(edit.after)}});
    return result;
}

json::object changeJson(const ConfigChange &change)
{
    return {{"version", change.version},        {"id", change.id},
            {"author", change.author},          {"summary", change.summary},
            {"accepted_at", change.acceptedAt}, {"digest", change.digest},
            {"edits", editsJson(change.edits)}};
}

/// Code and HTTP status that report the outcome of a proposal.
struct OutcomeRow
{
    ProposalOutcome::Kind kind;
    std::string_view code;
    http::status status;
};

constexpr OutcomeRow OutcomeRows[] = {
    {ProposalOutcome::Kind::Accepted, "accepted", http::status::ok},
    {ProposalOutcome::Kind::Unchanged, "unchanged", http::status::ok},
    {ProposalOutcome::Kind::DryRun, "dry_run", http::status::ok},
    {ProposalOutcome::Kind::Invalid, "invalid", http::status::unprocessable_entity},
    {ProposalOutcome::Kind::Conflict, "conflict", http::status::conflict},
    {ProposalOutcome::Kind::Unavailable, "unavailable", http::status::service_unavailable},
    {ProposalOutcome::Kind::Unknown, "unknown", http::status::gateway_timeout},
};

const OutcomeRow &outcomeRow(ProposalOutcome::Kind kind)
{
    return *std::find_if(std::begin(OutcomeRows), std::end(OutcomeRows),
                         [&](const OutcomeRow &row) { return row.kind == kind; });
}

json::array problemsJson(std::span<const Problem> problems)
{
    json::array result;
    for (const Problem &problem : problems)
        result.push_back(
            {{"path", problem.path}, {"value", problem.value}, {"advice", problem.advice}});
    return result;
}

void respondOutcome(const HttpExchangePtr &exchange, const ProposalOutcome &outcome)
{
    const OutcomeRow &row = outcomeRow(outcome.kind);
    json::array changedSince;
    for (const ConfigChange &change : outcome.changedSince)
        changedSince.push_back(changeJson(change));
    json::array conflicts;
    for (const std::string &path : outcome.conflicts)
        conflicts.emplace_back(path);
    respond(exchange, row.status,
            {{"outcome", row.code},
             {"version", outcome.head.version},
             {"digest", outcome.head.digest},
             {"edits", editsJson(outcome.edits)},
             {"problems", problemsJson(outcome.problems)},
             {"conflicts", std::move(conflicts)},
             {"changed_since", std::move(changedSince)}});
}

json::object entriesJson(const ConfigEntries &entries, std::string_view section)
{
    json::object document;
    for (const auto &[path, text] : entries) {
        if (!path.starts_with(section))
            continue;
        const std::string_view rest = std::string_view(path).substr(section.size());
        const std::string_view list = rest.substr(0, rest.find('/'));
        json::value &items = document[list];
        if (!items.is_array())
            items = json::array {};
        items.as_array().push_back(json::parse(text));
    }
    return document;
}

std::string stringMember(const json::object &body, std::string_view key)
{
    const json::value *value = body.if_contains(key);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

/// Parts of a global request id: INSTANCE-INCARNATION-WORKER-NUMBER.
struct RequestIdParts
{
    std::string instance; ///< INSTANCE-INCARNATION
    std::uint64_t worker = 0;
    RequestId number = 0;
};

std::optional<RequestIdParts> parseRequestId(std::string_view id)
{
    const auto last = id.rfind('-');
    if (last == std::string_view::npos || last == 0)
        return std::nullopt;
    const auto middle = id.rfind('-', last - 1);
    if (middle == std::string_view::npos)
        return std::nullopt;
    const auto worker = parseUnsigned(id.substr(middle + 1, last - middle - 1));
    const auto request = parseUnsigned(id.substr(last + 1));
    if (!worker || !request)
        return std::nullopt;
    return RequestIdParts {std::string(id.substr(0, middle)), *worker, *request};
}

} // namespace

const AdminServer::Route AdminServer::s_routes[] = {
    {"GET", "/admin/v1/config", &AdminServer::showConfig},
    {"POST", "/admin/v1/apply", &AdminServer::apply},
    {"POST", "/admin/v1/rollback", &AdminServer::rollback},
    {"GET", "/admin/v1/history", &AdminServer::history},
    {"GET", "/admin/v1/diff", &AdminServer::diff},
    {"GET", "/admin/v1/status", &AdminServer::status},
    {"GET", "/admin/v1/endpoints", &AdminServer::endpoints},
    {"GET", "/admin/v1/explain", &AdminServer::explain},
    {"GET", "/admin/v1/placement", &AdminServer::placement},
    {"POST", "/admin/v1/drain", &AdminServer::drain},
};

AdminServer::AdminServer(ControlPlane &control)
    : m_control(control)
    , m_server(control.context(), adminSettings(control.resources()),
               [this](const HttpExchangePtr &exchange) { handle(exchange); })
{
    m_server.checkHeads([this](const HttpRequest &request) -> std::optional<HttpResponse> {
        if (authorized(request))
            return std::nullopt;
        return errorResponse(http::status::unauthorized, "unauthorized", UnauthorizedMessage);
    });
}

bool AdminServer::listen(std::string_view address, Reason &reason)
{
    return m_server.listen(address, reason);
}

bool AdminServer::authorized(const HttpRequest &request) const
{
    const auto token = bearerToken(request);
    return token && sha256Hex(*token) == m_control.settings().operatorTokenSha256;
}

void AdminServer::handle(const HttpExchangePtr &exchange)
{
    if (!authorized(exchange->request()))
        return respondError(exchange, http::status::unauthorized, "unauthorized",
                            UnauthorizedMessage);
    const auto method = exchange->request().method_string();
    bool pathKnown = false;
    for (const Route &route : s_routes) {
        if (route.path != targetPath(exchange->request()))
            continue;
        pathKnown = true;
        if (route.method == std::string_view(method.data(), method.size()))
            return (this->*route.handler)(exchange);
    }
    if (pathKnown)
        return respondError(exchange, http::status::method_not_allowed, "method_not_allowed",
                            "the method is not allowed for this path");
    respondError(exchange, http::status::not_found, "not_found", "unknown path");
}

void AdminServer::showConfig(const HttpExchangePtr &exchange)
{
    const ConfigManager &config = m_control.configuration();
    const std::string_view versionText = queryValue(exchange, "version");
    const auto version = versionText.empty() ? config.head().version : parseUnsigned(versionText);
    const auto entries = version ? config.entriesAt(*version) : std::nullopt;
    if (!entries)
        return respondError(exchange, http::status::not_found, "no_such_version",
                            "the version is not in the retained history");
    respond(exchange, http::status::ok,
            {{"version", *version},
             {"digest", *version == config.head().version ? config.head().digest : std::string()},
             {"inventory", entriesJson(*entries, "inventory/")},
             {"rules", entriesJson(*entries, "rules/")}});
}

bool AdminServer::readProposal(const json::object &body, const HttpExchangePtr &exchange,
                               ConfigProposal &proposal) const
{
    proposal.id = stringMember(body, "id");
    proposal.author = stringMember(body, "author");
    proposal.summary = stringMember(body, "summary");
    if (proposal.id.empty()) {
        respondError(exchange, http::status::bad_request, "invalid", "\"id\" is required");
        return false;
    }
    const json::value *base = body.if_contains("base_version");
    if (base && base->is_int64() && base->get_int64() >= 0)
        proposal.baseVersion = static_cast<std::uint64_t>(base->get_int64());
    const json::value *dryRun = body.if_contains("dry_run");
    proposal.dryRun = dryRun && dryRun->is_bool() && dryRun->get_bool();
    return true;
}

void AdminServer::submit(ConfigProposal proposal, const HttpExchangePtr &exchange)
{
    const std::string id = proposal.id;
    const std::string author = proposal.author;
    m_control.propose(std::move(proposal), [exchange, id, author](const ProposalOutcome &outcome) {
        log(LogLevel::Info, "audit", "proposal decided",
            {{"id", id},
             {"author", author},
             {"outcome", std::string(outcomeRow(outcome.kind).code)},
             {"version", std::to_string(outcome.head.version)}});
        respondOutcome(exchange, outcome);
    });
}

void AdminServer::apply(const HttpExchangePtr &exchange)
{
    json::error_code error;
    const json::value body = json::parse(exchange->request().body(), error);
    if (error || !body.is_object())
        return respondError(exchange, http::status::bad_request, "invalid",
                            "the body must be a JSON object");
    ConfigProposal proposal;
    if (!readProposal(body.get_object(), exchange, proposal))
        return;
    const std::string section = stringMember(body.get_object(), "section");
    const std::string document = stringMember(body.get_object(), "document");
    ProposalOutcome outcome;
    if (section == "inventory")
        proposal.entries = parseInventory(document, outcome.problems);
    else if (section == "rules")
        proposal.entries = parseRules(document, outcome.problems);
    else
        return respondError(exchange, http::status::bad_request, "invalid",
                            "\"section\" must be inventory or rules");
    if (!proposal.entries) {
        outcome.kind = ProposalOutcome::Kind::Invalid;
        outcome.head = m_control.configuration().head();
        return respondOutcome(exchange, outcome);
    }
    proposal.section = section + "/";
    submit(std::move(proposal), exchange);
}

void AdminServer::rollback(const HttpExchangePtr &exchange)
{
    json::error_code error;
    const json::value body = json::parse(exchange->request().body(), error);
    const json::value *version =
        !error && body.is_object() ? body.get_object().if_contains("version") : nullptr;
    if (!version || !version->is_int64() || version->get_int64() < 0)
        return respondError(exchange, http::status::bad_request, "invalid",
                            "\"version\" must be the number of the version to restore");
    ConfigProposal proposal;
    if (!readProposal(body.get_object(), exchange, proposal))
        return;
    proposal.rollbackTo = static_cast<std::uint64_t>(version->get_int64());
    submit(std::move(proposal), exchange);
}

void AdminServer::history(const HttpExchangePtr &exchange)
{
    const auto limit = parseUnsigned(queryValue(exchange, "limit")).value_or(DefaultHistoryLimit);
    const auto &changes = m_control.configuration().history();
    json::array result;
    for (auto it = changes.rbegin(); it != changes.rend() && result.size() < limit; ++it)
        result.push_back(changeJson(*it));
    respond(exchange, http::status::ok, {{"changes", std::move(result)}});
}

void AdminServer::diff(const HttpExchangePtr &exchange)
{
    const ConfigManager &config = m_control.configuration();
    const auto from = parseUnsigned(queryValue(exchange, "from"));
    const auto to = parseUnsigned(queryValue(exchange, "to")).value_or(config.head().version);
    const auto before = from ? config.entriesAt(*from) : std::nullopt;
    const auto after = config.entriesAt(to);
    if (!before || !after)
        return respondError(exchange, http::status::not_found, "no_such_version",
                            "from= and to= must be versions in the retained history");
    respond(exchange, http::status::ok, {{"edits", editsJson(diffEntries(*before, *after, ""))}});
}

json::array AdminServer::membersJson() const
{
    const Time now = steadyNow();
    const ConfigHead &own = m_control.configuration().head();
    json::array members;
    members.push_back({{"name", m_control.settings().name},
                       {"domain", m_control.settings().domain},
                       {"state", "alive"},
                       {"version", own.version},
                       {"lags", false},
                       {"heard_ms_ago", 0}});
    for (const auto &[name, member] : m_control.membership().members())
        members.push_back({{"name", name},
                           {"domain", member.status.domain},
                           {"state", toString(member.status.state)},
                           {"version", member.head.version},
                           {"lags", member.head.version < own.version},
                           {"heard_ms_ago", (now - member.lastMessageAt).count() / 1000}});
    return members;
}

void AdminServer::status(const HttpExchangePtr &exchange)
{
    const ConfigManager &config = m_control.configuration();
    respond(exchange, http::status::ok,
            {{"instance", m_control.settings().name},
             {"domain", m_control.settings().domain},
             {"version", config.head().version},
             {"digest", config.head().digest},
             {"ready", m_control.ready()},
             {"platform_reachable", config.platformReachable()},
             {"forks_seen", config.forksSeen()},
             {"claims_unsettled", m_control.unresolvedClaims()},
             {"holds_placement_lease", m_control.lease().holds(steadyNow())},
             {"placement_lease_holder", m_control.lease().lastSeenHolder()},
             {"members", membersJson()}});
}

void AdminServer::endpoints(const HttpExchangePtr &exchange)
{
    m_control.workers().front()->endpoints([this, exchange](std::vector<EndpointState> states) {
        boost::asio::post(m_control.context(), [exchange, states = std::move(states)] {
            json::array result;
            for (const EndpointState &state : states) {
                if (!state.configured)
                    continue;
                result.push_back({{"name", state.name},
                                  {"address", state.address},
                                  {"domain", state.domain},
                                  {"slots", state.slots},
                                  {"own", state.ownRequests},
                                  {"others", state.otherRequests},
                                  {"step_us", state.stepTime.count()},
                                  {"leaving", state.leaving},
                                  {"ejected", state.ejected}});
            }
            respond(exchange, http::status::ok, {{"endpoints", std::move(result)}});
        });
    });
}

void AdminServer::explain(const HttpExchangePtr &exchange)
{
    const auto parts = parseRequestId(queryValue(exchange, "request"));
    if (!parts || parts->worker >= m_control.workers().size())
        return respondError(exchange, http::status::bad_request, "invalid",
                            "request= must be the value of a Balsamloft-Request-Id header");
    const std::string own =
        m_control.settings().name + "-" + std::to_string(m_control.incarnation());
    if (parts->instance != own)
        return respondError(exchange, http::status::not_found, "other_instance",
                            "the request was handled by " + parts->instance
                                + ", not by this process " + own);
    m_control.workers()[parts->worker]->explain(
        parts->number, [this, exchange](std::vector<std::string> lines) {
            boost::asio::post(m_control.context(), [exchange, lines = std::move(lines)] {
                if (lines.empty())
                    return respondError(exchange, http::status::not_found, "forgotten",
                                        "no record of the request is retained");
                json::array result;
                for (const std::string &line : lines)
                    result.emplace_back(line);
                respond(exchange, http::status::ok, {{"lines", std::move(result)}});
            });
        });
}

void AdminServer::placement(const HttpExchangePtr &exchange)
{
    json::array lines;
    for (const std::string &line : m_control.explainPlacement())
        lines.emplace_back(line);
    respond(exchange, http::status::ok,
            {{"holds_lease", m_control.lease().holds(steadyNow())},
             {"holder", m_control.lease().lastSeenHolder()},
             {"lines", std::move(lines)}});
}

void AdminServer::drain(const HttpExchangePtr &exchange)
{
    respond(exchange, http::status::ok, {{"draining", true}});
    m_control.drain();
}

} // namespace balsamloft
