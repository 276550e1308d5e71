/// \file
/// Permits to try a request under suspicion, of which the fleet gives one at a time.

#pragma once

#include <balsamloft/enginefleet.h>
#include <balsamloft/quarantine.h>

#include <set>
#include <span>
#include <variant>

namespace balsamloft {

/// A row of the table that holds who tries what: one for the content of the request, one
/// for the endpoint.
struct TrialRow
{
    std::string key; ///< see contentTrialKey(), endpointTrialKey()
    std::uint64_t version = 0; ///< 0: there is none
    std::string
        counterpart; ///< the content's endpoint, or the endpoint's content; empty: it is over
    std::string holder; ///< process that was permitted to try
    Time until {}; ///< on the store's clock
    std::uint32_t trials = 0; ///< of the content while it is as good as found out
};

std::string contentTrialKey(std::string_view digest);
std::string endpointTrialKey(std::string_view endpoint);

/// Whether rows with that key are TrialRow.
bool isTrialKey(std::string_view key);

/// What a flight wants to try.
struct TrialRequest
{
    std::string digest; ///< of the request's content
    std::string endpoint; ///< where it would run first
    bool limited = false; ///< only few tries are left to it
};

/// Rows to be written in one transaction, if the rows checked are still at these versions.
struct TrialChange
{
    std::vector<TrialRow> rows; ///< versions are those to be checked
    std::vector<TrialRow> removed; ///< the same
    std::optional<CrashRecord> crash; ///< an end that nobody told; `at` on the store's clock
};

/// What became of a TrialRequest.
struct TrialAnswer
{
    bool granted = false;
    Duration validFor {}; ///< the permit, from the moment in which it was asked for
    bool endpointBusy = false; ///< something else is tried there
    Duration wait {}; ///< until it is worth asking again
};

/// How a try ended.
enum class TrialOutcome : std::uint8_t {
    Succeeded,
    NotSent, ///< it reached no endpoint
    Inconclusive, ///< it was rejected: nothing is known
};

/// Settings of TrialPermits.
struct TrialSettings
{
    std::string holder; ///< unique to this process
    Duration validFor {5'000'000};
    /// A holder that lives has told by then how its try ended. Longer than it takes until
    /// a dead endpoint is no longer listed, so that the end of an endpoint shows.
    Duration margin {5'000'000};
    Duration retention {600'000'000}; ///< see QuarantineSettings
    std::uint32_t maxTrials = 3; ///< of those that are limited
    Duration retryInterval {1'000'000}; ///< after the store gave no answer
};

/// Decides on permits by the rows that all instances know, and by conditions on them.
///
/// Were it for each instance to decide, a request that ends endpoints would be tried by
/// hundreds at the moment from which it may be tried. The row outlasts its holder: when
/// that one died in the try and the endpoint is gone, the end is counted all the same.
class TrialPermits
{
public:
    explicit TrialPermits(TrialSettings settings);

    // Commands

    /// All rows, and all ends that instances told each other, as the store has them now.
    void setRows(std::vector<TrialRow> rows, std::span<const CrashRecord> crashes);

    /// The transaction of \a change was answered. \a committed: with the version \a version.
    /// \a found: the rows as they are when a condition failed.
    void recordWrite(const TrialChange &change, bool committed, std::uint64_t version,
                     std::span<const TrialRow> found);

    // Queries

    /// What is to be written for \a request, or why it is refused.
    std::variant<TrialChange, TrialAnswer> decide(const TrialRequest &request,
                                                  const FleetSnapshot &fleet, Time storeNow) const;

    /// The answer once the transaction was: \a asked is what decide() gave.
    TrialAnswer answer(const TrialRequest &request, const TrialChange &asked, bool committed,
                       Time storeNow) const;

    /// What is to be written when an own try is over; nothing when it is no longer held.
    std::optional<TrialChange> release(const std::string &digest, TrialOutcome end) const;

    /// Rows that no try needs any more.
    std::vector<std::string> expiredKeys(Time storeNow) const;

    const std::map<std::string, TrialRow, std::less<>> &rows() const { return m_rows; }

private:
    TrialRow row(const std::string &key) const;
    bool isRunning(const TrialRow &row, Time storeNow) const;
    bool crashPublished(const std::string &digest, const std::string &endpoint) const;
    Duration retryDelay(const TrialRow &row, Time storeNow) const;

    TrialSettings m_settings;
    std::map<std::string, TrialRow, std::less<>> m_rows; ///< by key
    std::set<std::pair<std::string, std::string>> m_crashes; ///< digest and endpoint
};

} // namespace balsamloft
