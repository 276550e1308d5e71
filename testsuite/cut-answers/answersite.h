/// \file
/// An instance before endpoints whose answers, valid or not, are chosen by the test.

#pragma once

#include "../entry/entryharness.h"

#include <catch2/catch.hpp>

namespace balsamloft::testsuite {

/// An instance that reaches the endpoints itself, or only by way of a second instance.
class AnswerSite
{
public:
    /// \a cutAnswer handles the requests whose path ends with "/cut".
    AnswerSite(bool forwarded, RawServer::Handler cutAnswer)
        : m_cutAnswer(std::move(cutAnswer))
    {
        m_store.put("configuration", "current", std::string(Configuration));
        std::map<std::string, std::string> unreachable;
        for (const std::string id : {"e1", "e2", "m1", "m2"})
            unreachable[addEndpoint(id)] = freeAddress();
        startInstance(forwarded ? m_store.addView(unreachable) : m_store.address());
        if (forwarded)
            startInstance(m_store.address());
        CHECK(waitUntil([&] {
            return post("/safe/x").starts_with("HTTP/1.1 200")
                   && post("/stream/x").starts_with("HTTP/1.1 200");
        }));
    }

    /// Endpoints read this much of the body of a request before they give their cut answer.
    void setBodyToRead(std::size_t bytes) { m_bodyToRead = bytes; }

    /// Sends a request with an id of its own, and a body of at least \a bodyBytes, to the first
    /// instance.
    std::string post(const std::string &path, std::size_t bodyBytes = 0)
    {
        m_id = "r" + std::to_string(++m_requests);
        const std::string body = m_id + std::string(bodyBytes, 'x');
        return exchange(m_callers,
                        "POST " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + m_id
                            + "\r\nDeadline-Ms: 3000\r\nTokens: 10,10\r\nContent-Length: "
                            + std::to_string(body.size()) + "\r\n\r\n" + body,
                        completeAnswer);
    }

    /// The id of the last request.
    const std::string &lastId() const { return m_id; }

    /// How often endpoints received the last request.
    std::size_t received() const
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_received.find(m_id);
        return it == m_received.end() ? 0 : it->second;
    }

private:
    static constexpr std::string_view Configuration =
        R"({"version":1,"keys":{},"services":[{"name":"plain"},{"name":"model","layers":4}],"routes":[
           {"name":"safe","host":"h","prefix":"/safe/","kind":"safe","service":"plain"},
           {"name":"unsafe","host":"h","prefix":"/unsafe/","kind":"unsafe","attempts":1,"service":"plain"},
           {"name":"stream","host":"h","prefix":"/stream/","kind":"stream","attempts":4,"service":"model"}]})";

    std::string addEndpoint(const std::string &id)
    {
        m_endpoints.push_back(std::make_unique<RawServer>(
            [this](const std::string &request) { return answer(request); },
            [this](const std::string &head) {
                const bool cut = head.find("/cut ") != std::string::npos;
                return cut ? m_bodyToRead.load() : std::string::npos;
            }));
        std::string address = m_endpoints.back()->address();
        const bool model = id[0] == 'm';
        m_store.put("endpoints", id,
                    R"({"service":")" + std::string(model ? "model" : "plain") + R"(","address":")"
                        + address + R"(","domain":"d0","kind":"card")"
                        + (model ? R"(,"layers":[0,4]})" : "}"));
        return address;
    }

    RawAnswer answer(const std::string &request)
    {
        if (request.starts_with("GET /state"))
            return {okAnswer(request, R"({"layers":[0,4],"orders":1})")};
        {
            const std::lock_guard lock(m_mutex);
            m_received[headerOf(request, "Request-Id")] += 1;
        }
        if (request.find("/cut ") != std::string::npos)
            return m_cutAnswer(request);
        if (request.starts_with("POST /stream"))
            return {streamHead(request) + chunk(event(1)) + "0\r\n\r\n"};
        return {okAnswer(request, "done")};
    }

    void startInstance(const std::string &store)
    {
        const std::string number = std::to_string(m_processes.size());
        const std::string callers = freeAddress();
        if (m_processes.empty())
            m_callers = callers;
        m_processes.push_back(std::make_unique<Process>(
            "balsamloft-entry-standin",
            std::vector<std::string> {"--name=entry-" + number, "--domain=d" + number,
                                      "--listen=" + callers, "--ready_listen=" + freeAddress(),
                                      "--peer_listen=" + freeAddress(),
                                      "--forward_listen=" + freeAddress(), "--store=" + store,
                                      "--grace_s=4", "--retry_slack=10000", "--log_all"}));
    }

    RawServer::Handler m_cutAnswer;
    std::atomic<std::size_t> m_bodyToRead {std::string::npos};
    mutable std::mutex m_mutex;
    std::map<std::string, std::size_t> m_received; ///< requests by their id
    FakeStore m_store;
    std::vector<std::unique_ptr<RawServer>> m_endpoints;
    std::string m_callers;
    std::vector<std::unique_ptr<Process>> m_processes;
    std::string m_id;
    int m_requests = 0;
};

inline std::string bodyOf(const std::string &answer)
{
    return answer.substr(answer.find("\r\n\r\n") + 4);
}

} // namespace balsamloft::testsuite
