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
    double prefillMs = 0; ///< to read the prompt, for each layer
    double passMs = 0; ///< a pass (one event), for each layer
    double factor = 1; ///< dearer when nearly full
    double fullness = 0;
    bool full = false;
    bool mayBegin = true;
    std::size_t domain = 0; ///< number of its domain
};

/// What it costs to go from one domain to another inside a path.
class Crossings
{
public:
    /// Numbers the domains of \a candidates.
    explicit Crossings(std::vector<Candidate> &candidates)
    {
        for (Candidate &each : candidates) {
            const auto [it, fresh] = m_numbers.try_emplace(each.endpoint->domain, m_numbers.size());
            each.domain = it->second;
        }
    }

    /// \a costOf: of a pair of domains' names.
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

/// A cheapest way to have run the layers before a cut.
struct Step
{
    double cost = NoCost;
    std::size_t fromCut = 0;
    std::size_t candidate = 0;
};

/// The search over one set of engines: a table of the cheapest ways to each
/// cut, for each engine that may run the last layers before it.
class Search
{
public:
    Search(std::vector<Candidate> candidates, const LayeredModel &model, const PathPart *first,
           double passes, double hopCost, double referenceMs, const Crossings &crossings)
        : m_candidates(std::move(candidates))
        , m_model(model)
        , m_first(first)
        , m_passes(passes)
        , m_hopCost(hopCost)
        , m_referenceMs(referenceMs)
        , m_crossings(crossings)
    {
        collectCuts();
    }

    /// Cost of the cheapest path; infinite when there is none. \a whole: engines
    /// run all layers from where they begin, so that none can come twice.
    double run(bool whole)
    {
        const std::size_t engines = m_candidates.size();
        m_table.assign(m_cuts.size() * engines, Step {});
        for (std::size_t cut = 0; cut + 1 < m_cuts.size(); ++cut) {
            rankArrivals(cut);
            for (std::size_t engine = 0; engine < engines; ++engine)
                extend(cut, engine, whole);
        }
        return finish();
    }

    /// The parts of the path found, in order; empty when an engine comes twice.
    std::vector<std::pair<std::size_t, LayerRange>> parts() const
    {
        std::vector<std::pair<std::size_t, LayerRange>> parts;
        std::set<std::size_t> seen;
        std::size_t cut = m_cuts.size() - 1;
        std::size_t engine = m_last;
        while (cut > 0) {
            const Step &step = m_table[cut * m_candidates.size() + engine];
            if (!seen.insert(engine).second)
                return {};
            parts.push_back({engine, {m_cuts[step.fromCut], m_cuts[cut]}});
            cut = step.fromCut;
            engine = step.candidate;
        }
        std::reverse(parts.begin(), parts.end());
        return parts;
    }

    const Candidate &candidate(std::size_t index) const { return m_candidates[index]; }

private:
    void collectCuts()
    {
        m_cuts = {0, m_model.layers};
        if (m_first)
            m_cuts.push_back(m_first->layers.end);
        for (const Candidate &each : m_candidates) {
            m_cuts.push_back(each.endpoint->layers.begin);
            m_cuts.push_back(std::min(each.endpoint->layers.end, m_model.layers));
        }
        std::sort(m_cuts.begin(), m_cuts.end());
        m_cuts.erase(std::unique(m_cuts.begin(), m_cuts.end()), m_cuts.end());
    }

    /// The two engines of a domain that run the layers before a cut at the least cost.
    struct Arrivals
    {
        Step first;
        Step second;

        void add(const Step &step)
        {
            if (step.cost < first.cost)
                second = std::exchange(first, step);
            else if (step.cost < second.cost)
                second = step;
        }
    };

    /// What an engine costs that goes on depends on the domain of the one before it
    /// alone. Compared with each of them instead, a choice among a thousand engines
    /// takes the processor of a small instance for tens of milliseconds.
    void rankArrivals(std::size_t cut)
    {
        m_arrivals.assign(m_crossings.count(), Arrivals {});
        const std::size_t engines = m_candidates.size();
        for (std::size_t last = 0; last < engines; ++last)
            m_arrivals[m_candidates[last].domain].add(
                {m_table[cut * engines + last].cost, cut, last});
    }

