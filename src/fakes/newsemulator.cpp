#include "newsemulator.h"

#include <algorithm>

namespace balsamloft::fakes {

namespace {

constexpr Duration Step {10'000};
constexpr Duration StoreWait {700'000}; ///< how long the store holds a question
constexpr Duration PeerWait {300'000}; ///< how long an instance does
constexpr Duration StoreLimit {1'200'000}; ///< after which a silent store has failed
constexpr Duration PeerLimit {500'000};
constexpr Duration RetryPause {100'000};

std::string nameOf(std::size_t index)
{
    return "n" + std::to_string(1000 + index);
}

} // namespace

NewsEmulator::NewsEmulator(const NewsSettings &settings)
    : m_settings(settings)
{
    const std::size_t all = settings.domains * settings.instancesPerDomain;
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
    }
}

void NewsEmulator::setStore(StoreMood mood)
{
    for (Instance &each : m_instances)
        each.mood = mood;
}

void NewsEmulator::cutDomain(std::size_t domain, bool cut)
{
    for (Instance &each : m_instances)
        if (each.domain == domain)
            each.cut = cut;
}

void NewsEmulator::kill(std::size_t instance)
{
    m_instances[instance].alive = false;
}

void NewsEmulator::start(std::size_t instance, Duration busy)
{
    Instance &each = m_instances[instance];
    each.directory = PeerDirectory(each.self.name, each.self.domain);
    each.directory.replace(m_list);
    m_storeCalls += 1; // for the list of instances
    each.alive = true;
    each.asking = false;
    each.direct = false;
    each.version = 0;
    each.knownAt = m_begin;
    each.busyUntil = m_now + busy;
    each.nextAt = each.busyUntil;
}

bool NewsEmulator::reaches(const Instance &from, const Instance &to) const
{
    return to.alive && m_now >= to.busyUntil
           && (from.domain == to.domain || (!from.cut && !to.cut));
}

std::uint64_t NewsEmulator::versionAt(Time time) const
{
    return 1 + static_cast<std::uint64_t>((time - m_begin) / m_settings.writeEvery);
}

void NewsEmulator::run(Duration length)
{
    const Time end = m_now + length;
    for (; m_now < end; m_now += Step)
        for (Instance &each : m_instances) {
            if (!each.alive)
                continue;
            if (each.asking)
                hear(each);
            else if (m_now >= each.nextAt)
                ask(each);
            if (each.version > 0 && each.version < versionAt(each.knownAt))
                m_liars += 1;
        }
}

void NewsEmulator::ask(Instance &instance)
{
    const NewsSource from = instance.directory.source(m_now);
    instance.ofStore = from.kind == NewsSource::Kind::Store;
    if (from.kind == NewsSource::Kind::Nobody) {
        instance.nextAt = m_now + RetryPause;
        return;
    }
    instance.asking = true;
    if (instance.ofStore) {
        m_storeCalls += 1;
        const bool silent = instance.cut || instance.mood == StoreMood::Silent;
        instance.until = m_now + (silent ? StoreLimit : StoreWait);
        return;
    }
    instance.asked = static_cast<std::size_t>(
        std::find(m_list.begin(), m_list.end(), *from.instance) - m_list.begin());
    instance.askedKnewAt = m_instances[instance.asked].knownAt;
    const bool silent = !reaches(instance, m_instances[instance.asked]);
    instance.until = m_now + (silent ? PeerLimit : PeerWait);
}

void NewsEmulator::hearStore(Instance &instance)
{
    const bool well = !instance.cut && instance.mood == StoreMood::Well;
    if (well && (versionAt(m_now) > instance.version || m_now >= instance.until)) {
        instance.asking = false;
        instance.direct = true;
        instance.directory.storeAnswered();
        learn(instance, versionAt(m_now), m_now);
    } else if (!well && (instance.mood == StoreMood::Refusing || m_now >= instance.until)) {
        instance.asking = false;
        instance.direct = false;
        instance.directory.storeFailed(m_now);
    }
}

void NewsEmulator::hear(Instance &instance)
{
    if (instance.ofStore)
        return hearStore(instance);
    const Instance &asked = m_instances[instance.asked];
    const bool over = m_now >= instance.until;
    if (!reaches(instance, asked)) {
        if (!over)
            return;
        instance.asking = false;
        return instance.directory.silent(asked.self.name, m_now);
    }
    if (asked.version <= instance.version && asked.knownAt <= instance.askedKnewAt && !over)
        return;
    instance.asking = false;
    if (asked.version == 0)
        return instance.directory.behind(asked.self.name, m_now);
    instance.direct = false;
    instance.directory.told(asked.self.name, m_now - asked.knownAt, asked.direct, m_now);
    learn(instance, asked.version, asked.knownAt);
}

void NewsEmulator::learn(Instance &instance, std::uint64_t version, Time knownAt)
{
    instance.version = std::max(instance.version, version);
    instance.knownAt = std::max(instance.knownAt, knownAt);
}

std::size_t NewsEmulator::mostAskers() const
{
    std::vector<std::size_t> askers(m_instances.size());
    for (const Instance &each : m_instances)
        if (each.alive && each.asking && !each.ofStore)
            askers[each.asked] += 1;
    return *std::max_element(askers.begin(), askers.end());
}

Duration NewsEmulator::oldestAge() const
{
    Duration oldest {};
    for (const Instance &each : m_instances)
        if (each.alive && !each.cut)
            oldest = std::max(oldest, m_now - each.knownAt);
    return oldest;
}

} // namespace balsamloft::fakes
