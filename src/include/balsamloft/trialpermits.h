/// \file
/// Permits for trials of suspected requests. At a time, at most one is granted for each request and
/// for each endpoint.

#pragma once

#include <balsamloft/enginefleet.h>
#include <balsamloft/quarantine.h>
#include <balsamloft/storeversion.h>

#include <set>
#include <span>
#include <variant>

namespace balsamloft {

/// A row of the store's table of trials. Each trial has two: one for the content of the
/// request, one for the endpoint.
struct TrialRow
{
    std::string key; ///< see contentTrialKey() and endpointTrialKey()
    StoreVersion version; ///< not known(): the row does not exist
    /// Of a content row: the endpoint of the trial. Of an endpoint row: the digest of the
    /// content. Empty: the trial has finished.
    std::string counterpart;
    std::string holder; ///< process that holds the permit
    Time until {}; ///< expiry of the permit, on the store's clock
    std::uint32_t trials = 0; ///< of the content, see TrialRequest::limited
};

std::string contentTrialKey(std::string_view digest);
std::string endpointTrialKey(std::string_view endpoint);

/// Whether \a key is the key of a TrialRow; the table also holds crash records.
bool isTrialKey(std::string_view key);

/// Requests the permit to run a suspected request on an endpoint.
struct TrialRequest
{
    std::string digest; ///< of the request's content
    std::string endpoint; ///< the first endpoint that would run the request
    /// Whether TrialSettings::maxTrials applies, because the request is close to quarantine.
    bool limited = false;
    std::size_t crashes = 0; ///< of endpoints that ran the request, see Quarantine::crashes()
};

/// Rows to be written in one transaction, provided that they still have the given versions.
struct TrialChange
{
    std::vector<TrialRow> rows; ///< with the versions to be checked
    std::vector<TrialRow> removed; ///< with the versions to be checked
    std::optional<CrashRecord> crash; ///< to be published too; `at` is on the store's clock
};

/// The answer to a TrialRequest.
struct TrialAnswer
{
    bool granted = false;
    Duration validFor {}; ///< lifetime of the permit, from the time of the request
    bool endpointBusy = false; ///< another request is on trial at the endpoint
    Duration wait {}; ///< before the next request for a permit
};

/// How a trial finished.
enum class TrialOutcome : std::uint8_t {
    Succeeded,
    NotSent, ///< no endpoint received the request
    Inconclusive, ///< the request was rejected, or failed without a crash
};

/// Lifetimes and limits of trial permits.
struct TrialSettings
{
    std::string holder; ///< unique to this process
    Duration validFor {5'000'000}; ///< lifetime of a permit
    /// How long after the expiry of a permit its holder, if alive, may still report the outcome.
    /// Longer than it takes to delist a crashed endpoint, so that the missing endpoint shows the
    /// crash.
    Duration margin {5'000'000};
    Duration retention {600'000'000}; ///< see QuarantineSettings
    std::uint32_t maxTrials = 3; ///< per content, if limited
    Duration retryInterval {1'000'000}; ///< minimum wait before the next request for a permit
    /// While the store cannot be reached, requests with more crashes get no permit. One crash
    /// proves nothing: every request on the endpoint has it.
    std::size_t maxCrashesWithoutStore = 1;
    Duration waitForStore {2'000'000}; ///< before the next request for a permit without the store
};

/// Grants permits by conditional writes to rows that all instances share.
///
/// If each instance decided alone, hundreds of instances would run a request that crashes endpoints
/// as soon as trials of it are allowed. A row remains after the process that holds the permit has
/// crashed. If the endpoint of the trial is gone too, another instance records the endpoint's crash
/// from the row.
class TrialPermits
{
public:
    explicit TrialPermits(TrialSettings settings);

    // Commands

    /// The store has lost its last writes, permits perhaps among them. Until all permits that were
    /// granted before \a now have expired, none is granted.
    void storeRestored(Time now) { m_restoredAt = now; }

    /// Replaces the rows and the published crash records with the current ones of the store.
    void setRows(std::vector<TrialRow> rows, std::span<const CrashRecord> crashes);

    /// Applies the result of the transaction that wrote \a change. If it was committed, the
    /// rows now have \a version; if a condition failed, \a found holds the current rows.
    void recordWrite(const TrialChange &change, bool committed, StoreVersion version,
                     std::span<const TrialRow> found);

    // Queries

    /// Returns a refusal if no permit is granted at \a now because of storeRestored().
    std::optional<TrialAnswer> refusalAfterRestore(Time now) const;

    /// Returns the rows to be written to grant \a request, or a refusal.
    std::variant<TrialChange, TrialAnswer> decide(const TrialRequest &request,
                                                  const FleetSnapshot &fleet, Time storeNow) const;

    /// Returns the answer to \a request after the transaction of \a change, see decide().
    TrialAnswer answer(const TrialRequest &request, const TrialChange &change, bool committed,
                       Time storeNow) const;

    /// Returns the answer while the store cannot be reached.
    TrialAnswer answerWithoutStore(const TrialRequest &request) const;

    /// Returns the rows to be written when a trial of this process at \a endpoint finished;
    /// nothing if its permit expired and another one was granted meanwhile.
    std::optional<TrialChange> release(const std::string &digest, const std::string &endpoint,
                                       TrialOutcome outcome) const;

    /// Keys of rows that can be deleted.
    std::vector<std::string> expiredKeys(Time storeNow) const;

    const std::map<std::string, TrialRow, std::less<>> &rows() const { return m_rows; }

private:
    TrialRow row(const std::string &key) const;
    bool isRunning(const TrialRow &row, Time storeNow) const;
    bool crashPublished(const std::string &digest, const std::string &endpoint) const;
    Duration retryDelay(const TrialRow &row, Time storeNow) const;

    TrialSettings m_settings;
    std::optional<Time> m_restoredAt;
    std::map<std::string, TrialRow, std::less<>> m_rows; ///< by key
    std::set<std::pair<std::string, std::string>> m_crashes; ///< digest and endpoint
};

} // namespace balsamloft
