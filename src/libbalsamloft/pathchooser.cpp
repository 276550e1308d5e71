#include <balsamloft/pathchooser.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace balsamloft {

namespace {

constexpr double NoCost = std::numeric_limits<double>::infinity();

/// An engine that may be part of a path, with its times per layer.
struct Candidate
{
    const FleetEndpoint *endpoint = nullptr;
    double prefillMs = 0; ///< of the prompt, per layer
    double passMs = 0; ///< of one pass, which gives one event, per layer
    double factor = 1; ///< on the engine's cost, for fullness, failures and noise
    double fullness = 0; ///< KV memory of all requests, this one included, over the capacity
    bool full = false;
    bool mayBegin = true; ///< may run the first layers of the path
    std::size_t domain = 0; ///< index in DomainChangeCosts
};

/// Costs of going from one domain to another inside a path.
class DomainChangeCosts
{
public:
    /// Numbers the domains of \a candidates.
    explicit DomainChangeCosts(std::vector<Candidate> &candidates)
    {
        for (Candidate &each : candidates) {
            const auto [it, inserted] =
                m_numbers.try_emplace(each.endpoint->domain, m_numbers.size());
            each.domain = it->second;
        }
    }

    /// Sets the costs. \a costOf takes the names of two domains.
    template<typename CostOf>
    void fill(CostOf costOf)
    {
        m_costs.assign(m_numbers.size() * m_numbers.size(), 0);
        for (const auto &[from, i] : m_numbers)
            for (const auto &[to, j] : m_numbers)
                m_costs[i * m_numbers.size() + j] = i == j ? 0 : costOf(from, to);
    }

    std::size_t count() const { return m_numbers.size(); }

    double cost(std::size_t from, std::size_t to) const
    {
        return m_costs[from * m_numbers.size() + to];
    }

private:
    std::map<std::string_view, std::size_t> m_numbers;
    std::vector<double> m_costs;
};

/// The cheapest path found over all layers before a boundary: its cost, and the entry of the search
/// table for the path without its last part.
struct PartialPath
{
    double cost = NoCost;
    std::size_t fromBoundary = 0;
    std::size_t candidate = 0; ///< the engine that runs the layers before fromBoundary
};

/// Finds the cheapest path over a set of engines by dynamic programming. Boundaries are the
/// layers where an engine's range begins or ends. For each boundary and each engine, the table
/// has the cheapest partial path whose last part ends there and runs on that engine.
class Search
{
public:
    Search(std::vector<Candidate> candidates, const LayeredModel &model, const PathPart *firstPart,
           double passes, double hopCost, double referenceMs,
           const DomainChangeCosts &domainChangeCosts)
        : m_candidates(std::move(candidates))
        , m_model(model)
        , m_firstPart(firstPart)
        , m_passes(passes)
        , m_hopCost(hopCost)
        , m_referenceMs(referenceMs)
        , m_domainChangeCosts(domainChangeCosts)
    {
        collectBoundaries();
    }

    /// Returns the cost of the cheapest path, infinite if there is none. With \a fullRanges,
    /// each part extends to the last layer of its engine, so that no engine can occur twice.
    double run(bool fullRanges)
    {
        const std::size_t engines = m_candidates.size();
        m_table.assign(m_boundaries.size() * engines, PartialPath {});
        for (std::size_t boundary = 0; boundary + 1 < m_boundaries.size(); ++boundary) {
            findCheapest(boundary);
            for (std::size_t engine = 0; engine < engines; ++engine)
                extend(boundary, engine, fullRanges);
        }
        return findLastEngine();
    }

    /// The parts of the path found, in order; empty if an engine occurs twice.
    std::vector<std::pair<std::size_t, LayerRange>> parts() const
    {
        std::vector<std::pair<std::size_t, LayerRange>> parts;
        std::set<std::size_t> seen;
        std::size_t boundary = m_boundaries.size() - 1;
        std::size_t engine = m_last;
        while (boundary > 0) {
            const PartialPath &partial = m_table[boundary * m_candidates.size() + engine];
            if (!seen.insert(engine).second)
                return {};
            parts.push_back({engine, {m_boundaries[partial.fromBoundary], m_boundaries[boundary]}});
            boundary = partial.fromBoundary;
            engine = partial.candidate;
        }
        std::reverse(parts.begin(), parts.end());
        return parts;
    }

    const Candidate &candidate(std::size_t index) const { return m_candidates[index]; }

private:
    void collectBoundaries()
    {
        m_boundaries = {0, m_model.layers};
        if (m_firstPart)
            m_boundaries.push_back(m_firstPart->layers.end);
        for (const Candidate &each : m_candidates) {
            m_boundaries.push_back(each.endpoint->layers.begin);
            m_boundaries.push_back(std::min(each.endpoint->layers.end, m_model.layers));
        }
        std::sort(m_boundaries.begin(), m_boundaries.end());
        m_boundaries.erase(std::unique(m_boundaries.begin(), m_boundaries.end()),
                           m_boundaries.end());
    }

    /// The two cheapest partial paths to a boundary that end in the same domain.
    struct CheapestTwo
    {
        PartialPath first;
        PartialPath second;

