#include <balsamloft/callerapi.h>

#include <balsamloft/config.h>
#include <balsamloft/httprequest.h>

#include <boost/beast/http/field.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace http = boost::beast::http;
namespace json = boost::json;

namespace balsamloft {

namespace {

constexpr std::size_t MaxJsonDepth = 8;
constexpr std::string_view CompletionsPath = "/v1/completions";
constexpr std::string_view ServicesPrefix = "/services/";
constexpr std::string_view BalsamloftHeaderPrefix = "balsamloft-";

using Headers = HttpRequest::header_type;
using ParsedRequest = std::variant<CallerRequest, CallerError>;

std::string_view header(const HttpRequest &request, std::string_view name)
{
    const auto value = request[{name.data(), name.size()}];
    return {value.data(), value.size()};
}

const Team *findTeam(const HttpRequest &request, const Config &config)
{
    const auto token = bearerToken(request);
    return token ? config.teamByToken(sha256Hex(*token)) : nullptr;
}

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc {} || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return number;
}

CallerError invalidRequest(std::string message)
{
    return {400, "invalid_request", std::move(message)};
}

/// Reads the idempotency key and the Balsamloft-* headers into \a request. Returns an error if one
/// is invalid.
std::optional<CallerError> readHeaders(const HttpRequest &http, const CallerLimits &limits,
                                       Time now, Request &request)
{
    request.key = header(http, "Idempotency-Key");
    if (request.key.size() > limits.maxKeyBytes)
        return invalidRequest("Idempotency-Key is longer than " + std::to_string(limits.maxKeyBytes)
                              + " bytes");
    const std::string_view nonIdempotentText = header(http, "Balsamloft-Non-Idempotent");
    if (!nonIdempotentText.empty() && nonIdempotentText != "0" && nonIdempotentText != "1")
        return invalidRequest("Balsamloft-Non-Idempotent must be 0 or 1");
    request.nonIdempotent = nonIdempotentText == "1";
    Duration deadline = limits.defaultDeadline;
    if (const std::string_view text = header(http, "Balsamloft-Deadline-Ms"); !text.empty()) {
        const auto millis = parseNumber(text);
        const auto maxMillis = limits.maxDeadline.count() / 1000;
        if (!millis || *millis < 1 || *millis > maxMillis)
            return invalidRequest("Balsamloft-Deadline-Ms must be a number from 1 to "
                                  + std::to_string(maxMillis));
        deadline = std::chrono::milliseconds(*millis);
    }
    request.deadline = now + deadline;
    const std::string_view priority = header(http, "Balsamloft-Priority");
    if (priority == "alert")
        request.priority = Priority::Alert;
    else if (priority == "batch")
        request.priority = Priority::Batch;
    else if (!priority.empty() && priority != "normal")
        return invalidRequest("Balsamloft-Priority must be alert, normal or batch");
    return std::nullopt;
}

std::optional<CallerError> readCompletion(const HttpRequest &http, const CallerLimits &limits,
                                          CallerRequest &call)
{
    if (http.method() != http::verb::post)
        return CallerError {405, "method_not_allowed", "use POST"};
    json::parse_options options;
    options.max_depth = MaxJsonDepth;
    json::error_code error;
    const json::value body = json::parse(http.body(), error, {}, options);
    if (error)
        return invalidRequest("the body is not valid JSON: " + error.message());
    const json::object *object = body.if_object();
    if (!object)
        return invalidRequest("the body must be a JSON object");
    const json::value *model = object->if_contains("model");
    if (!model || !model->is_string() || model->get_string().empty())
        return invalidRequest("\"model\" must be a string that is not empty");
    const json::value *prompt = object->if_contains("prompt");
    if (!prompt || !prompt->is_string())
        return invalidRequest("\"prompt\" must be a string");
    const json::value *maxTokens = object->if_contains("max_tokens");
    if (maxTokens
        && (!maxTokens->is_int64() || maxTokens->get_int64() < 1
            || maxTokens->get_int64() > static_cast<std::int64_t>(1U << 30U)))
        return invalidRequest("\"max_tokens\" must be an integer from 1 to 1073741824");
    const json::value *stream = object->if_contains("stream");
    if (stream && !stream->is_bool())
        return invalidRequest("\"stream\" must be true or false");
    call.request.kind = TargetKind::Model;
    call.request.target = std::string(model->get_string());
    call.request.prompt = std::string(prompt->get_string());
    call.request.maxTokens =
        maxTokens ? static_cast<std::uint32_t>(maxTokens->get_int64()) : limits.defaultMaxTokens;
    call.stream = stream && stream->get_bool();
    return std::nullopt;
}

/// Whether the header is not forwarded to the service, because it applies to one connection only,
/// holds the caller's token, or is replaced for the endpoint.
bool isDroppedHeader(http::field field)
{
    switch (field) {
    case http::field::accept_encoding: // content that was coded is not passed on
    case http::field::authorization:
    case http::field::connection:
    case http::field::host:
    case http::field::keep_alive:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::content_length:
    case http::field::upgrade:
    case http::field::expect:
        return true;
    default:
        return false;
    }
}

bool isIdempotent(http::verb method)
{
    return method == http::verb::get || method == http::verb::head || method == http::verb::put
           || method == http::verb::delete_ || method == http::verb::options;
}

bool isBalsamloftHeader(std::string_view name)
{
    return name.size() >= BalsamloftHeaderPrefix.size()
           && std::equal(
               BalsamloftHeaderPrefix.begin(), BalsamloftHeaderPrefix.end(), name.begin(),
               [](char a, char b) { return a == std::tolower(static_cast<unsigned char>(b)); });
}

std::optional<CallerError> readServiceCall(const HttpRequest &http, std::string_view target,
                                           CallerRequest &call)
{
    const std::string_view rest = target.substr(ServicesPrefix.size());
    const auto slash = rest.find('/');
    const std::string_view name = rest.substr(0, slash);
    if (name.empty())
        return CallerError {404, "not_found", "the path must be /services/NAME/PATH"};
    const std::string path(slash == std::string_view::npos ? "/" : rest.substr(slash));
    call.request.kind = TargetKind::Service;
    call.request.target = std::string(name);
    call.request.path = path;
    call.request.idempotentMethod = isIdempotent(http.method());
    call.forward = HttpRequest(http.method(), path, 11);
    if (http.method() == http::verb::unknown)
        return CallerError {405, "method_not_allowed", "unknown HTTP method"};
    for (const auto &field : http) {
        const std::string_view fieldName(field.name_string().data(), field.name_string().size());
        if (!isDroppedHeader(field.name()) && !isBalsamloftHeader(fieldName))
            call.forward.insert(field.name(), field.name_string(), field.value());
    }
    return std::nullopt;
}

struct CodeStatus
{
    RefusalCode code;
    unsigned status;
};

constexpr CodeStatus Statuses[] = {
    {RefusalCode::NotReady, 503},
    {RefusalCode::Draining, 503},
    {RefusalCode::UnknownModel, 404},
    {RefusalCode::UnknownService, 404},
    {RefusalCode::InvalidRequest, 400},
    {RefusalCode::RateLimited, 429},
    {RefusalCode::ConcurrencyLimited, 429},
    {RefusalCode::QueueFull, 503},
    {RefusalCode::DeadlineUnmeetable, 503},
    {RefusalCode::DeadlineExceeded, 504},
    {RefusalCode::NoEndpoint, 503},
    {RefusalCode::EndpointFailed, 502},
    {RefusalCode::RetriesExhausted, 502},
    {RefusalCode::ClaimUnavailable, 503},
    {RefusalCode::DuplicateInProgress, 409},
    {RefusalCode::KeyReused, 422},
    {RefusalCode::CallerGone, 499},
};

unsigned statusOf(RefusalCode code)
{
    const auto *it = std::find_if(std::begin(Statuses), std::end(Statuses),
                                  [&](const CodeStatus &row) { return row.code == code; });
    return it == std::end(Statuses) ? 500 : it->status;
}

std::string eventPrefix(std::string_view id, std::string_view model)
{
    std::string text = R"(data: {"id":)";
    text += json::serialize(json::string(id));
    text += R"(,"object":"text_completion","model":)";
    text += json::serialize(json::string(model));
    text += R"(,"choices":[{"index":0,"text":)";
    return text;
}

} // namespace

