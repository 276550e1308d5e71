/// \file
/// The network links of one instance to the endpoints: which of them are broken, and which other
/// instance forwards connections meanwhile.

#pragma once

#include <balsamloft/enginefleet.h>
#include <balsamloft/peerdirectory.h>

#include <random>
#include <set>
#include <span>

namespace balsamloft {

/// How an attempt to open a connection failed.
enum class ConnectFailure : std::uint8_t {
    Refused, ///< no process listens at the address, or the network rejects connections
    TimedOut, ///< no reaction
};

/// Limits of EndpointLinks.
struct EndpointLinkSettings
{
    /// Consecutive connections that time out until a link counts as broken. A single one may be a
    /// lost packet. A link that refuses connections to a live endpoint is broken at once.
    std::uint32_t timeoutsUntilBroken = 2;
    Duration directRetryInterval {500'000}; ///< between two direct attempts over a broken link
    std::size_t brokenUntilDoubt = 2; ///< broken links that put all other links in doubt
    /// Endpoints without a connection, while none opened one, that put the instance itself in
    /// doubt.
    std::size_t failuresUntilDoubt = 3;
    Duration doubtDuration {2'000'000}; ///< since another instance last reached a broken endpoint
    Duration peerFailureLifetime {2'000'000}; ///< how long a peer that failed is avoided
    Duration peerSuccessLifetime {5'000'000}; ///< how long a peer that succeeded is preferred
    std::size_t maxPreferredPeers = 8; ///< peers that share the connections of this instance
    double exploreShare = 0.25; ///< of connections try a new peer while there are fewer
    /// Working peers of the own domain below which those of other domains are used too.
    std::size_t minOwnPeers = 2;
    std::size_t failuresUntilOtherDomains = 2; ///< failed peers of the own domain
    std::size_t maxPeersPerConnection = 3; ///< peers that are asked for one connection
    /// How long no peer is asked for an endpoint that nobody reached.
    Duration unreachablePause {1'000'000};
    /// Endpoints that are tried to find out whether a refusal comes from the own link.
    std::size_t maxReferences = 2;
    std::uint64_t seed = 1;
};

/// Decides how connections to endpoints are opened: directly, or forwarded by another instance.
///
/// A connection that fails does not prove that its endpoint has failed: the instance's own link may
/// be broken. Another instance tells the two cases apart. If it reaches the endpoint, the link
/// is broken, and connections are forwarded by other instances until the link works again.
/// Otherwise the endpoint counts as unreachable. An instance with broken links does not report
/// endpoints as crashed.
class EndpointLinks
{
public:
    EndpointLinks(std::string self, std::string domain, EndpointLinkSettings settings = {});

    // Commands

    /// Replaces the list of all instances. Those without a forwarding address are ignored.
    void setInstances(std::span<const PeerInstance> instances);

    /// Forgets endpoints that are not in \a fleet.
    void removeUnlisted(const FleetSnapshot &fleet);

    /// A direct connection to the endpoint is being opened.
    void recordDirectAttempt(const std::string &endpoint, Time now);

    /// An endpoint sent data on a direct connection.
    void recordDirectData(Time now) { m_directWorkedAt = now; }

    /// A direct connection to the endpoint was opened.
    /// \return whether the link was broken.
    bool recordDirectSuccess(const std::string &endpoint, Time now);
    void recordDirectFailure(const std::string &endpoint, ConnectFailure failure, Time now);

    /// The instance \a peer has opened a connection to the endpoint.
    /// \return whether the link counts as broken from now on, and did not before.
    bool recordForwarded(const std::string &endpoint, const std::string &peer, Time now);

    /// The instance \a peer could not open a connection to the endpoint. \a refused: its link
    /// works, and no process listens at the endpoint's address.
    void recordForwardingFailure(const std::string &endpoint, const std::string &peer, bool refused,
                                 Time now);

    /// The instance \a peer did not answer, or refused to forward.
    void recordPeerFailure(const std::string &peer, Time now);

