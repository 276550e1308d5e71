/// \file
/// Claims of idempotency keys in the table service, so that a request is executed at most once.

#pragma once

#include <balsamloft/actions.h>
#include <balsamloft/platform.h>

#include <deque>
#include <map>

namespace balsamloft {

/// Timeouts, batch size and limits of a ClaimManager.
struct ClaimSettings
{
    std::string instance; ///< unique name of this instance and its incarnation
    std::size_t batchSize = 64; ///< maximum number of rows written in one transaction
    Duration claimTimeout {2'000'000}; ///< time after which a claim is answered as Unavailable
    Duration retryDelay {50'000};
    Duration maxRetryDelay {2'000'000};
    std::size_t maxPendingResolutions = 20'000; ///< maximum number of outcomes not written yet
    std::size_t maxStoredAnswerBytes = 256 * 1024; ///< longer answers are not stored for retries
};

/// Identifies a request by its traffic thread and its number in that thread.
struct ClaimOwner
{
    std::uint32_t worker = 0;
    RequestId request = 0;

    auto operator<=>(const ClaimOwner &) const = default; // NOLINT(modernize-use-nullptr)
};

/// Action: run the transaction and pass its outcome to ClaimManager::transactionDone().
struct RunClaimTransaction
{
    std::uint64_t id = 0;
    Transaction transaction;
};

/// Action: read a row of ClaimTable and pass the result to ClaimManager::readDone().
struct ReadClaimRow
{
    std::uint64_t id = 0;
    std::string key;
};

/// Action: pass the result of a claim to the request that started it.
struct ClaimDecided
{
    ClaimOwner owner;
    ClaimAnswer answer;
};

using ClaimAction = std::variant<RunClaimTransaction, ReadClaimRow, ClaimDecided>;
using ClaimActions = std::vector<ClaimAction>;

/// Name of the table that holds the claims.
inline constexpr std::string_view ClaimTable = "claims";

/// Claims idempotency keys before requests are sent, and stores the answers of
/// finished requests.
///
/// Relies on conditional writes alone: a claim is written only if the key has no row, or if its row
/// is marked free and still has the version that was read. A claim is never taken over by another
/// instance. Rows are never deleted: a row created again would start at version 1, and a delayed
/// write meant for the deleted row could pass its version check. Writes are batched: one
/// transaction is in progress at a time, and claims that arrive meanwhile go into the next one.
class ClaimManager
{
public:
    explicit ClaimManager(ClaimSettings settings);

    // Commands

    void claim(ClaimOwner owner, const StartClaim &claim, Time now, ClaimActions &actions);

    /// Writes the outcome of a claim that was won.
    void resolve(ClaimOwner owner, ClaimOutcome outcome, const Answer &answer, Time now,
                 ClaimActions &actions);
    void transactionDone(std::uint64_t id, const TransactionOutcome &outcome, Time now,
                         ClaimActions &actions);
    void readDone(std::uint64_t id, const ReadOutcome &outcome, Time now, ClaimActions &actions);
    void tick(Time now, ClaimActions &actions);

    // Queries

    std::optional<Time> nextWakeup() const;
    std::size_t pending() const { return m_claims.size(); }
    std::size_t pendingResolutions() const { return m_resolutions.size(); }
    std::uint64_t transactions() const { return m_transactions; }
    std::uint64_t claimsWritten() const { return m_claimsWritten; }
    std::uint64_t resolutionsDropped() const { return m_resolutionsDropped; }

private:
    /// A claim, from its start until its request has finished.
    struct Claim
    {
        ClaimOwner owner;
        std::string rowKey;
        std::string nonce;
        std::string contentDigest;
        Time deadline {};
        Time retryAt {};
        std::uint32_t attempts = 0;
        bool abandoned = false; ///< answered as Unavailable; its row, if written, has to be freed
        bool rowMayExist = false; ///< a write was sent whose outcome is unknown
        std::uint64_t version = 0; ///< row version that the write expects, or wrote if won
    };
    /// The value to write to the row of a claim whose request has finished.
    struct Resolution
    {
        std::string rowKey;
        std::optional<std::string> value;
        std::uint32_t attempts = 0;
        Time retryAt {};
        std::uint64_t version = 0; ///< row version that the claim wrote
    };
    /// The claims and resolutions of a transaction in progress.
    struct Batch
    {
        std::vector<ClaimOwner> claims;
        std::vector<Resolution> resolutions;
    };

    void flush(Time now, ClaimActions &actions);
    void claimWon(Claim &claim, Time now, ClaimActions &actions);
    void claimDenied(const Claim &claim, ClaimAnswer answer, ClaimActions &actions);
    void readRow(Claim &claim, ClaimActions &actions);
    void retryLater(Claim &claim, Time now);
    void committed(const Batch &batch, Time now, ClaimActions &actions);
    void conflicted(Batch batch, const TransactionOutcome &outcome, ClaimActions &actions);
    void outcomeUnknown(Batch batch, Time now, ClaimActions &actions);
    void notCommitted(Batch batch, Time now);
    void expire(Claim &claim, ClaimActions &actions);
    Duration backoff(std::uint32_t attempts) const;
    std::string claimedValue(const Claim &claim) const;
    void rowFound(Claim &claim, const TableRow &row, Time now, ClaimActions &actions);

    ClaimSettings m_settings;
    std::map<ClaimOwner, Claim> m_claims; ///< claims without a result yet, and abandoned claims
    std::map<ClaimOwner, Claim> m_won; ///< won claims of running requests
    std::deque<ClaimOwner> m_queue; ///< claims to write in the next transactions
    std::deque<Resolution> m_resolutions;
    std::map<std::uint64_t, Batch> m_batches; ///< transactions in progress, by id: at most one
    std::map<std::uint64_t, ClaimOwner> m_reads;
    std::uint64_t m_nextId = 1;
    std::uint64_t m_transactions = 0;
    std::uint64_t m_claimsWritten = 0;
    std::uint64_t m_resolutionsDropped = 0;
};

} // namespace balsamloft
