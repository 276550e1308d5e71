/// \file
/// Decides which requests for a service may be sent to its endpoints, in which order, and which are
/// refused.

#pragma once

#include <balsamloft/admission/serviceload.h>
#include <balsamloft/types.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace balsamloft {

/// Settings of an Admission.
struct AdmissionSettings
{
    bool enabled = false; ///< if not, every request is admitted
    /// Longest wait of a request, as a share of its target latency. Waits of this length absorb
    /// short bursts; longer ones would delay refusals, and with them the second attempts of
    /// callers.
    double maxWaitShare = 0.1;
    std::size_t maxWaiting = 1000; ///< most requests of a service that wait at this instance
    std::uint64_t seed = 1;
};

/// What Admission needs to know of a request.
struct AdmissionRequest
{
    std::uint64_t id = 0;
    std::string service;
    int priority = 0; ///< 0 is the highest
    std::string team;
    double teamShare = 1; ///< weight of the team among the teams that wait
    double work = 1; ///< see ServiceLoad
    Duration target {}; ///< latency until the first event or the answer
    Duration timeLeft {}; ///< until the caller's deadline
    bool late = false; ///< it can no longer meet its target, as after an earlier refusal
};

/// What is to be done with a request.
struct AdmissionDecision
{
    enum class Kind : std::uint8_t { Admit, Wait, Refuse };

    std::uint64_t id = 0;
    Kind kind = Kind::Admit;
    Duration retryAfter {}; ///< with Refuse: when the caller should come back
    std::string reason {}; ///< with Refuse, for the log and the caller
};

/// State of one service, for logs and metrics.
struct AdmissionStatus
{
    std::string service;
    double capacity = 0; ///< work that all instances together may have in flight
    double share = 1; ///< of this instance
    double inFlight = 0; ///< work of this instance
    std::size_t waiting = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t expired = 0; ///< refused after a wait
};

/// Admits requests to services while the work in flight of this instance is below its share of the
/// service's capacity. Beyond that, requests wait in an order of priority, fair shares of teams and
/// deadlines, or are refused at once if they would wait too long. The capacity is derived from the
/// endpoints and corrected by what callers of all instances observe, see CapacityEstimate.
///
/// Late requests have a rank of their own below the other requests of their priority: if they came
/// first at a service that is at its capacity, no request would be served in time any more. The
/// limit of each rank is at least a tenth of the instance's limit, so that a rank is not refused
/// altogether.
class Admission
{
public:
    explicit Admission(AdmissionSettings settings);
    ~Admission();
    Admission(Admission &&) noexcept;
    Admission &operator=(Admission &&) noexcept;

    // Commands

    /// Sets the work that the endpoints of \a service hold at once, see nominalCapacity().
    void setNominalCapacity(const std::string &service, double work);

    /// Sets the number of live instances, including this one.
    void setInstances(std::size_t count);

    /// Applies the load of all instances.
    void applyFleetLoad(const FleetLoad &load, Time now);

    /// Decides on a new request. A request that was told to wait is decided on by poll().
    AdmissionDecision submit(const AdmissionRequest &request, Time now);

    /// Returns the decisions on requests that no longer wait: they are admitted since capacity
    /// became free, or refused since they have waited for the longest time.
    std::vector<AdmissionDecision> poll(Time now);

    /// The request finished or was abandoned, whether it was admitted or waits.
    void finished(std::uint64_t id, Time now);

    /// The first event or the answer of an admitted request arrived \a latency after submit().
    void started(std::uint64_t id, Duration latency, Time now);

    /// An endpoint rejected an attempt of an admitted request for lack of capacity.
    void rejected(std::uint64_t id, Time now);

    // Queries

    /// The load of this instance, to report to the other instances.
    LoadSummary load(Time now) const;
    std::vector<AdmissionStatus> status(Time now) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace balsamloft
