#include <balsamloft/peerdirectory.h>

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace balsamloft {

namespace {

/// How long an instance that did not answer is not asked again: doubled with each
/// silence in a row. Short at first, since all instances may be starting at once;
/// long in the end, since each question to a dead machine costs a time limit.
constexpr Duration SilentFor {1'000'000};
constexpr Duration MostSilentFor {16'000'000};
/// The same for one who knows nothing yet: those who start together are busy, not dead.
constexpr Duration SilentAtStart {300'000};

/// How long an instance that knew too little is passed over. As long as it would
/// hold a question, so that an outage of the store adds no questions.
constexpr Duration BehindFor {300'000};

/// News older than this are looked for elsewhere: a leaving endpoint must be known
/// of two seconds after the store does, also when the instance that is read from
/// has lost the store without noticing yet.
constexpr Duration MostAge {1'250'000};

/// So long after the last answer of one who knows too little, an instance takes it that the
/// store fails for those above it as well.
constexpr Duration AnsweredLately {1'000'000};

/// Pauses of a reader after the store failed, with full jitter.
constexpr Duration FirstBackOff {300'000};
constexpr Duration MostBackOff {2'400'000};

/// Instances of a domain that may read the store.
constexpr std::size_t Readers = 2;

/// Instances that read from one and the same. More, and the links of small instances are
/// too narrow for what hundreds of them are told of thousands of endpoints; fewer, and
/// news pass through more instances.
constexpr std::size_t FanOut = 8;

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

void PeerDirectory::replace(std::vector<PeerInstance> instances)
{
    std::sort(instances.begin(), instances.end(),
              [](const auto &left, const auto &right) { return left.name < right.name; });
    m_instances = std::move(instances);
    std::erase_if(m_seen, [&](const auto &each) {
        return std::none_of(m_instances.begin(), m_instances.end(),
                            [&](const PeerInstance &known) { return known.name == each.first; });
    });
}

void PeerDirectory::silent(const std::string &name, Time now)
{
    Seen &seen = m_seen[name];
    // Questions that were sent together stay unanswered together.
    if (now < seen.unresponsiveUntil)
        return;
    seen.unresponsiveUntil =
        now
        + (m_told ? exponentialBackoff(SilentFor, seen.timeouts, MostSilentFor) : SilentAtStart);
    seen.timeouts += 1;
}

void PeerDirectory::behind(const std::string &name, Time now)
{
    m_seen[name].staleUntil = now + BehindFor;
    m_emptyAnswerAt = now;
}

void PeerDirectory::told(const std::string &name, Duration age, bool direct, Time now)
{
    m_told = true;
    Seen &seen = m_seen[name];
    seen.timeouts = 0;
    seen.unresponsiveUntil = Time {};
    // The second reader steps in once the first has lost the store. Were it
    // content with news of any origin, the two would read from each other.
    const std::vector<const PeerInstance *> earlier = before(now);
    const bool fromFirst = earlier.size() == 1 && earlier.front()->name == name;
    if (age > MostAge || (fromFirst && !direct))
        seen.staleUntil = now + BehindFor;
    if (age > MostAge)
        m_staleAnswerAt = now;
}

void PeerDirectory::storeFailed(Time now)
{
    if (now < m_storeRetryAt)
        return;
    const Duration most = exponentialBackoff(FirstBackOff, m_storeFailures, MostBackOff);
    m_storeFailures += 1;
    std::uniform_int_distribution<std::int64_t> jitter(most.count() / 4, most.count());
    m_storeRetryAt = now + Duration(jitter(m_random));
}

void PeerDirectory::storeAnswered()
{
    m_storeFailures = 0;
    m_storeRetryAt = Time {};
}

bool PeerDirectory::good(const PeerInstance &instance, Time now) const
{
    const auto it = m_seen.find(instance.name);
    return !instance.address.empty() && (it == m_seen.end() || now >= it->second.unresponsiveUntil);
}

bool PeerDirectory::useful(const PeerInstance &instance, Time now) const
{
    const auto it = m_seen.find(instance.name);
    return good(instance, now) && (it == m_seen.end() || now >= it->second.staleUntil);
}

/// The good instances of the own domain that come before this one, as many as
/// there are readers at most.
std::vector<const PeerInstance *> PeerDirectory::before(Time now) const
{
    std::vector<const PeerInstance *> earlier;
    for (const PeerInstance &each : m_instances) {
        if (each.name >= m_self || earlier.size() == Readers)
            break;
        if (each.domain == m_domain && good(each, now))
            earlier.push_back(&each);
    }
    return earlier;
}

bool PeerDirectory::first(Time now) const
{
    return before(now).empty();
}

/// Whether nobody tells this instance anything. Old news say that the store fails for those
/// above; so does, at the start, one that has nothing to tell yet.
bool PeerDirectory::untold(Time now, Duration updateAge) const
{
    return updateAge > MostAge && now - m_staleAnswerAt > AnsweredLately
           && (m_told || now - m_emptyAnswerAt > AnsweredLately);
}

ReadSource PeerDirectory::source(Time now, Duration updateAge) const
{
    if (untold(now, updateAge) && storeUsable(now))
        return {ReadSource::Kind::Store, nullptr, true};
    const std::vector<const PeerInstance *> earlier = before(now);
    if (earlier.size() == Readers) {
        const std::vector<const PeerInstance *> above = parents();
        for (const PeerInstance *each : above)
            if (useful(*each, now))
                return {ReadSource::Kind::Instance, each};
        if (std::any_of(above.begin(), above.end(),
                        [&](const PeerInstance *each) { return good(*each, now); }))
            return {};
    }
    for (const PeerInstance *each : earlier)
        if (useful(*each, now))
            return {ReadSource::Kind::Instance, each};
    if (earlier.size() < Readers && storeUsable(now))
        return {ReadSource::Kind::Store, nullptr};
    // A reader without the store is told by the other reader of its domain.
    if (earlier.empty())
        if (const PeerInstance *other = next(now); other && useful(*other, now))
            return {ReadSource::Kind::Instance, other};
    if (const PeerInstance *each = elsewhere(now))
        return {ReadSource::Kind::Instance, each};
    return {};
}

/// Whom this instance reads from in the tree of its domain, and whom else: the two readers
/// are its roots. By the list alone, whoever is silent: were places in the tree to move
/// with each instance that is, all after it would change whom they read from.
std::vector<const PeerInstance *> PeerDirectory::parents() const
{
    std::vector<const PeerInstance *> earlier;
    for (const PeerInstance &each : m_instances) {
        if (each.name >= m_self)
            break;
        if (each.domain == m_domain)
            earlier.push_back(&each);
    }
    if (earlier.size() < Readers)
        return {};
    const std::size_t parent = (earlier.size() - Readers) / FanOut;
    const std::size_t neighbour = parent % 2 == 0 ? parent + 1 : parent - 1;
    return {earlier[parent], earlier[std::min(neighbour, earlier.size() - 1)]};
}

/// The good instance of the own domain that comes after this one.
const PeerInstance *PeerDirectory::next(Time now) const
{
    const auto it =
        std::find_if(m_instances.begin(), m_instances.end(), [&](const PeerInstance &each) {
            return each.domain == m_domain && each.name > m_self && good(each, now);
        });
    return it == m_instances.end() ? nullptr : &*it;
}

/// The first \a most good instances of each other domain.
std::vector<const PeerInstance *> PeerDirectory::remoteCandidates(std::size_t most, Time now) const
{
    std::vector<const PeerInstance *> firsts;
    std::map<std::string_view, std::size_t> counts;
    for (const PeerInstance &each : m_instances)
        if (each.domain != m_domain && good(each, now) && counts[each.domain]++ < most)
            firsts.push_back(&each);
    return firsts;
}

/// A reader of another domain. Which one differs from instance to instance, so
/// that no reader carries all of a domain that lost the store.
const PeerInstance *PeerDirectory::elsewhere(Time now) const
{
    std::vector<const PeerInstance *> readers = remoteCandidates(Readers, now);
    std::erase_if(readers, [&](const PeerInstance *each) { return !useful(*each, now); });
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

std::size_t PeerDirectory::count() const
{
    return std::max<std::size_t>(1, m_instances.size());
}

} // namespace balsamloft
