/// \file
/// A small HTTP server for operators, the load balancer and other instances.

#pragma once

#include "httpmessage.h"

#include <balsamloft/resourceaccount.h>
#include <balsamloft/types.h>

#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace balsamloft {

/// Status and body of an answer.
struct HttpAnswer
{
    int status = 200;
    std::string body;
};

/// Listens at an address and answers each request with a handler.
class SimpleHttpServer
{
public:
    using Reply = std::function<void(HttpAnswer)>;

    /// Handles a request. Calls \a reply once, immediately or later, on the same thread.
    using Handler =
        std::function<void(std::string_view target, std::string_view body, Reply reply)>;

    /// Connections and requests are held as \a use in \a resources; \a limits are those of a
    /// request.
    SimpleHttpServer(boost::asio::io_context &context, Handler handler, ResourceGroupPtr resources,
                     ResourceUse use, MessageLimits limits = {});

    /// \return whether listening succeeded; otherwise \a reason is set.
    bool listen(const std::string &address, Reason &reason);

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
    const ResourceGroupPtr m_resources;
    const ResourceUse m_use;
    const MessageLimits m_limits;
};

} // namespace balsamloft
