// A load generator: keeps a fixed number of completions in progress, through a
// router daemon or directly on a chain of engines, and reports the throughput and
// the median time per token.
//
//   load_tool --daemon=IP:PORT --token=TOKEN ...
//   load_tool --engines=IP:PORT,IP:PORT,... (a chain, in the order of layers)

#include <balsamloft/enginewire.h>
#include <balsamloft/flagsetup.h>
#include <balsamloft/httpclient.h>
#include <balsamloft/httprequest.h>

#include <boost/beast/http/field.hpp>
#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>

DEFINE_string(daemon, "", "address on which a daemon accepts callers");
DEFINE_string(token, "", "bearer token of a team");
DEFINE_string(engines, "", "engines of one chain, in the order of their layers");
DEFINE_int32(layers_each, 16, "layers that each engine of the chain holds");
DEFINE_string(model, "m", "name of the model");
DEFINE_int32(streams, 1, "number of concurrent completions");
DEFINE_int32(requests, 100, "total number of completions");
DEFINE_int32(tokens, 50, "tokens per completion");

namespace http = boost::beast::http;

namespace balsamloft {

namespace {

HttpRequest post(std::string_view path, std::string body)
{
    HttpRequest request(http::verb::post, {path.data(), path.size()}, 11);
    request.set(http::field::host, "load");
    request.body() = std::move(body);
    return request;
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> items;
    for (std::size_t begin = 0; begin < text.size();) {
        const std::size_t end = std::min(text.find(',', begin), text.size());
        items.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return items;
}

class Load
{
public:
    explicit Load(boost::asio::io_context &context)
        : m_client(context)
        , m_engines(splitList(FLAGS_engines))
    {
    }

    void start()
    {
        m_startedAt = steadyNow();
        for (int i = 0; i < FLAGS_streams; ++i)
            next();
    }

    int report()
    {
        const std::chrono::duration<double> elapsed = steadyNow() - m_startedAt;
        std::sort(m_perToken.begin(), m_perToken.end());
        const double median = m_perToken.empty() ? 0 : m_perToken[m_perToken.size() / 2];
        const double tokens = static_cast<double>(m_perToken.size()) * FLAGS_tokens;
        std::cout << boost::json::serialize(
            boost::json::object {{"streams", FLAGS_streams},
                                 {"whole", m_perToken.size()},
                                 {"failed", m_failed},
                                 {"tokens_per_s", tokens / elapsed.count()},
                                 {"median_us_per_token", median}})
                  << '\n';
        return m_failed == 0 ? 0 : 1;
    }

private:
    /// A completion that runs directly on the chain of engines.
    struct DirectCompletion
    {
        std::string request;
        std::string input;
        std::size_t stage = 0;
        std::uint32_t position = 0;
        Time startedAt {};
    };

    void next()
    {
        if (m_started >= FLAGS_requests)
            return;
        const std::string id = "load-" + std::to_string(m_started++);
        if (FLAGS_daemon.empty()) {
            auto direct = std::make_shared<DirectCompletion>();
            direct->request = id;
            direct->input = id;
            direct->startedAt = steadyNow();
            return step(direct);
        }
        HttpRequest request =
            post("/v1/completions",
                 boost::json::serialize(boost::json::object {{"model", FLAGS_model},
                                                             {"prompt", id},
                                                             {"max_tokens", FLAGS_tokens},
                                                             {"stream", true}}));
        request.set(http::field::authorization, "Bearer " + FLAGS_token);
        const Time startedAt = steadyNow();
        m_client.send(FLAGS_daemon, std::move(request), {.timeout = std::chrono::minutes(10)},
                      [this, startedAt](const HttpResult &result) {
                          const bool complete =
                              result.response
                              && result.response->body().find("data: [DONE]") != std::string::npos;
                          finished(startedAt, complete);
                      });
    }

    void step(const std::shared_ptr<DirectCompletion> &direct)
    {
        const auto layers = static_cast<std::uint32_t>(FLAGS_layers_each);
        const auto begin = static_cast<std::uint32_t>(direct->stage) * layers;
        WireStep wire;
        wire.request = direct->request;
        wire.ref = {0, 1, direct->position, {begin, begin + layers}};
        wire.prefill = direct->position == 0;
        wire.firstStage = direct->stage == 0;
        wire.lastStage = direct->stage + 1 == m_engines.size();
        wire.lastToken = direct->position + 1 == static_cast<std::uint32_t>(FLAGS_tokens);
        wire.input = direct->input;
        m_client.send(m_engines[direct->stage], post("/v1/step", toJson(wire)),
                      {.timeout = std::chrono::minutes(1)},
                      [this, direct](const HttpResult &result) { handleStep(direct, result); });
    }

    void handleStep(const std::shared_ptr<DirectCompletion> &direct, const HttpResult &result)
    {
        Reason reason;
        const auto answer = result.response && result.response->result_int() == 200
                                ? wireStepAnswerFromJson(result.response->body(), reason)
                                : std::nullopt;
        if (!answer)
            return finished(direct->startedAt, false);
        direct->input = answer->answer.output;
        if (++direct->stage == m_engines.size()) {
            direct->stage = 0;
            if (++direct->position == static_cast<std::uint32_t>(FLAGS_tokens))
                return finished(direct->startedAt, true);
        }
        step(direct);
    }

    void finished(Time startedAt, bool complete)
    {
        if (complete)
            m_perToken.push_back(static_cast<double>((steadyNow() - startedAt).count())
                                 / FLAGS_tokens);
        else
            ++m_failed;
        next();
    }

    HttpClient m_client;
    std::vector<std::string> m_engines;
    std::vector<double> m_perToken; ///< microseconds per token of each complete answer
    Time m_startedAt {};
    int m_started = 0;
    int m_failed = 0;
};

} // namespace

} // namespace balsamloft

int main(int argc, char **argv)
{
    balsamloft::Reason reason;
    if (!balsamloft::parseFlags(argc, argv, "BALSAMLOFT_LOAD_", {"fakes/load_tool.cpp"}, reason)) {
        std::cerr << reason << '\n';
        return 2;
    }
    boost::asio::io_context context(1);
    balsamloft::Load load(context);
    load.start();
    context.run();
    return load.report();
}
