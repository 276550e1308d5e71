#include <balsamloft/peerdirectory.h>

#include <algorithm>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace balsamloft {

namespace {

/// Pause before an instance that timed out is queried again, doubled with each consecutive
/// timeout. The first pause is short, since all instances may be starting at once. The maximum
/// is long, since each query to a dead machine runs into a timeout.
constexpr Duration InitialTimeoutPause {1'000'000};
constexpr Duration MaxTimeoutPause {16'000'000};
/// Pause that applies until this instance has received its first data: other instances that
/// start at the same time are slow to answer, but not dead.
constexpr Duration StartupTimeoutPause {300'000};

/// Pause before an instance with stale data is queried again. Equal to the time for which that
/// instance would hold a query, so an outage of the store causes no additional queries.
constexpr Duration StalePause {300'000};

/// Maximum age of data from a source; older data is stale. All instances must stop using a
/// leaving endpoint within two seconds after the change was stored, even if a source cannot read
/// the store and has not detected this yet.
constexpr Duration MaxAge {1'250'000};

/// Time after a stale or empty answer during which an instance without updates does not call the
/// store. Such an answer suggests that the store fails for the sources as well.
constexpr Duration RecentAnswer {1'000'000};

/// Pauses of a reader after the store failed, with jitter.
constexpr Duration InitialBackOff {300'000};
constexpr Duration MaxBackOff {2'400'000};

/// Instances per domain that may read the store.
constexpr std::size_t ReadersPerDomain = 2;

/// Maximum number of instances that read from the same parent. A larger fan-out would saturate
/// the links of small instances in fleets with hundreds of instances and thousands of
/// endpoints; a smaller one makes the tree deeper and updates slower.
constexpr std::size_t FanOut = 8;

/// A domain reader whose data is older has the store answer at once, whether or not it has changes.
constexpr Duration RecentUpdate {500'000};

std::uint64_t seedOf(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

} // namespace

PeerDirectory::PeerDirectory(std::string self, std::string domain)
    : m_self(std::move(self))
    , m_domain(std::move(domain))
    , m_random(seedOf(m_self))
{
}

void PeerDirectory::setInstances(std::vector<PeerInstance> instances)
{
    std::sort(instances.begin(), instances.end(),
              [](const auto &left, const auto &right) { return left.name < right.name; });
    m_instances = std::move(instances);
    std::erase_if(m_sourceStates, [&](const auto &each) {
        return std::none_of(m_instances.begin(), m_instances.end(),
                            [&](const PeerInstance &known) { return known.name == each.first; });
    });
}

void PeerDirectory::markUnresponsive(const std::string &name, Time now)
{
    SourceState &source = m_sourceStates[name];
    // Queries that were sent at the same time also time out together: count them once.
    if (now < source.unresponsiveUntil)
        return;
    source.unresponsiveUntil =
        now
        + (m_everAnswered
               ? exponentialBackoff(InitialTimeoutPause, source.timeouts, MaxTimeoutPause)
               : StartupTimeoutPause);
    source.timeouts += 1;
}

void PeerDirectory::recordEmptyAnswer(const std::string &name, Time now)
{
    m_sourceStates[name].staleUntil = now + StalePause;
    m_emptyAnswerAt = now;
}

void PeerDirectory::recordAnswer(const std::string &name, Duration age, bool direct, Time now)
{
    m_everAnswered = true;
    SourceState &source = m_sourceStates[name];
    source.timeouts = 0;
    source.unresponsiveUntil = Time {};
    // The second reader reads the store while the first cannot, so it accepts only data that the
    // first has read from the store itself. Otherwise the two would read from each other.
    const std::vector<const PeerInstance *> earlier = earlierResponsive(now);
    const bool fromFirst = earlier.size() == 1 && earlier.front()->name == name;
    if (age > MaxAge || (fromFirst && !direct))
        source.staleUntil = now + StalePause;
    if (age > MaxAge)
        m_staleAnswerAt = now;
}

void PeerDirectory::storeFailed(Time now)
{
    if (now < m_storeRetryAt)
        return;
    const Duration maxPause = exponentialBackoff(InitialBackOff, m_storeFailures, MaxBackOff);
    m_storeFailures += 1;
    std::uniform_int_distribution<std::int64_t> jitter(maxPause.count() / 4, maxPause.count());
    m_storeRetryAt = now + Duration(jitter(m_random));
}

void PeerDirectory::storeAnswered()
{
    m_storeFailures = 0;
    m_storeRetryAt = Time {};
}

bool PeerDirectory::isResponsive(const PeerInstance &instance, Time now) const
{
    const auto it = m_sourceStates.find(instance.name);
    return !instance.address.empty()
           && (it == m_sourceStates.end() || now >= it->second.unresponsiveUntil);
}

bool PeerDirectory::isUsable(const PeerInstance &instance, Time now) const
{
    const auto it = m_sourceStates.find(instance.name);
    return isResponsive(instance, now)
           && (it == m_sourceStates.end() || now >= it->second.staleUntil);
}

/// Returns the first ReadersPerDomain responsive instances of this instance's domain that
/// precede this instance by name.
std::vector<const PeerInstance *> PeerDirectory::earlierResponsive(Time now) const
{
    std::vector<const PeerInstance *> earlier;
    for (const PeerInstance &each : m_instances) {
        if (each.name >= m_self || earlier.size() == ReadersPerDomain)
            break;
        if (each.domain == m_domain && isResponsive(each, now))
            earlier.push_back(&each);
    }
    return earlier;
}

bool PeerDirectory::isFirstReader(Time now) const
{
    return earlierResponsive(now).empty();
}

/// Whether this instance gets no updates from any source although the store may be working. A
/// recent stale answer indicates that the store fails for the sources too. A recent empty answer
/// indicates the same until this instance has received its first data.
bool PeerDirectory::lacksUpdates(Time now, Duration updateAge) const
{
    return updateAge > MaxAge && now - m_staleAnswerAt > RecentAnswer
           && (m_everAnswered || now - m_emptyAnswerAt > RecentAnswer);
}

/// Returns another instance, of this domain if there is one, unless it is known not to be usable.
/// It does not depend on who answers: a starting instance that asked several would read the store
/// late if they are dead.
const PeerInstance *PeerDirectory::firstSource(Time now) const
{
    const auto isOther = [this](const PeerInstance &each) { return each.name != m_self; };
    auto it = std::find_if(m_instances.begin(), m_instances.end(), [&](const PeerInstance &each) {
        return isOther(each) && each.domain == m_domain;
    });
    if (it == m_instances.end())
        it = std::find_if(m_instances.begin(), m_instances.end(), isOther);
    return it != m_instances.end() && isUsable(*it, now) ? &*it : nullptr;
}

std::optional<PeerInstance> PeerDirectory::find(std::string_view name) const
{
    const auto it = std::find_if(m_instances.begin(), m_instances.end(),
                                 [name](const PeerInstance &each) { return each.name == name; });
    return it == m_instances.end() ? std::nullopt : std::optional(*it);
}

ReadSource PeerDirectory::source(Time now, Duration updateAge, bool hasData) const
{
    if (lacksUpdates(now, updateAge) && storeUsable(now))
        return {ReadSource::Kind::Store, nullptr, true};
    const std::vector<const PeerInstance *> earlier = earlierResponsive(now);
    if (earlier.size() == ReadersPerDomain) {
        const std::vector<const PeerInstance *> parentCandidates = parents();
        for (const PeerInstance *each : parentCandidates)
            if (isUsable(*each, now))
                return {ReadSource::Kind::Instance, each};
        if (std::any_of(parentCandidates.begin(), parentCandidates.end(),
                        [&](const PeerInstance *each) { return isResponsive(*each, now); }))
            return {};
    }
    for (const PeerInstance *each : earlier)
        if (isUsable(*each, now))
            return {ReadSource::Kind::Instance, each};
    if (!hasData && earlier.size() < ReadersPerDomain)
        if (const PeerInstance *each = firstSource(now))
            return {ReadSource::Kind::Instance, each, true};
    // A first snapshot that another instance sent may be old, which the store shows at once.
    if (earlier.size() < ReadersPerDomain && storeUsable(now))
        return {ReadSource::Kind::Store, nullptr, updateAge > RecentUpdate};
    // This instance is the first reader and the store fails: read from the second reader.
    if (earlier.empty())
        if (const PeerInstance *other = nextResponsive(now); other && isUsable(*other, now))
            return {ReadSource::Kind::Instance, other};
    if (const PeerInstance *each = remoteReader(now))
        return {ReadSource::Kind::Instance, each};
    return {};
}

/// Returns the parent of this instance in the tree of its domain, and the parent's neighbour
/// as the alternative; the two readers are the roots. Positions depend only on the list of
/// instances, not on their responsiveness: otherwise each instance that becomes unresponsive
/// would change the parents of all instances after it.
std::vector<const PeerInstance *> PeerDirectory::parents() const
{
    std::vector<const PeerInstance *> earlier;
    for (const PeerInstance &each : m_instances) {
        if (each.name >= m_self)
            break;
        if (each.domain == m_domain)
            earlier.push_back(&each);
    }
    if (earlier.size() < ReadersPerDomain)
        return {};
    const std::size_t parent = (earlier.size() - ReadersPerDomain) / FanOut;
    const std::size_t neighbour = parent % 2 == 0 ? parent + 1 : parent - 1;
    return {earlier[parent], earlier[std::min(neighbour, earlier.size() - 1)]};
}

/// Returns the first responsive instance of this domain that follows this instance by name, or
/// nullptr.
const PeerInstance *PeerDirectory::nextResponsive(Time now) const
{
    const auto it =
        std::find_if(m_instances.begin(), m_instances.end(), [&](const PeerInstance &each) {
            return each.domain == m_domain && each.name > m_self && isResponsive(each, now);
        });
    return it == m_instances.end() ? nullptr : &*it;
}

/// Returns the first \a maxPerDomain responsive instances of each other domain.
std::vector<const PeerInstance *> PeerDirectory::remoteCandidates(std::size_t maxPerDomain,
                                                                  Time now) const
{
    std::vector<const PeerInstance *> candidates;
    std::map<std::string_view, std::size_t> counts;
    for (const PeerInstance &each : m_instances)
        if (each.domain != m_domain && isResponsive(each, now)
            && counts[each.domain]++ < maxPerDomain)
            candidates.push_back(&each);
    return candidates;
}

/// Returns a reader of another domain. The choice depends on this instance's name, so that the
/// instances of a domain that cannot reach the store query several readers.
const PeerInstance *PeerDirectory::remoteReader(Time now) const
{
    std::vector<const PeerInstance *> readers = remoteCandidates(ReadersPerDomain, now);
    std::erase_if(readers, [&](const PeerInstance *each) { return !isUsable(*each, now); });
    return readers.empty() ? nullptr : readers[seedOf(m_self) % readers.size()];
}

std::vector<PeerInstance> PeerDirectory::remoteReaders(Time now) const
{
    std::vector<PeerInstance> readers;
    for (const PeerInstance *each : remoteCandidates(1, now))
        readers.push_back(*each);
    return readers;
}

std::size_t PeerDirectory::instancesInDomain() const
{
    const auto found =
        std::count_if(m_instances.begin(), m_instances.end(),
                      [&](const PeerInstance &each) { return each.domain == m_domain; });
    return std::max<std::size_t>(1, static_cast<std::size_t>(found));
}

std::size_t PeerDirectory::instanceCount() const
{
    return std::max<std::size_t>(1, m_instances.size());
}

} // namespace balsamloft
