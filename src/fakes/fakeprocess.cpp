#include "fakeprocess.h"

#include <balsamloft/httprequest.h>

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
    return balsamloft::targetPath(exchange->request());
}

Time now()
{
    return steadyNow();
}

} // namespace balsamloft::fakes
