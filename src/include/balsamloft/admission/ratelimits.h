/// \file
/// Rate limits that endpoints announce in their answers, shared by all instances.

#pragma once

#include <balsamloft/admission/serviceload.h>
#include <balsamloft/enginefleet.h>
#include <balsamloft/peerdirectory.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace balsamloft {

/// Settings of RateLimits.
struct RateLimitSettings
{
    /// How long a slot can be used after it begins. With a longer lifetime, fewer slots go
    /// unused at instances that seldom send to the endpoint, but the bursts get larger, since
    /// all unused slots can be used at once.
    Duration slotLifetime {1'000'000};
    /// Minimum time for which a limit applies after the last answer that announced it. validityOf()
    /// extends this time if many instances share the limit.
    Duration limitValidity {10'000'000};
    Duration probeInterval {1'000'000}; ///< time between requests sent after a limit has expired
    /// Part of the slots that is assigned by demand while the demand of all instances is known. The
    /// rest stays with its owners in the rotation, so that an instance whose callers have just
    /// arrived can serve some of them.
    double demandPart = 0.9;
    /// How long an instance may use slots beyond its own after the demand was measured. At most the
    /// time after which the other instances drop its demand from their totals and divide its slots.
    Duration loadLifetime {3'000'000};
    /// How long a part below the one in the rotation applies after the last total. It must be
    /// longer than the time for which totals of others may still include a report of this instance.
    Duration lendingTime {10'000'000};
    /// How long an increase beyond the part in the rotation is delayed. At least the difference
    /// between the ages of the totals that instances use at the same time.
    Duration increaseDelay {1'000'000};
    double averagingSeconds = 2; ///< time constant of the demand
};

/// Decides whether this instance may send a request to an endpoint that limits the requests
/// per second from all instances together.
///
/// Each second of the store's clock is divided into one slot for each request that the limit
/// allows, and each slot belongs to one instance. All instances compute the same owner: slots are
/// assigned round-robin, three of four to instances of the endpoint's failure domain, which send
/// most of its requests, and the fourth to instances of other domains. Without further information,
/// the limit holds while instances are down, partitioned or not listed, since no instance uses the
/// slots of another. Token buckets would not suffice: if each instance saved up one request,
/// hundreds of instances could send at the same moment.
///
/// While the demand of all instances is known, an instance uses a part of the slots that follows
/// its share of the demand, see RateLimitSettings::demandPart. Below its part in the rotation it
/// leaves some of its own slots unused; above it, it uses others in addition. The parts of all
/// instances sum to one while they use the same total. They don't exceed one if totals differ or
/// are missing: increases are delayed, decreases are not, and the part of instances that are not
/// included in the total is left to them.
class RateLimits
{
public:
    explicit RateLimits(RateLimitSettings settings = {});

    // Commands

    /// Sets the instances that share the limits. \a self is the name of this instance and
    /// need not be in \a all.
    void setInstances(std::span<const PeerInstance> all, const std::string &self,
                      const std::string &domain, Time now);

    /// Sets the offset to add to the local time to get the clock that all instances share.
    void setClockOffset(Duration offset) { m_offset = offset; }

    /// Applies the demand of all instances. The total may include only a few of them. Totals that
    /// follow the last one within 200 ms are ignored.
    void applyFleetLoad(const FleetLoad &load, Time now);

    /// Removes the limits of endpoints that are not in \a fleet.
    void removeUnlisted(const FleetSnapshot &fleet);

    /// Records an answer of the endpoint. \a perSecond is the limit it announces, if any.
    void recordAnswer(const FleetEndpoint &endpoint, std::optional<double> perSecond, Time now);

    /// Records that a request is sent to the endpoint and uses up a slot.
    void recordSend(const std::string &endpoint, Time now);

    // Queries

    bool maySend(const std::string &endpoint, Time now) const;

    /// Endpoints whose limit allows no request from this instance now.
    std::set<std::string> blockedEndpoints(Time now) const;

    /// The number of endpoints with a limit.
    std::size_t size() const { return m_limits.size(); }

    /// Whether totals arrive. If not, this instance must not report its load, except as a reader
    /// that sums up totals itself: after RateLimitSettings::lendingTime it uses all of its slots in
    /// the rotation, and instances whose totals include its load would use some of them too.
    bool followsDemand(Time now) const;

    /// The part of the endpoint's slots that this instance uses now, between 0 and 1; 1 without a
    /// limit.
    double part(const std::string &endpoint, Time now) const;

private:
    /// The number of instances that share a kind of slot round-robin, and the position of this
    /// instance among them, if it is included.
    struct Rotation
    {
        std::size_t count = 0;
        std::optional<std::size_t> position;
    };

    /// A share of a service's demand, from the time at which it became known.
    struct DemandShare
    {
        Time knownAt {};
        Time measuredAt {};
        double share = 0;
        std::uint32_t instances = 0; ///< included in the total
    };

    /// Averaged demand of a service.
    struct Demand
    {
        double own = 0;
        double total = 0;
        std::deque<DemandShare> shares; ///< oldest first; the first may be older than needed
    };

    struct Limit
    {
        double perSecond = 0;
        std::string service;
        std::string domain;
        Rotation endpointDomain; ///< owners of three of four slots
        Rotation otherDomains; ///< owners of the other slots
        Time lastAnswerAt {};
        Time sentAt {};
        double usedUntil = 0; ///< slots up to this shared time, in seconds, are used up
    };

    double sharedSeconds(Time now) const;
    static std::optional<std::uint64_t> ownedSlotNumber(const Limit &limit, std::int64_t slot);
    static double ownPart(const Limit &limit);
    double partFor(const Limit &limit, const DemandShare &demand) const;
    double partOf(const Limit &limit, Time at) const;
    void addShare(Demand &demand, DemandShare share) const;
    std::optional<double> usableSlot(const Limit &limit, Time now) const;
    Duration validityOf(const Limit &limit) const;
    Rotation rotationOf(const std::string &domain, bool inDomain) const;
    void assignSlots(Limit &limit, Time now) const;

    RateLimitSettings m_settings;
    std::map<std::string, Limit, std::less<>> m_limits; ///< by endpoint
    std::map<std::string, Demand, std::less<>> m_demand; ///< by service
    std::vector<PeerInstance> m_instances; ///< sorted by name, including this instance
    std::optional<Time> m_loadAppliedAt;
    std::string m_self;
    std::size_t m_position = 0; ///< of this instance in m_instances
    Duration m_offset {};
};

} // namespace balsamloft