ParsedRequest readCallerRequest(const HttpRequest &http, const Config &config,
                                const CallerLimits &limits, Time now)
{
    const std::string_view target(http.target().data(), http.target().size());
    const std::string_view path = targetPath(http);
    const bool completion = path == CompletionsPath;
    if (!completion && !path.starts_with(ServicesPrefix))
        return CallerError {404, "not_found", "there is nothing at this path"};
    const Team *team = findTeam(http, config);
    if (!team)
        return CallerError {401, "unauthorized",
                            "send Authorization: Bearer TOKEN with the token of a team"};
    CallerRequest call;
    call.request.team = team->name;
    if (auto error = readHeaders(http, limits, now, call.request))
        return *error;
    auto error =
        completion ? readCompletion(http, limits, call) : readServiceCall(http, target, call);
    if (error)
        return *error;
    if (!call.request.key.empty())
        call.request.contentDigest = sha256Hex(std::string(http.method_string()) + " "
                                               + std::string(target) + "\n" + http.body());
    return call;
}

HttpResponse errorResponse(const CallerError &error)
{
    const json::object body {
        {"error",
         {{"code", error.code}, {"message", error.message}, {"ran", "no"}, {"retry_after_ms", 0}}}};
    auto response = jsonResponse(static_cast<http::status>(error.status), json::serialize(body));
    if (error.status == 401)
        response.set(http::field::www_authenticate, "Bearer");
    return response;
}

