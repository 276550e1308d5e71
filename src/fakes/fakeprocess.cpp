#include "fakeprocess.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace json = boost::json;

namespace balsamloft::fakes {

int runFake(boost::asio::io_context &context, const std::string &address, HttpHandler handler)
{
    HttpServerSettings settings;
    settings.requestTimeout = std::chrono::hours(1);
    HttpServer server(context, settings, std::move(handler));
    Reason reason;
    if (!server.listen(address, reason)) {
        std::cerr << reason << '\n';
        return 1;
    }
    std::cout << "listening on 127.0.0.1:" << server.port() << std::endl;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
    context.run();
    return 0;
}

void respondJson(const HttpExchangePtr &exchange, unsigned status, const json::value &value)
{
    exchange->respond(
        jsonResponse(static_cast<boost::beast::http::status>(status), json::serialize(value)));
}

json::object bodyObject(const HttpExchangePtr &exchange)
{
    json::error_code error;
    const json::value value = json::parse(exchange->request().body(), error);
    return !error && value.is_object() ? value.get_object() : json::object {};
}

std::string_view targetPath(const HttpExchangePtr &exchange)
{
    const auto target = exchange->request().target();
    const std::string_view view(target.data(), target.size());
    return view.substr(0, view.find('?'));
}

std::string queryParameter(const HttpExchangePtr &exchange, std::string_view name)
{
    const auto target = exchange->request().target();
    std::string_view query(target.data(), target.size());
    const auto mark = query.find('?');
    query = mark == std::string_view::npos ? "" : query.substr(mark + 1);
    while (!query.empty()) {
        const auto end = query.find('&');
        const std::string_view pair = query.substr(0, end);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name && equals != std::string_view::npos)
            return std::string(pair.substr(equals + 1));
        query = end == std::string_view::npos ? "" : query.substr(end + 1);
    }
    return {};
}

Time now()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace balsamloft::fakes
