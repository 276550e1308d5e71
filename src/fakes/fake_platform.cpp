// A stand-in platform: transactional tables, objects and a delayed instance list.
//
//   POST /v1/transact  {"checks": [...], "writes": [...]}
//   POST /v1/read      {"table", "key"}
//   POST /v1/scan      {"table", "after", "limit"}
//   PUT, GET /v1/objects/NAME
//   GET  /v1/instances
//   POST /control/instances {"instances": [...]}
//   POST /control/faults    {"down": bool, "lose_answers": N, "delay_ms": N,
//                            "lose_from": TABLE, "hold_answers_ms": N,
//                            "old_objects": bool}
//   GET  /control/stats

#include "fakeprocess.h"
#include "tablemodel.h"

#include <boost/asio/steady_timer.hpp>
#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "address to listen on");
DEFINE_int32(list_lag_ms, 0, "delay until a change appears in the instance list in milliseconds");

namespace json = boost::json;

namespace balsamloft::fakes {

namespace {

class FakePlatform
{
public:
    explicit FakePlatform(boost::asio::io_context &context)
        : m_context(context)
    {
    }

    void handle(const HttpExchangePtr &exchange)
    {
        const std::string_view path = targetPath(exchange);
        if (path.starts_with("/control/"))
            return control(exchange, path);
        if (m_down)
            return exchange->abort();
        if (m_delay == Duration::zero())
            return serve(exchange);
        auto timer = std::make_shared<boost::asio::steady_timer>(m_context, m_delay);
        timer->async_wait([this, timer, exchange](boost::system::error_code) { serve(exchange); });
    }

private:
    void serve(const HttpExchangePtr &exchange)
    {
        const std::string_view path = targetPath(exchange);
        try {
            if (path == "/v1/transact")
                return transact(exchange);
            if (path == "/v1/read")
                return read(exchange);
            if (path == "/v1/scan")
                return scan(exchange);
            if (path == "/v1/instances")
                return respondJson(exchange, 200, {{"instances", visibleInstances()}});
            if (path.starts_with("/v1/objects/"))
                return object(exchange, std::string(path.substr(12)));
        } catch (const std::exception &exception) {
            return respondJson(exchange, 400, {{"error", exception.what()}});
        }
        respondJson(exchange, 404, {{"error", "no such path"}});
    }

    static std::string text(const json::value &value, std::string_view key)
    {
        return std::string(value.at(key).as_string());
    }

    void transact(const HttpExchangePtr &exchange)
    {
        const json::value body = json::parse(exchange->request().body());
        Transaction transaction;
        for (const json::value &check : body.at("checks").as_array())
            transaction.checks.push_back({text(check, "table"), text(check, "key"),
                                          check.at("version").to_number<std::uint64_t>()});
        for (const json::value &write : body.at("writes").as_array()) {
            RowWrite row {text(write, "table"), text(write, "key"), std::nullopt};
            if (write.at("value").is_string())
                row.value = text(write, "value");
            transaction.writes.push_back(std::move(row));
        }
        const TransactionOutcome outcome = m_tables.transact(transaction);
        if (m_loseAnswers > 0 && (m_loseFrom.empty() || touches(transaction, m_loseFrom))) {
            --m_loseAnswers;
            return exchange->abort();
        }
        if (m_holdAnswers == Duration::zero())
            return answerTransaction(exchange, outcome);
        // The transaction is already applied; only its answer is delayed.
        auto timer = std::make_shared<boost::asio::steady_timer>(m_context, m_holdAnswers);
        timer->async_wait([timer, exchange, outcome](boost::system::error_code) {
            answerTransaction(exchange, outcome);
        });
    }

    static void answerTransaction(const HttpExchangePtr &exchange,
                                  const TransactionOutcome &outcome)
    {
        if (outcome.kind == TransactionOutcome::Kind::Committed)
            return respondJson(exchange, 200, {{"ok", true}});
        json::array conflicts;
        for (const RowCheck &conflict : outcome.conflicts)
            conflicts.push_back(
                {{"table", conflict.table}, {"key", conflict.key}, {"version", conflict.version}});
        respondJson(exchange, 409, {{"conflicts", std::move(conflicts)}});
    }