    /// Cheapest way to be at \a cut before \a engine goes on; the cut is ranked.
    Step arrive(std::size_t cut, std::size_t engine) const
    {
        Step best;
        if (cut == 0) {
            best.cost = 0;
            return best;
        }
        for (std::size_t domain = 0; domain < m_arrivals.size(); ++domain) {
            const Arrivals &from = m_arrivals[domain];
            Step step = from.first.candidate == engine ? from.second : from.first;
            step.cost += m_hopCost + m_crossings.cost(domain, m_candidates[engine].domain);
            if (step.cost < best.cost)
                best = step;
        }
        return best;
    }

    void extend(std::size_t cut, std::size_t engine, bool whole)
    {
        const Candidate &each = m_candidates[engine];
        const LayerRange held = each.endpoint->layers;
        if (m_cuts[cut] < held.begin || m_cuts[cut] >= held.end)
            return;
        if (cut == 0 && (!each.mayBegin || (m_first && each.endpoint->id != m_first->endpoint)))
            return;
        const Step before = arrive(cut, engine);
        if (before.cost == NoCost)
            return;
        for (std::size_t to = cut + 1; to < m_cuts.size() && m_cuts[to] <= held.end; ++to) {
            const bool fixed = m_first && cut == 0;
            if (fixed ? m_cuts[to] != m_first->layers.end
                      : whole && m_cuts[to] != std::min(held.end, m_model.layers))
                continue;
            const double layers = m_cuts[to] - m_cuts[cut];
            const double cost = before.cost + each.factor * partCost(layers, each);
            Step &step = m_table[to * m_candidates.size() + engine];
            if (cost < step.cost)
                step = {cost, cut, before.candidate};
        }
    }

    /// Engines' times count by their root, see PathSettings::referenceMs.
    double partCost(double layers, const Candidate &candidate) const
    {
        const double wholeMs =
            m_model.layers * (2 * candidate.prefillMs + m_passes * candidate.passMs);
        return layers / m_model.layers * std::sqrt(wholeMs * m_referenceMs);
    }

