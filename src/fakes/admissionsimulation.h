/// \file
/// Simulates, in virtual time, many instances that admit requests for the endpoints of one service.

#pragma once

#include "batchendpoint.h"

#include <balsamloft/admission/admission.h>

#include <deque>
#include <queue>
#include <random>
#include <vector>

namespace balsamloft {

/// Callers send requests to instances, each with an Admission; the instances send the admitted ones
/// to endpoints of unequal size. A caller whose request is refused repeats it once.
class AdmissionSimulation
{
public:
    /// How the callers are divided among the instances: with exponentially distributed weights, or
    /// half of them at a tenth of the instances.
    enum class Skew { Exponential, HalfAtATenth };

    /// Requests with the same priority and team.
    struct Kind
    {
        int priority = 0;
        std::string team = "team";
        double teamShare = 1;
        double part = 1; ///< of all requests, relative to other kinds
    };

    struct Settings
    {
        std::size_t instances = 6;
        bool admission = true; ///< if not, every request is admitted
        Skew skew = Skew::Exponential;
        bool repeatAtOnce = false; ///< refused callers ignore Retry-After
        std::vector<Kind> kinds {Kind {}};
        std::uint64_t seed = 1;
    };

    /// Observations of one run().
    struct Result
    {
        double goodput = 0; ///< requests served in time, relative to what endpoints can serve
        /// The same by work, so that a preference for small requests does not increase it.
        double goodputWork = 0;
        /// Maximum work of admitted requests over the memory of the endpoints.
        double peakInFlight = 0;
        double admittedAtOnce = 1; ///< share of all calls, repeated ones included
        double rejectedAttempts = 0; ///< share of the attempts that endpoints reject
        double refusedUnsent = 1; ///< share of the refusals that came before any attempt
        Duration medianRefusal {}; ///< time until the median refusal
        Duration longestRetryAfter {}; ///< that an Admission returned
        std::vector<double> served; ///< by kind: share of the callers that were served in time
    };

    static constexpr Duration Target {1'000'000}; ///< latency of the first event
    static constexpr Duration Patience {6'000'000}; ///< callers leave without a first event

    explicit AdmissionSimulation(const Settings &settings);

    // Commands

    /// Sends \a load times the requests that the endpoints can serve, for \a length.
    Result run(double load, Duration length);

    /// Ends every other instance and its requests. Their callers repeat them at other instances.
    void killHalf();

    /// Prevents the two halves of the instances from exchanging loads. Both use all endpoints. \a
    /// listed: whether each half still lists the instances of the other one as alive.
    void partition(bool listed)
    {
        m_sides = 2;
        m_otherSideListed = listed;
    }
    void stopExchange() { m_exchange = false; }

    /// Callers that are refused within \a length from now all repeat their requests at its end.
    void returnTogether(Duration length) { m_returnAt = m_now + length; }

    /// Halves the memory of the \a count largest endpoints. Instances don't learn it.
    void halveEndpoints(std::size_t count);

    /// Adds an instance with the mean weight of the others.
    void addInstance();

    /// The instance with the most callers stands still for \a length. Its callers wait for it.
    void suspendLargest(Duration length);

    // Queries

    /// Requests per second that the endpoints serve while their memory is just full.
    double capacity() const;

private:
    struct Instance
    {
        Admission admission;
        double weight = 1; ///< relative number of its callers
        bool alive = true;
        std::size_t waiting = 0;
        Time suspendedUntil {};
        LoadSummary load; ///< as of the last exchange
        Time loadAt {};
    };

    struct Request
    {
        enum class State : std::uint8_t { Called, Waiting, Admitted, Done };

        std::size_t kind;
        BatchWork work;
        bool repeated = false; ///< by a caller that was refused
        std::size_t instance = 0;
        State state = State::Called;
        Time calledAt {};
        Time submittedAt {}; ///< later than calledAt if the instance was suspended
        int attempts = 0;
        bool begun = false; ///< the first event has been sent
        bool onTime = false;
        std::size_t endpoint = 0;
    };

    struct Endpoint
    {
        BatchEndpoint batch;
        double reportedFill = 0;
        std::uint64_t wakeNumber = 0; ///< of the valid wake event
    };

    /// Loads that reach the instances after a delay.
    struct Exchange
    {
        std::vector<LoadSummary> loads; ///< by instance
        std::vector<Time> measuredAt;
        std::vector<double> fills; ///< by endpoint
    };

    struct Event
    {
        Time at;
        std::uint64_t number; ///< orders events of the same time
        enum class Kind {
            Arrival,
            Call,
            Rejected,
            Begin,
            End,
            Leave,
            Wake,
            Poll,
            Measure,
            Apply
        } kind;
        std::size_t subject;
        std::uint64_t version; ///< of a wake or arrival event; outdated ones are ignored

        bool operator<(const Event &other) const
        {
            return std::pair(at, number) > std::pair(other.at, other.number);
        }
    };

    using Pick = std::discrete_distribution<std::size_t>;

    struct Counts
    {
        double served = 0, servedWork = 0, calls = 0, atOnce = 0, attempts = 0, rejected = 0,
               unsent = 0;
        double peakInFlight = 0;
        std::vector<double> servedByKind, outcomes;
        std::vector<Duration> refusals; ///< time until each
        Duration longestRetryAfter {};
    };

    void schedule(Time at, Event::Kind kind, std::size_t subject = 0, std::uint64_t version = 0);
    void handle(const Event &event);
    Request drawRequest();
    void arrive();
    void call(std::size_t request);
    void decide(std::size_t request, const AdmissionDecision &decision);
    void refuse(std::size_t request, Duration retryAfter);
    void attempt(std::size_t request);
    void reject(std::size_t request);
    void begin(std::size_t request);
    void end(std::size_t request, bool finished);
    void poll(Instance &instance);
    void measure();
    void apply();
    Instance makeInstance(double weight);
    void updateWeights();
    std::size_t countAlive(std::size_t side) const;

    void wake(std::size_t endpoint);
    void scheduleWake(std::size_t endpoint);
    void release(std::size_t request);

    Settings m_settings;
    std::mt19937_64 m_random;
    std::normal_distribution<> m_fillNoise;
    Time m_now {std::chrono::hours(1)};
    std::uint64_t m_nextEvent = 1;
    std::uint64_t m_run = 0;
    double m_meanWork = 0; ///< of a request
    double m_meanOccupancy = 0; ///< of a request: its work times its steps
    double m_rate = 0; ///< arrivals per second
    std::priority_queue<Event> m_events;
    std::vector<Instance> m_instances;
    std::vector<Endpoint> m_endpoints;
    std::vector<Request> m_requests;
    std::deque<Exchange> m_exchanges;
    Pick m_pickInstance;
    Pick m_pickEndpoint;
    Pick m_pickKind;
    double m_memory = 0; ///< of all endpoints
    std::size_t m_sides = 1;
    bool m_otherSideListed = false;
    bool m_exchange = true;
    Time m_returnAt {};
    double m_inFlight = 0;
    Counts m_counts;
};

} // namespace balsamloft
