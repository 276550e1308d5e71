/// \file
/// Routes by host and path, the services behind them, and the teams' keys: the
/// configuration of an instance that forwards whole requests.

#pragma once

#include <balsamloft/types.h>

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsamloft {

/// What may be repeated, and in which form the answer comes.
enum class RequestKind : std::uint8_t {
    Safe, ///< may be executed any number of times
    Unsafe, ///< is executed at most once
    Stream, ///< answered by a series of events
};

/// A kind of accelerator, as factors on the times of the model's reference card.
struct AcceleratorKind
{
    std::string name;
    double memoryMegabytes = 0;
    double pace = 1; ///< factor on steps and context
    double prefillFactor = 1; ///< factor on reading prompts
};

/// What is known of engines that each hold a range of one model's layers.
struct LayeredModel
{
    std::uint32_t layers = 0;
    double layerMegabytes = 0;
    double bytesPerToken = 0; ///< KV memory of one token over all layers
    double stepMs = 0; ///< one step over all layers at pace 1
    double perSequenceMs = 0; ///< added to a step for each sequence
    double contextMsPer1kTokens = 0; ///< added for each 1,000 tokens of context of a sequence
    double prefillTokensPerMs = 0; ///< prompt tokens over all layers at factor 1
    std::uint32_t tokensPerPass = 1; ///< steps in a pass
    double loadSeconds = 0; ///< to load all layers
    double activationBytes = 0; ///< of one token, passed from engine to engine
    double linkBytesPerMs = 0; ///< of a pipe between two domains; 0: not told
    std::uint32_t typicalPromptTokens = 0;
    std::uint32_t typicalAnswerTokens = 0;
    std::vector<AcceleratorKind> kinds;

    const AcceleratorKind *kind(std::string_view name) const;

    /// KV room, in tokens times layers, of an accelerator that holds \a held layers.
    double room(const AcceleratorKind &kind, std::uint32_t held) const;

    /// Layers that \a kind can hold when it keeps the share \a room of its memory
    /// for requests; at most all.
    std::uint32_t maxLayers(const AcceleratorKind &kind, double room) const;

    /// Time that \a kind needs to read \a tokens through \a held layers.
    double prefillMs(const AcceleratorKind &kind, double tokens, double held) const
    {
        return prefillTokensPerMs > 0 && layers > 0
                   ? tokens / prefillTokensPerMs * kind.prefillFactor * held / layers
                   : 0;
    }

    /// Time that \a tokens take through a pipe between two domains, one after another.
    double crossingMs(double tokens) const
    {
        return linkBytesPerMs > 0 ? tokens * activationBytes / linkBytesPerMs : 0;
    }
};

/// A group of endpoints that routes name.
struct RoutedService
{
    std::string name;
    std::uint32_t maxConnections = 0; ///< that one endpoint accepts from all callers
    std::optional<LayeredModel> model; ///< set: its endpoints hold layers
};

/// One target of a route and its share of the requests.
struct RouteTarget
{
    std::uint32_t service = 0; ///< index in RouteMap::services()
    double weight = 1;
};

/// Where the requests of a host below a path go, and how.
struct Route
{
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    RequestKind kind = RequestKind::Safe;
    Duration timeout {}; ///< longest time that a request is kept
    Duration targetLatency {};
    Duration targetEventGap {}; ///< longest pause between events that is on time
    int priority = 0; ///< 0 is the highest
    std::uint32_t maxAttempts = 1; ///< endpoints that may execute one request
    bool anonymous = false; ///< needs no key
    bool resumable = false; ///< a stream may go on at another endpoint
    std::vector<RouteTarget> targets; ///< at least one

    /// Whether a second execution of a request does no harm.
    bool idempotent() const
    {
        return kind == RequestKind::Safe || (kind == RequestKind::Stream && resumable);
    }
};

/// A team that holds keys.
struct RoutedTeam
{
    std::string name;
    std::optional<int> priority; ///< goes before the route's
};

/// Bounds on what callers may send.
struct RequestLimits
{
    std::uint32_t maxHeaderBytes = 16384;
    std::uint64_t maxBodyBytes = 4U << 20U;
    Duration headerTimeout {3'000'000};
    Duration idleTimeout {15'000'000};
};

/// One version of the configuration. Immutable once built, so that a request
/// is decided by one version from end to end.
class RouteMap
{
public:
    std::uint64_t version() const { return m_version; }

    /// The route of \a host with the longest prefix that begins \a path.
    const Route *match(std::string_view host, std::string_view path) const;

    /// The team that holds \a key, or nothing.
    const RoutedTeam *team(std::string_view key) const;

    /// The service with that name, or nothing.
    const RoutedService *serviceNamed(std::string_view name) const;

    /// Index of the target of \a route for the request \a requestId: the same
    /// request gets the same one at each instance.
    std::uint32_t target(const Route &route, std::string_view requestId) const;

    const std::vector<Route> &routes() const { return m_routes; }
    const std::vector<RoutedService> &services() const { return m_services; }
    const RequestLimits &limits() const { return m_limits; }
    bool hasTeams() const { return !m_teams.empty(); }

private:
    friend class RouteMapBuilder;

    std::uint64_t m_version = 0;
    std::vector<Route> m_routes;
    std::vector<RoutedService> m_services;
    std::vector<RoutedTeam> m_teams;
    std::unordered_map<std::string, std::uint32_t, StringHash, std::equal_to<>> m_keys;
    /// Indexes of a host's routes, those with longer prefixes first.
    std::unordered_map<std::string, std::vector<std::uint32_t>, StringHash, std::equal_to<>>
        m_hosts;
    RequestLimits m_limits;
};

using RouteMapPtr = std::shared_ptr<const RouteMap>;

/// Puts a RouteMap together. A route that names an unknown service is left
/// out, with a reason: one bad entry must not take the others out of service.
class RouteMapBuilder
{
public:
    explicit RouteMapBuilder(std::uint64_t version);

    RouteMapBuilder &service(RoutedService service);

    /// \a targets: names of services and weights.
    RouteMapBuilder &route(Route route, std::vector<std::pair<std::string, double>> targets);
    RouteMapBuilder &team(RoutedTeam team, const std::vector<std::string> &keys);
    RouteMapBuilder &limits(RequestLimits limits);

    /// Reasons for what was left out.
    const std::vector<Reason> &leftOut() const { return m_leftOut; }

    RouteMapPtr build();

private:
    std::shared_ptr<RouteMap> m_table;
    std::vector<std::pair<Route, std::vector<std::pair<std::string, double>>>> m_pending;
    std::vector<Reason> m_leftOut;
};

} // namespace balsamloft
