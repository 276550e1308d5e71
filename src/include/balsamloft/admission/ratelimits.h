/// \file
/// Rate limits that endpoints announce in their answers, shared by all instances.

#pragma once

#include <balsamloft/enginefleet.h>
#include <balsamloft/peerdirectory.h>

#include <map>
#include <set>
#include <span>
#include <string>

namespace balsamloft {

/// Lifetime of slots and limits.
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
};

/// Decides whether this instance may send a request to an endpoint that limits the requests
/// per second from all instances together.
///
/// Each second of the store's clock is divided into one slot for each request that the limit
/// allows, and each slot belongs to one instance. All instances compute the same owner: slots are
/// assigned round-robin, three of four to instances of the endpoint's failure domain, which send
/// most of its requests, and the fourth to instances of other domains. The instances exchange no
/// messages for this, and the limit also holds while some of them are down, partitioned or not
/// listed, since no instance uses the slots of another. Token buckets would not suffice: if each
/// instance saved up one request, hundreds of instances could send at the same moment.
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

private:
    /// The number of instances that share a kind of slot round-robin, and the position of this
    /// instance among them, if it is included.
    struct Rotation
    {
        std::size_t count = 0;
        std::optional<std::size_t> position;
    };

    struct Limit
    {
        double perSecond = 0;
        std::string domain;
        Rotation endpointDomain; ///< owners of three of four slots
        Rotation otherDomains; ///< owners of the other slots
        Time lastAnswerAt {};
        Time sentAt {};
        double usedUntil = 0; ///< slots up to this shared time, in seconds, are used up
    };

    double sharedSeconds(Time now) const;
    static bool ownsSlot(const Limit &limit, std::int64_t slot);
    std::optional<double> usableSlot(const Limit &limit, Time now) const;
    Duration validityOf(const Limit &limit) const;
    Rotation rotationOf(const std::string &domain, bool inDomain) const;
    void assignSlots(Limit &limit, Time now) const;

    RateLimitSettings m_settings;
    std::map<std::string, Limit, std::less<>> m_limits; ///< by endpoint
    std::vector<PeerInstance> m_instances; ///< sorted by name, including this instance
    std::string m_self;
    Duration m_offset {};
};

} // namespace balsamloft
