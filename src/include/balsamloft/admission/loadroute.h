/// \file
/// Decides which queries between instances carry loads.

#pragma once

#include <balsamloft/peerdirectory.h>

#include <map>
#include <string>

namespace balsamloft {

/// Intervals of a LoadRoute.
struct LoadRouteSettings
{
    /// Minimum time between two loads to the same instance. Loads in each query would exceed the
    /// bandwidth that the control of an instance may use.
    Duration interval {1'000'000};
    /// After a load to one instance, other instances get none for this time. It must be shorter
    /// than the lifetime of a report, so that an instance that changes its source is always
    /// counted.
    Duration sourceHold {2'000'000};
};

/// Decides which queries carry which sum of loads, so that each instance is counted once. The
/// sources that the tables are read from do not form a tree at all times: while the store fails,
/// instances read from each other in turn, and sums over such a cycle would grow without limit.
/// Loads are therefore sent only to instances of the same domain that precede the sender by name,
/// and to one of them at a time.
class LoadRoute
{
public:
    /// The sum that a query carries.
    enum class Content : std::uint8_t {
        Nothing,
        Subtree, ///< over the sender and the instances that read from it
        Domain, ///< the same, which is the whole domain of the sender
    };

    /// \a self: name of this instance.
    LoadRoute(std::string self, std::string domain, LoadRouteSettings settings = {});

    // Commands

    /// Returns what the next query to \a peer is to carry, and records that it is sent. \a reader:
    /// whether this instance is the reader of its domain now.
    Content takeContent(const PeerInstance &peer, bool reader, Time now);

    /// The instance \a name did not answer, so another one may get the loads at once.
    void sourceFailed(const std::string &name);

    // Queries

    /// Whether the subtree that the instance \a sender reports may be included in sums here.
    bool acceptsSubtree(const std::string &sender) const { return m_self < sender; }

private:
    std::string m_self;
    std::string m_domain;
    LoadRouteSettings m_settings;
    std::map<std::string, Time> m_sentAt; ///< by instance, within the last interval
    std::string m_source; ///< gets the loads; empty: none yet
    Time m_sourceSentAt {};
};

} // namespace balsamloft
