#include "httpmessage.h"

#include <balsamloft/answerrules.h>

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace http = boost::beast::http;
using boost::system::error_code;

namespace balsamloft {

bool sameFieldName(std::string_view left, std::string_view right)
{
    return boost::beast::iequals(left, right);
}

std::optional<std::string_view> findField(const std::vector<HeaderField> &fields,
                                          std::string_view name)
{
    for (const HeaderField &field : fields)
        if (sameFieldName(field.name, name))
            return field.value;
    return std::nullopt;
}

std::optional<std::string_view> MessageHead::find(std::string_view name) const
{
    return findField(fields, name);
}

bool isHopByHopField(std::string_view name)
{
    static constexpr std::array<std::string_view, 10> Names {
        "Connection", "Keep-Alive", "Proxy-Connection",  "Proxy-Authenticate", "TE",
        "Trailer",    "Upgrade",    "Transfer-Encoding", "Content-Length",     "Expect"};
    return std::any_of(Names.begin(), Names.end(),
                       [&](std::string_view each) { return sameFieldName(each, name); });
}

std::vector<std::string> connectionOptions(const MessageHead &head)
{
    std::vector<std::string> names;
    for (const HeaderField &field : head.fields)
        if (sameFieldName(field.name, "Connection"))
            for (const auto token : http::token_list {field.value})
                names.emplace_back(token);
    return names;
}

void appendChunk(std::string_view data, std::string &out)
{
    std::array<char, 2 * sizeof(std::size_t)> size {};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), data.size(), 16).ptr;
    out.append(size.data(), static_cast<std::size_t>(end - size.data()));
    out.append("\r\n").append(data).append("\r\n");
}

