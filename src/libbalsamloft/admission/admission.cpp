#include <balsamloft/admission/admission.h>
#include <balsamloft/admission/capacityestimate.h>
#include <balsamloft/admission/capacityshares.h>
#include <balsamloft/admission/fairqueue.h>
#include <balsamloft/admission/returnschedule.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <unordered_map>

namespace balsamloft {

namespace {

/// Time constants of the rates that are reported to other instances. Shares depend on the demand of
/// each instance, and some instances have few requests per second, so it is averaged longer.
/// Outcomes are only used as sums over all instances; with a longer average, outcomes from before a
/// decrease of the capacity would decrease it again.
constexpr double DemandSeconds = 2;
constexpr double OutcomeSeconds = 1;

/// Part of the capacity that all instances together may use beyond their shares. It absorbs
/// fluctuations of their callers' demand.
constexpr double BorrowedPart = 0.1;

/// While all instances together use less than AmpleUse of the capacity, the limit of an instance is
/// multiplied by AmpleFactor. An instance with few callers would otherwise refuse requests at a
/// service with free capacity, since the demand of few callers fluctuates by more than its share.
constexpr double AmpleUse = 0.7;
constexpr double AmpleFactor = 3;

/// Requests that an instance may have in flight whatever its share: a request larger than the
/// share must not wait forever, and several callers of one instance may come at once while the
/// capacity is ample.
constexpr std::size_t MinRunning = 1;
constexpr std::size_t MinRunningIfAmple = 4;

/// An instance whose demand is more than this multiple of what the last total includes uses an
/// equal share at least. Totals are some seconds old, and instances that start together would
/// otherwise refuse nearly all of their first callers.
constexpr double RisingDemandFactor = 4;

/// How long a total that shows ample capacity is relied on.
constexpr Duration AmpleLifetime {2'000'000};

/// Longest Retry-After, as a part of the time until the caller's deadline.
constexpr double MaxReturnPart = 1.0 / 3;

/// Lower bound of the limit of a rank at a contended service, as a part of the instance's limit, so
/// that no rank is excluded by the demand of higher ones. The same part of the drain rate is left
/// to the returns of refused callers.
constexpr double MinRankPart = 0.1;

/// A service counts as at its capacity for this long after it refused a request.
constexpr Duration ContendedDuration {1'000'000};

/// Lower bound of the part of the capacity that is used if the total lacks listed instances. They
/// may have been stopped rather than partitioned; then their callers come to the other instances.
constexpr double MinCoverage = 0.5;

/// Sum of events that decays exponentially, as a rate per second.
class DecayingRate
{
public:
    explicit DecayingRate(double seconds)
        : m_seconds(seconds)
    {
    }

    void add(double amount, Time now)
    {
        m_sum = decayed(now) + amount;
        m_at = now;
    }

    double perSecond(Time now) const { return decayed(now) / m_seconds; }

private:
    double decayed(Time now) const
    {
        const std::chrono::duration<double> elapsed = now - m_at;
        return m_sum * std::exp(-std::max(0.0, elapsed.count()) / m_seconds);
    }

    double m_seconds; ///< time constant
    double m_sum = 0;
    Time m_at {};
};

} // namespace

class Admission::Impl
{
public:
    explicit Impl(AdmissionSettings settings)
        : settings(settings)
        , random(settings.seed)
    {
    }

    enum class State : std::uint8_t { Waiting, Admitted, Started };

    struct Entry
    {
        AdmissionRequest request;
        State state = State::Admitted;
        Time submittedAt {};
        Time waitsUntil {};
    };

    /// Load of a service by requests of one rank.
    struct RankLoad
    {
        double inFlight = 0;
        DecayingRate demand {DemandSeconds};
    };

    struct Service
    {
        CapacityEstimate capacity;
        FairQueue queue;
        std::set<std::pair<Time, std::uint64_t>> byExpiry; ///< waiting requests
        ReturnSchedule returns;
        double countedDemand = 0; ///< the own demand that the last total includes
        Time ampleUntil {}; ///< until then, limits are raised by AmpleFactor
        Time contendedSince {};
        Time contendedUntil {}; ///< the service is at its capacity until then
        double inFlight = 0;
        std::size_t running = 0; ///< number of admitted requests that have not finished
        DecayingRate demand {DemandSeconds};
        std::map<int, RankLoad> byRank; ///< smaller ranks are served first
        DecayingRate drained {DemandSeconds};
        DecayingRate onTime {OutcomeSeconds};
        DecayingRate late {OutcomeSeconds};
        DecayingRate rejected {OutcomeSeconds};
        AdmissionStatus counts;
    };

