/// \file
/// The configuration: inventory and rules, their validation, and the hash-chained log of
/// changes between versions.

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
    double tokensPerSecond = 0; ///< decode rate of a full batch through all layers of a model
};

/// An entry instance of the router.
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
    std::string model; ///< engines only; empty if placement assigns it
    std::string version; ///< engines only; version of the model's weights
    LayerRange layers; ///< engines only
    std::string service; ///< services only
    std::uint32_t slots = 1; ///< requests executed at the same time
    double speed = 1; ///< relative processing speed, above zero
    bool checksFencing = false; ///< rejects orders with an outdated fencing token
    bool placeable = false; ///< the inventory assigns no model, so placement does
    std::string replica; ///< replica that placement assigned the engine to, or empty
};

/// A model that callers can request.
struct Model
{
    std::string name;
    std::string version;
    std::uint32_t layers = 0;
    double weightGigabytes = 0;
    bool nonIdempotent = false; ///< every request to the model runs at most once
    bool scaleToZero = false; ///< an idle model may be unloaded from all engines
    std::uint32_t alertEndpoints = 0; ///< endpoints reserved for alerts in each layer range
};

/// Idempotence of a service's paths that begin with a prefix.
struct PathRule
{
    std::string prefix;
    bool nonIdempotent = false;
};

/// A plain service that callers can request.
struct Service
{
    std::string name;
    std::vector<PathRule> paths; ///< the rule with the longest matching prefix applies
};

/// A team (customer or tenant) with its share of the fleet and its limits.
struct Team
{
    std::string name;
    std::string tokenSha256; ///< hex digest of the bearer token
    double share = 0; ///< weight in fair queueing, above zero; all shares sum to at most 1
    Priority maxPriority = Priority::Normal;
    double requestsPerSecond = 0; ///< over all instances; 0: no limit
    std::uint32_t maxConcurrent = 0; ///< running requests over all instances; 0: no limit
};

/// A validation error in a document.
struct Problem
{
    std::string path; ///< for example `rules.teams[3].share`
    std::string value; ///< the invalid value, truncated
    std::string advice; ///< the values that are accepted

    /// Formats the problem as one line of text.
    std::string text() const;
};

/// Canonical JSON text of each entry, by path (`inventory/endpoints/e1`).
using ConfigEntries = std::map<std::string, std::string, std::less<>>;

/// The change of one entry. If \c before is absent, the entry is added; if \c after is absent, the
/// entry is removed.
struct ConfigEdit
{
    std::string path;
    std::optional<std::string> before;
    std::optional<std::string> after;

    bool operator==(const ConfigEdit &) const = default;
};

using ConfigEdits = std::vector<ConfigEdit>;

/// One accepted change, which leads from the previous version to \c version. The record also
/// serves as the audit log entry, so a change and its audit entry cannot differ.
struct ConfigChange
{
    std::uint64_t version = 0;
    std::string id; ///< chosen by the proposer; used to find a commit whose answer was lost
    std::string author;
    std::string summary;
    WallMillis acceptedAt = 0;
    ConfigEdits edits;
    std::string digest; ///< hash of this change and of the previous change's digest
};

/// Version of a configuration and digest of the change that led to it.
struct ConfigHead
{
    std::uint64_t version = 0;
    std::string digest;

    bool operator==(const ConfigHead &) const = default;
};

/// An immutable, validated configuration with indexed lookups. Threads share it through
/// `std::shared_ptr<const Config>`.
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

    /// Return the item with this name, or nullptr.
    const Model *model(std::string_view name) const;
    const Service *service(std::string_view name) const;
    const Team *team(std::string_view name) const;
    const Endpoint *endpoint(std::string_view name) const;
    const Accelerator *accelerator(std::string_view name) const;

    /// Returns the team whose token has the hex SHA-256 \a digest, or nullptr.
    const Team *teamByToken(std::string_view digest) const;

    /// Returns the one-way latency between two failure domains. Pairs of different domains
    /// without a link in the inventory get a conservative default of 1 ms.
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

/// Maximum size of an inventory or rules document, in bytes.
inline constexpr std::size_t MaxDocumentBytes = 8U << 20U;

/// Splits a JSON inventory document into entries. Returns nullopt and fills \a problems if
/// the text is too large, nested too deeply or malformed, or if it has unnamed, duplicate or
/// unknown parts.
std::optional<ConfigEntries> parseInventory(std::string_view text, std::vector<Problem> &problems);

/// Same as parseInventory(), for a JSON rules document.
std::optional<ConfigEntries> parseRules(std::string_view text, std::vector<Problem> &problems);

/// Prefix of the entries that placement writes: the model and layers of each engine that the
/// inventory leaves to placement.
inline constexpr std::string_view PlacementSection = "placement/";

/// Validates \a entries as a whole and builds the indexes. Returns nullptr and fills
/// \a problems if an entry is malformed, refers to a missing entry or contradicts another.
ConfigPtr compileConfig(const ConfigEntries &entries, ConfigHead head,
                        std::vector<Problem> &problems);

/// Returns the edits that turn the entries of \a from into those of \a to, restricted to
/// paths that begin with \a section ("inventory/" or "rules/").
ConfigEdits diffEntries(const ConfigEntries &from, const ConfigEntries &to,
                        std::string_view section);

/// Applies \a edits. If an entry differs from the edit's \c before, returns false, sets
/// \a reason and leaves \a entries unchanged.
bool applyEdits(ConfigEntries &entries, std::span<const ConfigEdit> edits, Reason &reason);

/// Returns the edits that undo \a edits, in the order in which to apply them.
ConfigEdits reverseEdits(std::span<const ConfigEdit> edits);

/// Returns the paths to which \a edits and the changes \a since assign different values. Edits
/// with such a path cannot be rebased.
std::vector<std::string> conflictingPaths(std::span<const ConfigEdit> edits,
                                          std::span<const ConfigChange> since);

/// Returns the chained digest (hex SHA-256) of \a previousDigest and \a change.
std::string chainDigest(std::string_view previousDigest, const ConfigChange &change);

/// Serialises a change to JSON for the table service and for peers.
std::string toJson(const ConfigChange &change);

/// Parses the output of toJson(). Returns nullopt and sets \a reason if it is malformed.
std::optional<ConfigChange> changeFromJson(std::string_view text, Reason &reason);

/// Returns the hex SHA-256 digest of \a text.
std::string sha256Hex(std::string_view text);

} // namespace balsamloft