        void add(const PartialPath &partial)
        {
            if (partial.cost < first.cost)
                second = std::exchange(first, partial);
            else if (partial.cost < second.cost)
                second = partial;
        }
    };

    /// Finds the cheapest partial paths to \a boundary by domain. The cost of continuing a partial
    /// path depends only on the domain in which the path ends. Comparing all engines instead would
    /// keep the CPU of a small instance busy for tens of milliseconds with a thousand engines.
    void findCheapest(std::size_t boundary)
    {
        m_cheapest.assign(m_domainChangeCosts.count(), CheapestTwo {});
        const std::size_t engines = m_candidates.size();
        for (std::size_t last = 0; last < engines; ++last)
            m_cheapest[m_candidates[last].domain].add(
                {m_table[boundary * engines + last].cost, boundary, last});
    }

    /// The cheapest partial path to \a boundary that \a engine can continue. Needs
    /// findCheapest() for this boundary.
    PartialPath cheapestBefore(std::size_t boundary, std::size_t engine) const
    {
        PartialPath best;
        if (boundary == 0) {
            best.cost = 0;
            return best;
        }
        for (std::size_t domain = 0; domain < m_cheapest.size(); ++domain) {
            const CheapestTwo &from = m_cheapest[domain];
            PartialPath partial = from.first.candidate == engine ? from.second : from.first;
            partial.cost +=
                m_hopCost + m_domainChangeCosts.cost(domain, m_candidates[engine].domain);
            if (partial.cost < best.cost)
                best = partial;
        }
        return best;
    }

    void extend(std::size_t boundary, std::size_t engine, bool fullRanges)
    {
        const Candidate &each = m_candidates[engine];
        const LayerRange held = each.endpoint->layers;
        if (m_boundaries[boundary] < held.begin || m_boundaries[boundary] >= held.end)
            return;
        if (boundary == 0
            && (!each.mayBegin || (m_firstPart && each.endpoint->id != m_firstPart->endpoint)))
            return;
        const PartialPath before = cheapestBefore(boundary, engine);
        if (before.cost == NoCost)
            return;
        for (std::size_t to = boundary + 1;
             to < m_boundaries.size() && m_boundaries[to] <= held.end; ++to) {
            const bool fixed = m_firstPart && boundary == 0;
            if (fixed ? m_boundaries[to] != m_firstPart->layers.end
                      : fullRanges && m_boundaries[to] != std::min(held.end, m_model.layers))
                continue;
            const double layers = m_boundaries[to] - m_boundaries[boundary];
            const double cost = before.cost + each.factor * partCost(layers, each);
            PartialPath &partial = m_table[to * m_candidates.size() + engine];
            if (cost < partial.cost)
                partial = {cost, boundary, before.candidate};
        }
    }

    /// Costs grow with the square root of the time, see PathSettings::referenceMs.
    double partCost(double layers, const Candidate &candidate) const
    {
        const double modelMs =
            m_model.layers * (2 * candidate.prefillMs + m_passes * candidate.passMs);
        return layers / m_model.layers * std::sqrt(modelMs * m_referenceMs);
    }

    double findLastEngine()
    {
        const std::size_t engines = m_candidates.size();
        const std::size_t end = (m_boundaries.size() - 1) * engines;
        double best = NoCost;
        for (std::size_t engine = 0; engine < engines; ++engine)
            if (m_table[end + engine].cost < best) {
                best = m_table[end + engine].cost;
                m_last = engine;
            }
        return best;
    }

    std::vector<Candidate> m_candidates;
    const LayeredModel &m_model;
    const PathPart *m_firstPart;
    double m_passes;
    double m_hopCost;
    double m_referenceMs;
    const DomainChangeCosts &m_domainChangeCosts;
    std::vector<std::uint32_t> m_boundaries;
    std::vector<PartialPath> m_table;
    std::vector<CheapestTwo> m_cheapest; ///< by domain, at the current boundary
    std::size_t m_last = 0;
};

/// Returns the usable engines with their times under the current load.
std::vector<Candidate> candidates(const FleetSnapshot &fleet, const RoutedService &service,
                                  const EngineTracker &tracker, const PathQuery &query, Time now,
                                  const PathSettings &settings)
{
    const LayeredModel &model = *service.model;
    std::vector<Candidate> found;
    for (const FleetEndpoint &each : fleet.endpoints) {
        const AcceleratorKind *kind = model.kind(each.kind);
        if (each.service != service.name || each.draining || !kind
            || each.layers.end <= each.layers.begin || !tracker.usable(each.id, now))
            continue;
        if (query.excluded && query.excluded->contains(each.id))
            continue;
        const EngineEstimate *estimate = tracker.find(each.id);
        const EngineLoad load = tracker.load(each.id, each.domain, now);
        const double requests = 1 + load.requests;
        const double stepFactor =
            kind->stepFactor * (estimate && now < estimate->slowdownUntil ? estimate->slowdown : 1);
        const double contextKTokens =
            (model.typicalPromptTokens + model.typicalAnswerTokens / 2.0) / 1000;
        const double stepMs =
            model.stepMs
            + requests * (model.perSequenceMs + contextKTokens * model.contextMsPer1kTokens);
        const std::uint32_t held = each.layers.length();
        const double need = static_cast<double>(query.promptTokens + query.answerTokens) * held;
        const double capacity = std::max(1.0, model.kvCapacity(*kind, held));
        Candidate candidate;
        candidate.endpoint = &each;
        candidate.mayBegin = !query.excludedAsFirst || !query.excludedAsFirst->contains(each.id);
        // Running requests still need memory for the rest of their answers, and queued
        // requests get their memory before this request.
        const double growth =
            load.reported
                ? (load.requests * model.typicalAnswerTokens / 2
                   + load.queued * (model.typicalPromptTokens + model.typicalAnswerTokens))
                      * held
                : 0;
        candidate.fullness = (load.used + growth + need) / capacity;
        candidate.full = candidate.fullness > (load.reported ? settings.maxReportedFullness
                                                             : settings.maxEstimatedFullness);
        candidate.prefillMs = model.prefillMs(*kind, query.promptTokens, 1);
        candidate.passMs = model.tokensPerPass * stepMs * stepFactor / model.layers;
        candidate.factor =
            1 + settings.fullnessWeight * std::pow(std::min(candidate.fullness, 3.0), 4)
            + 2 * tracker.failureShare(each.id, now);
        found.push_back(candidate);
    }
    return found;
}

} // namespace

