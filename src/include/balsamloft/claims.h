/// \file
/// At most once: claims of idempotency keys in the table service.

#pragma once

#include <balsamloft/actions.h>
#include <balsamloft/platform.h>

#include <deque>
#include <map>

namespace balsamloft {

/// Settings of a ClaimManager.
struct ClaimSettings
{
    std::string instance; ///< name of this instance and its incarnation
    std::size_t batchSize = 64; ///< most rows written in one transaction
    Duration claimTimeout {2'000'000}; ///< then the caller is told to come back
    Duration retryDelay {50'000};
    Duration maxRetryDelay {2'000'000};
    std::size_t maxUnresolved = 20'000; ///< finished claims that wait for the service
    std::size_t maxStoredAnswerBytes = 256 * 1024; ///< a longer answer is not kept for repeats
};

/// Identifies a request of one of the traffic threads.
struct ClaimOwner
{
    std::uint32_t worker = 0;
    RequestId request = 0;

    auto operator<=>(const ClaimOwner &) const = default; // NOLINT(modernize-use-nullptr)
};

/// Actions of a ClaimManager.
struct RunClaimTransaction
{
    std::uint64_t id = 0;
    Transaction transaction;
};
struct ReadClaimRow
{
    std::uint64_t id = 0;
    std::string key;
};
struct ClaimDecided
{
    ClaimOwner owner;
    ClaimAnswer answer;
};
using ClaimAction = std::variant<RunClaimTransaction, ReadClaimRow, ClaimDecided>;
using ClaimActions = std::vector<ClaimAction>;

/// Name of the table that holds the claims.
inline constexpr std::string_view ClaimTable = "claims";

/// Claims keys before requests are sent, and keeps the answers of finished
/// ones. What it relies on is only the condition in the table: a row is
/// written if there is none or if it was given back, at the version read, and
/// nobody ever takes a held one over. Rows are not deleted: versions would
/// start anew, and a late write meant for an old row would fit a new one. Writes are
/// grouped: one transaction is under way at a time, and what comes meanwhile
/// goes into the next.
class ClaimManager
{
public:
    explicit ClaimManager(ClaimSettings settings);

    // Commands

    void claim(ClaimOwner owner, const StartClaim &claim, Time now, ClaimActions &actions);
    void settle(ClaimOwner owner, ClaimOutcome end, const Answer &answer, Time now,
                ClaimActions &actions);
    void transactionDone(std::uint64_t id, const TransactionOutcome &outcome, Time now,
                         ClaimActions &actions);
    void readDone(std::uint64_t id, const ReadOutcome &outcome, Time now, ClaimActions &actions);
    void tick(Time now, ClaimActions &actions);

    // Queries

    std::optional<Time> nextWakeup() const;
    std::size_t pending() const { return m_claims.size(); }
    std::size_t unresolved() const { return m_settles.size(); }
    std::uint64_t transactions() const { return m_transactions; }
    std::uint64_t claimsWritten() const { return m_claimsWritten; }
    std::uint64_t resolutionsDropped() const { return m_resolutionsDropped; }

private:
    /// A claim from its request to its end.
    struct Claim
    {
        ClaimOwner owner;
        std::string rowKey;
        std::string nonce;
        std::string contentDigest;
        Time deadline {};
        Time retryAt {};
        std::uint32_t tries = 0;
        bool abandoned = false; ///< answered as unavailable; the row is to be removed
        bool mayExist = false; ///< a write of unknown outcome was sent
        std::uint64_t version = 0; ///< of the row: before the claim, once won after it
    };
    /// A row to be finished or removed.
    struct Settle
    {
        std::string rowKey;
        std::optional<std::string> value;
        std::uint32_t tries = 0;
        Time retryAt {};
        std::uint64_t version = 0; ///< that the claim gave the row
    };
    /// What a transaction under way carries.
    struct Batch
    {
        std::vector<ClaimOwner> claims;
        std::vector<Settle> settles;
    };

    void flush(Time now, ClaimActions &actions);
    void claimWon(Claim &claim, Time now, ClaimActions &actions);
    void claimDenied(const Claim &claim, ClaimAnswer answer, ClaimActions &actions);
    void readRow(Claim &claim, ClaimActions &actions);
    void retryLater(Claim &claim, Time now);
    void committed(const Batch &batch, Time now, ClaimActions &actions);
    void conflicted(Batch batch, const TransactionOutcome &outcome, ClaimActions &actions);
    void uncertain(Batch batch, Time now, ClaimActions &actions);
    void notCommitted(Batch batch, Time now);
    void expire(Claim &claim, ClaimActions &actions);
    Duration delay(std::uint32_t tries) const;
    std::string claimedValue(const Claim &claim) const;
    void rowFound(Claim &claim, const TableRow &row, Time now, ClaimActions &actions);

    ClaimSettings m_settings;
    std::map<ClaimOwner, Claim> m_claims; ///< not decided yet, or abandoned
    std::map<ClaimOwner, Claim> m_won; ///< held by requests that are running
    std::deque<ClaimOwner> m_queue; ///< to be written next
    std::deque<Settle> m_settles;
    std::map<std::uint64_t, Batch> m_batches; ///< under way: at most one
    std::map<std::uint64_t, ClaimOwner> m_reads;
    std::uint64_t m_nextId = 1;
    std::uint64_t m_transactions = 0;
    std::uint64_t m_claimsWritten = 0;
    std::uint64_t m_resolutionsDropped = 0;
};

} // namespace balsamloft