    /// Chooses an instance to forward a connection to \a endpoint. Instances in \a tried are not
    /// chosen again. Returns nothing if no further instance should be asked.
    std::optional<PeerInstance> choosePeer(const std::string &endpoint,
                                           const std::set<std::string> &tried, Time now);

    /// Chooses an endpoint whose connection, opened after \a refused refused one, proves that this
    /// instance's links work: in the same domain if that has others. Endpoints in \a tried are not
    /// chosen again. Returns nothing if no further endpoint should be tried.
    const FleetEndpoint *chooseReference(const FleetSnapshot &fleet, const std::string &refused,
                                         const std::set<std::string> &tried);

    // Queries

    /// Whether the direct link is broken while another instance reaches the endpoint.
    bool isBroken(const std::string &endpoint) const;

    /// Whether no other instance reached the endpoint a short time ago.
    bool isUnreachable(const std::string &endpoint, Time now) const;

    /// Whether all instances that were asked a short time ago found that no process listens at the
    /// endpoint's address.
    bool isRefusedEverywhere(const std::string &endpoint, Time now) const;

    /// Whether a direct connection should be tried now.
    bool shouldTryDirect(const std::string &endpoint, Time now) const;

    /// Whether an open direct connection to the endpoint may be used for a new request.
    bool mayReuseDirect(const std::string &endpoint, Time now) const;

    /// Whether a peer should be asked at once, without waiting for the direct connection.
    bool shouldAskPeerAtOnce(const std::string &endpoint, Time now) const;

    /// Whether a refused connection may be reported as the crash of an endpoint. False if this
    /// instance's own links are broken, or if connections to several endpoints failed and
    /// none works since.
    bool mayReportCrash(Time now) const;

    std::size_t brokenCount() const { return m_brokenCount; }
    bool hasPeers() const { return !m_peers.empty(); }

private:
    struct Link
    {
        std::uint32_t failures = 0; ///< consecutive failed direct connections
        bool refused = false; ///< one of them was refused
        bool broken = false;
        Time failedAt {}; ///< last failed direct connection
        Time triedAt {}; ///< start of the last direct attempt
        Time unreachableUntil {}; ///< no peer is asked until then
        bool refusedEverywhere = false; ///< by all peers that were asked before that
        std::set<std::string> failedPeers; ///< since the endpoint was last reached
        std::size_t refusals = 0; ///< of failedPeers, that the endpoint refused
    };

    struct Peer
    {
        PeerInstance instance;
        Time failedAt {};
        Time succeededAt {};
    };

    using Peers = std::vector<const Peer *>;

    /// Peers that may be asked for an endpoint.
    struct Candidates
    {
        Peers working; ///< succeeded a short time ago, in any domain
        Peers workingOwn; ///< those of them in this instance's domain
        Peers untestedOwn;
        Peers untestedElsewhere;
        std::size_t ownFailures = 0; ///< peers of this instance's domain that failed
    };

    void setBroken(Link &link, bool broken);
    Peer *findPeer(const std::string &name);
    bool isPreferred(const Peer &peer, Time now) const;
    bool isAvoided(const Peer &peer, Time now) const;
    bool inDoubt(Time now) const;
    Candidates candidates(const std::string &endpoint, const std::set<std::string> &tried,
                          Time now) const;
    const Peer *randomPeer(const Peers &peers);

    std::string m_self;
    std::string m_domain;
    EndpointLinkSettings m_settings;
    std::mt19937_64 m_random;
    std::vector<Peer> m_peers; ///< sorted by name, without this instance
    /// Endpoints whose last direct connection failed.
    std::map<std::string, Link, std::less<>> m_links;
    /// Last direct success by endpoint; only kept while a link is broken.
    std::map<std::string, Time, std::less<>> m_directSuccess;
    std::size_t m_brokenCount = 0;
    Time m_brokenSince {}; ///< when the first of the broken links was found
    Time m_lastForwardedAt {}; ///< last success of a peer with a broken link
    Time m_directWorkedAt {}; ///< last direct success or data
};

} // namespace balsamloft