    static bool touches(const Transaction &transaction, const std::string &table)
    {
        for (const RowWrite &write : transaction.writes) {
            if (write.table == table)
                return true;
        }
        return false;
    }

    static json::object rowJson(const TableRow &row)
    {
        return {{"key", row.key}, {"version", row.version}, {"value", row.value}};
    }

    void read(const HttpExchangePtr &exchange)
    {
        const json::value body = json::parse(exchange->request().body());
        const ReadOutcome outcome = m_tables.read(text(body, "table"), text(body, "key"));
        if (outcome.kind == ReadOutcome::Kind::Missing)
            return respondJson(exchange, 404, {{"error", "no such row"}});
        respondJson(exchange, 200, rowJson(outcome.row));
    }

    void scan(const HttpExchangePtr &exchange)
    {
        const json::value body = json::parse(exchange->request().body());
        const ScanOutcome outcome = m_tables.scan(text(body, "table"), text(body, "after"),
                                                  body.at("limit").to_number<std::size_t>());
        json::array rows;
        for (const TableRow &row : outcome.rows)
            rows.push_back(rowJson(row));
        respondJson(exchange, 200, {{"rows", std::move(rows)}});
    }

    void object(const HttpExchangePtr &exchange, const std::string &name)
    {
        if (exchange->request().method() == boost::beast::http::verb::put) {
            m_oldObjects.try_emplace(name, exchange->request().body());
            m_objects[name] = exchange->request().body();
            return respondJson(exchange, 200, {{"ok", true}});
        }
        const auto &objects = m_serveOldObjects ? m_oldObjects : m_objects;
        const auto it = objects.find(name);
        if (it == objects.end())
            return respondJson(exchange, 404, {{"error", "no such object"}});
        HttpResponse response(boost::beast::http::status::ok, 11);
        response.body() = it->second;
        exchange->respond(std::move(response));
    }

    json::array visibleInstances()
    {
        while (!m_pendingLists.empty() && m_pendingLists.begin()->first <= now()) {
            m_instances = std::move(m_pendingLists.begin()->second);
            m_pendingLists.erase(m_pendingLists.begin());
        }
        return m_instances;
    }

    void control(const HttpExchangePtr &exchange, std::string_view path)
    {
        const json::object body = bodyObject(exchange);
        if (path == "/control/instances") {
            m_pendingLists[now() + std::chrono::milliseconds(FLAGS_list_lag_ms)] =
                body.at("instances").as_array();
        } else if (path == "/control/faults") {
            if (const json::value *down = body.if_contains("down"))
                m_down = down->as_bool();
            if (const json::value *lose = body.if_contains("lose_answers"))
                m_loseAnswers = lose->to_number<int>();
            if (const json::value *from = body.if_contains("lose_from"))
                m_loseFrom = std::string(from->as_string());
            if (const json::value *delay = body.if_contains("delay_ms"))
                m_delay = std::chrono::milliseconds(delay->to_number<int>());
            if (const json::value *hold = body.if_contains("hold_answers_ms"))
                m_holdAnswers = std::chrono::milliseconds(hold->to_number<int>());
            if (const json::value *old = body.if_contains("old_objects"))
                m_serveOldObjects = old->as_bool();
        } else if (path == "/control/stats") {
            return respondJson(exchange, 200,
                               {{"transactions", m_tables.transactions()},
                                {"claims", m_tables.rows("claims")},
                                {"reads", m_tables.reads()}});
        }
        respondJson(exchange, 200, {{"ok", true}});
    }

    boost::asio::io_context &m_context;
    TableModel m_tables;
    std::map<std::string, std::string> m_objects;
    std::map<std::string, std::string> m_oldObjects; ///< the first version of each object
    json::array m_instances;
    std::map<Time, json::array> m_pendingLists; ///< by the time at which they become visible
    std::string m_loseFrom; ///< if set, only answers to writes to this table are lost
    Duration m_delay {};
    Duration m_holdAnswers {};
    int m_loseAnswers = 0;
    bool m_down = false;
    bool m_serveOldObjects = false;
};

} // namespace

} // namespace balsamloft::fakes

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context context(1);
    balsamloft::fakes::FakePlatform platform(context);
    return balsamloft::fakes::runFake(
        context, FLAGS_listen,
        [&](const balsamloft::HttpExchangePtr &exchange) { platform.handle(exchange); });
}
