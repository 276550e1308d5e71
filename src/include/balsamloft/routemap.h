/// \file
/// Routes by host and path, the services they lead to, and the API keys of teams: the
/// configuration of an instance that forwards complete requests.

#pragma once

#include <balsamloft/types.h>

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsamloft {

/// Whether a request may be retried, and whether its answer is a stream.
enum class RequestKind : std::uint8_t {
    Safe, ///< may be executed any number of times
    Unsafe, ///< is executed at most once
    Stream, ///< answered by a stream of events
};

/// A kind of accelerator. Its factors scale the times measured on the model's reference
/// accelerator.
struct AcceleratorKind
{
    std::string name;
    double memoryMegabytes = 0;
    double stepFactor = 1; ///< factor on the time of decode steps and their context
    double prefillFactor = 1; ///< factor on the time of prompt processing
};

/// Sizes and timings of a model whose layers are split over several engines.
struct LayeredModel
{
    std::uint32_t layers = 0;
    double layerMegabytes = 0;
    double bytesPerToken = 0; ///< KV cache of one token over all layers
    double stepMs = 0; ///< one decode step over all layers at stepFactor 1
    double perSequenceMs = 0; ///< added to a step for each sequence in the batch
    double contextMsPer1kTokens = 0; ///< added to a step for each 1,000 context tokens
    double prefillTokensPerMs = 0; ///< over all layers at prefillFactor 1
    std::uint32_t tokensPerPass = 1; ///< decode steps in one pass through the engines
    double loadSeconds = 0; ///< time to load all layers
    double activationBytes = 0; ///< sent from engine to engine for each token
    double linkBytesPerMs = 0; ///< bandwidth between two failure domains; 0: unknown
    std::uint32_t typicalPromptTokens = 0;
    std::uint32_t typicalAnswerTokens = 0;
    std::vector<AcceleratorKind> kinds;

    const AcceleratorKind *kind(std::string_view name) const;

    /// KV cache capacity, in tokens times layers, of an accelerator that holds \a heldLayers.
    double kvCapacity(const AcceleratorKind &kind, std::uint32_t heldLayers) const;

    /// Largest number of layers that \a kind can hold if it keeps the share \a headroom
    /// of its memory free for requests.
    std::uint32_t maxLayers(const AcceleratorKind &kind, double headroom) const;

    /// Time that \a kind needs to process \a tokens prompt tokens through \a heldLayers.
    double prefillMs(const AcceleratorKind &kind, double tokens, double heldLayers) const
    {
        return prefillTokensPerMs > 0 && layers > 0
                   ? tokens / prefillTokensPerMs * kind.prefillFactor * heldLayers / layers
                   : 0;
    }

    /// Time to transfer the activations of \a tokens, one after another, between two failure
    /// domains.
    double transferMs(double tokens) const
    {
        return linkBytesPerMs > 0 ? tokens * activationBytes / linkBytesPerMs : 0;
    }
};

/// A group of endpoints to which routes refer by name.
struct RoutedService
{
    std::string name;
    std::uint32_t maxConnections = 0; ///< limit for one endpoint, over all instances
    std::optional<LayeredModel> model; ///< set if the endpoints are engines that hold layers
    /// Whether its routes have different priorities. Set by RouteMapBuilder::build().
    bool hasPriorities = false;
};

/// One target of a route and its share of the requests.
struct RouteTarget
{
    std::uint32_t service = 0; ///< index in RouteMap::services()
    double weight = 1;
};

/// Targets and rules for the requests to one host below one path prefix.
struct Route
{
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    RequestKind kind = RequestKind::Safe;
    Duration timeout {}; ///< longest time until a request is answered or refused
    Duration targetLatency {};
    Duration targetEventPause {}; ///< longest pause between two events that meets the target
    int priority = 0; ///< 0 is the highest
    std::uint32_t maxAttempts = 1; ///< number of endpoints that may execute one request
    bool anonymous = false; ///< accepts requests without an API key
    bool resumable = false; ///< a stream may continue at another endpoint
    std::vector<RouteTarget> targets; ///< at least one

    /// Whether a request may be executed more than once.
    bool idempotent() const
    {
        return kind == RequestKind::Safe || (kind == RequestKind::Stream && resumable);
    }
};

/// A team with API keys.
struct RoutedTeam
{
    std::string name;
    std::optional<int> priority; ///< overrides the route's priority
};

/// Limits on the size and duration of callers' requests.
struct RequestLimits
{
    std::uint32_t maxHeaderBytes = 16384;
    std::uint64_t maxBodyBytes = 4U << 20U;
    Duration headerTimeout {3'000'000};
    Duration idleTimeout {15'000'000};
};

/// One version of the configuration. Immutable once built, so that all decisions
/// on a request follow the same version.
class RouteMap
{
public:
    std::uint64_t version() const { return m_version; }

    /// The route of \a host with the longest prefix of \a path, or null.
    const Route *match(std::string_view host, std::string_view path) const;

    /// The team with the API key \a key, or null.
    const RoutedTeam *team(std::string_view key) const;

    /// The service with that name, or null.
    const RoutedService *serviceNamed(std::string_view name) const;

    /// Index of the service to which \a route sends the request \a requestId. Depends on
    /// the id alone, so that every instance selects the same service.
    std::uint32_t target(const Route &route, std::string_view requestId) const;

    const std::vector<Route> &routes() const { return m_routes; }
    const std::vector<RoutedService> &services() const { return m_services; }
    const RequestLimits &limits() const { return m_limits; }

    /// Whether requests need a team's API key, except on routes for anonymous callers. With a list
    /// of teams that is empty, nobody has one.
    bool requiresKeys() const { return m_requiresKeys; }

private:
    friend class RouteMapBuilder;

    std::uint64_t m_version = 0;
    std::vector<Route> m_routes;
    std::vector<RoutedService> m_services;
    std::vector<RoutedTeam> m_teams;
    bool m_requiresKeys = false;
    std::unordered_map<std::string, std::uint32_t, StringHash, std::equal_to<>> m_keys;
    /// Indexes of each host's routes, longest prefix first.
    std::unordered_map<std::string, std::vector<std::uint32_t>, StringHash, std::equal_to<>>
        m_hosts;
    RequestLimits m_limits;
};

using RouteMapPtr = std::shared_ptr<const RouteMap>;

/// Builds a RouteMap. A route without a known service is skipped and the reason is recorded, so
/// that one invalid entry doesn't disable the others.
class RouteMapBuilder
{
public:
    explicit RouteMapBuilder(std::uint64_t version);

    RouteMapBuilder &service(RoutedService service);

    /// \a targets holds names of services and their weights.
    RouteMapBuilder &route(Route route, std::vector<std::pair<std::string, double>> targets);

    /// The configuration has a list of teams, which may be empty, see RouteMap::requiresKeys().
    RouteMapBuilder &requireKeys();

    /// Adds a team; implies requireKeys().
    RouteMapBuilder &team(RoutedTeam team, const std::vector<std::string> &keys);
    RouteMapBuilder &limits(RequestLimits limits);

    /// For each skipped route, its name and the reason.
    const std::vector<Reason> &skippedRoutes() const { return m_skippedRoutes; }

    RouteMapPtr build();

private:
    std::shared_ptr<RouteMap> m_map;
    std::vector<std::pair<Route, std::vector<std::pair<std::string, double>>>> m_pending;
    std::vector<Reason> m_skippedRoutes;
};

} // namespace balsamloft
