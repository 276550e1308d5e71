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

/// Time after a stale or empty answer during which an instance without updates calls the store only
/// in its turn: the store may be failing for all.
constexpr Duration RecentAnswer {1'000'000};

/// Interval between the turns of two instances of a domain at the store. It grows each time that
/// TurnsPerInterval instances had their turn: the more of them the store did not serve, the less
/// likely it is to serve the next.
constexpr Duration FirstTurnInterval {50'000};
constexpr Duration MaxTurnInterval {1'600'000};
constexpr int TurnIntervalGrowth = 4;
constexpr std::size_t TurnsPerInterval = 3;

/// Number of instances, those whose turns came last, that are queried beside stale parents.
constexpr std::size_t MaxLastTurns = 2;

/// Time for which an instance goes on querying a source that had fresh data when its parents had
/// none.
constexpr Duration RecentlyFresh {2'500'000};

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

/// How long after the data became stale the turn begins.
Duration turnBegin(std::size_t turn)
{
    Duration begin {};
    Duration interval = FirstTurnInterval;
    for (; turn >= TurnsPerInterval && interval < MaxTurnInterval; turn -= TurnsPerInterval) {
        begin += interval * TurnsPerInterval;
        interval = std::min(interval * TurnIntervalGrowth, MaxTurnInterval);
    }
    return begin + interval * turn;
}

/// Number of turns that have begun when the data has been stale for \a staleFor.
std::size_t turnsBegun(Duration staleFor)
{
    std::size_t turns = 0;
    Duration interval = FirstTurnInterval;
    while (interval < MaxTurnInterval && staleFor >= interval * TurnsPerInterval) {
        turns += TurnsPerInterval;
        staleFor -= interval * TurnsPerInterval;
        interval = std::min(interval * TurnIntervalGrowth, MaxTurnInterval);
    }
    return turns + static_cast<std::size_t>(staleFor / interval) + 1;
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
    source.queriedAt = now;
}

void PeerDirectory::recordEmptyAnswer(const std::string &name, Time now)
{
    SourceState &source = m_sourceStates[name];
    source.queriedAt = now;
    source.staleUntil = now + StalePause;
    m_emptyAnswerAt = now;
}

void PeerDirectory::recordAnswer(const std::string &name, Duration age, bool direct, Time now)
{
    m_everAnswered = true;
    SourceState &source = m_sourceStates[name];
    source.timeouts = 0;
    source.queriedAt = now;
    source.unresponsiveUntil = Time {};
    // The second reader reads the store while the first cannot, so it accepts only data that the
    // first has read from the store itself. Otherwise the two would read from each other.
    const std::vector<const PeerInstance *> earlier = earlierResponsive(now);
    const bool fromFirst = earlier.size() == 1 && earlier.front()->name == name;
    if (age > MaxAge || (fromFirst && !direct))
        source.staleUntil = now + StalePause;
    if (age > MaxAge)
        m_staleAnswerAt = now;
    else
        source.freshAt = now;
}

void PeerDirectory::storeFailed(Time now)
{
    m_storeFailedAt = now;
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

const PeerDirectory::SourceState &PeerDirectory::stateOf(const PeerInstance &instance) const
{
    static const SourceState neverQueried;
    const auto it = m_sourceStates.find(instance.name);
    return it == m_sourceStates.end() ? neverQueried : it->second;
}

bool PeerDirectory::isResponsive(const PeerInstance &instance, Time now) const
{
    return !instance.address.empty() && now >= stateOf(instance).unresponsiveUntil;
}

bool PeerDirectory::isUsable(const PeerInstance &instance, Time now) const
{
    return isResponsive(instance, now) && now >= stateOf(instance).staleUntil;
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

bool PeerDirectory::isStale(const ReplicaStatus &replica)
{
    return replica.age > MaxAge;
}

/// Whether this instance may read the store because its sources send no current data. If they send
/// nothing at all, it may at once. If one sent stale data, or has none yet, the store may be
/// failing for all, and the instances of the domain try it in turn.
bool PeerDirectory::mayTryStore(Time now, const ReplicaStatus &replica) const
{
    if (!isStale(replica) || !storeUsable(now))
        return false;
    const bool heardOfNothing = now - m_staleAnswerAt > RecentAnswer
                                && (m_everAnswered || now - m_emptyAnswerAt > RecentAnswer);
    return heardOfNothing || isTurnAtStore(now, replica.age - MaxAge);
}

/// The listed instances of this domain, in the order of their names.
std::vector<const PeerInstance *> PeerDirectory::inDomain() const
{
    std::vector<const PeerInstance *> all;
    for (const PeerInstance &each : m_instances)
        if (each.domain == m_domain)
            all.push_back(&each);
    return all;
}

/// Number of instances that precede this one in inDomain().
std::size_t PeerDirectory::positionInDomain() const
{
    const std::vector<const PeerInstance *> all = inDomain();
    const auto preceding = std::count_if(
        all.begin(), all.end(), [&](const PeerInstance *each) { return each->name < m_self; });
    return static_cast<std::size_t>(preceding);
}

/// Whether a turn of this instance has begun since its last call to the store failed. All instances
/// of a domain count the turns from when their data became stale, which is known from its age, so
/// they agree on them without messages.
bool PeerDirectory::isTurnAtStore(Time now, Duration staleFor) const
{
    const std::size_t position = positionInDomain();
    const std::size_t begun = turnsBegun(staleFor);
    if (position < ReadersPerDomain || begun <= position - ReadersPerDomain)
        return false;
    const std::size_t firstOwn = position - ReadersPerDomain;
    const std::size_t count = std::max(inDomain().size(), position + 1) - ReadersPerDomain;
    const std::size_t lastOwn = begun - 1 - (begun - 1 - firstOwn) % count;
    return m_storeFailedAt < now - staleFor + turnBegin(lastOwn);
}

/// Returns an instance that may have read the store in its turn, or null. For the readers and their
/// followers it is one whose turn came last. All others are too many to query the same one, and are
/// divided among the readers' followers.
const PeerInstance *PeerDirectory::instanceAtTurn(Time now, const ReplicaStatus &replica) const
{
    const std::vector<const PeerInstance *> all = inDomain();
    if (!isStale(replica) || all.size() <= ReadersPerDomain)
        return nullptr;
    const std::span belowReaders = std::span(all).subspan(ReadersPerDomain);
    const std::size_t followers = std::min(belowReaders.size(), ReadersPerDomain * FanOut);
    const std::size_t begun = turnsBegun(replica.age - MaxAge);
    const std::size_t position = positionInDomain();
    const bool isFollower = position < ReadersPerDomain + followers;
    std::vector<const PeerInstance *> candidates;
    for (std::size_t turn = begun; turn > 0 && turn + MaxLastTurns > begun; --turn) {
        const std::size_t index = isFollower ? (turn - 1) % belowReaders.size()
                                             : (turn - 1 + position - ReadersPerDomain) % followers;
        if (belowReaders[index]->name != m_self)
            candidates.push_back(belowReaders[index]);
    }
    return longestUnqueried(candidates, now);
}

/// Returns the usable instance that most recently sent data that was not stale, or null.
const PeerInstance *PeerDirectory::freshSource(Time now) const
{
    const PeerInstance *freshest = nullptr;
    for (const PeerInstance &each : m_instances)
        if (isUsable(each, now) && now - stateOf(each).freshAt < RecentlyFresh
            && (!freshest || stateOf(each).freshAt > stateOf(*freshest).freshAt))
            freshest = &each;
    return freshest;
}

/// Returns the usable one of \a candidates whose last query is the longest ago, or null.
const PeerInstance *PeerDirectory::longestUnqueried(std::span<const PeerInstance *const> candidates,
                                                    Time now) const
{
    const PeerInstance *found = nullptr;
    for (const PeerInstance *each : candidates)
        if (isUsable(*each, now)
            && (!found || stateOf(*each).queriedAt < stateOf(*found).queriedAt))
            found = each;
    return found;
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

/// Returns the source of an instance that is not a reader of its domain. If its parents are stale,
/// it goes on with the store or another instance that had fresh data. If it has only stale data, it
/// queries all that may have fresh data, one after another.
ReadSource PeerDirectory::followerSource(std::vector<const PeerInstance *> parentCandidates,
                                         Time now, const ReplicaStatus &replica) const
{
    const auto from = [](const PeerInstance *instance) {
        return instance ? ReadSource {ReadSource::Kind::Instance, instance} : ReadSource {};
    };
    if (isStale(replica)) {
        for (const PeerInstance *each : {instanceAtTurn(now, replica), freshSource(now)})
            if (each)
                parentCandidates.push_back(each);
        return from(longestUnqueried(parentCandidates, now));
    }
    for (const PeerInstance *each : parentCandidates)
        if (isUsable(*each, now))
            return from(each);
    if (replica.fromStore && storeUsable(now))
        return {ReadSource::Kind::Store};
    return from(freshSource(now));
}

ReadSource PeerDirectory::source(Time now, const ReplicaStatus &replica) const
{
    if (mayTryStore(now, replica))
        return {ReadSource::Kind::Store, nullptr, true};
    const std::vector<const PeerInstance *> earlier = earlierResponsive(now);
    if (earlier.size() == ReadersPerDomain) {
        const std::vector<const PeerInstance *> parentCandidates = parents();
        const ReadSource found = followerSource(parentCandidates, now, replica);
        if (found.kind != ReadSource::Kind::None
            || std::any_of(parentCandidates.begin(), parentCandidates.end(),
                           [&](const PeerInstance *each) { return isResponsive(*each, now); }))
            return found;
    }
    for (const PeerInstance *each : earlier)
        if (isUsable(*each, now))
            return {ReadSource::Kind::Instance, each};
    if (!replica.hasData && earlier.size() < ReadersPerDomain)
        if (const PeerInstance *each = firstSource(now))
            return {ReadSource::Kind::Instance, each, true};
    // A first snapshot that another instance sent may be old, which the store shows at once.
    if (earlier.size() < ReadersPerDomain && storeUsable(now))
        return {ReadSource::Kind::Store, nullptr, replica.age > RecentUpdate};
    // This instance is the first reader and the store fails: read from the second reader.
    if (earlier.empty())
        if (const PeerInstance *other = nextResponsive(now); other && isUsable(*other, now))
            return {ReadSource::Kind::Instance, other};
    if (const PeerInstance *each = remoteReader(now))
        return {ReadSource::Kind::Instance, each};
    if (const PeerInstance *each = instanceAtTurn(now, replica))
        return {ReadSource::Kind::Instance, each};
    return {};
}

/// Returns the parent of this instance in the tree of its domain, and the parent's neighbour
/// as the alternative; the two readers are the roots. Positions depend only on the list of
/// instances, not on their responsiveness: otherwise each instance that becomes unresponsive
/// would change the parents of all instances after it.
std::vector<const PeerInstance *> PeerDirectory::parents() const
{
    const std::size_t position = positionInDomain();
    if (position < ReadersPerDomain)
        return {};
    const std::vector<const PeerInstance *> all = inDomain();
    const std::size_t parent = (position - ReadersPerDomain) / FanOut;
    const std::size_t neighbour = parent % 2 == 0 ? parent + 1 : parent - 1;
    return {all[parent], all[std::min(neighbour, position - 1)]};
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
    return std::max<std::size_t>(1, inDomain().size());
}

std::size_t PeerDirectory::instanceCount() const
{
    return std::max<std::size_t>(1, m_instances.size());
}

} // namespace balsamloft
