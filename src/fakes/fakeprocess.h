/// \file
/// What the stand-in processes share: a JSON web server that stops on SIGTERM.

#pragma once

#include <balsamloft/httpserver.h>

#include <boost/json.hpp>

#include <functional>

namespace balsamloft::fakes {

/// Runs a stand-in: listens on \a address, prints "listening on IP:port" and
/// serves until SIGTERM. Returns the process's exit code.
int runFake(boost::asio::io_context &context, const std::string &address, HttpHandler handler);

/// Answers \a exchange with a JSON value.
void respondJson(const HttpExchangePtr &exchange, unsigned status, const boost::json::value &value);

/// Returns the body as an object; an empty one when it is not an object.
boost::json::object bodyObject(const HttpExchangePtr &exchange);

/// Returns the request's target without the query.
std::string_view targetPath(const HttpExchangePtr &exchange);

/// Returns the present monotonic time.
Time now();

} // namespace balsamloft::fakes