    static double runSeconds(const Service &service, Time now);
    static int rank(const AdmissionRequest &request);
    static bool isLate(int rank) { return rank % 2 != 0; }
    double limit(const std::string &name, const Service &service, Time now) const;
    bool fits(const std::string &name, const Service &service, int rank, double work,
              Time now) const;
    static double rankPart(const Service &service, int rank, Time now);
    static double inFlightFromRank(const Service &service, int rank);
    void admit(Service &service, Entry &entry) const;
    AdmissionDecision refuse(Service &service, const AdmissionRequest &request, Duration wait,
                             std::string reason, Time now);
    std::optional<Duration> expectedWait(const std::string &name, const Service &service,
                                         const AdmissionRequest &request, int rank, Time now) const;
    void removeWaiting(Service &service, const Entry &entry);
    void pollService(const std::string &name, Service &service, Time now,
                     std::vector<AdmissionDecision> &decisions);

    AdmissionSettings settings;
    std::mt19937_64 random;
    CapacityShares shares;
    std::size_t instances = 1;
    double coverage = 1; ///< part of the listed instances that the last total includes
    std::map<std::string, Service, std::less<>> services;
    std::unordered_map<std::uint64_t, Entry> entries;
};

/// The rank of a request. Late requests come after those of the same priority that can still be
/// served in time.
int Admission::Impl::rank(const AdmissionRequest &request)
{
    return 2 * request.priority + (request.late ? 1 : 0);
}

/// How long admitted requests are in flight on average, by Little's law.
double Admission::Impl::runSeconds(const Service &service, Time now)
{
    const double rate = service.drained.perSecond(now);
    return rate > 0 ? service.inFlight / rate : std::numeric_limits<double>::infinity();
}

/// Work that this instance may have in flight; negative: no limit is known.
double Admission::Impl::limit(const std::string &name, const Service &service, Time now) const
{
    const double capacity = service.capacity.capacity();
    if (capacity <= 0)
        return -1;
    const double borrowed = BorrowedPart / static_cast<double>(instances);
    const bool ample = now < service.ampleUntil;
    const bool rising = service.demand.perSecond(now) > RisingDemandFactor * service.countedDemand;
    const double equal = 1 / static_cast<double>(instances);
    const double share = std::max(shares.share(name, now), rising ? equal : 0);
    return coverage * capacity * (share + borrowed) * (ample ? AmpleFactor : 1);
}

/// The part of a contended service's capacity that is left to \a rank and those below it by the
/// demand of higher ranks. Without such a limit, requests of a low rank would take what becomes
/// free between two requests of a high one. The demand of late requests is not included: their
/// callers were refused before and would be counted twice.
double Admission::Impl::rankPart(const Service &service, int rank, Time now)
{
    const double rate = service.drained.perSecond(now);
    if (now >= service.contendedUntil || rate <= 0)
        return 1;
    double above = 0;
    for (const auto &[each, load] : service.byRank)
        above += each < rank && !isLate(each) ? load.demand.perSecond(now) : 0;
    return std::clamp(1 - above / rate, MinRankPart, 1.0);
}

/// Work in flight with \a rank and lower ones.
double Admission::Impl::inFlightFromRank(const Service &service, int rank)
{
    double sum = 0;
    for (auto it = service.byRank.lower_bound(rank); it != service.byRank.end(); ++it)
        sum += it->second.inFlight;
    return sum;
}

bool Admission::Impl::fits(const std::string &name, const Service &service, int rank, double work,
                           Time now) const
{
    const double maxInFlight = limit(name, service, now);
    const std::size_t minRunning = now < service.ampleUntil ? MinRunningIfAmple : MinRunning;
    if (maxInFlight < 0 || service.running < minRunning)
        return true;
    return service.inFlight + work <= maxInFlight
           && inFlightFromRank(service, rank) + work <= maxInFlight * rankPart(service, rank, now);
}

void Admission::Impl::admit(Service &service, Entry &entry) const
{
    entry.state = State::Admitted;
    service.inFlight += entry.request.work;
    service.byRank[rank(entry.request)].inFlight += entry.request.work;
    service.running += 1;
    service.counts.admitted += 1;
}

AdmissionDecision Admission::Impl::refuse(Service &service, const AdmissionRequest &request,
                                          Duration wait, std::string reason, Time now)
{
    service.counts.refused += 1;
    if (now >= service.contendedUntil)
        service.contendedSince = now;
    service.contendedUntil = now + ContendedDuration;
    // The service is expected to stay contended for as long as it has been so far.
    wait = std::max(wait, now - service.contendedSince);
    const Duration latest(
        static_cast<std::int64_t>(static_cast<double>(request.timeLeft.count()) * MaxReturnPart));
    const double rate = service.drained.perSecond(now) * MinRankPart;
    const Duration delay = service.returns.schedule(request.work, rate, wait, latest, now, random);
    return {request.id, AdmissionDecision::Kind::Refuse, delay, std::move(reason)};
}

/// How long the request would wait; nothing if no work was finished recently.
std::optional<Duration> Admission::Impl::expectedWait(const std::string &name,
                                                      const Service &service,
                                                      const AdmissionRequest &request, int rank,
                                                      Time now) const
{
    const double rate = service.drained.perSecond(now);
    if (rate <= 0)
        return std::nullopt;
    const double maxInFlight = limit(name, service, now);
    const double ahead = service.queue.costAhead(rank, request.team, request.teamShare)
                         + std::max(0.0, service.inFlight + request.work - maxInFlight);
    constexpr double MaxSeconds = 60;
    return Duration(static_cast<std::int64_t>(std::min(ahead / rate, MaxSeconds) * 1e6));
}

void Admission::Impl::removeWaiting(Service &service, const Entry &entry)
{
    service.queue.remove(entry.request.id);
    service.byExpiry.erase({entry.waitsUntil, entry.request.id});
}

void Admission::Impl::pollService(const std::string &name, Service &service, Time now,
                                  std::vector<AdmissionDecision> &decisions)
{
    while (const QueueItem *front = service.queue.front()) {
        Entry &entry = entries.at(front->request);
        if (!fits(name, service, rank(entry.request), front->cost, now))
            break;
        service.queue.pop();
        service.byExpiry.erase({entry.waitsUntil, entry.request.id});
        admit(service, entry);
        decisions.push_back({entry.request.id, AdmissionDecision::Kind::Admit, {}, {}});
    }
    while (!service.byExpiry.empty() && service.byExpiry.begin()->first <= now) {
        const std::uint64_t id = service.byExpiry.begin()->second;
        const Entry entry = entries.at(id);
        removeWaiting(service, entry);
        entries.erase(id);
        service.counts.expired += 1;
        const Duration wait = expectedWait(name, service, entry.request, rank(entry.request), now)
                                  .value_or(entry.request.target);
        AdmissionRequest request = entry.request;
        request.timeLeft -= now - entry.submittedAt;
        decisions.push_back(refuse(service, request, wait, "no capacity became free in time", now));
    }
}

Admission::Admission(AdmissionSettings settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

Admission::~Admission() = default;
Admission::Admission(Admission &&) noexcept = default;
Admission &Admission::operator=(Admission &&) noexcept = default;

void Admission::setNominalCapacity(const std::string &service, double work)
{
    m_impl->services[service].capacity.setNominal(work);
}

void Admission::setInstances(std::size_t count)
{
    m_impl->instances = std::max<std::size_t>(1, count);
    m_impl->shares.setInstances(m_impl->instances);
}

void Admission::applyFleetLoad(const FleetLoad &load, Time now)
{
    m_impl->shares.update(load, now);
    // In a partition, the instances that are missing use the same endpoints.
    m_impl->coverage = std::clamp(static_cast<double>(load.total.instances)
                                      / static_cast<double>(m_impl->instances),
                                  MinCoverage, 1.0);
    for (auto &[name, service] : m_impl->services)
        if (const ServiceLoad *total = load.total.find(name)) {
            service.capacity.update(*total, now);
            // Work that is requested until the next total arrives is included.
            const double expected =
                total->inFlight + total->demand * std::min(1.0, Impl::runSeconds(service, now));
            const bool ample = expected < AmpleUse * service.capacity.capacity();
            service.ampleUntil = ample ? now + AmpleLifetime : Time {};
            const ServiceLoad *own = load.own.find(name);
            service.countedDemand = own ? own->demand : 0;
        }
}

AdmissionDecision Admission::submit(const AdmissionRequest &request, Time now)
{
    if (!m_impl->settings.enabled)
        return {request.id, AdmissionDecision::Kind::Admit, {}, {}};
    Impl::Service &service = m_impl->services[request.service];
    service.demand.add(request.work, now);
    service.byRank[Impl::rank(request)].demand.add(request.work, now);
    Impl::Entry entry {request, Impl::State::Admitted, now, {}};
    const int rank = Impl::rank(request);
    const QueueItem *front = service.queue.front();
    const bool mayPass = !front || front->priority > rank;
    if (mayPass && m_impl->fits(request.service, service, rank, request.work, now)) {
        m_impl->admit(service, entry);
        m_impl->entries.insert_or_assign(request.id, std::move(entry));
        return {request.id, AdmissionDecision::Kind::Admit, {}, {}};
    }
    const Duration maxWait(static_cast<std::int64_t>(static_cast<double>(request.target.count())
                                                     * m_impl->settings.maxWaitShare));
    const auto wait = m_impl->expectedWait(request.service, service, request, rank, now);
    if (wait && *wait > maxWait)
        return m_impl->refuse(service, request, *wait, "the service is at its capacity", now);
    if (service.queue.size() >= m_impl->settings.maxWaiting)
        return m_impl->refuse(service, request, wait.value_or(maxWait), "too many requests wait",
                              now);
    entry.state = Impl::State::Waiting;
    entry.waitsUntil = now + maxWait;
    service.byExpiry.emplace(entry.waitsUntil, request.id);
    service.queue.push(
        {request.id, request.team, request.teamShare, rank, entry.waitsUntil, request.work});
    m_impl->entries.insert_or_assign(request.id, std::move(entry));
    return {request.id, AdmissionDecision::Kind::Wait, {}, {}};
}

std::vector<AdmissionDecision> Admission::poll(Time now)
{
    std::vector<AdmissionDecision> decisions;
    for (auto &[name, service] : m_impl->services)
        m_impl->pollService(name, service, now, decisions);
    return decisions;
}

void Admission::finished(std::uint64_t id, Time now)
{
    const auto it = m_impl->entries.find(id);
    if (it == m_impl->entries.end())
        return;
    Impl::Service &service = m_impl->services[it->second.request.service];
    if (it->second.state == Impl::State::Waiting) {
        m_impl->removeWaiting(service, it->second);
    } else {
        service.running -= 1;
        service.inFlight = service.running == 0 ? 0 : service.inFlight - it->second.request.work;
        service.drained.add(it->second.request.work, now);
        double &ofRank = service.byRank[Impl::rank(it->second.request)].inFlight;
        ofRank = std::max(0.0, ofRank - it->second.request.work);
    }
    m_impl->entries.erase(it);
}

void Admission::started(std::uint64_t id, Duration latency, Time now)
{
    const auto it = m_impl->entries.find(id);
    if (it == m_impl->entries.end() || it->second.state != Impl::State::Admitted)
        return;
    it->second.state = Impl::State::Started;
    Impl::Service &service = m_impl->services[it->second.request.service];
    (latency <= it->second.request.target ? service.onTime : service.late).add(1, now);
}

void Admission::rejected(std::uint64_t id, Time now)
{
    const auto it = m_impl->entries.find(id);
    if (it != m_impl->entries.end())
        m_impl->services[it->second.request.service].rejected.add(1, now);
}

LoadSummary Admission::load(Time now) const
{
    LoadSummary summary;
    summary.instances = 1;
    if (!m_impl->settings.enabled)
        return summary;
    constexpr double MinDemand = 1e-3;
    for (const auto &[name, service] : m_impl->services) {
        const ServiceLoad load {name,
                                service.demand.perSecond(now),
                                service.inFlight,
                                service.onTime.perSecond(now),
                                service.late.perSecond(now),
                                service.rejected.perSecond(now)};
        if (load.demand > MinDemand || load.inFlight > 0)
            summary.services.push_back(load);
    }
    return summary;
}

std::vector<AdmissionStatus> Admission::status(Time now) const
{
    std::vector<AdmissionStatus> all;
    for (const auto &[name, service] : m_impl->services) {
        AdmissionStatus status = service.counts;
        status.service = name;
        status.capacity = service.capacity.capacity();
        status.share = m_impl->shares.share(name, now);
        status.inFlight = service.inFlight;
        status.waiting = service.queue.size();
        all.push_back(std::move(status));
    }
    return all;
}

} // namespace balsamloft
