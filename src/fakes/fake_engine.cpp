// A stand-in model engine: EngineModel behind HTTP, with injectable faults.
//
//   POST /v1/step       one step of an attempt
//   POST /v1/cancel     {"request", "attempt"}
//   GET  /v1/health
//   POST /v1/orders     {"fencing", "model", "layers", "version"}
//   GET  /v1/state      model, layers, whether it is loading, fencing number
//   GET  /control/log   executed steps, orders and counters
//   POST /control/faults {"leaving": bool, "mute": N, "cross": N}

#include "enginemodel.h"
#include "fakeprocess.h"

#include <balsamloft/enginewire.h>

#include <boost/asio/steady_timer.hpp>
#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(listen, "127.0.0.1:0", "address to listen on");
DEFINE_string(model, "model", "name of the model");
DEFINE_int32(layer_begin, 0, "first layer held");
DEFINE_int32(layer_end, 1, "one past the last layer held");
DEFINE_int32(slots, 8, "sequences in the batch");
DEFINE_int32(queue, 2, "sequences accepted beyond the batch");
DEFINE_int32(step_us, 2000, "duration of a step in microseconds");
DEFINE_int32(prefill_us, 20, "duration of prefill per token in microseconds");
DEFINE_int32(load_ms, 100, "time that loading layers takes in milliseconds");
DEFINE_bool(checks_fencing, false, "reject orders with an old fencing number");
DEFINE_bool(keep_log, true, "keep the log of all executed steps");

namespace json = boost::json;

namespace balsamloft::fakes {

namespace {

class FakeEngine
{
public:
    explicit FakeEngine(boost::asio::io_context &context)
        : m_settings(settings())
        , m_model(m_settings)
        , m_timer(context)
        , m_loadTimer(context)
    {
    }

    void handle(const HttpExchangePtr &exchange)
    {
        const std::string_view path = targetPath(exchange);
        if (path == "/v1/step")
            return step(exchange);
        if (path == "/v1/cancel")
            return cancel(exchange);
        if (path == "/v1/orders")
            return order(exchange);
        if (path == "/v1/health")
            return respondJson(exchange, 200, {{"ok", true}, {"leaving", m_model.load().leaving}});
        if (path == "/v1/state")
            return respondJson(exchange, 200, stateJson());
        if (path == "/control/log")
            return respondJson(exchange, 200, logJson());
        if (path == "/control/faults")
            return setFaults(exchange);
        respondJson(exchange, 404, {{"error", "no such path"}});
    }

private:
    struct Pending
    {
        HttpExchangePtr exchange;
        std::string request;
    };

    static EngineSettings settings()
    {
        EngineSettings settings;
        settings.model = FLAGS_model;
        settings.layers = {static_cast<std::uint32_t>(FLAGS_layer_begin),
                           static_cast<std::uint32_t>(FLAGS_layer_end)};
        settings.slots = static_cast<std::uint32_t>(FLAGS_slots);
        settings.queueLimit = static_cast<std::uint32_t>(FLAGS_queue);
        settings.stepTime = Duration(FLAGS_step_us);
        settings.prefillPerToken = Duration(FLAGS_prefill_us);
        settings.keepLog = FLAGS_keep_log;
        return settings;
    }

    void step(const HttpExchangePtr &exchange)
    {
        Reason reason;
        auto wire = wireStepFromJson(exchange->request().body(), reason);
        if (!wire)
            return respondJson(exchange, 400, {{"error", reason}});
        EngineStep engineStep {wire->ref,       wire->request,   wire->prefill,  wire->firstStage,
                               wire->lastStage, wire->lastToken, wire->priority, wire->input};
        const std::uint64_t ticket = m_model.submit(std::move(engineStep), now());
        m_pending.emplace(ticket, Pending {exchange, wire->request});
        advance();
    }

    void advance()
    {
        std::vector<EngineOutcome> outcomes;
        m_model.advance(now(), outcomes);
        for (EngineOutcome &outcome : outcomes)
            answer(outcome);
        if (const auto next = m_model.nextEvent()) {
            m_timer.expires_at(*next);
            m_timer.async_wait([this](boost::system::error_code error) {
                if (!error)
                    advance();
            });
        }
    }

    void answer(EngineOutcome &outcome)
    {
        const auto it = m_pending.find(outcome.ticket);
        if (it == m_pending.end())
            return;
        Pending pending = std::move(it->second);
        m_pending.erase(it);
        if (m_answersToSuppress > 0) {
            // Simulates an unresponsive connection: keeping the exchange alive leaves
            // the request unanswered and the connection open.
            --m_answersToSuppress;
            m_unanswered.push_back(pending.exchange);
            return;
        }
        if (m_answersToSwap > 0 && !outcome.failure) {
            --m_answersToSwap;
            m_mismatched.emplace_back(std::move(pending), std::move(outcome));
            if (m_mismatched.size() == 2) {
                std::swap(m_mismatched[0].second, m_mismatched[1].second);
                std::swap(m_mismatched[0].first.request, m_mismatched[1].first.request);
                for (auto &[crossedPending, crossedOutcome] : m_mismatched)
                    respond(crossedPending, crossedOutcome);
                m_mismatched.clear();
            }
            return;
        }
        respond(pending, outcome);
    }

