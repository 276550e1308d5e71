/// \file
/// Decides which requests are held back since the endpoints that ran them ended.

#pragma once

#include <balsamloft/types.h>

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsamloft {

/// An endpoint ended while it was to run a request.
struct CrashRecord
{
    std::string digest; ///< of the request's content, see requestDigest()
    std::string endpoint; ///< id of the process that ended
    Time at {};

    bool operator==(const CrashRecord &) const = default;
};

/// Changes of what this instance has other instances know.
struct CrashUpdate
{
    std::vector<CrashRecord> added;
    std::vector<CrashRecord> removed;

    bool empty() const { return added.empty() && removed.empty(); }
};

/// Whether a request may be sent to endpoints.
enum class Verdict : std::uint8_t {
    Allowed,
    TrialOnly, ///< only as the one try that the whole fleet permits, see TrialPermits
    Deferred, ///< not now: the ends of endpoints under it may have another cause
    Quarantined,
};

/// Settings of a Quarantine.
struct QuarantineSettings
{
    /// Endpoints that ended under a held request, and whose end no other request explains.
    std::size_t crashesToQuarantine = 3;
    /// The same when something speaks for the request: others were on these endpoints
    /// too, or it came through shortly before.
    std::size_t crashesToForceQuarantine = 5;
    /// An endpoint that has begun a request ends by then, also when it was given up.
    Duration crashDelay {200'000};
    /// One at which a run stands still is asked by then; silence proves nothing after that.
    Duration stallQueryWindow {1'000'000};
    /// After an endpoint's end: all that stood beside are known everywhere by then.
    Duration propagationDelay {2'000'000};
    /// Endpoints that ended under a request, from which on it is sent by trial only, and
    /// what runs without a permit is taken back.
    std::size_t crashesToRequireTrial = 2;
    Duration retention {600'000'000}; ///< how long the end of an endpoint is held against a request
    /// A request that only stood beside comes through elsewhere by then, and nobody
    /// need be told of it.
    Duration publishDelay {500'000};
    Duration successWindow {10'000'000}; ///< a success so long before an end speaks for the request
    std::size_t maxDigests = 1024; ///< that are suspected at a time
    std::size_t maxSuccesses = 1024; ///< digests that came through last
    /// Records that instances tell each other; beyond it only of requests under which
    /// several endpoints ended.
    std::size_t maxShared = 1000;
    std::size_t maxPerUpdate = 40; ///< records that are told at a time
};

/// Keeps which requests were on endpoints that ended, here and at other instances.
///
/// An endpoint's end alone proves nothing against a request: most only stood beside.
/// A request is held back once several endpoints in a row ended under it, with no run
/// that came through in between, and no other request explains these ends: one that was
/// there too and under which as many ended as it takes to hold it.
class Quarantine
{
public:
    explicit Quarantine(QuarantineSettings settings = {});

    // Commands

    /// \a endpoint broke a run of the request off, early in it. Whether it ended is
    /// not known yet: it has to be asked.
    void attemptBroken(const std::string &digest, const std::string &endpoint, Time now);

    /// This instance gave a run of the request up that had not gone well so far. If
    /// \a endpoint had just begun it, it may end all the same.
    void attemptAbandoned(const std::string &digest, const std::string &endpoint, Time now);

    /// A run of the request stands still at \a endpoint in the middle of its path, which
    /// does not answer. It may have ended, or be cut off.
    void attemptStalled(const std::string &digest, const std::string &endpoint, Time now);

    /// \a endpoint answered a question that was sent at \a asked: it ended under nothing
    /// before.
    void endpointAnswered(const std::string &endpoint, Time asked);

    /// Bytes of \a endpoint were read. Those that it sent before it ended may be read
    /// after it broke another run off, so they say nothing of that one.
    void endpointSentData(const std::string &endpoint, Time now);

    /// The process of \a endpoint is surely gone.
    void endpointCrashed(const std::string &endpoint, Time now);

    /// \a endpoint answered nobody as of \a at, by the word of the reader of its domain,
    /// which hears the endpoints beside it.
    void endpointUnresponsive(const std::string &endpoint, Time at);

    /// \a endpoint is no longer listed, which it may also be since it is cut off: only
    /// what it broke off itself tells that it ended.
    void endpointDelisted(const std::string &endpoint, Time now);

    /// The request ran well: whatever ended endpoints so far, it was not this one. Later
    /// it may all the same: endpoints change, and their software.
    void requestSucceeded(const std::string &digest, Time now);

    /// All that instances have told each other, as of now.
    void setShared(const std::vector<CrashRecord> &all);

    /// What is to be told to other instances now.
    CrashUpdate takeUpdate(Time now);

    // Queries

    const QuarantineSettings &settings() const { return m_settings; }

    /// Endpoints that ended under the request.
    std::size_t crashes(const std::string &digest, Time now) const;

    /// Whether it is not known yet if enough endpoints ended to send it no more.
    bool awaitsConfirmation(const std::string &digest, Time now) const;

    /// Whether the request may be sent to an endpoint.
    Verdict verdict(const std::string &digest, Time now) const;

    /// How long a request that may not be sent is held back at most.
    Duration blockedFor(const std::string &digest, Time now) const;

    /// Endpoints of which it is not known whether they ended, though it could be by now.
    std::vector<std::string> unconfirmedEndpoints(Time now) const;

    std::size_t suspectCount() const { return m_requests.size(); }
    std::size_t quarantinedCount(Time now) const;

private:
    enum class Stage : std::uint8_t { Unconfirmed, Confirmed, Published, Shared };

    /// How a run ended, or stopped, at an endpoint.
    enum class Interruption : std::uint8_t {
        Broken, ///< by the endpoint itself
        Abandoned, ///< by an instance
        Stalled, ///< it waits for the endpoint
    };

    struct Crash
    {
        Time at {};
        Stage stage = Stage::Unconfirmed;
        Interruption interruption = Interruption::Broken;
        bool observedHere = false; ///< seen by this instance itself
        Time clearedIfAliveAt {}; ///< an endpoint that is alive from then on did not end under it
    };
    using Crashes = std::map<std::string, Crash, std::less<>>; ///< by endpoint

    bool isConfirmedCause(const std::string &digest, const Crashes &under, Time now) const;
    Duration deferredFor(const std::string &digest, Time now) const;
    Time lastCrash(const std::string &digest) const;
    bool succeededBefore(const std::string &digest, const Crashes &under) const;
    void confirmCrashes(const std::string &endpoint, Time endedAt, Time last);
    void clearUnconfirmed(const std::string &endpoint, Time aliveAt, bool includingBroken);
    void addUnconfirmed(const std::string &digest, const std::string &endpoint, Crash crash);
    bool isCounted(const Crash &crash, Time now) const;
    bool wasObservedHere(const std::string &digest, const std::string &endpoint) const;
    bool observedElsewhere(const Crashes &under, Time now) const;
    bool explainedByOther(const std::string &digest, const std::string &endpoint, Time now) const;
    void add(const std::string &digest, const std::string &endpoint, Crash crash);
    void remove(const std::string &digest, const std::string &endpoint);
    void removeExpired(Time now, CrashUpdate &update);
    bool evictOldest();
    bool shouldPublish(const Crashes &crashes, const Crash &crash, Time now) const;

    QuarantineSettings m_settings;
    std::unordered_map<std::string, Crashes> m_requests; ///< by digest
    std::map<std::string, std::set<std::string>, std::less<>> m_onEndpoint; ///< digests
    std::size_t m_sharedCount = 0; ///< records that instances have told each other
    std::vector<CrashRecord> m_retracted; ///< told to others before, and not true
    std::unordered_map<std::string, Time> m_successes; ///< when digests came through last
    std::deque<std::string> m_successOrder; ///< oldest first
};

} // namespace balsamloft
