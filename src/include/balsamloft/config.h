/// \file
/// The configuration: inventory and rules, their checks, and the chain of
/// changes that leads from one version to the next.

#pragma once

#include <balsamloft/types.h>

#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace balsamloft {

/// One failure domain of the fleet.
struct FailureDomain
{
    std::string name;
    std::string region;
};

/// The network between two failure domains, the same in both directions.
struct Link
{
    std::string from;
    std::string to;
    Duration latency {}; ///< one way
    double megabitsPerSecond = 0;
};

/// A kind of accelerator.
struct Accelerator
{
    std::string name;
    double memoryGigabytes = 0;
    double tokensPerSecond = 0; ///< decode rate of one full batch over a whole model
};

/// One entry instance of balsamloft itself.
struct Instance
{
    std::string name;
    std::string domain;
    std::string peerAddress; ///< "IP:port" of the peer protocol
};

enum class EndpointKind : std::uint8_t { Engine, Service };

/// A model engine or a plain service that requests are routed to.
struct Endpoint
{
    std::string name;
    EndpointKind kind = EndpointKind::Engine;
    std::string address; ///< "IP:port"
    std::string domain;
    std::string accelerator; ///< engines only
    std::string model; ///< engines only; empty when placement decides
    std::string version; ///< engines only; version of the model's weights
    LayerRange layers; ///< engines only
    std::string service; ///< services only
    std::uint32_t slots = 1; ///< requests executed at the same time
    double speed = 1; ///< relative work rate, above zero
    bool checksFencing = false; ///< refuses orders with an old fencing number
    bool placeable = false; ///< the inventory leaves its model to placement
    std::string replica; ///< engines placed together; empty unless placed
};

/// A model that callers can name.
struct Model
{
    std::string name;
    std::string version;
    std::uint32_t layers = 0;
    double weightGigabytes = 0;
    bool nonIdempotent = false; ///< every request to it runs at most once
    bool scaleToZero = false; ///< may be unloaded everywhere when idle
    std::uint32_t alertEndpoints = 0; ///< of each layer range, kept for alerts
};

/// Idempotence of the paths of a service below a prefix.
struct PathRule
{
    std::string prefix;
    bool nonIdempotent = false;
};

/// A plain service that callers can name.
struct Service
{
    std::string name;
    std::vector<PathRule> paths; ///< the longest matching prefix applies
};

/// A team: who calls, with what share and limits.
struct Team
{
    std::string name;
    std::string tokenSha256; ///< hex digest of the bearer token
    double share = 0; ///< weight in fair queueing, above zero; all sum to at most 1
    Priority maxPriority = Priority::Normal;
    double requestsPerSecond = 0; ///< over all instances; 0 means no limit
    std::uint32_t maxConcurrent = 0; ///< over all instances; 0 means no limit
};

/// What is wrong at one place of a document.
struct Problem
{
    std::string path; ///< for example `rules.teams[3].share`
    std::string value; ///< the offending value, shortened
    std::string advice; ///< what would be accepted

    /// Returns the problem as one line of text.
    std::string text() const;
};

/// Canonical JSON text of each entry, by path (`inventory/endpoints/e1`).
using ConfigEntries = std::map<std::string, std::string, std::less<>>;

/// The change of one entry. No \c before: added; no \c after: removed.
struct ConfigEdit
{
    std::string path;
    std::optional<std::string> before;
    std::optional<std::string> after;

    bool operator==(const ConfigEdit &) const = default;
};

using ConfigEdits = std::vector<ConfigEdit>;

/// One accepted change: the step from version - 1 to version. It doubles as
/// the audit record, so that neither can exist without the other.
struct ConfigChange
{
    std::uint64_t version = 0;
    std::string id; ///< chosen by the proposer, settles a lost answer
    std::string author;
    std::string summary;
    WallMillis acceptedAt = 0;
    ConfigEdits edits;
    std::string digest; ///< covers this change and the digest before it
};

/// Version and chained digest of a configuration.
struct ConfigHead
{
    std::uint64_t version = 0;
    std::string digest;

    bool operator==(const ConfigHead &) const = default;
};

