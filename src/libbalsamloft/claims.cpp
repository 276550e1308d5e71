#include <balsamloft/claims.h>

#include "jsonreader.h"

#include <balsamloft/config.h>

#include <algorithm>

namespace json = boost::json;

namespace balsamloft {

namespace {

constexpr std::string_view FreeState = "free";

std::string finishedValue(const std::string &nonce, const std::string &digest, const Answer &answer,
                          bool keepBody)
{
    return json::serialize(json::object {{"nonce", nonce},
                                         {"digest", digest},
                                         {"state", keepBody ? "finished" : "finished_unkept"},
                                         {"status", answer.status},
                                         {"content_type", answer.contentType},
                                         {"body", keepBody ? answer.body : std::string()},
                                         {"tokens", answer.tokens}});
}

std::string memberText(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::uint32_t memberNumber(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value && value->is_int64() ? static_cast<std::uint32_t>(value->get_int64()) : 0;
}

} // namespace

ClaimManager::ClaimManager(ClaimSettings settings)
    : m_settings(std::move(settings))
{
}

void ClaimManager::claim(ClaimOwner owner, const StartClaim &start, Time now, ClaimActions &actions)
{
    Claim &claim = m_claims[owner];
    claim.owner = owner;
    // The digest bounds the key's length and keeps its content out of the table.
    claim.rowKey = start.team + "/" + sha256Hex(start.key);
    claim.nonce = m_settings.instance + "/" + std::to_string(owner.worker) + "/"
                  + std::to_string(owner.request);
    claim.contentDigest = start.contentDigest;
    claim.deadline = std::min(start.deadline, now + m_settings.claimTimeout);
    m_queue.push_back(owner);
    flush(now, actions);
}

void ClaimManager::resolve(ClaimOwner owner, ClaimOutcome outcome, const Answer &answer, Time now,
                           ClaimActions &actions)
{
    const auto it = m_won.find(owner);
    if (it == m_won.end())
        return;
    const Claim claim = std::move(it->second);
    m_won.erase(it);
    if (outcome == ClaimOutcome::Unknown)
        return; // the row stays claimed and is never taken over
    Resolution resolution;
    resolution.rowKey = claim.rowKey;
    resolution.version = claim.version;
    resolution.value = json::serialize(json::object {{"state", FreeState}});
    if (outcome == ClaimOutcome::Finished)
        resolution.value = finishedValue(claim.nonce, claim.contentDigest, answer,
                                         answer.body.size() <= m_settings.maxStoredAnswerBytes);
    if (m_resolutions.size() >= m_settings.maxPendingResolutions) {
        // Bounds the memory. The oldest row stays claimed, so a retry with its key is
        // refused with an unknown outcome and not executed again.
        m_resolutions.pop_front();
        ++m_resolutionsDropped;
    }
    m_resolutions.push_back(std::move(resolution));
    flush(now, actions);
}

std::string ClaimManager::claimedValue(const Claim &claim) const
{
    return json::serialize(json::object {
        {"nonce", claim.nonce}, {"digest", claim.contentDigest}, {"state", "claimed"}});
}

void ClaimManager::flush(Time now, ClaimActions &actions)
{
    if (!m_batches.empty())
        return;
    Batch batch;
    Transaction transaction;
    while (!m_queue.empty() && batch.claims.size() < m_settings.batchSize) {
        const ClaimOwner owner = m_queue.front();
        m_queue.pop_front();
        const auto it = m_claims.find(owner);
        if (it == m_claims.end())
            continue;
        if (it->second.abandoned && !it->second.rowMayExist) {
            m_claims.erase(it);
            continue;
        }
        // Two requests of this process can claim the same key. In one transaction the version
        // checks of both claims would succeed, so the second claim waits for a later transaction.
        const auto hasSameKey = [&](const RowCheck &check) {
            return check.key == it->second.rowKey;
        };
        if (std::any_of(transaction.checks.begin(), transaction.checks.end(), hasSameKey)) {
            it->second.retryAt = now;
            continue;
        }
        batch.claims.push_back(owner);
        transaction.checks.push_back(
            {std::string(ClaimTable), it->second.rowKey, it->second.version});
        transaction.writes.push_back(
            {std::string(ClaimTable), it->second.rowKey, claimedValue(it->second)});
    }
    for (std::size_t i = 0;
         i < m_resolutions.size() && transaction.writes.size() < m_settings.batchSize;) {
        Resolution &resolution = m_resolutions[i];
        const auto hasSameKey = [&](const RowCheck &check) {
            return check.key == resolution.rowKey;
        };
        if (resolution.retryAt > now
            || std::any_of(transaction.checks.begin(), transaction.checks.end(), hasSameKey)) {
            ++i;
            continue;
        }
        transaction.checks.push_back(
            {std::string(ClaimTable), resolution.rowKey, resolution.version});
        transaction.writes.push_back(
            {std::string(ClaimTable), resolution.rowKey, resolution.value});
        batch.resolutions.push_back(std::move(resolution));
        m_resolutions.erase(m_resolutions.begin() + static_cast<std::ptrdiff_t>(i));
    }
    if (transaction.writes.empty())
        return;
    const std::uint64_t id = m_nextId++;
    m_batches.emplace(id, std::move(batch));
    ++m_transactions;
    actions.push_back(RunClaimTransaction {id, std::move(transaction)});
}

void ClaimManager::transactionDone(std::uint64_t id, const TransactionOutcome &outcome, Time now,
                                   ClaimActions &actions)
{
    const auto it = m_batches.find(id);
    if (it == m_batches.end())
        return;
    Batch batch = std::move(it->second);
    m_batches.erase(it);
    switch (outcome.kind) {
    case TransactionOutcome::Kind::Committed:
        committed(batch, now, actions);
        break;
    case TransactionOutcome::Kind::Conflict:
        conflicted(std::move(batch), outcome, actions);
        break;
    case TransactionOutcome::Kind::Unknown:
        outcomeUnknown(std::move(batch), now, actions);
        break;
    case TransactionOutcome::Kind::NotCommitted:
        notCommitted(std::move(batch), now);
        break;
    }
    flush(now, actions);
}

void ClaimManager::committed(const Batch &batch, Time now, ClaimActions &actions)
{
    m_claimsWritten += batch.claims.size();
    for (const ClaimOwner &owner : batch.claims) {
        const auto it = m_claims.find(owner);
        if (it == m_claims.end())
            continue;
        ++it->second.version;
        claimWon(it->second, now, actions);
    }
}

void ClaimManager::conflicted(Batch batch, const TransactionOutcome &outcome, ClaimActions &actions)
{
    const auto inConflict = [&](const std::string &key) {
        return std::any_of(outcome.conflicts.begin(), outcome.conflicts.end(),
                           [&](const RowCheck &check) { return check.key == key; });
    };
    for (const ClaimOwner &owner : batch.claims) {
        const auto it = m_claims.find(owner);
        if (it == m_claims.end())
            continue;
        if (inConflict(it->second.rowKey))
            readRow(it->second, actions);
        else
            m_queue.push_front(owner);
    }
    // Only this instance changes a row that it has claimed. A conflict therefore means that an
    // earlier transaction, whose answer was lost, has already written the resolution.
    for (Resolution &resolution : batch.resolutions) {
        if (!inConflict(resolution.rowKey))
            m_resolutions.push_front(std::move(resolution));
    }
}

void ClaimManager::outcomeUnknown(Batch batch, Time now, ClaimActions &actions)
{
    for (const ClaimOwner &owner : batch.claims) {
        const auto it = m_claims.find(owner);
        if (it == m_claims.end())
            continue;
        it->second.rowMayExist = true;
        readRow(it->second, actions);
    }
    for (Resolution &resolution : batch.resolutions) {
        resolution.retryAt = now + backoff(resolution.attempts++);
        m_resolutions.push_back(std::move(resolution));
    }
}

void ClaimManager::notCommitted(Batch batch, Time now)
{
    for (const ClaimOwner &owner : batch.claims) {
        const auto it = m_claims.find(owner);
        if (it != m_claims.end())
            retryLater(it->second, now);
    }
    for (Resolution &resolution : batch.resolutions) {
        resolution.retryAt = now + backoff(resolution.attempts++);
        m_resolutions.push_back(std::move(resolution));
    }
}

Duration ClaimManager::backoff(std::uint32_t attempts) const
{
    return exponentialBackoff(m_settings.retryDelay, attempts, m_settings.maxRetryDelay);
}

void ClaimManager::retryLater(Claim &claim, Time now)
{
    claim.retryAt = now + backoff(claim.attempts++);
}

void ClaimManager::readRow(Claim &claim, ClaimActions &actions)
{
    claim.retryAt = Time {};
    const std::uint64_t id = m_nextId++;
    m_reads.emplace(id, claim.owner);
    actions.push_back(ReadClaimRow {id, claim.rowKey});
}

void ClaimManager::rowFound(Claim &claim, const TableRow &row, Time now, ClaimActions &actions)
{
    Reason reason;
    const auto value = parseJson(row.value, reason);
    if (!value || !value->is_object())
        return claimDenied(claim, {ClaimAnswer::Kind::Held, {}}, actions);
    const json::object &object = value->get_object();
    const std::string state = memberText(object, "state");
    if (state == FreeState) {
        const ClaimOwner owner = claim.owner;
        if (claim.abandoned) {
            m_claims.erase(owner);
            return;
        }
        claim.version = row.version;
        m_queue.push_front(owner);
        return;
    }
    if (memberText(object, "nonce") == claim.nonce) {
        claim.version = row.version;
        return claimWon(claim, now, actions);
    }
    if (memberText(object, "digest") != claim.contentDigest)
        return claimDenied(claim, {ClaimAnswer::Kind::KeyReused, {}}, actions);
    if (state != "finished")
        return claimDenied(claim, {ClaimAnswer::Kind::Held, {}}, actions);
    ClaimAnswer answer {ClaimAnswer::Kind::Finished, {}};
    answer.answer.status = static_cast<int>(memberNumber(object, "status"));
    answer.answer.contentType = memberText(object, "content_type");
    answer.answer.body = memberText(object, "body");
    answer.answer.tokens = memberNumber(object, "tokens");
    claimDenied(claim, std::move(answer), actions);
}

void ClaimManager::readDone(std::uint64_t id, const ReadOutcome &outcome, Time now,
                            ClaimActions &actions)
{
    const auto read = m_reads.find(id);
    if (read == m_reads.end())
        return;
    const ClaimOwner owner = read->second;
    m_reads.erase(read);
    const auto it = m_claims.find(owner);
    if (it == m_claims.end())
        return;
    Claim &claim = it->second;
    switch (outcome.kind) {
    case ReadOutcome::Kind::Unavailable:
        retryLater(claim, now);
        break;
    case ReadOutcome::Kind::Missing:
        if (claim.abandoned) {
            m_claims.erase(it);
            break;
        }
        // A write with unknown outcome may still take effect later. Claiming again is safe: if the
        // earlier write takes effect first, the new write conflicts, and the row contains this
        // claim's nonce.
        claim.version = 0;
        m_queue.push_front(owner);
        break;
    case ReadOutcome::Kind::Found:
        rowFound(claim, outcome.row, now, actions);
        break;
    }
    flush(now, actions);
}

void ClaimManager::claimWon(Claim &claim, Time now, ClaimActions &actions)
{
    const ClaimOwner owner = claim.owner;
    const bool abandoned = claim.abandoned;
    m_won[owner] = std::move(claim);
    m_claims.erase(owner);
    // Meanwhile the caller was told that its request was not executed, so the key is freed for a
    // retry.
    if (abandoned)
        return resolve(owner, ClaimOutcome::NotExecuted, {}, now, actions);
    actions.push_back(ClaimDecided {owner, {ClaimAnswer::Kind::Won, {}}});
}

void ClaimManager::claimDenied(const Claim &claim, ClaimAnswer answer, ClaimActions &actions)
{
    const ClaimOwner owner = claim.owner;
    if (!claim.abandoned)
        actions.push_back(ClaimDecided {owner, std::move(answer)});
    m_claims.erase(owner);
}

void ClaimManager::expire(Claim &claim, ClaimActions &actions)
{
    claim.abandoned = true;
    actions.push_back(ClaimDecided {claim.owner, {ClaimAnswer::Kind::Unavailable, {}}});
}

void ClaimManager::tick(Time now, ClaimActions &actions)
{
    std::vector<ClaimOwner> expired;
    for (auto &[owner, claim] : m_claims) {
        if (!claim.abandoned && claim.deadline <= now) {
            expire(claim, actions);
            if (!claim.rowMayExist && claim.retryAt != Time {}) {
                expired.push_back(owner);
                continue;
            }
        }
        if (claim.retryAt == Time {} || claim.retryAt > now)
            continue;
        claim.retryAt = Time {};
        if (claim.rowMayExist)
            readRow(claim, actions);
        else
            m_queue.push_back(owner);
    }
    for (const ClaimOwner &owner : expired)
        m_claims.erase(owner);
    flush(now, actions);
}

std::optional<Time> ClaimManager::nextWakeup() const
{
    std::optional<Time> next;
    const auto consider = [&](Time at) {
        if (at != Time {} && (!next || at < *next))
            next = at;
    };
    for (const auto &[owner, claim] : m_claims) {
        consider(claim.retryAt);
        if (!claim.abandoned)
            consider(claim.deadline);
    }
    for (const Resolution &resolution : m_resolutions)
        consider(resolution.retryAt);
    return next;
}

} // namespace balsamloft