std::string refusalJson(const RefuseRequest &refusal)
{
    return json::serialize(
        json::object {{"error",
                       {{"code", toString(refusal.code)},
                        {"message", refusal.message},
                        {"ran", toString(refusal.ran)},
                        {"retry_after_ms", refusal.retryAfter.count() / 1000}}}});
}

HttpResponse refusalResponse(const RefuseRequest &refusal)
{
    auto response =
        jsonResponse(static_cast<http::status>(statusOf(refusal.code)), refusalJson(refusal));
    if (statusOf(refusal.code) == 499)
        response.reason("Client Closed Request");
    if (refusal.retryAfter > Duration::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(refusal.retryAfter).count();
        response.set(http::field::retry_after, std::to_string(seconds));
    }
    return response;
}

std::string tokenEvent(std::string_view id, std::string_view model, std::string_view text)
{
    return eventPrefix(id, model) + json::serialize(json::string(text))
           + R"(,"finish_reason":null}]})" + "\n\n";
}

std::string finalEvents(std::string_view id, std::string_view model, std::string_view finishReason)
{
    return eventPrefix(id, model) + R"("","finish_reason":")" + std::string(finishReason)
           + R"("}]})" + "\n\ndata: [DONE]\n\n";
}

std::string errorEvent(const RefuseRequest &refusal)
{
    return "event: error\ndata: " + refusalJson(refusal) + "\n\n";
}

std::string completionBody(std::string_view id, std::string_view model, const Answer &answer,
                           std::string_view finishReason)
{
    return json::serialize(json::object {
        {"id", id},
        {"object", "text_completion"},
        {"model", model},
        {"choices", json::array {json::object {
                        {"index", 0}, {"text", answer.body}, {"finish_reason", finishReason}}}},
        {"usage", {{"completion_tokens", answer.tokens}}}});
}

} // namespace balsamloft
