/// \file
/// Detects requests that crash endpoints, from crash records of all instances, and
/// quarantines them.

#pragma once

#include <balsamloft/types.h>

#include <list>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsamloft {

/// An endpoint crashed during or right before the execution of a request.
struct CrashRecord
{
    std::string digest; ///< of the possible cause, see CauseDigests
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

/// Digests of what may be the cause if an endpoint crashes under a request: its content, see
/// requestDigest(), and the parts of its prompt that other requests may share, see
/// sharedPromptParts().
using CauseDigests = std::span<const std::string>;

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
    /// The same for a part of a prompt. The last of these crashes was mostly that of a trial, on an
    /// endpoint without other suspects: a harmless part that many requests have is more likely than
    /// a content to be on three endpoints that crash for other reasons.
    std::size_t crashesToQuarantinePart = 4;
    /// Crashes that quarantine a part although other causes with few crashes explain them.
    std::size_t crashesToForceQuarantinePart = 6;
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
    Duration retention {600'000'000}; ///< how long a crash counts against a content
    /// How long a crash counts against a part of a prompt. Longer than several of its quarantines:
    /// what is still known of a part when they end permits no more than a trial.
    Duration partRetention {1'800'000'000};
    /// How long a part of a prompt is quarantined at first, since a quarantine of a harmless part
    /// refuses many callers. A trial ends it; each trial that crashes doubles the time.
    Duration partQuarantine {30'000'000};
    /// After this many quarantines with a trial at the end, a part is quarantined for `retention`.
    std::size_t maxPartQuarantines = 3;
    /// A crash this long after the one before was caused by a trial at the end of a quarantine.
    Duration crashSeriesGap {10'000'000};
    /// A single crash is published after this time. Requests that were only on the endpoint by
    /// chance succeed elsewhere before that and need no record.
    Duration publishDelay {500'000};
    /// A success at most this long before a crash is evidence that the request is harmless.
    Duration successWindow {10'000'000};
    std::size_t maxDigests = 1024; ///< possible causes stored at a time
    std::size_t maxSuccesses = 1024; ///< recent successes stored, of contents and of parts each
    /// Once all instances together have published this many records, only records of causes with
    /// several crashes are added.
    std::size_t maxShared = 1000;
    /// The same for records of contents. The rest is reserved for parts of prompts: these come
    /// again in other requests, most contents don't.
    std::size_t maxSharedContents = 700;
    std::size_t maxPerUpdate = 40; ///< records added by one update
};

/// Stores what requests on crashed endpoints held: contents and parts of prompts, here and at other
/// instances.
///
/// A single crash proves nothing: every request on the endpoint is interrupted by it. A request is
/// quarantined for a content or part with crashes of several endpoints, without a success between
/// them, if nothing else explains these crashes. Another possible cause explains a crash if it was
/// also on the crashed endpoint, has enough crashes to be quarantined, and is not part of the same
/// request. So of several parts that always come together, the requests that hold all of them are
/// quarantined, and those that hold one are tried.
///
/// A content is repeated by few callers, so it is only tried once it has crashes. A part may be in
/// most requests: as long as requests with it succeed, it is sent on.
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

    /// A request with this content or part succeeded, which clears all its crashes so far. Later
    /// crashes count again: endpoints and their software change.
    void requestSucceeded(const std::string &digest, Time now);

    /// Replaces the records published by all instances.
    void setShared(const std::vector<CrashRecord> &all);

    /// Returns the changes to be published now, and marks them as published.
    CrashUpdate takeUpdate(Time now);

    // Queries

    const QuarantineSettings &settings() const { return m_settings; }

    /// Number of endpoints that crashed with the content or part.
    std::size_t crashes(const std::string &digest, Time now) const;

    /// Whether a cause would have at least two crashes if its unconfirmed ones were confirmed. The
    /// request must not be sent until they are confirmed or cleared.
    bool awaitsConfirmation(CauseDigests causes, Time now) const;
    bool awaitsConfirmation(const std::string &digest, Time now) const
    {
        return awaitsConfirmation(CauseDigests(&digest, 1), now);
    }

    /// Whether a request with these possible causes may be sent to an endpoint.
    SendPermission sendPermission(CauseDigests causes, Time now) const;
    SendPermission sendPermission(const std::string &digest, Time now) const
    {
        return sendPermission(CauseDigests(&digest, 1), now);
    }

    /// Maximum time until the request may be sent; zero if it may be sent now.
    Duration blockedFor(CauseDigests causes, Time now) const;
    Duration blockedFor(const std::string &digest, Time now) const
    {
        return blockedFor(CauseDigests(&digest, 1), now);
    }

    /// The cause with most crashes of those that require a trial; empty if none does.
    std::string causeToTry(CauseDigests causes, Time now) const;

    /// Endpoints with unconfirmed crashes that a query could confirm or clear now.
    std::vector<std::string> unconfirmedEndpoints(Time now) const;

    /// Number of contents and parts with records.
    std::size_t suspectCount() const { return m_records.size(); }

    /// Contents that are quarantined.
    std::size_t quarantinedCount(Time now) const;

    /// Parts of prompts for which requests are quarantined, in a fixed order.
    std::vector<std::string> quarantinedParts(Time now) const;

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

    /// A possible cause with its records, and the request in which it is judged.
    struct Suspect
    {
        const std::string &digest;
        const Crashes &records;
        CauseDigests causes; ///< of the request
    };

    /// The last successes of contents, or of parts, without the oldest ones.
    class Successes
    {
    public:
        void record(const std::string &digest, Time now, std::size_t max);
        std::optional<Time> find(const std::string &digest) const;

    private:
        std::list<std::pair<std::string, Time>> m_byTime; ///< oldest first
        std::unordered_map<std::string, decltype(m_byTime)::iterator> m_byDigest;
    };

    SendPermission permissionOf(const std::string &digest, CauseDigests causes, Time now) const;
    SendPermission contentPermission(const Suspect &suspect, std::size_t count, Time now) const;
    SendPermission partPermission(const Suspect &suspect, std::size_t count, Time now) const;
    Duration blockedFor(const std::string &digest, CauseDigests causes, Time now) const;
    bool isConfirmedCause(const Suspect &suspect, Time now) const;
    bool isConfirmedPart(const Suspect &suspect, std::size_t count, Time now) const;
    bool isConfirmed(const std::string &digest, Time now) const;
    std::size_t crashesToExplain(const std::string &other, const std::string &digest,
                                 std::size_t minCrashes, Time now) const;
    bool isLessSuspicious(const std::string &other, const std::string &digest, Time now) const;
    bool isExonerated(const Suspect &suspect, Time now) const;
    std::size_t unexplainedCrashes(const Suspect &suspect, std::size_t minCrashes, Time now) const;
    template<typename Condition>
    bool anyExplanation(const Suspect &suspect, const std::string &endpoint, std::size_t minCrashes,
                        Time now, Condition condition) const;
    Time partQuarantinedUntil(const std::string &digest, Time now) const;
    std::vector<std::string> alwaysBeside(const std::string &digest) const;
    const Successes &successesOf(const std::string &digest) const;
    bool succeededRecently(const std::string &digest, Time now) const;
    Duration deferredFor(const std::string &digest, Time now) const;
    Time lastCrash(const std::string &digest) const;
    bool succeededBefore(const std::string &digest, const Crashes &records) const;
    void confirmCrashes(const std::string &endpoint, Time crashedAt, Time latestInterruption);
    void clearUnconfirmed(const std::string &endpoint, Time aliveAt, bool includingBroken);
    void addUnconfirmed(const std::string &digest, const std::string &endpoint, Crash crash);
    Duration retentionOf(const std::string &digest) const;
    bool isCounted(const std::string &digest, const Crash &crash, Time now) const;
    bool wasObservedHere(const std::string &digest, const std::string &endpoint) const;
    bool observedElsewhere(const Suspect &suspect, Time now) const;
    void add(const std::string &digest, const std::string &endpoint, Crash crash);
    void remove(const std::string &digest, const std::string &endpoint);
    template<typename Condition>
    void addToUpdate(CrashUpdate &update, Time now, Condition isNext);
    void removeExpired(Time now, CrashUpdate &update);
    bool ensureSpace();
    bool shouldPublish(const std::string &digest, const Crashes &crashes, const Crash &crash,
                       Time now) const;

    QuarantineSettings m_settings;
    std::unordered_map<std::string, Crashes> m_records; ///< by digest
    std::map<std::string, std::set<std::string>, std::less<>> m_digestsByEndpoint;
    std::size_t m_sharedCount = 0; ///< records published by all instances
    std::vector<CrashRecord> m_retracted; ///< published records to be removed
    Successes m_contentSuccesses;
    Successes m_partSuccesses;
};

} // namespace balsamloft
