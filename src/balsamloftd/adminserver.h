/// \file
/// The HTTP interface for operators: `/admin/v1/...` on a separate listener.

#pragma once

#include <balsamloft/httpserver.h>

#include <boost/json/fwd.hpp>

namespace balsamloft {

class ControlPlane;
struct ConfigProposal;

/// Answers requests of operators on the control thread.
class AdminServer
{
public:
    explicit AdminServer(ControlPlane &control);

    /// Opens the listener. Returns false and sets \a reason on failure.
    bool listen(std::string_view address, Reason &reason);
    std::uint16_t port() const { return m_server.port(); }

private:
    using Handler = void (AdminServer::*)(const HttpExchangePtr &exchange);
    struct Route
    {
        std::string_view method;
        std::string_view path;
        Handler handler;
    };
    static const Route s_routes[];

    void handle(const HttpExchangePtr &exchange);
    bool authorized(const HttpRequest &request) const;

    void showConfig(const HttpExchangePtr &exchange);
    void apply(const HttpExchangePtr &exchange);
    void rollback(const HttpExchangePtr &exchange);
    void history(const HttpExchangePtr &exchange);
    void diff(const HttpExchangePtr &exchange);
    void status(const HttpExchangePtr &exchange);
    void endpoints(const HttpExchangePtr &exchange);
    void explain(const HttpExchangePtr &exchange);
    void placement(const HttpExchangePtr &exchange);
    void drain(const HttpExchangePtr &exchange);
    boost::json::array membersJson() const;

    /// Reads the fields common to all proposals. Returns false after answering with an error.
    bool readProposal(const boost::json::object &body, const HttpExchangePtr &exchange,
                      ConfigProposal &proposal) const;
    void submit(ConfigProposal proposal, const HttpExchangePtr &exchange);

    ControlPlane &m_control;
    HttpServer m_server;
};

} // namespace balsamloft
