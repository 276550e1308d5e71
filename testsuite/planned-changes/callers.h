/// \file
/// Callers that send one request after another on kept connections, and record how each ended.

#pragma once

#include "../entry/entryharness.h"

#include <boost/filesystem.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <set>

namespace balsamloft::testsuite {

/// How a request of a caller ended.
struct CallRecord
{
    std::string id;
    int status = 0; ///< 0: no answer began
    bool complete = false; ///< the whole answer arrived
    std::chrono::milliseconds age {0}; ///< from the last byte sent to the end
};

/// Callers with a connection each, which they keep until an answer announces its end or it is
/// closed. They send until the process does not accept connections any more, or until stop().
class Callers
{
public:
    Callers(std::string address, std::string path, int count)
        : m_address(std::move(address))
        , m_path(std::move(path))
    {
        for (int i = 0; i < count; ++i)
            m_threads.emplace_back([this, i] { run(i); });
    }
    ~Callers() { stop(); }
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    /// Lets each caller finish its request, and waits for that.
    void stop()
    {
        m_stopped = true;
        for (std::thread &thread : m_threads)
            if (thread.joinable())
                thread.join();
    }

    std::vector<CallRecord> records() const
    {
        const std::lock_guard lock(m_mutex);
        return m_records;
    }

    std::size_t count() const { return records().size(); }

    std::size_t withStatus(int status) const
    {
        const auto all = records();
        return static_cast<std::size_t>(
            std::count_if(all.begin(), all.end(), [status](const CallRecord &each) {
                return each.complete && each.status == status;
            }));
    }

    /// How many requests ended with which status, for the report of a failure; 0: no answer began.
    std::string byStatus() const
    {
        std::map<int, int> counts;
        for (const CallRecord &each : records())
            counts[each.status] += 1;
        std::string text;
        for (const auto &[status, count] : counts)
            text += std::to_string(count) + " with " + std::to_string(status) + "; ";
        return text;
    }

    /// Requests that ended without a complete answer although an endpoint got them, or more than
    /// the crossing time of a close after their last byte was sent.
    std::vector<CallRecord> lost(const std::vector<std::string> &atEndpoints) const
    {
        constexpr std::chrono::milliseconds CrossingTime {200};
        std::set<std::string> forwarded;
        for (const std::string &request : atEndpoints)
            forwarded.insert(headerOf(request, "Request-Id"));
        auto all = records();
        std::erase_if(all, [&](const CallRecord &each) {
            return each.complete || (each.age <= CrossingTime && !forwarded.contains(each.id));
        });
        return all;
    }

    /// Requests whose connection ended without a complete answer, for whatever reason.
    std::size_t unanswered() const
    {
        const auto all = records();
        return static_cast<std::size_t>(std::count_if(
            all.begin(), all.end(), [](const CallRecord &each) { return !each.complete; }));
    }

private:
    static constexpr std::chrono::milliseconds RetryPause {100}; ///< after a refusal

    void run(int index)
    {
        try {
            for (int number = 0; !m_stopped;) {
                CallerConnection connection(m_address);
                while (!m_stopped
                       && call(connection,
                               "c" + std::to_string(index) + "-" + std::to_string(number++)))
                    std::this_thread::sleep_for(std::chrono::milliseconds(5));
            }
        } catch (const std::runtime_error &) {
            // The process has closed its port.
        }
    }

    /// Returns whether the connection may be used again.
    bool call(CallerConnection &connection, const std::string &id)
    {
        CallRecord record;
        record.id = id;
        connection.send("POST " + m_path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id
                        + "\r\nTeam-Key: good-key\r\nDeadline-Ms: 20000\r\nTokens: 10,10\r\n"
                          "Content-Length: 2\r\n\r\nhi");
        const auto sentAt = std::chrono::steady_clock::now();
        const std::string answer = connection.receive();
        record.age = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - sentAt);
        record.complete = completeAnswer(answer);
        record.status = answer.size() > 12 ? std::stoi(answer.substr(9, 3)) : 0;
        if (record.status != 200)
            std::this_thread::sleep_for(RetryPause);
        const std::lock_guard lock(m_mutex);
        m_records.push_back(record);
        return record.complete && answer.find("Connection: close") == std::string::npos;
    }

    std::string m_address;
    std::string m_path;
    std::atomic<bool> m_stopped {false};
    mutable std::mutex m_mutex;
    std::vector<CallRecord> m_records;
    std::vector<std::thread> m_threads;
};

/// Prints how many requests of \a callers ended how, if BALSAMLOFT_SHOW_COUNTS is set.
inline void report(const std::string &name, const Callers &callers)
{
    if (std::getenv("BALSAMLOFT_SHOW_COUNTS"))
        std::printf("%s: %zu, 200: %zu, 503: %zu, unanswered: %zu\n", name.c_str(), callers.count(),
                    callers.withStatus(200), callers.withStatus(503), callers.unanswered());
}

/// A settings file that a test changes while the process runs.
class SettingsFile
{
public:
    explicit SettingsFile(const std::string &text) { write(text); }
    ~SettingsFile() { boost::filesystem::remove(m_path); }
    SettingsFile(const SettingsFile &) = delete;
    SettingsFile &operator=(const SettingsFile &) = delete;

    void write(const std::string &text) const { std::ofstream(m_path.string()) << text; }
    std::string flag() const { return "--flagfile=" + m_path.string(); }

private:
    boost::filesystem::path m_path =
        boost::filesystem::temp_directory_path() / boost::filesystem::unique_path();
};

/// Answers calls and streams after \a pause, and queries of an engine's state at once.
inline RawServer::Handler unhurriedEndpoint(std::chrono::milliseconds pause)
{
    return [pause](const std::string &request) -> RawAnswer {
        if (request.starts_with("GET /state"))
            return {okAnswer(request, R"({"layers":[0,4],"orders":1})")};
        std::this_thread::sleep_for(pause);
        if (request.starts_with("POST /stream"))
            return {streamHead(request) + chunk(event(1)) + "0\r\n\r\n"};
        return {okAnswer(request, "done")};
    };
}

} // namespace balsamloft::testsuite
