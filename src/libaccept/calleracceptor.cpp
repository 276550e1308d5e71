#include <balsamloft/calleracceptor.h>
#include <balsamloft/socketbuffers.h>
#include <balsamloft/socketstate.h>

#include <boost/asio/post.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <sstream>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace balsamloft {

namespace {

Time steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace

CallerAcceptor::CallerAcceptor(asio::io_context &context, Log log)
    : m_context(context)
    , m_acceptor(context)
    , m_log(std::move(log))
{
}

CallerAcceptor::~CallerAcceptor()
{
    close();
}

bool CallerAcceptor::listen(const CallerAcceptorSettings &settings, Handler handler, Reason &reason)
{
    m_settings = settings;
    m_handler = std::move(handler);
    startListening(steadyNow(), reason);
    return m_acceptor.is_open();
}

void CallerAcceptor::startListening(Time now, Reason &reason)
{
    m_backlog = m_gate.backlog(now);
    if (openAcceptor(reason))
        waitForConnections();
    else
        stopListening();
}

bool CallerAcceptor::openAcceptor(Reason &reason)
{
    using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
    boost::system::error_code error;
    m_acceptor.open(m_settings.address.protocol(), error);
    if (!error)
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error && m_settings.sharesPort)
        m_acceptor.set_option(ReusePort(true), error);
    if (!error)
        limitSocketBuffers(m_acceptor.native_handle());
    if (!error)
        m_acceptor.bind(m_settings.address, error);
    if (!error)
        m_acceptor.listen(m_backlog, error);
    if (!error)
        m_acceptor.non_blocking(true, error);
    if (error) {
        std::ostringstream text;
        text << "cannot listen on " << m_settings.address << ": " << error.message();
        reason = text.str();
        return false;
    }
    m_settings.address = m_acceptor.local_endpoint();
    return true;
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
            log("cannot listen", reason);
    } else if (const int backlog = m_gate.backlog(now); backlog != m_backlog) {
        m_backlog = backlog;
        ::listen(m_acceptor.native_handle(), backlog);
    }
}

void CallerAcceptor::waitForConnections()
{
    m_acceptor.async_wait(
        tcp::acceptor::wait_read,
        [this, lifetime = std::weak_ptr<char>(m_lifetime)](const boost::system::error_code &error) {
            if (!error && !lifetime.expired() && m_acceptor.is_open())
                acceptAll();
        });
}

void CallerAcceptor::acceptAll()
{
    const Time now = steadyNow();
    int socket = 0;
    // Nobody would accept the others after the end.
    while ((m_stopped || m_waiting.size() < m_settings.maxWaiting)
           && (socket = ::accept(m_acceptor.native_handle(), nullptr, nullptr)) >= 0) {
        m_waiting.add(socket, now);
        closeExpired(now); // else a long queue would take all descriptors of the process
    }
    // Waiting for connections that cannot be accepted would keep the loop busy.
    m_lacksDescriptors =
        socket < 0 && (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM);
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
    log(behind ? "behind" : "caught up");
}

void CallerAcceptor::log(std::string_view event, std::string_view reason)
{
    if (m_log)
        m_log(event, reason);
}

void CallerAcceptor::scheduleTurn()
{
    if (std::exchange(m_turnScheduled, true))
        return;
    asio::post(m_context, [this, lifetime = std::weak_ptr<char>(m_lifetime)] {
        if (lifetime.expired())
            return;
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
    if (m_keepsWaiting)
        return;
    while (const auto expired = m_waiting.takeExpired(now)) {
        ::close(*expired);
        m_counts.expired += 1;
        m_gate.recordExpired(now);
    }
}

void CallerAcceptor::beginNewest()
{
    while (const auto newest = m_waiting.takeNewest()) {
        if (m_settings.passesEnded || !isEndedByPeer(*newest))
            return m_handler(tcp::socket(m_context, m_settings.address.protocol(), *newest));
        ::close(*newest);
        m_counts.leftUnread += 1;
    }
}

void CallerAcceptor::finish()
{
    if (std::exchange(m_stopped, true))
        return;
    m_keepsWaiting = true;
    if (m_acceptor.is_open())
        acceptAll();
    stopListening();
}

void CallerAcceptor::close()
{
    m_stopped = true;
    stopListening();
    while (const auto waiting = m_waiting.takeNewest())
        ::close(*waiting);
}

} // namespace balsamloft
