/// \file
/// Runs a Relay in virtual time with engines, plain endpoints and one route of each kind. The test
/// sends the answers of the endpoints.

#pragma once

#include <balsamloft/peerdirectory.h>
#include <balsamloft/relay.h>

namespace balsamloft::fakes {

/// An engine of the harness, or a plain endpoint if it has no layers.
struct RelayEngine
{
    std::string id;
    LayerRange layers;
    std::string domain = "near";
    std::string kind = "fast";
};

/// A Relay with its fleet and routes. Time only advances by advance().
class RelayHarness
{
public:
    explicit RelayHarness(std::vector<RelayEngine> engines, RelaySettings settings = defaults());

    /// Settings with a large retry budget for one instance.
    static RelaySettings defaults();

    FlightId submit(RequestKind kind, Duration timeLeft = Duration(20'000'000),
                    std::string digest = {});

    /// Submits a stream that may not be resumed, and so not be repeated.
    FlightId submitStreamOnce(std::string digest = {});

    /// Sets the instances that share the endpoints; \a self is the name of this one. \a
    /// clockBehind: how far this instance's clock is behind the common clock of the instances.
    void setInstances(const std::vector<PeerInstance> &instances, const std::string &self,
                      Duration clockBehind = {});

    /// Advances the time in steps, with a tick after each.
    void advance(Duration duration, Duration step = Duration(50'000));

    // Events from endpoints

    bool answer(FlightId flight, int status, bool provenExecuted = true, bool notExecuted = false,
                std::string_view faultyAddress = {});

    /// Refuses the flight's request as not executed, with the announced pause \a retryAfter.
    void refuse(FlightId flight, Duration retryAfter, std::string_view faultyAddress = {});
    void forwardEvents(FlightId flight, std::uint64_t lastEvent);
    void fail(FlightId flight, AttemptFailure failure);
    void completeStream(FlightId flight);

    /// Answers the last order to change the flight's path.
    void answerPathChange(FlightId flight, PathReply reply, const std::string &faulty = {});
    void answerPathChange(const ChangePath &change, PathReply reply,
                          const std::string &faulty = {});

    /// Answers the flight's last request for a trial permit.
    void answerTrial(FlightId flight, const TrialAnswer &answer);
    void answerTrial(const RequestTrial &request, const TrialAnswer &answer);

    /// Marks the endpoint \a id as draining.
    void drain(const std::string &id);

    /// Delists the endpoint \a id.
    void remove(const std::string &id);

    /// Lists a further endpoint.
    void add(const RelayEngine &engine);

    std::string addressOf(const std::string &id) const;

    // Actions of the relay

    /// Sends of a flight, in order.
    std::vector<SendRequest> sends(FlightId flight) const;
    std::vector<ChangePath> pathChanges(FlightId flight) const;
    std::vector<RequestTrial> trialRequests(FlightId flight) const;

    /// Outcomes of the trials of all flights, in order.
    std::vector<TrialOutcome> finishedTrials() const;
    std::optional<FinishFlight> finished(FlightId flight) const;
    bool passed(FlightId flight) const;
    std::size_t abandoned(FlightId flight) const;
    std::vector<std::string> queriedEngines() const;

    Relay relay;
    Time now {std::chrono::hours(1)};
    RelayActions actions;

private:
    void list(const RelayEngine &engine);
    void publishFleet();

    FlightId submitTo(std::size_t route, Duration timeLeft, std::string digest);

    RouteMapPtr m_table;
    std::vector<FleetEndpoint> m_endpoints;
    std::uint64_t m_next = 1;
    int m_nextPort = 1;
};

/// A model of \a layers layers with two kinds of accelerator, "fast" and "slow".
LayeredModel testModel(std::uint32_t layers);

} // namespace balsamloft::fakes
