/// \file
/// Runs one `balsamloft-entry` with a fake store and endpoints controlled by the test. Uses the
/// stand-in protocol, which is independent of the platform.

#pragma once

#include "../common/feedtables.h"
#include "../common/ports.h"
#include "../common/process.h"
#include "../common/wait.h"
#include "callerconnection.h"
#include "rawserver.h"

#include <boost/algorithm/string/replace.hpp>

#include <algorithm>
#include <map>

namespace balsamloft::testsuite {

/// Serves tables to the instance over HTTP in place of the platform's store. A test can change rows
/// and simulate outages.
class FakeStore
{
public:
    std::atomic<bool> down {false}; ///< answers 503
    std::atomic<bool> silent {false}; ///< does not answer

    /// Makes waiting long polls return immediately.
    ~FakeStore() { down = true; }

    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        m_tables.put(table, key, value);
    }

    void drop(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        m_tables.drop(table, key);
    }

    /// Writes and deletes a row in one step. No snapshot contains the row, and an answer with
    /// changes contains both the write and the deletion.
    void putAndDrop(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        m_tables.put(table, key, value);
        m_tables.drop(table, key);
    }

    /// Remembers the tables as they are now, for restoreCopy().
    void takeCopy()
    {
        const std::lock_guard lock(m_mutex);
        m_copy = m_tables;
    }

    /// Loses all writes since takeCopy(): their version numbers are given out again, and the era
    /// rises.
    void restoreCopy()
    {
        const std::lock_guard lock(m_mutex);
        m_tables = m_copy;
        m_era += 1;
    }

    /// Returns an answer with all rows of \a table.
    std::string rows(const std::string &table)
    {
        const std::lock_guard lock(m_mutex);
        return m_tables.rows(table);
    }

    std::string address() const { return m_server.address(); }

    /// Returns the address of a server that answers from the same tables with the texts \a
    /// replaced, for example with other addresses of endpoints.
    std::string addView(std::map<std::string, std::string> replaced)
    {
        m_views.push_back(std::make_unique<RawServer>(
            [this, replaced = std::move(replaced)](const std::string &request) -> RawAnswer {
                RawAnswer result = answer(request);
                const std::size_t head = result.bytes.find("\r\n\r\n") + 4;
                std::string body = result.bytes.substr(head);
                for (const auto &[from, to] : replaced)
                    boost::replace_all(body, from, to);
                const int status = std::stoi(result.bytes.substr(9, 3));
                return reply(status, body);
            }));
        return m_views.back()->address();
    }

private:
    RawAnswer answer(const std::string &request)
    {
        if (silent)
            return {"", RawAnswer::Then::Silence};
        if (down)
            return reply(503, "");
        if (request.starts_with("POST /commit"))
            return commit(request.substr(request.find("\r\n\r\n") + 4));
        const std::string target = request.substr(4, request.find(' ', 4) - 4);
        const bool changes = target.starts_with("/changes/");
        const std::size_t name = target.find('/', 1) + 1;
        const std::string table = target.substr(name, target.find('/', name) - name);
        std::uint64_t after = 0;
        if (changes) {
            const std::size_t number = target.find('/', name) + 1;
            after = std::stoull(target.substr(number));
            const long wait = std::stol(target.substr(target.find('/', number) + 1));
            const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait);
            while (std::chrono::steady_clock::now() < until && newest(table) <= after && !down)
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        const std::lock_guard lock(m_mutex);
        if (after > m_tables.version())
            return reply(410, "{}");
        return reply(200, changes ? m_tables.changes(table, after) : m_tables.rows(table));
    }

    std::uint64_t newest(const std::string &table)
    {
        const std::lock_guard lock(m_mutex);
        return m_tables.newest(table);
    }

    RawAnswer commit(const std::string &body)
    {
        const std::lock_guard lock(m_mutex);
        const auto [status, answer] = m_tables.commit(body);
        return reply(status, answer);
    }

