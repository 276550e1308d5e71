#include <balsamloft/tablecopy.h>

#include <algorithm>
#include <set>
#include <utility>

namespace balsamloft {

namespace {

/// Maximum number of deleted rows that are kept, to send the deletions to followers and to
/// ignore older versions of these rows that arrive late.
constexpr std::size_t MaxDeletedRows = 500;

bool olderThan(const StoreRow &left, const StoreRow &right)
{
    return left.version < right.version;
}

} // namespace

void TableCopy::replaceAll(const std::vector<StoreRow> &rows, std::uint64_t version)
{
    if (!std::exchange(m_known, true))
        m_historyStart = version;
    std::vector<StoreRow> changes = rows;
    std::set<std::string_view> present;
    for (const StoreRow &row : rows)
        present.insert(row.key);
    for (const auto &[key, known] : m_rows)
        if (!known.dropped && !present.contains(key))
            changes.push_back({key, {}, version, true});
    applyChanges(std::move(changes), version);
}

std::vector<StoreRow> TableCopy::applyChanges(std::vector<StoreRow> rows, std::uint64_t version)
{
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
    if (known != m_rows.end() && row.version <= known->second.version)
        return false;
    m_rows.insert_or_assign(row.key, row);
    return true;
}

/// Discards the older half of the deletions once there are too many. Followers whose version
/// is older than a discarded deletion get a full snapshot.
void TableCopy::pruneDeletions()
{
    std::vector<std::uint64_t> versions;
    for (const auto &[key, row] : m_rows)
        if (row.dropped)
            versions.push_back(row.version);
    if (versions.size() <= MaxDeletedRows)
        return;
    const auto middle = versions.begin() + MaxDeletedRows / 2;
    std::nth_element(versions.begin(), middle, versions.end());
    std::erase_if(m_rows, [&](const auto &each) {
        return each.second.dropped && each.second.version <= *middle;
    });
    m_historyStart = std::max(m_historyStart, *middle);
}

std::vector<StoreRow> TableCopy::rows() const
{
    std::vector<StoreRow> rows;
    for (const auto &[key, row] : m_rows)
        if (!row.dropped)
            rows.push_back(row);
    return rows;
}

bool TableCopy::isFullSnapshot(const std::vector<StoreRow> &changes) const
{
    const auto exists = [](const StoreRow &row) { return !row.dropped; };
    return std::all_of(changes.begin(), changes.end(), exists)
           && std::count_if(m_rows.begin(), m_rows.end(), [&](const auto &each) {
                  return exists(each.second);
              }) == std::ssize(changes);
}

std::optional<std::vector<StoreRow>> TableCopy::changesSince(std::uint64_t after) const
{
    if (!m_known || after < m_historyStart)
        return std::nullopt;
    std::vector<StoreRow> rows;
    for (const auto &[key, row] : m_rows)
        if (row.version > after)
            rows.push_back(row);
    std::sort(rows.begin(), rows.end(), olderThan);
    return rows;
}

} // namespace balsamloft
