/// \file
/// Detects requests that crash endpoints, from crash records of all instances, and
/// quarantines them.

#pragma once

#include <balsamloft/types.h>

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsamloft {

/// An endpoint crashed during or right before the execution of a request.
struct CrashRecord
{
    std::string digest; ///< of the request's content, see requestDigest()
    std::string endpoint; ///< id of the process that crashed
    Time at {};

    bool operator==(const CrashRecord &) const = default;
};

/// Changes to the crash records that this instance publishes to the others.
struct CrashUpdate
{
    std::vector<CrashRecord> added;
    std::vector<CrashRecord> removed;

    bool empty() const { return added.empty() && removed.empty(); }
};

/// Whether a request may be sent to endpoints.
enum class SendPermission : std::uint8_t {
    Allowed,
    TrialOnly, ///< only with a permit; one is granted at a time, see TrialPermits
    Deferred, ///< until the records of other instances have arrived: they may show another cause
    Quarantined,
};

/// Thresholds, times and limits of a Quarantine.
struct QuarantineSettings
{
    /// Crashes that quarantine a request, if no other request explains them.
    std::size_t crashesToQuarantine = 3;
    /// Crashes that quarantine a request even if other requests were on the same endpoints, or the
    /// request succeeded shortly before.
    std::size_t crashesToForceQuarantine = 5;
    /// A request crashes an endpoint at most this long after the endpoint started it. The crash can
    /// occur even if the attempt was abandoned meanwhile.
    Duration crashDelay {200'000};
    /// The endpoint at which an attempt stalls is queried within this time. A missing answer
    /// to a later query is no evidence of a crash.
    Duration stallQueryWindow {1'000'000};
    /// Time after a crash by which the records of all instances have been received.
    Duration propagationDelay {2'000'000};
    /// With this many crashes, a request is only sent as a trial, and its attempts without a permit
    /// are abandoned unless they have events.
    std::size_t crashesToRequireTrial = 2;
    Duration retention {600'000'000}; ///< how long a crash counts against a request
    /// A single crash is published after this time. Requests that were only on the endpoint by
    /// chance succeed elsewhere before that and need no record.
    Duration publishDelay {500'000};
    /// A success at most this long before a crash is evidence that the request is harmless.
    Duration successWindow {10'000'000};
    std::size_t maxDigests = 1024; ///< suspected requests stored at a time
    std::size_t maxSuccesses = 1024; ///< recent successes stored
    /// Once all instances together have published this many records, only records of requests with
    /// several crashes are added.
    std::size_t maxShared = 1000;
    std::size_t maxPerUpdate = 40; ///< records added by one update
};

/// Stores which requests were on endpoints that crashed, here and at other instances.
///
/// A single crash proves nothing against a request: every request on the endpoint is interrupted by
/// it. A request is quarantined after crashes of several endpoints, without a success between them,
/// if no other request explains these crashes. Another request explains a crash if it was also on
/// the crashed endpoint and has enough crashes to be quarantined.
class Quarantine
{
public:
    explicit Quarantine(QuarantineSettings settings = {});

    // Commands

    /// \a endpoint broke an attempt of the request early. The endpoint must be queried to find out
    /// whether it crashed.
    void attemptBroken(const std::string &digest, const std::string &endpoint, Time now);

    /// This instance abandoned an attempt of the request that was not yet proven harmless. The
    /// endpoint may still crash if it had just started the attempt.
    void attemptAbandoned(const std::string &digest, const std::string &endpoint, Time now);

    /// An attempt is stalled at \a endpoint, in the middle of its path. The endpoint does not
    /// answer: it may have crashed or be partitioned.
    void attemptStalled(const std::string &digest, const std::string &endpoint, Time now);

    /// \a endpoint answered a query sent at \a queriedAt, so no earlier interruption was a crash.
    void endpointAnswered(const std::string &endpoint, Time queriedAt);

    /// Data from \a endpoint was received. The data may have been sent before a crash and read
    /// after the crash broke another attempt, so it clears only abandoned attempts.
    void endpointSentData(const std::string &endpoint, Time now);

    /// The process of \a endpoint has certainly terminated.
    void endpointCrashed(const std::string &endpoint, Time now);

    /// The domain reader, which polls the domain's engines, reported that \a endpoint did not
    /// answer as of \a at. The domain reader is in the same domain as the endpoint, so it does not
    /// mistake a lost link for a crash.
    void endpointUnresponsive(const std::string &endpoint, Time at);

    /// \a endpoint is no longer listed. A partition also removes endpoints from the list, so
    /// only attempts that the endpoint broke are counted as crashes.
    void endpointDelisted(const std::string &endpoint, Time now);

    /// The request succeeded, which clears all its crashes so far. Later crashes count again:
    /// endpoints and their software change.
    void requestSucceeded(const std::string &digest, Time now);

    /// Replaces the records published by all instances.
    void setShared(const std::vector<CrashRecord> &all);

    /// Returns the changes to be published now, and marks them as published.
    CrashUpdate takeUpdate(Time now);

    // Queries

    const QuarantineSettings &settings() const { return m_settings; }

    /// Number of endpoints that crashed with the request.
    std::size_t crashes(const std::string &digest, Time now) const;

    /// Whether the request would have at least two crashes if its unconfirmed ones were confirmed.
    bool awaitsConfirmation(const std::string &digest, Time now) const;

    /// Whether the request may be sent to an endpoint.
    SendPermission sendPermission(const std::string &digest, Time now) const;

    /// Maximum time until the request may be sent; zero if it may be sent now.
    Duration blockedFor(const std::string &digest, Time now) const;

    /// Endpoints with unconfirmed crashes that a query could confirm or clear now.
    std::vector<std::string> unconfirmedEndpoints(Time now) const;

    std::size_t suspectCount() const { return m_requests.size(); }
    std::size_t quarantinedCount(Time now) const;

private:
    enum class Stage : std::uint8_t {
        Unconfirmed, ///< the endpoint may still be alive
        Confirmed,
        Published, ///< by this instance, and not yet received back
        Shared, ///< among the records of all instances
    };

    /// How an attempt was interrupted at an endpoint.
    enum class Interruption : std::uint8_t {
        Broken, ///< by the endpoint
        Abandoned, ///< by this instance
        Stalled, ///< it waits for the endpoint
    };

    struct Crash
    {
        Time at {};
        Stage stage = Stage::Unconfirmed;
        Interruption interruption = Interruption::Broken;
        bool observedHere = false; ///< by this instance
        Time clearedIfAliveAt {}; ///< an endpoint that is alive then or later did not crash
    };
    using Crashes = std::map<std::string, Crash, std::less<>>; ///< by endpoint

    bool isConfirmedCause(const std::string &digest, const Crashes &records, Time now) const;
    Duration deferredFor(const std::string &digest, Time now) const;
    Time lastCrash(const std::string &digest) const;
    bool succeededBefore(const std::string &digest, const Crashes &records) const;
    void confirmCrashes(const std::string &endpoint, Time crashedAt, Time latestInterruption);
    void clearUnconfirmed(const std::string &endpoint, Time aliveAt, bool includingBroken);
    void addUnconfirmed(const std::string &digest, const std::string &endpoint, Crash crash);
    bool isCounted(const Crash &crash, Time now) const;
    bool wasObservedHere(const std::string &digest, const std::string &endpoint) const;
    bool observedElsewhere(const Crashes &records, Time now) const;
    bool explainedByOther(const std::string &digest, const std::string &endpoint, Time now) const;
    void add(const std::string &digest, const std::string &endpoint, Crash crash);
    void remove(const std::string &digest, const std::string &endpoint);
    void removeExpired(Time now, CrashUpdate &update);
    bool ensureSpace();
    bool shouldPublish(const Crashes &crashes, const Crash &crash, Time now) const;

    QuarantineSettings m_settings;
    std::unordered_map<std::string, Crashes> m_requests; ///< by digest
    std::map<std::string, std::set<std::string>, std::less<>> m_digestsByEndpoint;
    std::size_t m_sharedCount = 0; ///< records published by all instances
    std::vector<CrashRecord> m_retracted; ///< published records to be removed
    std::unordered_map<std::string, Time> m_successes; ///< last success by digest
    std::deque<std::string> m_successOrder; ///< digests, oldest first
};

} // namespace balsamloft
