#include <balsamloft/admission/admission.h>
#include <balsamloft/admission/capacityestimate.h>
#include <balsamloft/admission/capacityshares.h>
#include <balsamloft/admission/fairqueue.h>
#include <balsamloft/admission/returnschedule.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <unordered_map>

namespace balsamloft {

namespace {

/// Time constant of the rates that are reported to other instances. Shorter ones follow bursts
/// sooner, but an instance with a few requests per second would report noise.
constexpr double RateSeconds = 2;

/// Part of the capacity that all instances together may use beyond their shares. It absorbs
/// fluctuations of their callers' demand.
constexpr double BorrowedPart = 0.25;

/// Part of the capacity in use by all instances below which an instance may exceed its share by
/// AmpleFactor. Few callers of one instance vary by more than its share of a service that is hardly
/// used.
constexpr double AmpleUse = 0.6;
constexpr double AmpleFactor = 3;

/// Requests that an instance may have in flight whatever its share: a request larger than the
/// share must not wait forever, and several callers of one instance may come at once while the
/// capacity is ample.
constexpr std::size_t MinAdmitted = 1;
constexpr std::size_t MinAdmittedIfAmple = 4;

/// How long a total that shows ample capacity is relied on.
constexpr Duration AmpleLifetime {2'000'000};

/// Part of the drain rate that is left for callers who come back, so that they don't displace new
/// callers that would be served in time.
constexpr double ReturnPart = 0.2;

/// Late requests save up at most this part of the work in flight.
constexpr double MaxLateCredit = 0.1;

/// A service counts as at its capacity for this long after it refused a request.
constexpr Duration ContendedDuration {1'000'000};

/// Callers do not wait longer for a second attempt than this part of their time.
constexpr double MaxReturnPart = 1.0 / 3;

/// Sum of events that decays exponentially, as a rate per second.
class DecayingRate
{
public:
    void add(double amount, Time now)
    {
        m_sum = decayed(now) + amount;
        m_at = now;
    }

    double perSecond(Time now) const { return decayed(now) / RateSeconds; }

private:
    double decayed(Time now) const
    {
        const std::chrono::duration<double> elapsed = now - m_at;
        return m_sum * std::exp(-std::max(0.0, elapsed.count()) / RateSeconds);
    }

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

    struct Service
    {
        CapacityEstimate capacity;
        FairQueue queue;
        std::set<std::pair<Time, std::uint64_t>> byExpiry; ///< waiting requests
        ReturnSchedule returns;
        Time ampleUntil {}; ///< the capacity has ample room until then
        Time contendedUntil {}; ///< the service is at its capacity until then
        double lateCredit = 0; ///< work of late requests that may be admitted meanwhile
        double inFlight = 0;
        std::size_t admittedNow = 0; ///< admitted requests that have not finished
        DecayingRate demand;
        DecayingRate drained;
        DecayingRate onTime;
        DecayingRate late;
        DecayingRate rejected;
        AdmissionStatus counts;
    };

    static int rank(const Service &service, const AdmissionRequest &request, Time now);
    double limit(const std::string &name, const Service &service, Time now) const;
    bool fits(const std::string &name, const Service &service, double work, Time now) const;
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
    std::map<std::string, Service, std::less<>> services;
    std::unordered_map<std::uint64_t, Entry> entries;
};

/// The class of a request in the queue. Each priority has two: late requests of a contended service
/// come second, except for the part that is left to them.
int Admission::Impl::rank(const Service &service, const AdmissionRequest &request, Time now)
{
    const bool second =
        request.late && now < service.contendedUntil && service.lateCredit < request.work;
    return 2 * request.priority + (second ? 1 : 0);
}

/// Work that this instance may have in flight; negative: no limit is known.
double Admission::Impl::limit(const std::string &name, const Service &service, Time now) const
{
    const double capacity = service.capacity.capacity();
    if (capacity <= 0)
        return -1;
    const double borrowed = BorrowedPart / static_cast<double>(instances);
    const bool ample = now < service.ampleUntil;
    return capacity * (shares.share(name, now) + borrowed) * (ample ? AmpleFactor : 1);
}

bool Admission::Impl::fits(const std::string &name, const Service &service, double work,
                           Time now) const
{
    const double most = limit(name, service, now);
    const std::size_t atLeast = now < service.ampleUntil ? MinAdmittedIfAmple : MinAdmitted;
    return most < 0 || service.admittedNow < atLeast || service.inFlight + work <= most;
}

void Admission::Impl::admit(Service &service, Entry &entry) const
{
    entry.state = State::Admitted;
    const double work = entry.request.work;
    const double earned = work * ReturnPart / (1 - ReturnPart);
    const double credit = service.lateCredit + (entry.request.late ? -work : earned);
    service.lateCredit = std::clamp(credit, 0.0, std::max(work, MaxLateCredit * service.inFlight));
    service.inFlight += entry.request.work;
    service.admittedNow += 1;
    service.counts.admitted += 1;
}

AdmissionDecision Admission::Impl::refuse(Service &service, const AdmissionRequest &request,
                                          Duration wait, std::string reason, Time now)
{
    service.counts.refused += 1;
    service.contendedUntil = now + ContendedDuration;
    const Duration latest(
        static_cast<std::int64_t>(static_cast<double>(request.timeLeft.count()) * MaxReturnPart));
    const double rate = service.drained.perSecond(now) * ReturnPart;
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
    const double most = limit(name, service, now);
    const double ahead = service.queue.costAhead(rank, request.team, request.teamShare)
                         + std::max(0.0, service.inFlight + request.work - most);
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
        if (!fits(name, service, front->cost, now))
            break;
        Entry &entry = entries.at(front->request);
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
        const Duration wait =
            expectedWait(name, service, entry.request, rank(service, entry.request, now), now)
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
    for (auto &[name, service] : m_impl->services)
        if (const ServiceLoad *total = load.total.find(name)) {
            service.capacity.update(*total, now);
            const bool ample = total->inFlight < AmpleUse * service.capacity.capacity();
            service.ampleUntil = ample ? now + AmpleLifetime : Time {};
        }
}

AdmissionDecision Admission::submit(const AdmissionRequest &request, Time now)
{
    if (!m_impl->settings.enabled)
        return {request.id, AdmissionDecision::Kind::Admit, {}, {}};
    Impl::Service &service = m_impl->services[request.service];
    service.demand.add(request.work, now);
    Impl::Entry entry {request, Impl::State::Admitted, now, {}};
    const int rank = Impl::rank(service, request, now);
    const QueueItem *front = service.queue.front();
    const bool mayPass = rank % 2 == 0 && (!front || front->priority > rank);
    if (mayPass && m_impl->fits(request.service, service, request.work, now)) {
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
        service.admittedNow -= 1;
        service.inFlight =
            service.admittedNow == 0 ? 0 : service.inFlight - it->second.request.work;
        service.drained.add(it->second.request.work, now);
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

LoadReport Admission::load(Time now) const
{
    LoadReport report;
    report.instances = 1;
    if (!m_impl->settings.enabled)
        return report;
    constexpr double MinDemand = 1e-3;
    for (const auto &[name, service] : m_impl->services) {
        const ServiceLoad load {name,
                                service.demand.perSecond(now),
                                service.inFlight,
                                service.onTime.perSecond(now),
                                service.late.perSecond(now),
                                service.rejected.perSecond(now)};
        if (load.demand > MinDemand || load.inFlight > 0)
            report.services.push_back(load);
    }
    return report;
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