namespace {

/// The parts of a message that both kinds of parser collect.
struct ParsedMessage
{
    MessageHead head;
    std::vector<HeaderField> trailers;
    std::string body;
    std::uint64_t bodyBytes = 0; ///< received, including those that were removed from `body`
    std::uint64_t announcedBytes = 0; ///< length of the body, if the head tells it
    std::uint64_t fieldBytes = 0; ///< of names and values
    std::string invalid; ///< what in the head is not valid, if Beast would take it
    bool headDone = false;
    bool hasTransferCoding = false;
};

/// Bytes that frame a chunk of one byte: one digit and two line ends.
constexpr std::uint64_t FramingPerChunk = 5;

/// Returns the maximum number of bytes of a message besides its body. It permits a body in chunks
/// of one byte without extensions.
std::uint64_t maxFraming(const MessageLimits &limits)
{
    constexpr std::uint64_t Max = std::numeric_limits<std::uint64_t>::max();
    const std::uint64_t ends = std::uint64_t(2) * limits.headerBytes; // head and trailers
    return limits.bodyBytes > (Max - ends) / FramingPerChunk
               ? Max
               : ends + limits.bodyBytes * FramingPerChunk;
}

/// Smaller bodies grow as strings do.
constexpr std::size_t MinExactBytes = 16384;

template<bool IsRequest>
class Parser : public http::basic_parser<IsRequest>
{
public:
    explicit Parser(ParsedMessage &message)
        : m_message(message)
    {
    }

private:
    // The names of these functions are defined by Beast.
    // NOLINTBEGIN(readability-identifier-naming)
    void on_request_impl(http::verb /*verb*/, boost::beast::string_view method,
                         boost::beast::string_view target, int version, error_code &error) override
    {
        m_message.head.method = std::string(method);
        m_message.head.target = std::string(target);
        if (version != 11)
            error = http::error::bad_version;
    }
    void on_response_impl(int code, boost::beast::string_view /*reason*/, int /*version*/,
                          error_code &error) override
    {
        m_message.head.status = code;
        if (isHttpStatus(static_cast<unsigned>(code)))
            return;
        m_message.invalid = describeStatus(static_cast<unsigned>(code));
        error = http::error::bad_status;
    }
    void on_field_impl(http::field field, boost::beast::string_view name,
                       boost::beast::string_view value, error_code &error) override
    {
        if (field == http::field::transfer_encoding && !m_message.headDone
            && (std::exchange(m_message.hasTransferCoding, true)
                || !isReadableTransferCoding({value.data(), value.size()}))) {
            m_message.invalid = "transfer coding " + std::string(value);
            error = http::error::bad_transfer_encoding;
            return;
        }
        // If trailer fields were treated as header fields, a caller could use them to set values
        // such as the team.
        auto &fields = m_message.headDone ? m_message.trailers : m_message.head.fields;
        fields.push_back({std::string(name), std::string(value)});
        m_message.fieldBytes += sizeof(HeaderField) + name.size() + value.size();
    }
    void on_header_impl(error_code & /*error*/) override
    {
        m_message.headDone = true;
        m_message.announcedBytes = this->content_length().value_or(0);
    }
    void on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/,
                           error_code & /*error*/) override
    {
    }
    std::size_t on_body_impl(boost::beast::string_view bytes, error_code & /*error*/) override
    {
        return append(bytes);
    }
    void on_chunk_header_impl(std::uint64_t /*size*/, boost::beast::string_view /*extensions*/,
                              error_code & /*error*/) override
    {
    }
    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, boost::beast::string_view bytes,
                                   error_code & /*error*/) override
    {
        return append(bytes);
    }
    void on_finish_impl(error_code & /*error*/) override { }
    // NOLINTEND(readability-identifier-naming)

    std::size_t append(boost::beast::string_view bytes)
    {
        const std::size_t needed = m_message.body.size() + bytes.size();
        if (needed > m_message.body.capacity() && needed > MinExactBytes)
            grow(needed);
        m_message.body.append(bytes.data(), bytes.size());
        m_message.bodyBytes += bytes.size();
        return bytes.size();
    }

    /// Gives the body as much room as its announced length, or twice as much as before. A string
    /// that grows by itself takes up to twice the length of the body.
    void grow(std::size_t needed)
    {
        const std::uint64_t removed = m_message.bodyBytes - m_message.body.size();
        const std::uint64_t rest =
            m_message.announcedBytes - std::min(m_message.announcedBytes, removed);
        std::string larger;
        larger.reserve(std::max<std::uint64_t>(
            needed, rest > 0 ? rest : 2 * std::uint64_t(m_message.body.capacity())));
        larger.append(m_message.body);
        m_message.body.swap(larger);
    }

    ParsedMessage &m_message;
};

/// Length of the last chunk without extensions and trailers. Beast asserts that it receives at
/// least this many bytes when it parses the line of the last chunk again after asking for more.
constexpr std::size_t MinChunkBytes = LastChunk.size();

} // namespace

struct MessageReader::Impl
{
    Impl(Kind messageKind, MessageLimits messageLimits)
        : kind(messageKind)
        , limits(messageLimits)
    {
    }

    Kind kind;
    MessageLimits limits;
    bool awaitsChunk = false; ///< the unconsumed bytes are the beginning of a chunk
    std::uint64_t headBytes = 0; ///< consumed while the head was incomplete
    std::uint64_t consumedBytes = 0;
    ParsedMessage message;
    Parser<true> request {message};
    Parser<false> response {message};
    Failure failure = Failure::None;
    std::string failureReason;
    bool started = false;

    template<typename Function>
    auto withParser(Function function)
    {
        return kind == Kind::Request ? function(request) : function(response);
    }

    void setFailure(const error_code &error)
    {
        failure = error == http::error::header_limit ? Failure::HeaderTooLarge
                  : error == http::error::body_limit ? Failure::BodyTooLarge
                                                     : Failure::Malformed;
        failureReason = message.invalid.empty() ? error.message() : message.invalid;
    }

    void setTooLarge(Failure tooLarge)
    {
        failure = tooLarge;
        failureReason = tooLarge == Failure::HeaderTooLarge ? "head too large" : "body too large";
    }

