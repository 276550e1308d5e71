#include <balsamloft/tablecopy.h>

#include <algorithm>
#include <set>
#include <utility>

namespace balsamloft {

namespace {

/// Maximum number of deleted rows that are kept, to send the deletions to followers and to
/// ignore older versions of these rows that arrive late.
constexpr std::size_t MaxDeletedRows = 500;

/// Maximum number of deletions in a snapshot. More than are made in the some seconds that a
/// restored store has lost.
constexpr std::size_t MaxSentDeletions = 100;

bool olderThan(const StoreRow &left, const StoreRow &right)
{
    return left.version < right.version;
}

} // namespace

TableCopy::TableCopy(RestorePolicy policy)
    : m_policy(std::move(policy))
{
}

void TableCopy::replaceAll(const std::vector<StoreRow> &rows, StoreVersion version)
{
    if (m_known && version.era < m_version.era)
        return;
    if (m_known && version.era > m_version.era)
        return beginEra(rows, version);
    if (!std::exchange(m_known, true)) {
        m_version = version;
        m_historyStart = version.number;
    }
    std::vector<StoreRow> changes = rows;
    std::set<std::string_view> present;
    for (const StoreRow &row : rows)
        present.insert(row.key);
    for (auto &[key, known] : m_rows) {
        if (present.contains(key))
            continue;
        if (known.row.dropped)
            known.lost = false;
        else if (!known.lost || known.row.version > 0)
            changes.push_back({key, {}, version.number, true});
    }
    applyChanges(std::move(changes), version);
}

/// Replaces the rows by those of a later era.
void TableCopy::beginEra(const std::vector<StoreRow> &rows, StoreVersion version)
{
    auto former = std::exchange(m_rows, {});
    for (const StoreRow &listed : rows) {
        // Another instance lists rows without a number that the store lost.
        Entry entry {listed, listed.version == 0};
        if (const auto known = former.find(listed.key); known != former.end()) {
            // A higher number shows that the row was written after its deletion. A lower one may
            // have been given again.
            const StoreRow &last = known->second.row;
            const bool deleted = !listed.dropped && last.dropped && listed.version <= last.writtenAt
                                 && !(m_policy.isRewritten && m_policy.isRewritten(listed, last));
            const bool later = !listed.dropped && !known->second.row.dropped && m_policy.isLater
                               && known->second.row.value != listed.value
                               && m_policy.isLater(known->second.row, listed);
            if (deleted || later) {
                entry.lost = true;
                entry.row = known->second.row;
                entry.row.version = listed.version;
            }
            former.erase(known);
        }
        m_rows.emplace(listed.key, std::move(entry));
    }
    if (m_policy.keepsMissing)
        for (auto &[key, known] : former)
            if (!known.row.dropped) {
                known.row.version = 0;
                m_rows.emplace(key, Entry {std::move(known.row), true});
            }
    m_version = version;
    m_historyStart = version.number;
}

std::vector<StoreRow> TableCopy::applyChanges(std::vector<StoreRow> rows, StoreVersion version)
{
    if (version.era != m_version.era)
        return {};
    std::stable_sort(rows.begin(), rows.end(), olderThan);
    std::erase_if(rows, [this](const StoreRow &each) { return !applyRow(each); });
    m_version = std::max(m_version, version);
    pruneDeletions();
    return rows;
}

/// Stores \a row if it is newer than the stored version of the row. Returns whether it was
/// stored.
bool TableCopy::applyRow(const StoreRow &row)
{
    const auto known = m_rows.find(row.key);
    if (known == m_rows.end()) {
        m_rows.emplace(row.key, Entry {row, row.version == 0});
        return true;
    }
    if (row.version <= known->second.row.version)
        return false;
    const StoreRow former = std::exchange(known->second.row, row);
    known->second.lost = false;
    if (row.dropped && row.writtenAt == 0)
        known->second.row.writtenAt = former.dropped ? former.writtenAt : former.version;
    if (row.dropped && row.value.empty())
        known->second.row.value = former.value;
    return true;
}

void TableCopy::adopt(const std::string &key, const std::string &value)
{
    Entry &entry = m_rows[key];
    entry.row = {key, value, entry.row.version, false};
    entry.lost = true;
}

/// Discards the older half of the deletions once there are too many. Followers whose version
/// is older than a discarded deletion get a full snapshot.
void TableCopy::pruneDeletions()
{
    std::vector<std::uint64_t> versions;
    for (const auto &[key, each] : m_rows)
        if (each.row.dropped)
            versions.push_back(each.row.version);
    if (versions.size() <= MaxDeletedRows)
        return;
    const auto middle = versions.begin() + MaxDeletedRows / 2;
    std::nth_element(versions.begin(), middle, versions.end());
    std::erase_if(m_rows, [&](const auto &each) {
        return each.second.row.dropped && each.second.row.version <= *middle;
    });
    m_historyStart = std::max(m_historyStart, *middle);
}

std::vector<StoreRow> TableCopy::rows() const
{
    std::vector<StoreRow> rows;
    for (const auto &[key, each] : m_rows)
        if (!each.row.dropped)
            rows.push_back(each.row);
    return rows;
}

std::vector<StoreRow> TableCopy::snapshot() const
{
    std::vector<StoreRow> deletions;
    for (const auto &[key, each] : m_rows)
        if (each.row.dropped)
            deletions.push_back(each.row);
    std::sort(deletions.begin(), deletions.end(), olderThan);
    std::vector<StoreRow> all = rows();
    const std::size_t skipped = deletions.size() - std::min(deletions.size(), MaxSentDeletions);
    all.insert(all.end(), deletions.begin() + static_cast<std::ptrdiff_t>(skipped),
               deletions.end());
    return all;
}

bool TableCopy::isFullSnapshot(const std::vector<StoreRow> &changes) const
{
    const auto exists = [](const StoreRow &row) { return !row.dropped; };
    return std::all_of(changes.begin(), changes.end(), exists)
           && std::count_if(m_rows.begin(), m_rows.end(), [&](const auto &each) {
                  return exists(each.second.row);
              }) == std::ssize(changes);
}

std::optional<std::vector<StoreRow>> TableCopy::changesSince(StoreVersion after) const
{
    if (!m_known || after.era != m_version.era || after.number < m_historyStart)
        return std::nullopt;
    std::vector<StoreRow> rows;
    for (const auto &[key, each] : m_rows)
        if (each.row.version > after.number)
            rows.push_back(each.row);
    // The follower knows the last value, or has no use for it.
    for (StoreRow &each : rows)
        if (each.dropped)
            each.value.clear();
    std::sort(rows.begin(), rows.end(), olderThan);
    return rows;
}

std::vector<StoreRow> TableCopy::lostRows() const
{
    std::vector<StoreRow> rows;
    for (const auto &[key, each] : m_rows)
        if (each.lost)
            rows.push_back(each.row);
    return rows;
}

bool TableCopy::contains(std::string_view key) const
{
    const auto it = m_rows.find(key);
    return it != m_rows.end() && !it->second.row.dropped;
}

bool TableCopy::isLost(std::string_view key) const
{
    const auto it = m_rows.find(key);
    return it != m_rows.end() && it->second.lost;
}

} // namespace balsamloft
