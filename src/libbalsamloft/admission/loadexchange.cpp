#include <balsamloft/admission/loadexchange.h>

#include <algorithm>

namespace balsamloft {

namespace {

/// How long own loads are kept, to find the one that a total includes. CapacityShares does not use
/// older totals.
constexpr Duration OwnHistory {12'000'000};

} // namespace

LoadExchange::LoadExchange(std::string domain, LoadExchangeSettings settings)
    : m_domain(std::move(domain))
    , m_settings(settings)
{
}

/// Records that this instance is running. After a pause, for example a suspended process, the
/// reports of others have expired, and their sum is incomplete until they have reported again.
void LoadExchange::recordActivity(Time now)
{
    if (!m_activeAt || now - *m_activeAt > m_settings.reportLifetime)
        m_activeSince = now;
    m_activeAt = now;
}

void LoadExchange::setOwn(LoadSummary own, Time now)
{
    recordActivity(now);
    own.instances = 1;
    m_own.push_back({std::move(own), now});
    // One load that is older than the history stays, so that the whole history is covered.
    while (m_own.size() > 1 && now - m_own[1].measuredAt >= OwnHistory)
        m_own.pop_front();
}

void LoadExchange::store(ReportMap &reports, const std::string &name, AgedLoadSummary report,
                         Time now)
{
    recordActivity(now);
    std::erase_if(reports, [&](const auto &each) { return !isCurrent(each.second, now); });
    const Time measuredAt = now - report.age;
    reports.insert_or_assign(name, Report {std::move(report.report), measuredAt, now});
}

void LoadExchange::receiveSubtree(const std::string &name, AgedLoadSummary report, Time now)
{
    store(m_followers, name, std::move(report), now);
}

void LoadExchange::receiveDomain(const std::string &domain, AgedLoadSummary report, Time now)
{
    // Two instances may consider themselves the reader of this domain for a moment.
    if (domain != m_domain)
        store(m_domains, domain, std::move(report), now);
}

void LoadExchange::receiveTotal(AgedLoadSummary report, Time now)
{
    recordActivity(now);
    if (report.report.instances == 0)
        return;
    const Time measuredAt = now - report.age;
    m_total = Report {std::move(report.report), measuredAt, now};
}

bool LoadExchange::isCurrent(const Report &report, Time now) const
{
    return now - report.receivedAt <= m_settings.reportLifetime;
}

void LoadExchange::addCurrent(const ReportMap &reports, Time now, AgedLoadSummary &sum) const
{
    for (const auto &[name, each] : reports) {
        if (!isCurrent(each, now))
            continue;
        sum.report.add(each.report);
        sum.age = std::max(sum.age, now - each.measuredAt);
    }
}

AgedLoadSummary LoadExchange::subtree(Time now) const
{
    AgedLoadSummary sum;
    if (m_own.empty()) {
        sum.report.instances = 1;
    } else {
        sum.report = m_own.back().report;
        sum.age = std::max(Duration {}, now - m_own.back().measuredAt);
    }
    addCurrent(m_followers, now, sum);
    return sum;
}

/// Whether the received reports include those of all instances that can be reached. The other
/// instances report to a new reader within one report lifetime; until then, the last total that it
/// received is current.
bool LoadExchange::isSumComplete(Time now) const
{
    return m_activeAt && now - *m_activeAt <= m_settings.reportLifetime
           && now - m_activeSince >= m_settings.reportLifetime
           && !(m_total && isCurrent(*m_total, now));
}

AgedLoadSummary LoadExchange::total(bool reader, Time now) const
{
    if (reader && isSumComplete(now)) {
        AgedLoadSummary sum = subtree(now);
        addCurrent(m_domains, now, sum);
        return sum;
    }
    if (!m_total)
        return {};
    return {m_total->report, std::max(Duration {}, now - m_total->measuredAt)};
}

/// Returns the own load that was current at \a time, or null if there was none.
const LoadSummary *LoadExchange::ownAt(Time time) const
{
    const auto it = std::find_if(m_own.rbegin(), m_own.rend(),
                                 [&](const OwnLoad &each) { return each.measuredAt <= time; });
    return it == m_own.rend() ? nullptr : &it->report;
}

/// The own load is the one at the time of the oldest part of the total. A newer one may not be
/// included yet: if the demand of all instances rose, each would then take more than its share.
std::optional<FleetLoad> LoadExchange::fleet(bool reader, Time now) const
{
    AgedLoadSummary sum = total(reader, now);
    if (sum.report.instances == 0)
        return std::nullopt;
    if (!(reader && isSumComplete(now)) && !isCurrent(*m_total, now))
        return std::nullopt;
    const Time asOf = now - sum.age;
    const LoadSummary *own = ownAt(asOf);
    if (!own)
        return std::nullopt;
    return FleetLoad {std::move(sum.report), *own, asOf};
}

} // namespace balsamloft