PathChooser::PathChooser(PathSettings settings)
    : m_settings(settings)
{
}

double PathChooser::costNoise(double instances) const
{
    return std::min(m_settings.maxCostNoise,
                    m_settings.costNoisePerRoot * std::sqrt(std::max(1.0, instances)));
}

std::optional<EnginePath> PathChooser::choose(const FleetSnapshot &fleet,
                                              const RoutedService &service,
                                              const EngineTracker &tracker, const PathQuery &query,
                                              Time now, std::mt19937_64 &random) const
{
    const LayeredModel &model = *service.model;
    const double passes =
        std::max(1.0, static_cast<double>(query.answerTokens) / std::max(1U, model.tokensPerPass));
    const double hopCost = m_settings.hopMs * passes;
    std::lognormal_distribution<double> noise(
        0, std::max(costNoise(tracker.sharingInstances()), query.minCostNoise));
    std::vector<Candidate> usable = candidates(fleet, service, tracker, query, now, m_settings);
    for (Candidate &each : usable)
        each.factor *= noise(random);

    DomainChangeCosts domainChangeCosts(usable);
    const double transferMs = model.transferMs(query.promptTokens);
    domainChangeCosts.fill([&](std::string_view from, std::string_view to) {
        const double load = tracker.linkLoad(from, to, now);
        if (load >= m_settings.maxLinkLoad)
            return NoCost;
        return m_settings.domainChangePenaltyMs + 2 * transferMs / (1 - load);
    });
    std::map<std::string_view, std::vector<Candidate>> domains;
    for (const Candidate &each : usable)
        domains[each.endpoint->domain].push_back(each);
    std::optional<Search> best;
    double bestCost = NoCost;
    const auto searchAmong = [&](std::vector<Candidate> engines, double factor, double penalty) {
        Search search(std::move(engines), model, query.firstPart, passes, hopCost,
                      m_settings.referenceMs, domainChangeCosts);
        double cost = search.run(false);
        if (cost != NoCost && search.parts().empty())
            cost = search.run(true);
        if (cost == NoCost || search.parts().empty() || cost * factor + penalty >= bestCost)
            return;
        bestCost = cost * factor + penalty;
        best.emplace(std::move(search));
    };
    if (const auto ownDomain = domains.find(query.domain); ownDomain != domains.end()) {
        searchAmong(std::move(ownDomain->second), 1, 0);
        domains.erase(ownDomain);
    }
    const bool ownFound = best.has_value();
    for (auto &[domain, engines] : domains)
        searchAmong(std::move(engines), m_settings.otherDomainFactor,
                    m_settings.otherDomainPenaltyMs);
    // Paths through several domains: a path that mostly stays in this instance's domain puts less
    // load on the other domains than a path that lies entirely in another domain.
    if (!ownFound)
        searchAmong(usable, 1, 0);
    // A path over a busy link is better than none.
    if (!best) {
        domainChangeCosts.fill(
            [&](std::string_view, std::string_view) { return m_settings.domainChangePenaltyMs; });
        searchAmong(std::move(usable), 1, 0);
    }
    if (!best)
        return std::nullopt;

    EnginePath path;
    for (const auto &[index, layers] : best->parts()) {
        const Candidate &each = best->candidate(index);
        path.parts.push_back({each.endpoint->id, each.endpoint->address, layers});
        const double count = layers.length();
        path.eventIntervalMs += count * each.passMs + m_settings.hopMs;
        path.firstEventMs += count * each.prefillMs;
        path.full = path.full || each.full;
    }
    path.firstEventMs += path.eventIntervalMs;
    path.domain = fleet.find(path.parts.front().endpoint)->domain;
    return path;
}

} // namespace balsamloft