    RawAnswer reply(int status, const std::string &body) const
    {
        return {"HTTP/1.1 " + std::to_string(status) + " X\r\nEra: " + std::to_string(m_era)
                + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
    }

    std::mutex m_mutex;
    FeedTables m_tables;
    FeedTables m_copy;
    std::atomic<std::uint64_t> m_era {1};
    RawServer m_server {[this](const std::string &request) { return answer(request); }};
    std::vector<std::unique_ptr<RawServer>> m_views;
};

inline std::string headerOf(const std::string &request, const std::string &name)
{
    const std::size_t at = request.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    const std::size_t begin = at + name.size() + 4;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

/// Returns a valid answer of an endpoint to \a request, with \a body.
inline std::string okAnswer(const std::string &request, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + headerOf(request, "Request-Id")
           + "\r\nSeal: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
}

inline std::string chunk(const std::string &data)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    return size + data + "\r\n";
}

inline std::string streamHead(const std::string &request)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + headerOf(request, "Request-Id")
           + "\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

/// Handles requests as an engine whose streams wait until \a released is set.
inline RawServer::Handler streamWhenReleased(const std::atomic<bool> &released)
{
    return [&released](const std::string &request) -> RawAnswer {
        if (request.starts_with("GET /state"))
            return {okAnswer(request, R"({"layers":[0,4],"orders":1})")};
        waitUntil([&] { return released.load(); });
        return {streamHead(request) + chunk(event(1)) + "0\r\n\r\n"};
    };
}

/// Waits until \a engine has received a stream's request.
inline bool waitForStream(const RawServer &engine)
{
    return waitUntil([&] {
        const auto requests = engine.requests();
        return std::any_of(requests.begin(), requests.end(), [](const std::string &each) {
            return each.starts_with("POST /stream");
        });
    });
}

/// One instance with a fake store, an API key and a route of each kind.
class EntryHarness
{
public:
    explicit EntryHarness(bool configured = true, const std::string &revocationMs = "30000",
                          const std::vector<std::string> &moreFlags = {})
    {
        if (configured)
            configure(1, R"({"good-key":"team-a"})");
        std::vector<std::string> flags {"--name=entry-1",
                                        "--domain=d",
                                        "--listen=" + callers,
                                        "--ready_listen=" + ready,
                                        "--peer_listen=" + freeAddress(),
                                        "--store=" + store.address(),
                                        "--revocation_ms=" + revocationMs,
                                        "--grace_s=8",
                                        "--log_all"};
        flags.insert(flags.end(), moreFlags.begin(), moreFlags.end());
        process = std::make_unique<Process>("balsamloft-entry-standin", flags);
        process->waitFor("\"event\":\"(started)\"");
        if (configured)
            waitUntil([&] { return isReady(); });
    }

    /// \a limits is a JSON object with limits of requests.
    void configure(int version, const std::string &keys, const std::string &route = "/safe/",
                   const std::string &limits = "{}")
    {
        store.put("configuration", "current",
                  R"({"version":)" + std::to_string(version) + R"(,"keys":)" + keys
                      + R"(,"limits":)" + limits
                      + R"(,"services":[{"name":"plain"},{"name":"model","layers":4}],"routes":[
                        {"name":"safe","host":"h","prefix":")"
                      + route + R"(","kind":"safe","service":"plain"},
                        {"name":"unsafe","host":"h","prefix":"/unsafe/","kind":"unsafe","attempts":1,"service":"plain"},
                        {"name":"stream","host":"h","prefix":"/stream/","kind":"stream","service":"model"}]})");
    }

    void addEndpoint(const std::string &id, const std::string &service, const std::string &address,
                     const std::string &more = "")
    {
        store.put("endpoints", id,
                  R"({"service":")" + service + R"(","address":")" + address
                      + R"(","domain":"d","kind":"card")" + more + "}");
        // Waits until the instance has logged the new number of endpoints.
        const std::string wanted = "\"endpoints\":" + std::to_string(++m_endpoints);
        waitUntil([&] { return process->output().find(wanted) != std::string::npos; });
    }

    bool isReady() const
    {
        return exchange(ready, "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n", completeAnswer)
            .starts_with("HTTP/1.1 200");
    }

    std::string post(const std::string &path, const std::string &key = "good-key",
                     const std::string &more = "") const
    {
        return exchange(callers,
                        "POST " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nTeam-Key: "
                            + key + "\r\nDeadline-Ms: 5000\r\nTokens: 10,10\r\n" + more
                            + "Content-Length: 2\r\n\r\nhi",
                        completeAnswer);
    }

    /// Repeats the request until the answer ends with \a end: on a busy machine, attempts may time
    /// out and be refused.
    bool answersWith(const std::string &path, const std::string &end,
                     const std::string &key = "good-key") const
    {
        return waitUntil([&] { return post(path, key).ends_with(end); });
    }

    FakeStore store;
    std::string callers = freeAddress();
    std::string ready = freeAddress();
    std::unique_ptr<Process> process;

private:
    int m_endpoints = 0;
};

} // namespace balsamloft::testsuite
