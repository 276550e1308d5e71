/// \file
/// Accepts the connections of callers.

#pragma once

#include <balsamloft/acceptgate.h>
#include <balsamloft/types.h>
#include <balsamloft/unreadconnections.h>

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <limits>
#include <memory>
#include <string_view>

namespace balsamloft {

/// Where a CallerAcceptor listens.
struct CallerAcceptorSettings
{
    boost::asio::ip::tcp::endpoint address; ///< port 0 selects a free port
    bool sharesPort = false; ///< other threads of the process listen at the same address
    /// Whether connections that the caller has closed or half-closed are passed on. A caller that
    /// has only half-closed its connection may be owed an answer.
    bool passesEnded = false;
    /// Most connections that are accepted and wait to be passed on; the others wait in the system.
    std::size_t maxWaiting = std::numeric_limits<std::size_t>::max();
};

/// Accepts all connections at once and hands them on one by one, the newest
/// first, each behind the work that is ready by then. So running requests are
/// never behind new ones, and a connection whose caller left, or that waited
/// too long, costs no more than closing it. While the instance is behind,
/// connections are refused as AcceptGate decides.
class CallerAcceptor
{
public:
    using Handler = std::function<void(boost::asio::ip::tcp::socket)>;

    /// Logs that the instance is "behind" or "caught up", or, with a reason, that
    /// it cannot listen.
    using Log = std::function<void(std::string_view event, std::string_view reason)>;

    struct Counts
    {
        std::uint64_t leftUnread = 0; ///< connections whose caller left before they were read
        std::uint64_t expired = 0; ///< connections closed unread because they waited too long
    };

    explicit CallerAcceptor(boost::asio::io_context &context, Log log = {});
    ~CallerAcceptor();
    CallerAcceptor(const CallerAcceptor &) = delete;
    CallerAcceptor &operator=(const CallerAcceptor &) = delete;

    /// Listens and passes each connection to \a handler.
    /// \return whether listening succeeded; otherwise \a reason is set.
    bool listen(const CallerAcceptorSettings &settings, Handler handler, Reason &reason);

    /// Listens again after a failure, and logs whether the instance is behind. To
    /// be called regularly.
    void tick(Time now);

    /// From now on, connections are passed on however long they wait. For a planned stop: each
    /// caller is answered, and no new ones come.
    void keepWaiting() { m_keepsWaiting = true; }

    /// Stops listening. Connections that the system has accepted by then are still passed on.
    void finish();

    /// Stops listening and closes the connections that wait.
    void close();

    /// The address of the listening socket, with the selected port. Also valid while it is closed.
    const boost::asio::ip::tcp::endpoint &address() const { return m_settings.address; }
    std::size_t waiting() const { return m_waiting.size(); }
    const Counts &counts() const { return m_counts; }

private:
    /// Opens or closes the listening socket as the gate decides.
    void updateListening(Time now);
    void startListening(Time now, Reason &reason);
    void stopListening();
    bool openAcceptor(Reason &reason);
    void waitForConnections();
    void acceptAll();
    void scheduleTurn();
    void takeTurn();
    void closeExpired(Time now);
    void beginNewest();
    void log(std::string_view event, std::string_view reason = {});

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    CallerAcceptorSettings m_settings;
    Handler m_handler;
    Log m_log;
    AcceptGate m_gate;
    UnreadConnections m_waiting; ///< descriptors
    Counts m_counts;
    /// Lets handlers that the loop still holds detect that this object was destroyed.
    std::shared_ptr<char> m_lifetime = std::make_shared<char>();
    int m_backlog = 0; ///< of the listening socket
    bool m_turnScheduled = false;
    bool m_lacksDescriptors = false;
    bool m_stopped = false;
    bool m_keepsWaiting = false;
    bool m_loggedBehind = false;
};

} // namespace balsamloft
