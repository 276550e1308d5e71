/// \file
/// HTTP/1.1 messages read from bytes, with Boost.Beast's parser.

#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsamloft {

/// One header field.
struct HeaderField
{
    std::string name;
    std::string value;
};

/// Start line and header fields of a message.
struct MessageHead
{
    std::string method;
    std::string target;
    int status = 0;
    std::vector<HeaderField> fields;

    /// Value of the first field \a name, or nothing.
    std::optional<std::string_view> find(std::string_view name) const;
};

/// Whether two header names are the same.
bool sameFieldName(std::string_view left, std::string_view right);

/// Whether \a name concerns one connection only, and is not passed on. Fields
/// named by Connection count too: see connectionOptions().
bool isHopByHopField(std::string_view name);

/// Names that the Connection fields of \a head list.
std::vector<std::string> connectionOptions(const MessageHead &head);

/// Bounds of a message.
struct MessageLimits
{
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = 8U << 20U;
};

/// Reads one message at a time from bytes that arrive in pieces. Both lengths
/// in one message, and all else that Beast refuses, is an error: what one side
/// reads as a body another must not read as a second request.
class MessageReader
{
public:
    enum class Kind { Request, Response };
    enum class Failure { None, Malformed, HeaderTooLarge, BodyTooLarge };

    MessageReader(Kind kind, MessageLimits limits);
    ~MessageReader();
    MessageReader(MessageReader &&) noexcept;
    MessageReader &operator=(MessageReader &&) noexcept;

    /// Takes bytes from the front of \a bytes; stops at the end of the message.
    /// \return how many were taken. Those that are left must be given again.
    std::size_t take(std::string_view bytes);

    /// The connection ended. Completes a message without a length.
    void ended();

    bool headDone() const;
    bool done() const;
    Failure failure() const;

    /// Whether any byte of the message was seen.
    bool begun() const;

    /// Whether the connection may carry another message.
    bool keepAlive() const;

    /// The answer's body, as far as it was not taken out yet.
    std::string &body();
    MessageHead &head();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace balsamloft