    double finish()
    {
        const std::size_t engines = m_candidates.size();
        const std::size_t end = (m_cuts.size() - 1) * engines;
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
    const PathPart *m_first;
    double m_passes;
    double m_hopCost;
    double m_referenceMs;
    const Crossings &m_crossings;
    std::vector<std::uint32_t> m_cuts;
    std::vector<Step> m_table;
    std::vector<Arrivals> m_arrivals; ///< by domain, at the present cut
    std::size_t m_last = 0;
};

/// The engines that may be used now, with their times under the work on them.
std::vector<Candidate> candidates(const FleetSnapshot &fleet, const RoutedService &service,
                                  const EngineTracker &book, const PathQuery &query, Time now,
                                  const PathSettings &settings)
{
    const LayeredModel &model = *service.model;
    std::vector<Candidate> found;
    for (const FleetEndpoint &each : fleet.endpoints) {
        const AcceleratorKind *kind = model.kind(each.kind);
        if (each.service != service.name || each.draining || !kind
            || each.layers.end <= each.layers.begin || !book.usable(each.id, now))
            continue;
        if (query.without && query.without->contains(each.id))
            continue;
        const EngineEstimate *belief = book.find(each.id);
        const EngineLoad load = book.load(each.id, each.domain, now);
        const double streams = 1 + load.streams;
        const double pace =
            kind->stepFactor * (belief && now < belief->slowdownUntil ? belief->pace : 1);
        const double context = (model.typicalPromptTokens + model.typicalAnswerTokens / 2.0) / 1000;
        const double step =
            model.stepMs + streams * (model.perSequenceMs + context * model.contextMsPer1kTokens);
        const std::uint32_t held = each.layers.length();
        const double need = static_cast<double>(query.promptTokens + query.answerTokens) * held;
        const double room = std::max(1.0, model.kvCapacity(*kind, held));
        Candidate candidate;
        candidate.endpoint = &each;
        candidate.mayBegin = !query.excludedAsFirst || !query.excludedAsFirst->contains(each.id);
        // What runs goes on growing; what waits takes its place first.
        const double growth =
            load.reported
                ? (load.streams * model.typicalAnswerTokens / 2
                   + load.queued * (model.typicalPromptTokens + model.typicalAnswerTokens))
                      * held
                : 0;
        candidate.fullness = (load.used + growth + need) / room;
        candidate.full = candidate.fullness > (load.reported ? settings.maxReportedFullness
                                                             : settings.maxEstimatedFullness);
        candidate.prefillMs = model.prefillMs(*kind, query.promptTokens, 1);
        candidate.passMs = model.tokensPerPass * step * pace / model.layers;
        candidate.factor =
            1 + settings.fullnessWeight * std::pow(std::min(candidate.fullness, 3.0), 4)
            + 2 * book.failureShare(each.id, now);
        found.push_back(candidate);
    }
    return found;
}

} // namespace

PathChooser::PathChooser(PathSettings settings)
    : m_settings(settings)
{
}

double PathChooser::spread(double instances) const
{
    return std::min(m_settings.maxCostNoise,
                    m_settings.costNoisePerRoot * std::sqrt(std::max(1.0, instances)));
}

std::optional<EnginePath> PathChooser::choose(const FleetSnapshot &fleet,
                                              const RoutedService &service,
                                              const EngineTracker &book, const PathQuery &query,
                                              Time now, std::mt19937_64 &random) const
{
    const LayeredModel &model = *service.model;
    const double passes =
        std::max(1.0, static_cast<double>(query.answerTokens) / std::max(1U, model.tokensPerPass));
    const double hopCost = m_settings.hopMs * passes;
    std::lognormal_distribution<double> noise(
        0, std::max(spread(book.sharingInstances()), query.minCostNoise));
    std::vector<Candidate> all = candidates(fleet, service, book, query, now, m_settings);
    for (Candidate &each : all)
        each.factor *= noise(random);

    Crossings crossings(all);
    const double pipeMs = model.transferMs(query.promptTokens);
    crossings.fill([&](std::string_view from, std::string_view to) {
        const double load = book.linkLoad(from, to, now);
        if (load >= m_settings.maxLinkLoad)
            return NoCost;
        return m_settings.crossingMs + 2 * pipeMs / (1 - load);
    });
    std::map<std::string_view, std::vector<Candidate>> domains;
    for (const Candidate &each : all)
        domains[each.endpoint->domain].push_back(each);
    std::optional<Search> best;
    double bestCost = NoCost;
    const auto attempt = [&](std::vector<Candidate> engines, double factor, double added) {
        Search search(std::move(engines), model, query.first, passes, hopCost,
                      m_settings.referenceMs, crossings);
        double cost = search.run(false);
        if (cost != NoCost && search.parts().empty())
            cost = search.run(true);
        if (cost == NoCost || search.parts().empty() || cost * factor + added >= bestCost)
            return;
        bestCost = cost * factor + added;
        best.emplace(std::move(search));
    };
    if (const auto own = domains.find(query.domain); own != domains.end()) {
        attempt(std::move(own->second), 1, 0);
        domains.erase(own);
    }
    const bool ownFound = best.has_value();
    for (auto &[domain, engines] : domains)
        attempt(std::move(engines), m_settings.otherDomainFactor, m_settings.otherDomainPenaltyMs);
    // Parts in several domains: a path through most of the own domain loads the
    // others less than one that lies in another domain altogether.
    if (!ownFound)
        attempt(all, 1, 0);
    // Rather a full pipe than no service.
    if (!best) {
        crossings.fill([&](std::string_view, std::string_view) { return m_settings.crossingMs; });
        attempt(std::move(all), 1, 0);
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
