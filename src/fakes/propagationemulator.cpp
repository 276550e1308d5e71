#include "propagationemulator.h"

#include <balsamloft/tableupdate.h>

#include <algorithm>
#include <utility>

namespace balsamloft::fakes {

namespace {

constexpr Duration Step {10'000};
constexpr Duration StoreWait {700'000}; ///< how long the store holds a question
constexpr Duration PeerWait {300'000}; ///< how long an instance does
constexpr Duration FirstPeerWait {100'000}; ///< the same for a first question
constexpr Duration StoreLimit {1'200'000}; ///< after which a silent store has failed
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
    const std::size_t all = settings.domains * settings.instancesPerDomain;
    const std::vector<StoreRow> rows {{"row", settings.row, 1, false}};
    m_rowBytes = settings.row.empty() ? 0 : encodedSize(rows);
    m_sending.assign(all, 0);
    for (std::size_t i = 0; i < all; ++i) {
        const std::size_t domain = i % settings.domains;
        m_list.push_back({nameOf(i), "d" + std::to_string(domain), "10.0.0.1:1"});
    }
    for (std::size_t i = 0; i < all; ++i) {
        PeerDirectory directory(m_list[i].name, m_list[i].domain);
        directory.replace(m_list);
        m_instances.push_back({m_list[i], i % settings.domains, std::move(directory)});
        m_instances.back().knownAt = m_now;
        m_instances.back().version = 1;
        m_instances.back().linkBytesPerMs =
            (i < settings.domains ? settings.wideMbps : settings.narrowMbps) * BytesPerMsOfMbps;
    }
}

void PropagationEmulator::setStore(StoreBehavior behavior)
{
    for (Instance &each : m_instances)
        each.behavior = behavior;
}

void PropagationEmulator::partitionDomain(std::size_t domain, bool cut)
{
    for (Instance &each : m_instances)
        if (each.domain == domain)
            each.cut = cut;
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
    each.directory.replace(m_list);
    m_storeCalls += 1; // for the list of instances
    each.alive = true;
    endQuery(each);
    each.direct = false;
    each.version = 0;
    each.knownAt = m_begin;
    each.busyUntil = m_now + busy;
    each.nextAt = each.busyUntil;
}

bool PropagationEmulator::reaches(const Instance &from, const Instance &to) const
{
    return to.alive && m_now >= to.busyUntil
           && (from.domain == to.domain || (!from.cut && !to.cut));
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
        for (Instance &each : m_instances) {
            recordImpairment(each);
            if (each.behavior != StoreBehavior::Healthy)
                m_storeImpairedAt = m_now;
            if (!each.alive)
                continue;
            if (each.asking)
                hear(each);
            else if (m_now >= each.nextAt)
                ask(each);
            if (each.version > 0 && each.version < versionAt(each.knownAt))
                m_freshnessViolations += 1;
        }
    }
}

void PropagationEmulator::recordImpairment(Instance &instance) const
{
    if (!instance.alive || instance.cut || m_now < instance.busyUntil)
        instance.impairedAt = m_now;
}

/// What arrives at one instance in a step: its own link and its share of the other's.
double PropagationEmulator::shareOf(const Instance &instance) const
{
    const Instance &asked = m_instances[instance.asked];
    const double sent = asked.linkBytesPerMs / static_cast<double>(m_sending[instance.asked]);
    return std::min(sent, instance.linkBytesPerMs) * (static_cast<double>(Step.count()) / 1000);
}

void PropagationEmulator::transfer()
{
    for (Instance &each : m_instances)
        if (each.answer && each.answer->bytesLeft > 0 && reaches(each, m_instances[each.asked])) {
            each.answer->bytesLeft -= shareOf(each);
            each.readAt = m_now;
        }
}

void PropagationEmulator::ask(Instance &instance)
{
    const Time toldAt = instance.version > 0 ? instance.knownAt : instance.busyUntil;
    const ReadSource from = instance.directory.source(m_now, m_now - toldAt);
    instance.ofStore = from.kind == ReadSource::Kind::Store;
    if (from.kind == ReadSource::Kind::None) {
        instance.nextAt = m_now + RetryPause;
        return;
    }
    instance.asking = true;
    instance.askedAt = m_now;
    if (instance.ofStore) {
        m_storeCalls += 1;
        const bool silent = instance.cut || instance.behavior == StoreBehavior::Silent;
        instance.until = m_now + (silent ? StoreLimit : from.atOnce ? Step : StoreWait);
        return;
    }
    instance.asked = static_cast<std::size_t>(
        std::find(m_list.begin(), m_list.end(), *from.instance) - m_list.begin());
    instance.askedKnewAt = m_instances[instance.asked].knownAt;
    instance.heldUntil = m_now + waitOf(instance);
}

Duration PropagationEmulator::waitOf(const Instance &instance)
{
    return instance.version == 0 ? FirstPeerWait : PeerWait;
}

void PropagationEmulator::pollStore(Instance &instance)
{
    const bool well = !instance.cut && instance.behavior == StoreBehavior::Healthy;
    if (well && (versionAt(m_now) > instance.version || m_now >= instance.until)) {
        instance.asking = false;
        instance.direct = true;
        instance.directory.storeAnswered();
        learn(instance, versionAt(m_now), m_now);
    } else if (!well && (instance.behavior == StoreBehavior::Refusing || m_now >= instance.until)) {
        instance.asking = false;
        instance.direct = false;
        instance.directory.storeFailed(m_now);
    }
}

void PropagationEmulator::startAnswer(Instance &instance, const Instance &asked)
{
    const bool withRows = m_rowBytes > 0 && asked.version > instance.version;
    instance.answer = Answer {asked.version, asked.knownAt, asked.direct, withRows,
                              withRows ? static_cast<double>(m_rowBytes) : 0};
    if (!withRows)
        return;
    m_sending[instance.asked] += 1;
    m_answersSent += 1;
}

void PropagationEmulator::answered(Instance &instance)
{
    const Answer told = *instance.answer;
    const std::string &name = m_instances[instance.asked].self.name;
    endQuery(instance);
    if (told.version == 0)
        return instance.directory.behind(name, m_now);
    instance.direct = false;
    instance.directory.told(name, m_now - told.knownAt, told.direct, m_now);
    learn(instance, told.version, told.knownAt);
}

bool PropagationEmulator::overdue(const Instance &instance) const
{
    const CallLimits limits = answerLimits(instance.version == 0, waitOf(instance));
    return m_now >= limits.deadline(instance.askedAt, instance.readAt);
}

/// Nothing more is taken from the instance that is asked.
void PropagationEmulator::endQuery(Instance &instance)
{
    if (instance.answer && instance.answer->withRows)
        m_sending[instance.asked] -= 1;
    instance.answer.reset();
    instance.readAt.reset();
    instance.asking = false;
}

void PropagationEmulator::hear(Instance &instance)
{
    if (instance.ofStore)
        return pollStore(instance);
    const Instance &asked = m_instances[instance.asked];
    if (reaches(instance, asked)) {
        const bool news = asked.version > instance.version || asked.knownAt > instance.askedKnewAt;
        if (!instance.answer && (news || m_now >= instance.heldUntil))
            startAnswer(instance, asked);
        if (instance.answer && instance.answer->bytesLeft <= 0)
            return answered(instance);
    }
    if (overdue(instance)) {
        endQuery(instance);
        instance.directory.silent(asked.self.name, m_now);
    }
}

void PropagationEmulator::learn(Instance &instance, std::uint64_t version, Time knownAt)
{
    instance.version = std::max(instance.version, version);
    instance.knownAt = std::max(instance.knownAt, knownAt);
}

Duration PropagationEmulator::oldestConnectedAge(Duration length) const
{
    Duration oldest {};
    if (m_now - m_storeImpairedAt < length)
        return oldest;
    for (const Instance &each : m_instances)
        if (each.version > 0 && m_now - each.impairedAt >= length)
            oldest = std::max(oldest, m_now - each.knownAt);
    return oldest;
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
    std::vector<std::size_t> askers(m_instances.size());
    for (const Instance &each : m_instances)
        if (each.alive && each.asking && !each.ofStore)
            askers[each.asked] += 1;
    return *std::max_element(askers.begin(), askers.end());
}

Duration PropagationEmulator::oldestAge() const
{
    Duration oldest {};
    for (const Instance &each : m_instances)
        if (each.alive && !each.cut)
            oldest = std::max(oldest, m_now - each.knownAt);
    return oldest;
}

} // namespace balsamloft::fakes
