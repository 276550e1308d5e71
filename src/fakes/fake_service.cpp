// A stand-in plain service: logs each call it executes and echoes it.
//
//   ANY  /...             executed; answers {"run": N, "method", "path", "key", "body"}
//   GET  /v1/health
//   GET  /control/log     the executed calls
//   POST /control/faults  {"drop_answers": N}: close N connections without an answer

#include "fakeprocess.h"

#include <boost/asio/steady_timer.hpp>
#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "address to listen on");
DEFINE_int32(work_us, 1000, "duration of a call in microseconds");

namespace json = boost::json;

namespace balsamloft::fakes {

namespace {

class FakeService
{
public:
    explicit FakeService(boost::asio::io_context &context)
        : m_context(context)
    {
    }

    void handle(const HttpExchangePtr &exchange)
    {
        const std::string_view path = targetPath(exchange);
        if (path == "/control/log")
            return respondJson(exchange, 200, {{"calls", m_calls}});
        if (path == "/control/faults") {
            const json::object body = bodyObject(exchange);
            if (const json::value *drop = body.if_contains("drop_answers"))
                m_dropAnswers = drop->to_number<int>();
            return respondJson(exchange, 200, {{"ok", true}});
        }
        if (path == "/v1/health")
            return respondJson(exchange, 200, {{"ok", true}});
        execute(exchange);
    }

private:
    void execute(const HttpExchangePtr &exchange)
    {
        const auto &request = exchange->request();
        const json::value call {{"run", m_calls.size() + 1},
                                {"method", std::string(request.method_string())},
                                {"path", std::string(request.target())},
                                {"key", std::string(request["Idempotency-Key"])},
                                {"body", request.body()}};
        m_calls.push_back(call);
        auto timer =
            std::make_shared<boost::asio::steady_timer>(m_context, Duration(FLAGS_work_us));
        timer->async_wait([this, timer, exchange, call](boost::system::error_code) {
            if (m_dropAnswers > 0) {
                --m_dropAnswers;
                return exchange->abort();
            }
            respondJson(exchange, 200, call);
        });
    }

    boost::asio::io_context &m_context;
    json::array m_calls;
    int m_dropAnswers = 0;
};

} // namespace

} // namespace balsamloft::fakes

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context context(1);
    balsamloft::fakes::FakeService service(context);
    return balsamloft::fakes::runFake(
        context, FLAGS_listen,
        [&](const balsamloft::HttpExchangePtr &exchange) { service.handle(exchange); });
}
