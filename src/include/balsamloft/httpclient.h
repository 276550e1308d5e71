/// \file
/// HTTP/1.1 client with a connection pool. Reports whether a failed request may have reached the
/// server.

#pragma once

#include <balsamloft/answerrules.h>
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
    Duration idleLifetime {10'000'000}; ///< must be shorter than the idle timeout of servers
    ResourceGroupPtr resources {}; ///< of those for whom answers are held; null: without a limit
};

/// Why a request failed.
struct HttpFailure
{
    enum class Kind : std::uint8_t {
        NotSent, ///< no byte of the request was written
        Broken, ///< the connection failed after writing began
        TimedOut, ///< the answer was not complete in time
    };
    Kind kind = Kind::NotSent;
    std::string reason;
};

/// The answer, or the reason for its absence.
struct HttpResult
{
    std::optional<HttpResponse> response;
    HttpFailure failure; ///< valid if there is no response
};

/// A request in progress.
class HttpCall
{
public:
    virtual ~HttpCall() = default;

    /// Closes the connection. The callback is not called afterwards.
    virtual void abort() = 0;
};

using HttpCallPtr = std::shared_ptr<HttpCall>;

/// Sends requests over reused connections. Not thread-safe.
class HttpClient
{
public:
    using Callback = std::function<void(HttpResult)>;

    /// Options of one request.
    struct Options
    {
        Duration timeout {10'000'000}; ///< from send() to the complete answer
        std::uint64_t maxBodyBytes = 0; ///< of the answer; 0: as set for the client
        bool freshConnection = false; ///< open a new connection instead of reusing an idle one
        /// Sent as the body in place of the request's own. It stays valid as long as `bodyOwner`.
        std::string_view body {};
        std::shared_ptr<const void> bodyOwner {};
        std::function<bool()> maySend; ///< called before the first write; false cancels the request
    };

    HttpClient(boost::asio::io_context &context, HttpClientSettings settings = {});
    ~HttpClient();

    /// Sends \a request to \a address ("IP:port").
    HttpCallPtr send(const std::string &address, HttpRequest request, Options options,
                     Callback callback);

    /// Closes the idle connections to \a address.
    void closeIdle(const std::string &address);

    /// Closes the connections that have been idle for longer than the idle lifetime.
    void closeExpired(Time now);

private:
    struct Shared;
    class Call;

    std::shared_ptr<Shared> m_shared;
};

} // namespace balsamloft
