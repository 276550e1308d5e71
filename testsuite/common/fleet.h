/// \file
/// A small fleet of real processes: stand-ins and instances on loopback.

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

/// An HTTP answer as a caller sees it.
struct Reply
{
    unsigned status = 0; ///< 0: the connection failed
    std::string body;
    Headers headers;

    boost::json::object json() const;
    std::string errorCode() const;
    std::string ran() const;

    /// The text of a completion, streamed or not.
    std::string text() const;

    /// A streamed completion that ended as a whole one does.
    bool streamDone() const { return body.find("data: [DONE]") != std::string::npos; }
};

/// Sends one request on a connection of its own and waits for the whole answer.
Reply send(const std::string &address, const std::string &method, const std::string &target,
           const std::string &body = {}, const Headers &headers = {});

/// One of the calls of sendAll().
struct Call
{
    std::string address;
    std::string body;
    Headers headers;
    std::string target = "/v1/completions";
};

/// Sends all calls at the same time, each on a connection of its own.
/// \a started is called once all are written.
std::vector<Reply> sendAll(const std::vector<Call> &calls,
                           const std::function<void()> &started = {});

/// Returns the body of a completion request.
std::string completionBody(const std::string &model, const std::string &prompt, int tokens,
                           bool stream = false);

/// One instance of balsamloftd.
struct Daemon
{
    std::unique_ptr<Process> process;
    std::string callers; ///< address
    std::string admin;
    std::string peers;
};

/// Shape of a stand-in engine.
struct EngineShape
{
    std::string domain = "a";
    LayerRange layers {0, 4};
    int slots = 16;
    int stepMicros = 2000;
    bool checksFencing = false;
    bool placeable = false; ///< the inventory leaves its model open
    std::string model = "m";
};

/// Starts processes and builds the inventory that fits them.
class Fleet
{
public:
    static constexpr auto OperatorToken = "operator";
    static constexpr int Layers = 12;

    Fleet();

    Process &startEngine(const std::string &name, const EngineShape &shape = {});
    Process &startService(const std::string &name, const std::string &domain = "a");
    Daemon &startDaemon(const std::string &name, const std::string &domain = "a",
                        const std::vector<std::string> &flags = {});

    /// Three engines of four layers each, \a chains times.
    void startChains(int chains, const EngineShape &shape = {});

    /// Applies rules and inventory, and waits until all daemons are ready with them.
    void configure();
    boost::json::object inventory() const;
    boost::json::object rules() const;

    /// Runs the command line against \a daemon; the output goes to \a output.
    int cli(const Daemon &daemon, const std::vector<std::string> &arguments,
            std::string *output = nullptr);

    /// Writes \a document to a file and returns its path.
    std::string file(const std::string &name, const boost::json::value &document);

    /// Waits until \a daemon has \a version in force.
    bool waitForVersion(const Daemon &daemon, std::uint64_t version);
    void faults(const std::string &address, const boost::json::object &faults);
    boost::json::object log(const std::string &endpoint);
    void listInstances(const boost::json::array &instances);

    Daemon &daemon(const std::string &name) { return m_daemons.at(name); }
    void stopDaemon(const std::string &name) { m_daemons.erase(name); }
    Process &endpoint(const std::string &name) { return *m_endpoints.at(name); }
    const std::string &address(const std::string &endpoint) { return m_addresses.at(endpoint); }
    const std::string &platform() const { return m_platformAddress; }
    std::map<std::string, Daemon> &daemons() { return m_daemons; }

    /// Steps that engines have executed, by request.
    struct Step
    {
        std::string engine;
        int attempt;
        int position;
        int begin;
        int end;
        std::string output;
    };
    std::multimap<std::string, Step> steps();

    /// Callers' headers with the token of team "t".
    static Headers team() { return {{"Authorization", "Bearer t"}}; }
    static Headers team(const std::string &key)
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

/// Checks with Catch2 that each token of \a text came from an attempt in which
/// every layer ran exactly once, in order.
void checkLayersOnce(const std::multimap<std::string, Fleet::Step> &steps,
                     const std::string &request, const std::string &text);

} // namespace balsamloft::testsuite
