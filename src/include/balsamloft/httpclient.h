/// \file
/// An HTTP/1.1 client with pooled connections that tells whether a request
/// that failed can have reached the other side.

#pragma once

#include <balsamloft/httpserver.h>

#include <deque>
#include <unordered_map>

namespace balsamloft {

/// Settings of an HttpClient.
struct HttpClientSettings
{
    Duration connectTimeout {300'000};
    std::uint64_t maxBodyBytes = 16 * 1024 * 1024;
    std::size_t maxIdlePerAddress = 256;
    Duration idleLifetime {10'000'000}; ///< shorter than what servers keep
};

/// How a request failed.
struct HttpFailure
{
    enum class Kind : std::uint8_t {
        NotSent, ///< no byte of it was written
        Broken, ///< the connection failed later
        TimedOut, ///< no whole answer came in time
    };
    Kind kind = Kind::NotSent;
    std::string reason;
};

/// The answer, or how there was none.
struct HttpResult
{
    std::optional<HttpResponse> response;
    HttpFailure failure; ///< when there is no response
};

/// A request under way.
class HttpCall
{
public:
    virtual ~HttpCall() = default;

    /// Closes the connection; the callback is not called any more.
    virtual void abort() = 0;
};

using HttpCallPtr = std::shared_ptr<HttpCall>;

/// Sends requests; one thread. Connections are kept and used again.
class HttpClient
{
public:
    using Callback = std::function<void(HttpResult)>;

    /// Options of one request.
    struct Options
    {
        Duration timeout {10'000'000}; ///< from now to the whole answer
        bool freshConnection = false; ///< do not use a kept one
        std::function<bool()> maySend; ///< asked right before the first byte is written
    };

    HttpClient(boost::asio::io_context &context, HttpClientSettings settings = {});
    ~HttpClient();

    /// Sends \a request to \a address ("IP:port").
    HttpCallPtr send(const std::string &address, HttpRequest request, Options options,
                     Callback callback);

    /// Closes the kept connections to \a address.
    void closeIdle(const std::string &address);

    /// Closes the kept connections that have been idle for too long.
    void closeExpired(Time now);

private:
    struct Shared;
    class Call;

    std::shared_ptr<Shared> m_shared;
};

} // namespace balsamloft