    /// Fails if the head, or a line or trailer section of a chunked body, is too long. \a kept
    /// bytes of it are not consumed yet. Beast limits neither the lines of a chunked body nor a
    /// head that arrives line by line.
    void checkKept(std::size_t kept)
    {
        if (kept + (message.headDone ? 0 : headBytes) > limits.headerBytes)
            setTooLarge(Failure::HeaderTooLarge);
    }
};

MessageReader::MessageReader(Kind kind, MessageLimits limits)
    : m_impl(std::make_unique<Impl>(kind, limits))
{
    m_impl->withParser([&](auto &parser) {
        parser.eager(true);
        parser.header_limit(limits.headerBytes);
        parser.body_limit(limits.bodyBytes);
    });
}

MessageReader::~MessageReader() = default;
MessageReader::MessageReader(MessageReader &&) noexcept = default;
MessageReader &MessageReader::operator=(MessageReader &&) noexcept = default;

std::size_t MessageReader::consume(std::string_view bytes)
{
    Impl &impl = *m_impl;
    impl.started = impl.started || !bytes.empty();
    std::size_t consumed = 0;
    return impl.withParser([&](auto &parser) {
        while (consumed < bytes.size() && !parser.is_done() && impl.failure == Failure::None) {
            if (impl.awaitsChunk && bytes.size() - consumed < MinChunkBytes)
                break;
            error_code error;
            const std::size_t count = parser.put(
                boost::asio::buffer(bytes.data() + consumed, bytes.size() - consumed), error);
            consumed += count;
            impl.awaitsChunk = impl.message.headDone && error == http::error::need_more;
            impl.consumedBytes += count;
            if (impl.consumedBytes - impl.message.bodyBytes > maxFraming(impl.limits))
                impl.setTooLarge(Failure::BodyTooLarge);
            if (!impl.message.headDone)
                impl.headBytes += count;
            if (error == http::error::need_more || (!error && count == 0)) {
                impl.checkKept(bytes.size() - consumed);
                break;
            }
            if (error)
                impl.setFailure(error);
        }
        return consumed;
    });
}

void MessageReader::consumeFrom(std::string &bytes)
{
    while (!bytes.empty() && !done() && failure() == Failure::None) {
        const std::size_t consumed = consume(bytes);
        if (consumed == 0)
            break;
        bytes.erase(0, consumed);
    }
}

void MessageReader::connectionClosed()
{
    Impl &impl = *m_impl;
    impl.withParser([&](auto &parser) {
        if (parser.is_done())
            return;
        error_code error;
        if (parser.got_some())
            parser.put_eof(error);
        else
            error = http::error::end_of_stream;
        if (error)
            impl.setFailure(error);
    });
}

bool MessageReader::headDone() const
{
    return m_impl->message.headDone;
}

bool MessageReader::done() const
{
    return m_impl->withParser([](auto &parser) { return parser.is_done(); });
}

MessageReader::Failure MessageReader::failure() const
{
    return m_impl->failure;
}

const std::string &MessageReader::failureReason() const
{
    return m_impl->failureReason;
}

bool MessageReader::started() const
{
    return m_impl->started;
}

bool MessageReader::keepAlive() const
{
    return m_impl->withParser(
        [](auto &parser) { return parser.keep_alive() && !parser.need_eof(); });
}

std::uint64_t MessageReader::headBytes() const
{
    return m_impl->message.fieldBytes;
}

std::uint64_t MessageReader::bodyBytes() const
{
    const ParsedMessage &message = m_impl->message;
    const std::uint64_t rest =
        message.announcedBytes - std::min(message.announcedBytes, message.bodyBytes);
    return std::max<std::uint64_t>(message.body.capacity(), rest);
}

std::string &MessageReader::body()
{
    return m_impl->message.body;
}

MessageHead &MessageReader::head()
{
    return m_impl->message.head;
}

std::optional<std::string_view> MessageReader::trailer(std::string_view name) const
{
    return findField(m_impl->message.trailers, name);
}

} // namespace balsamloft
