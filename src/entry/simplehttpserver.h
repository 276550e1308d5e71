/// \file
/// Answers short questions of operators, the balancer and other instances.

#pragma once

#include "httpmessage.h"

#include <balsamloft/types.h>

#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace balsamloft {

/// Status and text of an answer.
struct HttpAnswer
{
    int status = 200;
    std::string text;
};

/// Listens at an address, and answers each GET by a function.
class SimpleHttpServer
{
public:
    using Reply = std::function<void(HttpAnswer)>;

    /// Answers a question by calling its reply, at once or later on this thread.
    using Answer = std::function<void(std::string_view target, Reply reply)>;

    SimpleHttpServer(boost::asio::io_context &context, Answer answer);

    /// \return whether the address could be listened at.
    bool listen(const std::string &address, Reason &reason);

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    Answer m_answer;
};

} // namespace balsamloft
