/// \file
/// Answers that an endpoint breaks off after any of their bytes, and such an endpoint.

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsamloft::fakes {

/// What an endpoint does with a connection behind the bytes that it sends.
enum class Ending { Keep, Close, Reset };

/// An answer to a request.
struct AnswerShape
{
    std::string name;
    std::string bytes; ///< each `%` in the head stands for the id of the request
    std::size_t bodyBegin = 0; ///< where the body begins in `bytes`
    std::string content; ///< the body without its framing
    int status = 200;
    bool endsWithConnection = false; ///< the body has neither a length nor chunks

    /// The answer to the request with \a id.
    AnswerShape to(std::string_view id) const;

    /// The content that a client may take for whole if only the first \a sent bytes arrive before
    /// \a ending.
    std::optional<std::string> wholeContent(std::size_t sent, Ending ending) const;
};

/// Answers of each framing, with framing fields in different places, and without a body.
std::vector<AnswerShape> answerShapes();

/// An endpoint that gives each request the next of the answers set by the test, in the test's own
/// thread. Requests have no body.
class ScriptedEndpoint
{
public:
    explicit ScriptedEndpoint(boost::asio::io_context &context);

    std::string address() const;

    void addAnswer(std::string bytes, Ending ending) { m_answers.push_back({bytes, ending}); }

private:
    struct Answer
    {
        std::string bytes;
        Ending ending;
    };
    struct Connection;

    void accept();
    void read(const std::shared_ptr<Connection> &connection);
    void answer(const std::shared_ptr<Connection> &connection);

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::deque<Answer> m_answers;
};

} // namespace balsamloft::fakes