    static void respond(const Pending &pending, const EngineOutcome &outcome)
    {
        unsigned status = 200;
        if (outcome.failure == FailureKind::Busy)
            status = 429;
        else if (outcome.failure == FailureKind::Leaving)
            status = 503;
        else if (outcome.failure)
            status = 409;
        pending.exchange->respond(
            jsonResponse(static_cast<boost::beast::http::status>(status),
                         toJson(WireStepAnswer {pending.request, outcome.answer})));
    }

    void cancel(const HttpExchangePtr &exchange)
    {
        const json::object body = bodyObject(exchange);
        const json::value *request = body.if_contains("request");
        const json::value *attempt = body.if_contains("attempt");
        if (!request || !request->is_string() || !attempt || !attempt->is_int64())
            return respondJson(exchange, 400, {{"error", "request and attempt are required"}});
        m_model.cancel(std::string(request->get_string()),
                       static_cast<std::uint32_t>(attempt->get_int64()), now());
        ++m_cancels;
        respondJson(exchange, 200, {{"ok", true}});
        advance();
    }

    void order(const HttpExchangePtr &exchange)
    {
        const json::object body = bodyObject(exchange);
        const json::value *fencing = body.if_contains("fencing");
        const std::int64_t number = fencing && fencing->is_int64() ? fencing->get_int64() : 0;
        const bool old = number < m_fencing;
        m_orders.push_back({{"order", body}, {"obeyed", !(old && FLAGS_checks_fencing)}});
        if (old && FLAGS_checks_fencing)
            return respondJson(exchange, 412,
                               {{"error", "old fencing number"}, {"fencing", m_fencing}});
        m_fencing = std::max(m_fencing, number);
        respondJson(exchange, 200, {{"ok", true}});
        load(body);
    }

    /// Switches to the model and layers of \a order after the simulated loading time.
    void load(const json::object &order)
    {
        const json::value *model = order.if_contains("model");
        const json::value *layers = order.if_contains("layers");
        if (!model || !model->is_string())
            return;
        EngineSettings next = m_settings;
        next.model = std::string(model->get_string());
        next.layers = {};
        if (layers && layers->is_array() && layers->get_array().size() == 2)
            next.layers = {layers->at(0).to_number<std::uint32_t>(),
                           layers->at(1).to_number<std::uint32_t>()};
        if (next.model == m_settings.model && next.layers == m_settings.layers)
            return;
        m_settings = next;
        m_loading = true;
        ++m_loads;
        m_loadTimer.expires_after(std::chrono::milliseconds(FLAGS_load_ms));
        m_loadTimer.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            m_model = EngineModel(m_settings);
            m_loading = false;
        });
    }

    json::object stateJson() const
    {
        return {{"model", m_settings.model},
                {"layers", {m_settings.layers.begin, m_settings.layers.end}},
                {"loading", m_loading},
                {"fencing", m_fencing}};
    }

    json::value logJson() const
    {
        json::array steps;
        for (const ExecutionRecord &record : m_model.log())
            steps.push_back({{"request", record.requestTag},
                             {"attempt", record.attempt},
                             {"position", record.position},
                             {"layers", {record.layers.begin, record.layers.end}},
                             {"output", record.output}});
        return {{"steps", std::move(steps)},
                {"orders", m_orders},
                {"loads", m_loads},
                {"cancels", m_cancels},
                {"running", m_model.load().running}};
    }

    void setFaults(const HttpExchangePtr &exchange)
    {
        const json::object body = bodyObject(exchange);
        if (const json::value *leaving = body.if_contains("leaving"))
            m_model.setLeaving(leaving->as_bool());
        if (const json::value *mute = body.if_contains("mute"))
            m_answersToSuppress = mute->to_number<int>();
        if (const json::value *cross = body.if_contains("cross"))
            m_answersToSwap = cross->to_number<int>();
        respondJson(exchange, 200, {{"ok", true}});
    }

    EngineSettings m_settings; ///< model and layers are those of the last accepted order
    EngineModel m_model;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_loadTimer;
    std::map<std::uint64_t, Pending> m_pending;
    std::vector<HttpExchangePtr> m_unanswered;
    std::vector<std::pair<Pending, EngineOutcome>> m_mismatched;
    json::array m_orders;
    std::int64_t m_fencing = 0;
    std::uint64_t m_loads = 0;
    bool m_loading = false;
    std::uint64_t m_cancels = 0;
    int m_answersToSuppress = 0; ///< how many of the next answers are not sent
    int m_answersToSwap = 0; ///< how many of the next answers are swapped in pairs
};

} // namespace

} // namespace balsamloft::fakes

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context context(1);
    balsamloft::fakes::FakeEngine engine(context);
    return balsamloft::fakes::runFake(
        context, FLAGS_listen,
        [&](const balsamloft::HttpExchangePtr &exchange) { engine.handle(exchange); });
}
