/// \file
/// Runs a small fleet of real processes on loopback: a fake platform, fake endpoints and instances.

#pragma once

#include "process.h"
#include "wait.h"

#include <balsamloft/config.h>

#include <boost/json.hpp>

#include <map>
#include <memory>
#include <optional>

namespace balsamloft::testsuite {

using Headers = std::map<std::string, std::string>;

/// An HTTP answer as a caller receives it.
struct Reply
{
    unsigned status = 0; ///< 0: the connection failed
    std::string body;
    Headers headers;

    boost::json::object json() const;
    std::string errorCode() const;
    /// The "ran" field of the error body: whether the request was executed.
    std::string ran() const;

    /// The text of a completion, streamed or not.
    std::string text() const;

    /// Whether a streamed completion ended with its final marker.
    bool streamDone() const { return body.find("data: [DONE]") != std::string::npos; }
};

/// Sends one request on a separate connection and waits for the complete answer.
Reply send(const std::string &address, const std::string &method, const std::string &target,
           const std::string &body = {}, const Headers &headers = {});

/// A request for sendAll() to send.
struct Call
{
    std::string address;
    std::string body;
    Headers headers;
    std::string target = "/v1/completions";
};

/// Sends all \a calls concurrently, each on a separate connection. Calls \a started when
/// the last request begins to be sent.
std::vector<Reply> sendAll(const std::vector<Call> &calls,
                           const std::function<void()> &started = {});

/// Returns the body of a completion request.
std::string completionBody(const std::string &model, const std::string &prompt, int tokens,
                           bool stream = false);

/// A running instance of balsamloftd.
struct Daemon
{
    std::unique_ptr<Process> process;
    std::string callers; ///< address for callers
    std::string admin; ///< address for operators
    std::string peers; ///< address for other instances
};

/// Settings of a fake engine.
struct EngineOptions
{
    std::string domain = "a";
    LayerRange layers {0, 4};
    int slots = 16;
    int stepMicros = 2000;
    bool checksFencing = false;
    bool placeable = false; ///< if set, the inventory assigns no model to the engine
    std::string model = "m";
};

/// Starts processes and builds the inventory that lists them.
class Fleet
{
public:
    static constexpr auto OperatorToken = "operator";
    static constexpr int Layers = 12;

    Fleet();

    Process &startEngine(const std::string &name, const EngineOptions &options = {});
    Process &startService(const std::string &name, const std::string &domain = "a");

    /// Lists the plain service at \a address, which the test runs itself.
    void addService(const std::string &name, const std::string &address,
                    const std::string &domain = "a", int slots = 64);
    Daemon &startDaemon(const std::string &name, const std::string &domain = "a",
                        const std::vector<std::string> &flags = {});

    /// Starts \a chains chains of three engines with four layers each.
    void startChains(int chains, const EngineOptions &options = {});

    /// Applies rules and inventory, and waits until all daemons use them and are ready.
    void configure();
    boost::json::object inventory() const;
    boost::json::object rules() const;

    /// Runs the command-line tool against \a daemon and returns its exit code; stores what it
    /// prints in \a output.
    int cli(const Daemon &daemon, const std::vector<std::string> &arguments,
            std::string *output = nullptr);

    /// Writes \a document to a file and returns its path.
    std::string file(const std::string &name, const boost::json::value &document);

    /// Waits until \a daemon is ready with configuration \a version or a newer one.
    bool waitForVersion(const Daemon &daemon, std::uint64_t version);
    /// Sets the faults of the fake at \a address.
    void injectFaults(const std::string &address, const boost::json::object &faults);
    /// Returns what the fake \a endpoint has recorded.
    boost::json::object log(const std::string &endpoint);
    /// Sets the instance list that the fake platform serves.
    void setInstanceList(const boost::json::array &instances);

    Daemon &daemon(const std::string &name) { return m_daemons.at(name); }
    void stopDaemon(const std::string &name) { m_daemons.erase(name); }
    Process &endpoint(const std::string &name) { return *m_endpoints.at(name); }
    const std::string &address(const std::string &endpoint) { return m_addresses.at(endpoint); }
    const std::string &platform() const { return m_platformAddress; }
    std::map<std::string, Daemon> &daemons() { return m_daemons; }

    /// A step that an engine executed.
    struct Step
    {
        std::string engine;
        int attempt;
        int position;
        int begin;
        int end;
        std::string output;
    };
    /// Returns the executed steps of all engines by request id.
    std::multimap<std::string, Step> steps();

    /// Headers of a caller of team "t", optionally with an idempotency key.
    static Headers teamHeaders() { return {{"Authorization", "Bearer t"}}; }
    static Headers teamHeaders(const std::string &key)
    {
        return {{"Authorization", "Bearer t"}, {"Idempotency-Key", key}};
    }

private:
    std::string m_directory;
    std::unique_ptr<Process> m_platform;
    std::string m_platformAddress;
    std::map<std::string, std::unique_ptr<Process>> m_endpoints;
    std::map<std::string, std::string> m_addresses;
    boost::json::array m_inventory;
    std::map<std::string, Daemon> m_daemons;
};

/// Checks that each token of \a text was computed by an attempt that executed every layer exactly
/// once, in order.
void checkLayersOnce(const std::multimap<std::string, Fleet::Step> &steps,
                     const std::string &request, const std::string &text);

} // namespace balsamloft::testsuite
