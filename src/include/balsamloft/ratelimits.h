/// \file
/// The rate limits that endpoints name, kept by all instances together.

#pragma once

#include <balsamloft/enginefleet.h>
#include <balsamloft/peerdirectory.h>

#include <map>
#include <set>
#include <span>
#include <string>

namespace balsamloft {

/// Settings of RateLimits.
struct RateLimitSettings
{
    /// So long after it begins a slot may be used. Longer, and fewer are lost where an
    /// instance has seldom a request for the endpoint; but all that are unused may be used
    /// at once.
    Duration slotLifetime {1'000'000};
    /// A limit is believed so long after the last answer, and longer by far where many
    /// instances share it, see validityOf().
    Duration limitValidity {10'000'000};
    Duration probeInterval {1'000'000}; ///< one that is no longer believed, until it answers
};

/// Decides whether this instance may send a request to an endpoint that limits how many it
/// takes a second from all instances together.
///
/// An endpoint's second is divided into as many slots as it takes requests, on the store's
/// clock, and each slot belongs to one instance that all compute alike: in turn, three of
/// four to those of the endpoint's own domain, which send most there. No message is needed,
/// and it holds with instances dead, cut off or unaware of each other: each has its share and
/// never more. An allowance of one request for each instance, saved up, would let hundreds
/// send at the same moment.
class RateLimits
{
public:
    explicit RateLimits(RateLimitSettings settings = {});

    // Commands

    /// The instances that share the limits; \a self: this one's name, listed or not.
    void setInstances(std::span<const PeerInstance> all, const std::string &self,
                      const std::string &domain, Time now);

    /// The clock that all instances share, less the one that is passed as the present time.
    void setClockOffset(Duration offset) { m_offset = offset; }

    /// Forgets endpoints that are not in \a fleet.
    void follow(const FleetSnapshot &fleet);

    /// An answer of the endpoint; \a perSecond: the limit that it names, if any.
    void answered(const FleetEndpoint &endpoint, std::optional<double> perSecond, Time now);

    /// A request is sent to the endpoint.
    void sent(const std::string &endpoint, Time now);

    // Queries

    bool maySend(const std::string &endpoint, Time now) const;

    /// The endpoints to which nothing may be sent now.
    std::set<std::string> closed(Time now) const;

    /// How many endpoints name a limit.
    std::size_t size() const { return m_limits.size(); }

private:
    /// The instances that a kind of slot goes to in turn, and this one's place among them.
    struct Turn
    {
        std::size_t count = 0;
        std::optional<std::size_t> place;
    };

    struct Limit
    {
        double perSecond = 0;
        std::string domain;
        Turn own; ///< for most slots
        Turn others; ///< for the rest
        Time heardAt {};
        Time sentAt {};
        double usedTo = 0; ///< slots that began up to then are gone; seconds of the shared clock
    };

    double sharedSeconds(Time now) const;
    static bool owns(const Limit &limit, std::int64_t slot);
    std::optional<double> freeSlot(const Limit &limit, Time now) const;
    Duration validityOf(const Limit &limit) const;
    Turn turnOf(const std::string &domain, bool within) const;
    void share(Limit &limit, Time now) const;

    RateLimitSettings m_settings;
    std::map<std::string, Limit, std::less<>> m_limits; ///< by endpoint
    std::vector<PeerInstance> m_instances; ///< by name, this one among them
    std::string m_self;
    Duration m_offset {};
};

} // namespace balsamloft
