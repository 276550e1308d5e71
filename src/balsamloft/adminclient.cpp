#include "adminclient.h"

#include <balsamloft/httpclient.h>

#include <boost/beast/http/field.hpp>

namespace http = boost::beast::http;
namespace json = boost::json;

namespace balsamloft {

namespace {

constexpr Duration RequestTimeout {30'000'000};

} // namespace

AdminClient::AdminClient(std::string address, std::string token)
    : m_address(std::move(address))
    , m_token(std::move(token))
{
}

std::optional<AdminAnswer> AdminClient::get(std::string_view path)
{
    return send("GET", path, {});
}

std::optional<AdminAnswer> AdminClient::post(std::string_view path, const json::object &body)
{
    return send("POST", path, json::serialize(body));
}

std::optional<AdminAnswer> AdminClient::send(std::string_view method, std::string_view path,
                                             const std::string &body)
{
    boost::asio::io_context context(1);
    HttpClient client(context, {.connectTimeout = std::chrono::seconds(3)});
    HttpRequest request(http::string_to_verb(method), {path.data(), path.size()}, 11);
    request.set(http::field::host, m_address);
    request.set(http::field::authorization, "Bearer " + m_token);
    request.set(http::field::content_type, "application/json");
    request.body() = body;
    HttpResult result;
    HttpClient::Options options;
    options.timeout = RequestTimeout;
    client.send(m_address, std::move(request), options,
                [&](HttpResult received) { result = std::move(received); });
    context.run();
    if (!result.response) {
        m_reason = "cannot reach " + m_address + ": " + result.failure.reason;
        return std::nullopt;
    }
    AdminAnswer answer;
    answer.status = result.response->result_int();
    json::error_code error;
    const json::value value = json::parse(result.response->body(), error);
    if (error || !value.is_object()) {
        m_reason =
            m_address + " returned a response that is not a JSON object; is it an admin listener?";
        return std::nullopt;
    }
    answer.body = value.get_object();
    return answer;
}

} // namespace balsamloft
