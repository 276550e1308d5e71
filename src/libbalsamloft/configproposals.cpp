// Proposals: computes edits, rebases them, commits them conditionally and handles lost answers.

#include <balsamloft/configmanager.h>

#include <algorithm>

namespace balsamloft {

void ConfigManager::propose(ConfigProposal proposal, WallMillis wallNow, Time now,
                            ConfigActions &actions)
{
    m_proposals.push_back({std::move(proposal), wallNow, 0, std::nullopt, false});
    if (m_proposals.size() > 1)
        return;
    // Read the latest head first, so that conflicts with other changes are reported at once.
    m_proposalWaitsForHead = true;
    m_nextPoll = now;
    tick(now, actions);
}

std::optional<ConfigEdits> ConfigManager::proposedEdits(const ConfigProposal &proposal,
                                                        ProposalOutcome &outcome) const
{
    const std::uint64_t base = proposal.baseVersion.value_or(m_head.version);
    if (proposal.rollbackTo) {
        const auto target = entriesAt(*proposal.rollbackTo);
        if (!target) {
            outcome.kind = ProposalOutcome::Kind::Invalid;
            outcome.problems.push_back({"version", std::to_string(*proposal.rollbackTo),
                                        "is not a version in the retained history"});
            return std::nullopt;
        }
        // Roll back the operators' sections only, not the current placement of engines.
        ConfigEdits edits = diffEntries(m_entries, *target, "inventory/");
        for (ConfigEdit &edit : diffEntries(m_entries, *target, "rules/"))
            edits.push_back(std::move(edit));
        return edits;
    }
    if (!proposal.entries)
        return proposal.edits;
    const auto from = entriesAt(base);
    if (!from) {
        outcome.kind = ProposalOutcome::Kind::Invalid;
        outcome.problems.push_back(
            {"base version", std::to_string(base), "is not a version in the retained history"});
        return std::nullopt;
    }
    return diffEntries(*from, *proposal.entries, proposal.section);
}

bool ConfigManager::rebase(ConfigEdits &edits, ProposalOutcome &outcome,
                           std::uint64_t baseVersion) const
{
    const auto since = changesAfter(baseVersion);
    if (!since) {
        outcome.kind = ProposalOutcome::Kind::Conflict;
        return false;
    }
    outcome.conflicts = conflictingPaths(edits, *since);
    if (!outcome.conflicts.empty()) {
        outcome.kind = ProposalOutcome::Kind::Conflict;
        outcome.changedSince = *since;
        return false;
    }
    // Drop the edits that other changes have already made.
    std::erase_if(edits, [&](const ConfigEdit &edit) {
        const auto it = m_entries.find(edit.path);
        return edit.after ? it != m_entries.end() && it->second == *edit.after
                          : it == m_entries.end();
    });
    return true;
}

bool ConfigManager::foundInHistory(const std::string &id, ProposalOutcome &outcome) const
{
    const auto it = std::find_if(m_history.begin(), m_history.end(),
                                 [&](const ConfigChange &change) { return change.id == id; });
    if (it == m_history.end())
        return false;
    outcome.kind = ProposalOutcome::Kind::Accepted;
    outcome.head = {it->version, it->digest};
    outcome.edits = it->edits;
    return true;
}

void ConfigManager::tryProposal(Time now, ConfigActions &actions)
{
    if (m_proposals.empty())
        return;
    PendingProposal &pending = m_proposals.front();
    ProposalOutcome outcome;
    outcome.head = m_head;
    // A commit whose answer was lost is found in the history by its id. This also answers
    // retries of a proposal with the same id.
    if (foundInHistory(pending.proposal.id, outcome))
        return decide(std::move(outcome), now, actions);
    auto edits = proposedEdits(pending.proposal, outcome);
    if (!edits)
        return decide(std::move(outcome), now, actions);
    const std::uint64_t base = pending.proposal.baseVersion.value_or(m_head.version);
    if (!rebase(*edits, outcome, base))
        return decide(std::move(outcome), now, actions);
    outcome.edits = *edits;
    if (edits->empty()) {
        outcome.kind = ProposalOutcome::Kind::Unchanged;
        return decide(std::move(outcome), now, actions);
    }
    ConfigEntries result = m_entries;
    Reason reason;
    if (!applyEdits(result, *edits, reason)) {
        outcome.kind = ProposalOutcome::Kind::Conflict;
        outcome.conflicts.push_back(reason);
        return decide(std::move(outcome), now, actions);
    }
    if (!compileConfig(result, m_head, outcome.problems)) {
        outcome.kind = ProposalOutcome::Kind::Invalid;
        return decide(std::move(outcome), now, actions);
    }
    if (pending.proposal.dryRun) {
        outcome.kind = ProposalOutcome::Kind::DryRun;
        return decide(std::move(outcome), now, actions);
    }
    // The first attempt fixes the base version; later attempts rebase the proposal onto newer
    // versions.
    if (!pending.proposal.baseVersion)
        pending.proposal.baseVersion = m_head.version;
    commit(pending, std::move(*edits), now, actions);
}

void ConfigManager::commit(PendingProposal &pending, ConfigEdits edits, Time,
                           ConfigActions &actions)
{
    ConfigChange change;
    change.version = m_head.version + 1;
    change.id = pending.proposal.id;
    change.author = pending.proposal.author;
    change.summary = pending.proposal.summary;
    change.acceptedAt = pending.wallNow;
    change.edits = std::move(edits);
    change.digest = chainDigest(m_head.digest, change);
    const std::string head = std::to_string(change.version) + " " + change.digest;
    Transaction transaction;
    transaction.checks.push_back({std::string(ConfigTable), std::string(HeadKey), m_head.version});
    transaction.checks.push_back({std::string(ChangeTable), changeKey(change.version), 0});
    transaction.writes.push_back({std::string(ConfigTable), std::string(HeadKey), head});
    transaction.writes.push_back(
        {std::string(ChangeTable), changeKey(change.version), toJson(change)});
    pending.sent = std::move(change);
    m_commitId = m_nextId++;
    actions.push_back(CommitConfig {m_commitId, std::move(transaction)});
}

void ConfigManager::commitDone(std::uint64_t id, const TransactionOutcome &outcome, Time now,
                               ConfigActions &actions)
{
    if (id != m_commitId || m_proposals.empty() || !m_proposals.front().sent)
        return;
    m_commitId = 0;
    PendingProposal &pending = m_proposals.front();
    const ConfigChange change = std::move(*pending.sent);
    pending.sent.reset();
    if (outcome.kind == TransactionOutcome::Kind::Committed) {
        applyChanges({&change, 1}, actions);
        if (m_head.version % m_settings.snapshotEvery == 0)
            actions.push_back(WriteConfigSnapshot {toJson(snapshot())});
        ProposalOutcome accepted;
        accepted.kind = ProposalOutcome::Kind::Accepted;
        accepted.head = {change.version, change.digest};
        accepted.edits = change.edits;
        return decide(std::move(accepted), now, actions);
    }
    // After a conflict or a lost answer, the head is read and the history is searched for the id,
    // unless the maximum number of rebases is exceeded. If nothing was committed, the proposal ends
    // here.
    pending.uncertain = pending.uncertain || outcome.kind == TransactionOutcome::Kind::Unknown;
    if (++pending.attempts > m_settings.maxRebases
        || outcome.kind == TransactionOutcome::Kind::NotCommitted) {
        return finishUncommitted(now, actions);
    }
    m_proposalWaitsForHead = true;
    m_nextPoll = now;
    tick(now, actions);
}

void ConfigManager::finishUncommitted(Time now, ConfigActions &actions)
{
    ProposalOutcome outcome;
    // After a commit with a lost answer, never report that nothing was changed: the commit may
    // have taken effect.
    outcome.kind = m_proposals.front().uncertain ? ProposalOutcome::Kind::Unknown
                                                 : ProposalOutcome::Kind::Unavailable;
    outcome.head = m_head;
    decide(std::move(outcome), now, actions);
}

void ConfigManager::decide(ProposalOutcome outcome, Time now, ConfigActions &actions)
{
    const std::string id = m_proposals.front().proposal.id;
    m_proposals.pop_front();
    actions.push_back(ProposalDecided {id, std::move(outcome)});
    if (m_proposals.empty())
        return;
    m_proposalWaitsForHead = true;
    m_nextPoll = now;
    tick(now, actions);
}

} // namespace balsamloft
