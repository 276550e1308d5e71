/// \file
/// How a TCP connection ended, by the errors of its reads and writes.

#pragma once

#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <utility>

namespace balsamloft {

/// Whether \a error tells that the other side has reset the connection.
inline bool isReset(const boost::system::error_code &error)
{
    return error == boost::asio::error::connection_reset
           || error == boost::asio::error::broken_pipe;
}

/// The first error of a connection, whoever saw it. The system reports a reset only once, to
/// whoever reads or writes next; a read behind a write that got it sees an orderly end.
class FirstError
{
public:
    void record(const boost::system::error_code &error)
    {
        if (!m_error)
            m_error = error;
    }

    const boost::system::error_code &code() const { return m_error; }
    bool isOrderlyEnd() const { return m_error == boost::asio::error::eof; }

private:
    boost::system::error_code m_error;
};

/// Calls \a handle for a connection whose read ended with \a error. If it is an orderly end while a
/// write is in progress, \a handle is called later: the handler of a write that took a reset in
/// front of the read is queued by now, and has recorded it by then.
template<typename Function>
void handleEndOfRead(boost::asio::io_context &context, const boost::system::error_code &error,
                     bool writing, Function handle)
{
    if (writing && error == boost::asio::error::eof)
        boost::asio::post(context, std::move(handle));
    else
        handle();
}

} // namespace balsamloft