/// An immutable, checked configuration with fast look-ups. Shared between
/// threads through `std::shared_ptr<const Config>`.
class Config
{
public:
    const ConfigHead &head() const { return m_head; }
    std::span<const FailureDomain> domains() const { return m_domains; }
    std::span<const Accelerator> accelerators() const { return m_accelerators; }
    std::span<const Instance> instances() const { return m_instances; }
    std::span<const Endpoint> endpoints() const { return m_endpoints; }
    std::span<const Model> models() const { return m_models; }
    std::span<const Service> services() const { return m_services; }
    std::span<const Team> teams() const { return m_teams; }
    std::span<const Link> links() const { return m_links; }

    /// Return the named item, or nullptr when there is none.
    const Model *model(std::string_view name) const;
    const Service *service(std::string_view name) const;
    const Team *team(std::string_view name) const;
    const Endpoint *endpoint(std::string_view name) const;
    const Accelerator *accelerator(std::string_view name) const;

    /// Returns the team whose token has the hex SHA-256 \a digest, or nullptr.
    const Team *teamByToken(std::string_view digest) const;

    /// Returns the one-way latency between two failure domains. Unlisted
    /// pairs of different domains get a cautious default of 1 ms.
    Duration latency(std::string_view from, std::string_view to) const;

private:
    friend class ConfigCompiler;

    ConfigHead m_head;
    std::vector<FailureDomain> m_domains;
    std::vector<Accelerator> m_accelerators;
    std::vector<Instance> m_instances;
    std::vector<Endpoint> m_endpoints;
    std::vector<Model> m_models;
    std::vector<Service> m_services;
    std::vector<Team> m_teams;
    std::vector<Link> m_links;
    std::unordered_map<std::string, std::size_t, StringHash, std::equal_to<>> m_index;
};

using ConfigPtr = std::shared_ptr<const Config>;

/// Largest accepted inventory or rules document, in bytes.
inline constexpr std::size_t MaxDocumentBytes = 8U << 20U;

/// Splits a JSON inventory document into entries. Returns nothing and fills
/// \a problems when the text is too large, too deep, malformed, or has
/// unnamed, duplicate or unknown parts.
std::optional<ConfigEntries> parseInventory(std::string_view text, std::vector<Problem> &problems);

/// As parseInventory(), for a JSON rules document.
std::optional<ConfigEntries> parseRules(std::string_view text, std::vector<Problem> &problems);

/// Prefix of the entries that placement writes: what each free engine holds.
inline constexpr std::string_view PlacementSection = "placement/";

/// Checks \a entries as a whole and builds the look-ups. Returns nullptr and
/// fills \a problems when an entry is malformed, dangling or contradicting.
ConfigPtr compileConfig(const ConfigEntries &entries, ConfigHead head,
                        std::vector<Problem> &problems);

/// Returns the edits that turn the entries of \a from below \a section
/// ("inventory/" or "rules/") into \a to.
ConfigEdits diffEntries(const ConfigEntries &from, const ConfigEntries &to,
                        std::string_view section);

/// Applies \a edits. Returns false, leaving \a entries untouched and a reason,
/// when an entry is not as the edit's \c before says.
bool applyEdits(ConfigEntries &entries, std::span<const ConfigEdit> edits, Reason &reason);

/// Returns the edits that undo \a edits, in the order to apply them.
ConfigEdits reverseEdits(std::span<const ConfigEdit> edits);

/// Returns the paths which both \a edits and one of \a since touch, with a
/// different result: the edits that cannot be rebased.
std::vector<std::string> conflictingPaths(std::span<const ConfigEdit> edits,
                                          std::span<const ConfigChange> since);

/// Returns the chained digest (hex SHA-256) of \a change on \a previousDigest.
std::string chainDigest(std::string_view previousDigest, const ConfigChange &change);

/// Serialises a change for the table service and for peers.
std::string toJson(const ConfigChange &change);

/// Parses what toJson() wrote. Returns nothing and a reason when malformed.
std::optional<ConfigChange> changeFromJson(std::string_view text, Reason &reason);

/// Returns the hex SHA-256 digest of \a text.
std::string sha256Hex(std::string_view text);

} // namespace balsamloft
