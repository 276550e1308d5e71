/// \file
/// Parses HTTP/1.1 messages incrementally with Boost.Beast.

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsamloft {

struct HeaderField
{
    std::string name;
    std::string value;
};

/// Start line and header fields of a message. A request has `method` and `target`, an answer
/// `status`.
struct MessageHead
{
    std::string method;
    std::string target;
    int status = 0;
    std::vector<HeaderField> fields;

    /// Value of the first field called \a name, if there is one.
    std::optional<std::string_view> find(std::string_view name) const;
};

/// Value of the first of \a fields called \a name, if there is one.
std::optional<std::string_view> findField(const std::vector<HeaderField> &fields,
                                          std::string_view name);

/// Compares header names case-insensitively.
bool sameFieldName(std::string_view left, std::string_view right);

/// Whether \a name is a hop-by-hop field, which must not be forwarded. The fields that
/// connectionOptions() returns must not be forwarded either.
bool isHopByHopField(std::string_view name);

/// The options that the Connection fields of \a head list.
std::vector<std::string> connectionOptions(const MessageHead &head);

/// Ends a chunked body.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

/// Appends \a data, which is not empty, to \a out as a chunk of a chunked body.
void appendChunk(std::string_view data, std::string &out);

/// Longest head of a message in bytes. Heads of endpoints take a few hundred bytes; the rest is for
/// fields that proxies and tracing add.
inline constexpr std::uint32_t DefaultMaxHeaderBytes = 16U << 10U;

/// Longest body of a message in bytes. Bodies of several megabytes are legitimate, and an instance
/// holds one for each call whose answer is incomplete.
inline constexpr std::uint64_t DefaultMaxBodyBytes = 8U << 20U;

/// Size limits of a message, in bytes.
struct MessageLimits
{
    /// Of the start line and header section. Also applies to each line that frames a chunk and to
    /// the trailer section, since they are buffered until they are complete.
    std::uint32_t headerBytes = DefaultMaxHeaderBytes;
    std::uint64_t bodyBytes = DefaultMaxBodyBytes;
};

/// Reads one message from bytes that arrive in pieces. Malformed is a message with both
/// Content-Length and Transfer-Encoding, one whose body was coded in another way than in chunks, an
/// answer whose status is none of HTTP, and everything else that Beast rejects. This prevents
/// request smuggling: bytes that this process takes for a body could be a second request to the
/// endpoint.
class MessageReader
{
public:
    enum class Kind { Request, Response };
    enum class Failure { None, Malformed, HeaderTooLarge, BodyTooLarge };

    MessageReader(Kind kind, MessageLimits limits);
    ~MessageReader();
    MessageReader(MessageReader &&) noexcept;
    MessageReader &operator=(MessageReader &&) noexcept;

    /// Parses bytes from the front of \a bytes up to the end of the message. Fails if more than
    /// MessageLimits::headerBytes would have to be buffered.
    /// \return the number of bytes consumed; the caller passes the rest again with more bytes.
    std::size_t consume(std::string_view bytes);

    /// Parses from the front of \a bytes and removes what was consumed, until the message is done,
    /// more bytes are needed or the message fails.
    void consumeFrom(std::string &bytes);

    /// Reports that the peer closed the connection, which completes an answer without a length.
    void connectionClosed();

    bool headDone() const;
    bool done() const;
    Failure failure() const;

    /// What the message fails for, for the log; empty: it does not fail.
    const std::string &failureReason() const;

    /// Whether bytes of the message have arrived.
    bool started() const;

    /// Bytes that the fields take.
    std::uint64_t headBytes() const;

    /// Bytes that the body takes, and will take if its length is known.
    std::uint64_t bodyBytes() const;

    /// Whether the connection can carry another message.
    bool keepAlive() const;

    /// The part of the body that has arrived and was not yet removed by the user of the reader.
    std::string &body();
    MessageHead &head();

    /// Value of the first trailer field called \a name, if there is one.
    std::optional<std::string_view> trailer(std::string_view name) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace balsamloft
