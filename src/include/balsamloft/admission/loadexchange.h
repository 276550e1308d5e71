/// \file
/// Sums the loads of all instances over the tree in which they replicate the store's tables.

#pragma once

#include <balsamloft/admission/serviceload.h>

#include <deque>
#include <map>
#include <optional>

namespace balsamloft {

/// A load report with its age, as instances send it to each other.
struct AgedLoadSummary
{
    LoadSummary report;
    Duration age {}; ///< of its oldest part
};

/// Settings of a LoadExchange.
struct LoadExchangeSettings
{
    /// How long the report of another instance is included. It must be longer than the time between
    /// two queries, and shorter than the time after which the callers of a dead instance have
    /// reached other ones.
    Duration reportLifetime {3'000'000};
};

/// Collects the loads of this instance, of the instances that read from it and of other domains,
/// and keeps the total that it receives from the instance that it reads from.
class LoadExchange
{
public:
    explicit LoadExchange(std::string domain, LoadExchangeSettings settings = {});

    // Commands

    void setOwn(LoadSummary own, Time now);

    /// The instance \a name, which reads from this one, reports the sum over itself and those that
    /// read from it.
    void receiveSubtree(const std::string &name, AgedLoadSummary report, Time now);

    /// The reader of \a domain reports the sum over its domain.
    void receiveDomain(const std::string &domain, AgedLoadSummary report, Time now);

    /// The instance that this one reads from reports the sum over all instances.
    void receiveTotal(AgedLoadSummary report, Time now);

    // Queries

    /// The sum over this instance and those that read from it, to report to the instance that this
    /// one reads from.
    AgedLoadSummary subtree(Time now) const;

    /// The sum over all instances, to report to the instances that read from this one. A domain
    /// reader sums it up itself; \a reader: whether this instance is one now.
    AgedLoadSummary total(bool reader, Time now) const;

    /// The total, and the own load as it was when the oldest part of the total was measured.
    /// Nothing without a recent total.
    std::optional<FleetLoad> fleet(bool reader, Time now) const;

private:
    struct OwnLoad
    {
        LoadSummary report;
        Time measuredAt {};
    };

    struct Report
    {
        LoadSummary report;
        Time measuredAt {}; ///< of its oldest part
        Time receivedAt {};
    };

    using ReportMap = std::map<std::string, Report>;

    void recordActivity(Time now);
    void store(ReportMap &reports, const std::string &name, AgedLoadSummary report, Time now);
    bool isCurrent(const Report &report, Time now) const;
    void addCurrent(const ReportMap &reports, Time now, AgedLoadSummary &sum) const;
    bool isSumComplete(Time now) const;
    const LoadSummary *ownAt(Time time) const;

    std::string m_domain;
    LoadExchangeSettings m_settings;
    std::deque<OwnLoad> m_own; ///< oldest first
    ReportMap m_followers; ///< by instance
    ReportMap m_domains; ///< by domain
    std::optional<Report> m_total;
    std::optional<Time> m_activeAt; ///< last activity
    Time m_activeSince {}; ///< end of the last pause longer than the lifetime of a report
};

} // namespace balsamloft
