#include "routerimpl.h"

namespace balsamloft {

Router::Router(RouterSettings settings, std::uint64_t seed)
    : m_impl(std::make_unique<Impl>(std::move(settings), seed))
{
}

Router::~Router() = default;
Router::Router(Router &&) noexcept = default;
Router &Router::operator=(Router &&) noexcept = default;

void Router::setConfig(ConfigPtr config, Time now, Actions &actions)
{
    m_impl->setConfig(std::move(config), now, actions);
}

void Router::setLeaving(std::string_view endpoint, bool leaving)
{
    const EndpointId id = m_impl->m_loads.find(endpoint);
    if (id != NoEndpoint)
        m_impl->m_loads.setLeaving(id, leaving);
}

TeamLimits &Router::limits()
{
    return m_impl->m_limits;
}

void Router::submit(Request request, Time now, Actions &actions)
{
    m_impl->submit(std::move(request), now, actions);
}

void Router::claimAnswered(RequestId request, const ClaimAnswer &answer, Time now, Actions &actions)
{
    m_impl->claimAnswered(request, answer, now, actions);
}

void Router::stepAnswered(const StepRef &awaited, const StepAnswer &answer, Time now,
                          Actions &actions)
{
    m_impl->stepAnswered(awaited, answer, now, actions);
}

void Router::stepFailed(const StepRef &awaited, FailureKind kind,
                        const std::optional<LoadReport> &load, Time now, Actions &actions)
{
    m_impl->stepFailed(awaited, kind, load, now, actions);
}

void Router::callAnswered(RequestId request, std::uint32_t attempt, Answer answer, Time now,
                          Actions &actions)
{
    m_impl->callAnswered(request, attempt, std::move(answer), now, actions);
}

void Router::callFailed(RequestId request, std::uint32_t attempt, FailureKind kind, Time now,
                        Actions &actions)
{
    m_impl->callFailed(request, attempt, kind, now, actions);
}

void Router::probeFinished(EndpointId endpoint, bool alive, bool leaving, Time now,
                           Actions &actions)
{
    m_impl->probeFinished(endpoint, alive, leaving, now, actions);
}

void Router::callerGone(RequestId request, Time now, Actions &actions)
{
    m_impl->callerGone(request, now, actions);
}

void Router::tick(Time now, Actions &actions)
{
    m_impl->tick(now, actions);
}

void Router::startDrain()
{
    m_impl->m_draining = true;
}

std::optional<Time> Router::nextWakeup() const
{
    return m_impl->nextWakeup();
}

bool Router::maySend(RequestId request, std::uint32_t attempt, Time now) const
{
    return m_impl->maySend(request, attempt, now);
}

const LoadView &Router::loads() const
{
    return m_impl->m_loads;
}

const RouterCounters &Router::counters() const
{
    return m_impl->m_counters;
}

std::size_t Router::inFlight() const
{
    return m_impl->inFlight();
}

std::size_t Router::queued() const
{
    return m_impl->queued();
}

bool Router::ready() const
{
    return m_impl->m_config && !m_impl->m_draining;
}

const ConfigPtr &Router::config() const
{
    return m_impl->m_config;
}

ModelDemand Router::modelDemand() const
{
    return m_impl->modelDemand();
}

std::vector<std::string> Router::explain(RequestId request) const
{
    return m_impl->m_trace.lines(request);
}

ModelDemand Router::Impl::modelDemand() const
{
    constexpr std::string_view Prefix = "model/";
    ModelDemand demand;
    for (const auto &[key, target] : m_targets) {
        if (key.starts_with(Prefix) && target.requestedTokens > 0)
            demand[key.substr(Prefix.size())] = target.requestedTokens;
    }
    return demand;
}

std::size_t Router::Impl::queued() const
{
    std::size_t sum = 0;
    for (const auto &[key, target] : m_targets)
        sum += target.queue.size();
    return sum;
}

} // namespace balsamloft
