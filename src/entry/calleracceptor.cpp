#include "calleracceptor.h"

#include "clock.h"
#include "decisionlog.h"
#include "sockets.h"

#include <boost/asio/post.hpp>

#include <sys/socket.h>
#include <unistd.h>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace balsamloft {

CallerAcceptor::CallerAcceptor(asio::io_context &context)
    : m_context(context)
    , m_acceptor(context)
{
}

CallerAcceptor::~CallerAcceptor()
{
    close();
}

bool CallerAcceptor::listen(const std::string &address, Handler handler, Reason &reason)
{
    m_address = address;
    m_handler = std::move(handler);
    startListening(steadyNow(), reason);
    return m_acceptor.is_open();
}

void CallerAcceptor::startListening(Time now, Reason &reason)
{
    m_backlog = m_gate.backlog(now);
    if (listenAt(m_acceptor, m_address, reason, m_backlog)) {
        m_acceptor.non_blocking(true);
        waitForConnections();
    } else {
        stopListening();
    }
}

void CallerAcceptor::stopListening()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

void CallerAcceptor::updateListening(Time now)
{
    const bool listens = m_acceptor.is_open();
    if (m_stopped)
        return;
    if (!m_gate.update(m_waiting.size(), now)) {
        stopListening();
    } else if (!listens) {
        Reason reason;
        startListening(now, reason);
        if (!m_acceptor.is_open())
            logDecision("callers", "cannot listen", {{"reason", std::string_view(reason)}});
    } else if (const int backlog = m_gate.backlog(now); backlog != m_backlog) {
        m_backlog = backlog;
        ::listen(m_acceptor.native_handle(), backlog);
    }
}

void CallerAcceptor::waitForConnections()
{
    m_acceptor.async_wait(tcp::acceptor::wait_read, [this](const boost::system::error_code &error) {
        if (!error && m_acceptor.is_open())
            acceptAll();
    });
}

void CallerAcceptor::acceptAll()
{
    const Time now = steadyNow();
    int socket = -1;
    while ((socket = ::accept(m_acceptor.native_handle(), nullptr, nullptr)) >= 0) {
        m_waiting.add(socket, now);
        closeExpired(now); // else a long queue would take all descriptors of the process
    }
    // Waiting for connections that cannot be accepted would keep the loop busy.
    m_lacksDescriptors = errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
    if (!m_lacksDescriptors)
        waitForConnections();
    if (m_waiting.size() > 0)
        scheduleTurn();
    updateListening(now);
}

void CallerAcceptor::tick(Time now)
{
    if (std::exchange(m_lacksDescriptors, false) && m_acceptor.is_open())
        waitForConnections();
    updateListening(now);
    const bool behind = m_gate.isBehind(now);
    if (behind == std::exchange(m_loggedBehind, behind))
        return;
    logDecision("callers", behind ? "behind" : "caught up",
                {{"waiting", std::int64_t(m_waiting.size())},
                 {"left_unread", std::int64_t(m_counts.leftUnread)},
                 {"expired", std::int64_t(m_counts.expired)}});
}

void CallerAcceptor::scheduleTurn()
{
    if (std::exchange(m_turnScheduled, true))
        return;
    asio::post(m_context, [this] {
        m_turnScheduled = false;
        takeTurn();
    });
}

void CallerAcceptor::takeTurn()
{
    const Time now = steadyNow();
    closeExpired(now);
    beginNewest();
    if (m_waiting.size() > 0)
        scheduleTurn();
    updateListening(now);
}

void CallerAcceptor::closeExpired(Time now)
{
    while (const auto expired = m_waiting.takeExpired(now)) {
        ::close(*expired);
        m_counts.expired += 1;
        m_gate.recordExpired(now);
    }
}

void CallerAcceptor::beginNewest()
{
    while (const auto newest = m_waiting.takeNewest()) {
        if (!isEndedByPeer(*newest))
            return m_handler(
                tcp::socket(m_context, parseTcpEndpoint(m_address)->protocol(), *newest));
        ::close(*newest);
        m_counts.leftUnread += 1;
    }
}

void CallerAcceptor::close()
{
    m_stopped = true;
    stopListening();
    while (const auto waiting = m_waiting.takeNewest())
        ::close(*waiting);
}

} // namespace balsamloft
