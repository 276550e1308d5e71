/// \file
/// Runs several instances, each with links of its own to the endpoints that a test can cut.

#pragma once

#include "../entry/callerconnection.h"
#include "../entry/entryharness.h"
#include "../soak/link.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <future>

namespace balsamloft::testsuite {

inline constexpr std::string_view LinkedSiteConfiguration =
    R"({"version":1,"keys":{},"services":[{"name":"plain"},{"name":"model","layers":4}],"routes":[
       {"name":"safe","host":"h","prefix":"/safe/","kind":"safe","service":"plain"},
       {"name":"unsafe","host":"h","prefix":"/unsafe/","kind":"unsafe","attempts":1,"service":"plain"},
       {"name":"stream","host":"h","prefix":"/stream/","kind":"stream","service":"model"}]})";

/// Answers each request at once, a stream by one event.
inline std::string answerOf(const std::string &request)
{
    return request.starts_with("GET /state") ? okAnswer(request, R"({"layers":[0,4],"orders":1})")
           : request.starts_with("POST /stream")
               ? streamHead(request) + chunk(event(1)) + "0\r\n\r\n"
               : okAnswer(request, "done");
}

/// Several instances, each in a domain of its own and with links of its own to all endpoints.
class LinkedSite
{
public:
    using Answer = std::function<std::string(const std::string &request)>;

    explicit LinkedSite(std::size_t instances, Answer answer = answerOf,
                        std::vector<std::string> moreFlags = {})
        : LinkedSite(
            instances,
            RawServer::Handler([this, answer = std::move(answer)](const std::string &request) {
                return framed(answer(request));
            }),
            std::move(moreFlags))
    {
    }

    LinkedSite(std::size_t instances, RawServer::Handler handler,
               std::vector<std::string> moreFlags = {})
        : m_handler(std::move(handler))
        , m_moreFlags(std::move(moreFlags))
    {
        m_store.put("configuration", "current", std::string(LinkedSiteConfiguration));
        for (const std::string id : {"e1", "e2", "m1", "m2"})
            addEndpoint(id);
        for (std::size_t i = 0; i < instances; ++i)
            addInstance(i);
        for (std::size_t i = 0; i < instances; ++i) {
            process(i).waitFor("\"all\":" + std::to_string(instances));
            waitUntil([&] { return serves(i, "/stream/x") && serves(i, "/safe/x"); });
        }
    }

    ~LinkedSite()
    {
        for (auto &each : m_instances)
            each.process.reset();
    }

    /// Calls \a change for each link of an instance, on the thread of the links.
    void changeLinks(std::size_t instance, const std::function<void(soak::Link &)> &change)
    {
        std::promise<void> done;
        boost::asio::post(m_context, [&] {
            for (const auto &link : m_instances[instance].links)
                change(*link);
            done.set_value();
        });
        done.get_future().wait();
    }

    void cut(std::size_t instance, soak::CutManner manner)
    {
        changeLinks(instance, [manner](soak::Link &link) { link.cut(manner); });
    }

    /// Cuts the link to the endpoint that was added first, e1.
    void cutFirstLink(std::size_t instance, soak::CutManner manner)
    {
        soak::Link *first = m_instances[instance].links.front().get();
        changeLinks(instance, [first, manner](soak::Link &link) {
            if (&link == first)
                link.cut(manner);
        });
    }

    /// Asks an instance to connect to \a endpoint, as another instance does.
    std::string connectThrough(std::size_t instance, const std::string &endpoint)
    {
        return exchange(m_instances[instance].forward,
                        "CONNECT " + endpoint + " HTTP/1.1\r\nHost: h\r\n\r\n", completeAnswer);
    }

    const std::string &callerAddress(std::size_t instance) const
    {
        return m_instances[instance].callers;
    }

    const std::string &forwardAddress(std::size_t instance) const
    {
        return m_instances[instance].forward;
    }

    void heal(std::size_t instance)
    {
        changeLinks(instance, [](soak::Link &link) { link.heal(); });
    }

    /// A request to \a path with an id of its own.
    std::string requestTo(const std::string &path, int deadlineMs = 5000)
    {
        const std::string id = "r" + std::to_string(++m_requests);
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nDeadline-Ms: "
               + std::to_string(deadlineMs) + "\r\nTokens: 10,10\r\nContent-Length: 2\r\n\r\nhi";
    }

