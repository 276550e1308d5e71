/// \file
/// Simulates in virtual time how the instances of a fleet send requests to endpoints that refuse
/// them for a while and announce a pause.

#pragma once

#include "relayharness.h"

#include <deque>
#include <memory>
#include <random>

namespace balsamloft::fakes {

/// Size and load of a PauseSimulation.
struct PauseSimulationSettings
{
    std::size_t instances = 6;
    std::size_t domains = 3;
    std::size_t endpoints = 6;
    double requestsPerSecond = 120; ///< of all callers
    RequestKind kind = RequestKind::Safe;
    Duration answerTime {100'000}; ///< of a request that is executed
    Duration patience {8'000'000}; ///< time that a caller waits in all
    RelaySettings relay = RelayHarness::defaults();
    std::uint64_t seed = 1;
};

/// Instances that share endpoints, each of which could serve any request alone. A caller that is
/// refused returns to another instance when it was told to.
class PauseSimulation
{
public:
    explicit PauseSimulation(const PauseSimulationSettings &settings);

    // Commands

    /// From now on, the first \a count endpoints refuse each request and announce \a pause.
    void refuse(std::size_t count, Duration pause);

    /// The endpoints accept requests again, but at most \a maxRunning at a time each; they refuse
    /// others with the same pause.
    void accept(std::size_t maxRunning = 1'000'000);
    void run(Duration length);
    void resetCallers() { m_callers = {}; }

    // Queries

    /// Requests that reached an endpoint from an instance between half a second after a refusal of
    /// that instance and the end of the pause it announced: the maximum over all such pauses.
    std::size_t arrivedInPauses() const { return m_maxInPause; }

    /// Requests that reached the endpoints which refuse, or did so, in the last \a length.
    std::size_t arrived(Duration length) const;

    /// Refusals by endpoints in the last \a length.
    std::size_t refusedByEndpoints(Duration length) const;

    /// Outcomes of callers.
    struct Callers
    {
        std::size_t submitted = 0;
        std::size_t served = 0;
        std::size_t refused = 0; ///< refusals; a caller may be refused several times
        std::size_t lost = 0; ///< callers that ran out of patience
        Duration longestRefusal {}; ///< longest time until a refusal
        Duration shortestRetryAfter = Duration::max();
        Duration longestService {}; ///< longest time from the first try until the answer
    };
    const Callers &callers() const { return m_callers; }
    Time now() const { return m_now; }

private:
    struct Call
    {
        std::size_t instance = 0;
        FlightId flight = 0;
        std::uint32_t attempt = 0;
        std::size_t endpoint = 0;
        bool refused = false;
        Time answerAt {};
    };
    struct Caller
    {
        Time firstTryAt {};
        Time submittedAt {};
    };
    struct Return
    {
        Time at {};
        Time firstTryAt {};
    };
    /// What an endpoint last told an instance.
    struct ToldPause
    {
        Time at {};
        Time until {};
        std::size_t arrived = 0; ///< counted in the pause
    };

    void submit(Time firstTryAt);
    void collect(std::size_t instance);
    void sent(std::size_t instance, const SendRequest &send);
    void finished(std::size_t instance, const FinishFlight &finish);
    void answer(const Call &call);
    void step();

    PauseSimulationSettings m_settings;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<RelayHarness>> m_harnesses;
    std::vector<std::map<FlightId, Caller>> m_open; ///< by instance
    std::vector<std::map<std::size_t, ToldPause>> m_told; ///< by instance and endpoint
    std::vector<Call> m_calls;
    std::vector<Return> m_returns;
    std::vector<std::size_t> m_running; ///< by endpoint
    std::size_t m_refusing = 0; ///< endpoints that refuse, or did so
    std::size_t m_maxRunning = 0;
    Duration m_pause {};
    std::deque<Time> m_arrivals; ///< at endpoints that refuse, or did so
    std::deque<Time> m_refusals;
    std::size_t m_maxInPause = 0;
    Callers m_callers;
    Time m_now {std::chrono::hours(1)};
};

} // namespace balsamloft::fakes
