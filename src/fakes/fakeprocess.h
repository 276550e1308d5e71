/// \file
/// Common parts of the stand-in processes: an HTTP server with JSON bodies that
/// stops on SIGTERM or SIGINT.

#pragma once

#include <balsamloft/httpserver.h>

#include <boost/json.hpp>

#include <functional>

namespace balsamloft::fakes {

/// Runs a stand-in: listens on \a address, prints "listening on IP:port" and
/// serves until SIGTERM or SIGINT. Returns the exit code of the process.
int runFake(boost::asio::io_context &context, const std::string &address, HttpHandler handler);

/// Answers \a exchange with a JSON value.
void respondJson(const HttpExchangePtr &exchange, unsigned status, const boost::json::value &value);

/// Returns the body of the request as a JSON object, or an empty object if the body is
/// not a JSON object.
boost::json::object bodyObject(const HttpExchangePtr &exchange);

/// Returns the target of the request without the query.
std::string_view targetPath(const HttpExchangePtr &exchange);

/// Returns the current monotonic time.
Time now();

} // namespace balsamloft::fakes