    std::string post(std::size_t instance, const std::string &path)
    {
        return exchange(m_instances[instance].callers, requestTo(path), completeAnswer);
    }

    bool serves(std::size_t instance, const std::string &path)
    {
        const std::string answer = post(instance, path);
        return answer.starts_with("HTTP/1.1 200") && completeAnswer(answer);
    }

    /// How many of \a count requests, each tried once, are served.
    int served(std::size_t instance, const std::string &path, int count)
    {
        int result = 0;
        for (int i = 0; i < count; ++i)
            result += serves(instance, path) ? 1 : 0;
        return result;
    }

    /// The rest of streams in chunks that lack their last one, see RawAnswer::more.
    std::function<std::string()> restOfStream;

    /// What an endpoint does after a stream without chunks that ends inside an event.
    std::atomic<RawAnswer::Then> afterPartialEvent {RawAnswer::Then::Close};

    Process &process(std::size_t instance) { return *m_instances[instance].process; }

    /// Starts the process of an instance, anew if there was one.
    void start(std::size_t instance)
    {
        m_instances[instance].process =
            std::make_unique<Process>("balsamloft-entry-standin", m_instances[instance].flags);
    }

    /// How often endpoints received a request to \a target.
    std::size_t received(const std::string &target) const
    {
        std::size_t count = 0;
        for (const auto &each : m_endpoints)
            for (const std::string &request : each->requests())
                count += request.starts_with(target) ? 1 : 0;
        return count;
    }

private:
    struct Instance
    {
        std::string callers;
        std::string forward;
        std::vector<std::unique_ptr<soak::Link>> links;
        std::vector<std::string> flags;
        std::unique_ptr<Process> process;
    };

    /// Ends a stream without chunks with its connection.
    RawAnswer framed(std::string bytes) const
    {
        if (bytes.find("text/event-stream") == std::string::npos)
            return {std::move(bytes)};
        if (bytes.find("chunked") != std::string::npos) {
            const bool whole = completeAnswer(bytes);
            return {
                std::move(bytes), RawAnswer::Then::Keep, {}, {}, whole ? nullptr : restOfStream};
        }
        const bool whole = bytes.ends_with("\n\n");
        return {std::move(bytes), whole ? RawAnswer::Then::Close : afterPartialEvent.load()};
    }

    void addEndpoint(const std::string &id)
    {
        m_endpoints.push_back(std::make_unique<RawServer>(m_handler));
        const bool model = id[0] == 'm';
        m_store.put("endpoints", id,
                    R"({"service":")" + std::string(model ? "model" : "plain") + R"(","address":")"
                        + m_endpoints.back()->address() + R"(","domain":"d0","kind":"card")"
                        + (model ? R"(,"layers":[0,4]})" : "}"));
    }

    void addInstance(std::size_t number)
    {
        Instance &instance = m_instances.emplace_back();
        instance.callers = freeAddress();
        instance.forward = freeAddress();
        std::map<std::string, std::string> addresses;
        for (const auto &each : m_endpoints) {
            instance.links.push_back(std::make_unique<soak::Link>(m_context, each->address()));
            addresses[each->address()] = instance.links.back()->address();
        }
        instance.flags = {"--name=entry-" + std::to_string(number),
                          "--domain=d" + std::to_string(number),
                          "--listen=" + instance.callers,
                          "--ready_listen=" + freeAddress(),
                          "--peer_listen=" + freeAddress(),
                          "--forward_listen=" + instance.forward,
                          "--store=" + m_store.addView(std::move(addresses)),
                          "--grace_s=4",
                          "--retry_slack=300",
                          "--log_all"};
        instance.flags.insert(instance.flags.end(), m_moreFlags.begin(), m_moreFlags.end());
        start(number);
    }

    RawServer::Handler m_handler;
    std::vector<std::string> m_moreFlags; ///< of each instance
    FakeStore m_store;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work {
        m_context.get_executor()};
    std::vector<std::unique_ptr<RawServer>> m_endpoints;
    std::vector<Instance> m_instances;
    std::atomic<int> m_requests {0};
    // Last, so that it ends before what it uses, also when the constructor throws.
    std::jthread m_thread {[this](const std::stop_token &stop) {
        const std::stop_callback onStop(stop, [this] { m_context.stop(); });
        m_context.run();
    }};
};

} // namespace balsamloft::testsuite
