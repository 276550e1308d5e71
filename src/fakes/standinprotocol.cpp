// An implementation of EntryProtocol for tests: the entry instance can be tested
// without the platform and independently of the platform's names and formats.

#include <balsamloft/entryprotocol.h>

#include <boost/json.hpp>

namespace json = boost::json;

namespace balsamloft {

namespace {

std::string text(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::int64_t number(const json::object &object, std::string_view name, std::int64_t fallback = 0)
{
    const json::value *value = object.if_contains(name);
    return value && value->is_int64() ? value->get_int64() : fallback;
}

std::optional<json::object> parsed(std::string_view body, Reason &reason)
{
    boost::system::error_code error;
    json::value value = json::parse(body, error);
    if (error || !value.is_object()) {
        reason = "not a JSON object";
        return std::nullopt;
    }
    return std::move(value.get_object());
}

LayerRange range(const json::object &object)
{
    const json::value *value = object.if_contains("layers");
    if (!value || !value->is_array() || value->get_array().size() != 2)
        return {};
    boost::system::error_code beginError;
    boost::system::error_code endError;
    const LayerRange layers {value->get_array()[0].to_number<std::uint32_t>(beginError),
                             value->get_array()[1].to_number<std::uint32_t>(endError)};
    return beginError || endError || layers.end < layers.begin ? LayerRange {} : layers;
}

RequestLimits requestLimits(const json::object &object)
{
    RequestLimits limits;
    limits.maxHeaderBytes =
        static_cast<std::uint32_t>(number(object, "header_bytes", limits.maxHeaderBytes));
    limits.maxBodyBytes = static_cast<std::uint64_t>(
        number(object, "body_bytes", static_cast<std::int64_t>(limits.maxBodyBytes)));
    limits.headerTimeout =
        Duration(number(object, "header_timeout_ms", limits.headerTimeout.count() / 1000) * 1000);
    limits.idleTimeout =
        Duration(number(object, "idle_timeout_ms", limits.idleTimeout.count() / 1000) * 1000);
    return limits;
}

class StandinProtocol : public EntryProtocol
{
public:
    const HeaderNames &headers() const override
    {
        static constexpr HeaderNames Names {
            .requestId = "Request-Id",
            .deadline = "Deadline-Ms",
            .teamKey = "Team-Key",
            .team = "Team",
            .expectedEndpoint = "Endpoint-Id",
            .path = "Engine-Path",
            .urgency = "Urgency",
            .expectedVersion = "Weights-Version",
            .tokenCounts = "Tokens",
            .promptParts = "Prompt-Parts",
            .lengthHint = "Length-Hint",
            .lastEventId = "Last-Event-Id",
            .executionProof = "Seal",
            .notExecuted = "Not-Run",
            .load = "Load",
            .faultyAddress = "At-Fault",
            .rateLimit = "Rate-Limit",
            .draining = "Draining",
            .storeEra = "Era",
        };
        return Names;
    }
    std::string_view configurationTable() const override { return "configuration"; }
    std::string_view configurationKey() const override { return "current"; }
    std::string_view endpointTable() const override { return "endpoints"; }

    OutgoingCall readCall(std::string_view table, std::string_view /*from*/) const override
    {
        return {"GET", "/table/" + std::string(table), {}};
    }
    OutgoingCall watchCall(std::string_view table, std::uint64_t after,
                           Duration wait) const override
    {
        return {"GET",
                "/changes/" + std::string(table) + "/" + std::to_string(after) + "/"
                    + std::to_string(wait.count() / 1000),
                {}};
    }
    OutgoingCall commitCall(const Transaction &transaction) const override
    {
        json::array checks;
        for (const RowCheck &check : transaction.checks)
            checks.push_back(
                {{"table", check.table}, {"key", check.key}, {"version", check.version}});
        json::array writes;
        for (const RowWrite &write : transaction.writes)
            writes.push_back({{"table", write.table},
                              {"key", write.key},
                              {"value", write.value.value_or("")},
                              {"drop", !write.value}});
        return {"POST", "/commit",
                json::serialize(json::object {{"checks", checks}, {"writes", writes}})};
    }

    StoreReply parseStoreReply(int status, std::string_view body) const override
    {
        StoreReply reply;
        reply.kind = status == 200   ? StoreReply::Kind::Done
                     : status == 409 ? StoreReply::Kind::Conflict
                     : status == 410 ? StoreReply::Kind::HistoryExpired
                     : status == 503 ? StoreReply::Kind::Rejected
                                     : StoreReply::Kind::Failed;
        Reason reason;
        const auto object = parsed(body, reason);
        if (!object)
            return reply;
        reply.version = static_cast<std::uint64_t>(number(*object, "version"));
        reply.storeMs = number(*object, "clock_ms");
        if (const json::value *rows = object->if_contains("rows"))
            for (const json::value &row : rows->as_array())
                reply.rows.push_back(
                    {text(row.as_object(), "key"), text(row.as_object(), "value"),
                     static_cast<std::uint64_t>(number(row.as_object(), "version")),
                     row.as_object().at("dropped").as_bool()});
        return reply;
    }

    RouteMapPtr parseRouteTable(std::string_view body, std::vector<Reason> &skippedEntries,
                                Reason &reason) const override
    {
        const auto object = parsed(body, reason);
        if (!object)
            return nullptr;
        RouteMapBuilder builder(static_cast<std::uint64_t>(number(*object, "version")));
        for (const json::value &value : object->at("services").as_array()) {
            const json::object &service = value.as_object();
            RoutedService each {text(service, "name"), 0, std::nullopt};
            if (const auto layers = number(service, "layers")) {
                LayeredModel model;
                model.layers = static_cast<std::uint32_t>(layers);
                model.layerMegabytes = 1000;
                model.bytesPerToken = 10'000.0 * model.layers;
                model.stepMs = 1;
                model.prefillTokensPerMs = 100;
                model.tokensPerPass = 3;
                model.typicalPromptTokens = 100;
                model.typicalAnswerTokens = 50;
                model.kinds = {{"card", 1000.0 * model.layers + 4000, 1, 1}};
                each.model = model;
            }
            builder.service(std::move(each));
        }
        for (const json::value &value : object->at("routes").as_array()) {
            const json::object &entry = value.as_object();
            Route route;
            route.name = text(entry, "name");
            route.host = text(entry, "host");
            route.prefix = text(entry, "prefix");
            const std::string kind = text(entry, "kind");
            route.kind = kind == "safe"     ? RequestKind::Safe
                         : kind == "unsafe" ? RequestKind::Unsafe
                                            : RequestKind::Stream;
            route.timeout = Duration(number(entry, "timeout_ms", 30'000) * 1000);
            route.targetLatency = Duration(500'000);
            route.maxAttempts = static_cast<std::uint32_t>(number(entry, "attempts", 2));
            route.resumable = true;
            builder.route(std::move(route), {{text(entry, "service"), 1}});
        }
        for (const auto &team : object->at("keys").as_object())
            builder.team({std::string(team.value().as_string()), std::nullopt},
                         {std::string(team.key())});
        if (const auto *limits = object->if_contains("limits"))
            builder.limits(requestLimits(limits->as_object()));
        RouteMapPtr map = builder.build();
        skippedEntries = builder.skippedRoutes();
        return map;
    }

    std::optional<FleetEndpoint> parseEndpoint(std::string_view id, std::string_view body,
                                               Reason &reason) const override
    {
        const auto object = parsed(body, reason);
        if (!object)
            return std::nullopt;
        FleetEndpoint endpoint;
        endpoint.name = std::string(id);
        endpoint.startedAt = static_cast<std::uint64_t>(number(*object, "started", 0));
        endpoint.id = processId(endpoint.name, endpoint.startedAt);
        endpoint.service = text(*object, "service");
        endpoint.address = text(*object, "address");
        endpoint.domain = text(*object, "domain");
        endpoint.kind = text(*object, "kind");
        endpoint.slots = static_cast<std::uint32_t>(number(*object, "slots", 8));
        endpoint.draining = text(*object, "state") == "leaving";
        endpoint.layers = range(*object);
        return endpoint;
    }

    std::string_view reportTarget() const override { return "/state"; }
    std::optional<EngineReport> parseReport(std::string_view body, Reason &reason) const override
    {
        const auto object = parsed(body, reason);
        if (!object)
            return std::nullopt;
        EngineReport report;
        report.startedAt = static_cast<std::uint64_t>(number(*object, "started", 0));
        report.layers = range(*object);
        report.acceptedOrders = static_cast<std::uint64_t>(number(*object, "orders"));
        return report;
    }
    OutgoingCall orderCall(const LayerOrder &order, std::uint64_t expectedOrders,
                           std::uint64_t fencing) const override
    {
        return {"POST", "/hold",
                json::serialize(json::object {{"from", order.layers.begin},
                                              {"to", order.layers.end},
                                              {"orders", expectedOrders},
                                              {"fencing", fencing}})};
    }
    OrderReply parseOrderReply(int status) const override
    {
        return status == 200 ? OrderReply::Accepted : OrderReply::Rejected;
    }
    std::pair<PathReply, std::string> parsePathReply(int status,
                                                     std::string_view /*body*/) const override
    {
        return {status == 200   ? PathReply::Accepted
                : status == 409 ? PathReply::Refused
                                : PathReply::Lost,
                {}};
    }
    OutgoingCall changePathCall(std::string_view request,
                                std::span<const PathPart> path) const override
    {
        return {"POST", "/path",
                json::serialize(json::object {{"request", request}, {"path", formatPath(path)}})};
    }
    std::string formatPath(std::span<const PathPart> path) const override
    {
        std::string result;
        for (const PathPart &part : path)
            result += (result.empty() ? "" : ">") + part.endpoint;
        return result;
    }
};

} // namespace

std::unique_ptr<EntryProtocol> makeEntryProtocol()
{
    return std::make_unique<StandinProtocol>();
}

} // namespace balsamloft
