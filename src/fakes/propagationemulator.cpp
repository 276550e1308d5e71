#include "propagationemulator.h"

#include <balsamloft/tableupdate.h>

#include <algorithm>
#include <utility>

namespace balsamloft::fakes {

namespace {

constexpr Duration Step {10'000};
constexpr Duration StoreHoldTime {700'000}; ///< how long the store holds a long poll
/// How long an instance holds a query from an instance that has data.
constexpr Duration PeerHoldTime {300'000};
/// How long an instance holds a query from an instance without data.
constexpr Duration FirstPeerHoldTime {100'000};
/// Time after which a call to an unresponsive store fails.
constexpr Duration StoreTimeout {1'200'000};
constexpr Duration RetryPause {100'000};

std::string nameOf(std::size_t index)
{
    return "n" + std::to_string(1000 + index);
}

} // namespace

PropagationEmulator::PropagationEmulator(const PropagationSettings &settings)
    : m_settings(settings)
{
    constexpr double BytesPerMsOfMbps = 125;
    const std::size_t instanceCount = settings.domains * settings.instancesPerDomain;
    const std::vector<StoreRow> rows {{"row", settings.row, 1, false}};
    m_rowBytes = settings.row.empty() ? 0 : encodedSize(rows);
    m_answersInTransit.assign(instanceCount, 0);
    for (std::size_t i = 0; i < instanceCount; ++i) {
        const std::size_t domain = i % settings.domains;
        m_list.push_back({nameOf(i), "d" + std::to_string(domain), "10.0.0.1:1"});
    }
    for (std::size_t i = 0; i < instanceCount; ++i) {
        PeerDirectory directory(m_list[i].name, m_list[i].domain);
        directory.setInstances(m_list);
        m_instances.push_back({m_list[i], i % settings.domains, std::move(directory)});
        m_instances.back().knownAt = m_now;
        m_instances.back().version = 1;
        m_instances.back().linkBytesPerMs =
            (i < settings.domains ? settings.firstInstanceMbps : settings.otherInstanceMbps)
            * BytesPerMsOfMbps;
    }
}

void PropagationEmulator::setStore(StoreBehavior behavior)
{
    for (Instance &each : m_instances)
        each.behavior = behavior;
}

void PropagationEmulator::partitionDomain(std::size_t domain, bool partitioned)
{
    for (Instance &each : m_instances)
        if (each.domain == domain)
            each.partitioned = partitioned;
}

void PropagationEmulator::kill(std::size_t instance)
{
    m_instances[instance].alive = false;
    endQuery(m_instances[instance]);
}

void PropagationEmulator::start(std::size_t instance, Duration busy)
{
    Instance &each = m_instances[instance];
    each.directory = PeerDirectory(each.self.name, each.self.domain);
    each.directory.setInstances(m_list);
    m_storeCalls += 1; // the instance reads the list of instances
    each.alive = true;
    endQuery(each);
    each.direct = false;
    each.version = 0;
    each.knownAt = m_begin;
    each.busyUntil = m_now + busy;
    each.nextQueryAt = each.busyUntil;
}

bool PropagationEmulator::isReachable(const Instance &from, const Instance &to) const
{
    return to.alive && m_now >= to.busyUntil
           && (from.domain == to.domain || (!from.partitioned && !to.partitioned));
}

std::uint64_t PropagationEmulator::versionAt(Time time) const
{
    const auto written =
        std::count_if(m_writes.begin(), m_writes.end(), [time](Time at) { return at <= time; });
    const std::int64_t periodic =
        m_settings.writeEvery > Duration {} ? (time - m_begin) / m_settings.writeEvery : 0;
    return 1 + static_cast<std::uint64_t>(written + periodic);
}

void PropagationEmulator::run(Duration length)
{
    const Time end = m_now + length;
    for (; m_now < end; m_now += Step) {
        transfer();
        const auto isServed = [](const Instance &each) {
            return each.behavior == StoreBehavior::Healthy;
        };
        if (std::none_of(m_instances.begin(), m_instances.end(), isServed))
            m_storeImpairedAt = m_now;
        for (Instance &each : m_instances) {
            recordImpairment(each);
            if (!each.alive)
                continue;
            if (each.querying)
                pollQuery(each);
            else if (m_now >= each.nextQueryAt)
                startQuery(each);
            if (each.version > 0 && each.version < versionAt(each.knownAt))
                m_freshnessViolations += 1;
        }
    }
}

void PropagationEmulator::recordImpairment(Instance &instance) const
{
    if (!instance.alive || instance.partitioned || m_now < instance.busyUntil
        || instance.behavior != StoreBehavior::Healthy)
        instance.impairedAt = m_now;
}

/// Bytes that arrive at \a instance in one step, limited by the link of \a instance and by the
/// share of the sender's link that this answer gets.
double PropagationEmulator::bytesPerStep(const Instance &instance) const
{
    const Instance &source = m_instances[instance.source];
    const double sent =
        source.linkBytesPerMs / static_cast<double>(m_answersInTransit[instance.source]);
    return std::min(sent, instance.linkBytesPerMs) * (static_cast<double>(Step.count()) / 1000);
}

void PropagationEmulator::transfer()
{
    for (Instance &each : m_instances)
        if (each.answer && each.answer->bytesLeft > 0
            && isReachable(each, m_instances[each.source])) {
            each.answer->bytesLeft -= bytesPerStep(each);
            each.lastDataAt = m_now;
        }
}

void PropagationEmulator::startQuery(Instance &instance)
{
    const Time knownSince = instance.version > 0 ? instance.knownAt : instance.busyUntil;
    const ReadSource from = instance.directory.source(
        m_now, {m_now - knownSince, instance.version > 0, instance.direct});
    instance.queriesStore = from.kind == ReadSource::Kind::Store;
    if (from.kind == ReadSource::Kind::None) {
        instance.nextQueryAt = m_now + RetryPause;
        return;
    }
    instance.querying = true;
    instance.queriedAt = m_now;
    if (instance.queriesStore) {
        m_storeCalls += 1;
        const bool silent = instance.partitioned || instance.behavior == StoreBehavior::Silent;
        instance.storeAnswerAt = m_now
                                 + (silent           ? StoreTimeout
                                    : from.immediate ? Step
                                                     : StoreHoldTime);
        return;
    }
    instance.source = static_cast<std::size_t>(
        std::find(m_list.begin(), m_list.end(), *from.instance) - m_list.begin());
    instance.sourceKnownAtStart = m_instances[instance.source].knownAt;
    instance.holdUntil = from.immediate ? m_now : m_now + holdTime(instance);
}

Duration PropagationEmulator::holdTime(const Instance &instance)
{
    return instance.version == 0 ? FirstPeerHoldTime : PeerHoldTime;
}

void PropagationEmulator::pollStore(Instance &instance)
{
    const bool healthy = !instance.partitioned && instance.behavior == StoreBehavior::Healthy;
    if (healthy && (versionAt(m_now) > instance.version || m_now >= instance.storeAnswerAt)) {
        instance.querying = false;
        instance.direct = true;
        instance.directory.storeAnswered();
        recordUpdate(instance, versionAt(m_now), m_now);
    } else if (!healthy
               && (instance.behavior == StoreBehavior::Refusing
                   || m_now >= instance.storeAnswerAt)) {
        instance.querying = false;
        instance.direct = false;
        instance.directory.storeFailed(m_now);
    }
}

void PropagationEmulator::startAnswer(Instance &instance, const Instance &source)
{
    const bool hasRows = m_rowBytes > 0 && source.version > instance.version;
    instance.answer = Answer {source.version, source.knownAt, source.direct, hasRows,
                              hasRows ? static_cast<double>(m_rowBytes) : 0};
    if (!hasRows)
        return;
    m_answersInTransit[instance.source] += 1;
    m_answersSent += 1;
}

void PropagationEmulator::applyAnswer(Instance &instance)
{
    const Answer answer = *instance.answer;
    const std::string &name = m_instances[instance.source].self.name;
    endQuery(instance);
    if (answer.version == 0)
        return instance.directory.recordEmptyAnswer(name, m_now);
    instance.direct = false;
    instance.directory.recordAnswer(name, m_now - answer.knownAt, answer.direct, m_now);
    recordUpdate(instance, answer.version, answer.knownAt);
}

bool PropagationEmulator::isOverdue(const Instance &instance) const
{
    const CallLimits limits = answerLimits(instance.version == 0, holdTime(instance));
    return m_now >= limits.deadline(instance.queriedAt, instance.lastDataAt);
}

/// Ends the current query and discards the rest of an answer in transit.
void PropagationEmulator::endQuery(Instance &instance)
{
    if (instance.answer && instance.answer->hasRows)
        m_answersInTransit[instance.source] -= 1;
    instance.answer.reset();
    instance.lastDataAt.reset();
    instance.querying = false;
}

void PropagationEmulator::pollQuery(Instance &instance)
{
    if (instance.queriesStore)
        return pollStore(instance);
    const Instance &source = m_instances[instance.source];
    if (isReachable(instance, source)) {
        const bool hasUpdate =
            source.version > instance.version || source.knownAt > instance.sourceKnownAtStart;
        if (!instance.answer && (hasUpdate || m_now >= instance.holdUntil))
            startAnswer(instance, source);
        if (instance.answer && instance.answer->bytesLeft <= 0)
            return applyAnswer(instance);
    }
    if (isOverdue(instance)) {
        endQuery(instance);
        instance.directory.markUnresponsive(source.self.name, m_now);
    }
}

void PropagationEmulator::recordUpdate(Instance &instance, std::uint64_t version, Time knownAt)
{
    instance.version = std::max(instance.version, version);
    instance.knownAt = std::max(instance.knownAt, knownAt);
}

/// Whether neither the instance nor the store as a whole was impaired for the past \a length.
bool PropagationEmulator::isConnected(const Instance &instance, Duration length) const
{
    return m_now - m_storeImpairedAt >= length && m_now - instance.impairedAt >= length;
}

Duration PropagationEmulator::oldestConnectedAge(Duration length) const
{
    Duration oldest {};
    for (const Instance &each : m_instances)
        if (each.version > 0 && isConnected(each, length))
            oldest = std::max(oldest, m_now - each.knownAt);
    return oldest;
}

Duration PropagationEmulator::longestWithoutData(Duration length) const
{
    Duration longest {};
    for (const Instance &each : m_instances)
        if (each.version == 0 && isConnected(each, length))
            longest = std::max(longest, m_now - each.busyUntil);
    return longest;
}

std::vector<std::size_t> PropagationEmulator::instancesOf(std::size_t domain) const
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < m_instances.size(); ++i)
        if (m_instances[i].domain == domain)
            found.push_back(i);
    return found;
}

std::size_t PropagationEmulator::upToDateCount() const
{
    const std::uint64_t newest = versionAt(m_now);
    const auto current =
        std::count_if(m_instances.begin(), m_instances.end(), [newest](const Instance &each) {
            return each.alive && each.version >= newest;
        });
    return static_cast<std::size_t>(current);
}

std::size_t PropagationEmulator::maxQueriersPerInstance() const
{
    std::vector<std::size_t> queriers(m_instances.size());
    for (const Instance &each : m_instances)
        if (each.alive && each.querying && !each.queriesStore)
            queriers[each.source] += 1;
    return *std::max_element(queriers.begin(), queriers.end());
}

Duration PropagationEmulator::oldestAge() const
{
    Duration oldest {};
    for (const Instance &each : m_instances)
        if (each.alive && !each.partitioned)
            oldest = std::max(oldest, m_now - each.knownAt);
    return oldest;
}

} // namespace balsamloft::fakes
