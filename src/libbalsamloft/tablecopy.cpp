#include <balsamloft/tablecopy.h>

#include <algorithm>
#include <set>
#include <utility>

namespace balsamloft {

namespace {

/// Dropped rows that are remembered, so that an older row of theirs is no news.
constexpr std::size_t MostDropped = 500;

std::size_t sizeOf(const StoreRow &row)
{
    return row.key.size() + row.value.size();
}

bool olderThan(const StoreRow &left, const StoreRow &right)
{
    return left.version < right.version;
}

} // namespace

TableCopy::TableCopy(std::size_t mostStepBytes)
    : m_mostStepBytes(mostStepBytes)
{
}

void TableCopy::replace(const std::vector<StoreRow> &rows, std::uint64_t version)
{
    if (!std::exchange(m_known, true))
        m_reachesBackTo = version;
    std::vector<StoreRow> steps = rows;
    std::set<std::string_view> present;
    for (const StoreRow &row : rows)
        present.insert(row.key);
    for (const auto &[key, known] : m_rows)
        if (!known.dropped && !present.contains(key))
            steps.push_back({key, {}, version, true});
    change(std::move(steps), version);
}

std::vector<StoreRow> TableCopy::change(std::vector<StoreRow> rows, std::uint64_t version)
{
    std::stable_sort(rows.begin(), rows.end(), olderThan);
    std::erase_if(rows, [this](const StoreRow &each) { return !take(each); });
    m_version = std::max(m_version, version);
    forgetOldSteps();
    forgetOldDrops();
    return rows;
}

/// \return whether \a row was news.
bool TableCopy::take(const StoreRow &row)
{
    const auto known = m_rows.find(row.key);
    if (known != m_rows.end() && row.version <= known->second.version)
        return false;
    m_rows.insert_or_assign(row.key, row);
    if (row.version <= m_reachesBackTo)
        return true;
    m_steps.insert(std::upper_bound(m_steps.begin(), m_steps.end(), row, olderThan), row);
    m_stepBytes += sizeOf(row);
    return true;
}

/// Who knows less than the oldest step that is left is told the whole table.
void TableCopy::forgetOldSteps()
{
    while (m_stepBytes > m_mostStepBytes) {
        m_reachesBackTo = std::max(m_reachesBackTo, m_steps.front().version);
        m_stepBytes -= sizeOf(m_steps.front());
        m_steps.pop_front();
    }
}

void TableCopy::forgetOldDrops()
{
    std::vector<std::uint64_t> versions;
    for (const auto &[key, row] : m_rows)
        if (row.dropped)
            versions.push_back(row.version);
    if (versions.size() <= MostDropped)
        return;
    const auto middle = versions.begin() + MostDropped / 2;
    std::nth_element(versions.begin(), middle, versions.end());
    std::erase_if(m_rows, [&](const auto &each) {
        return each.second.dropped && each.second.version <= *middle;
    });
}

std::vector<StoreRow> TableCopy::all() const
{
    std::vector<StoreRow> rows;
    for (const auto &[key, row] : m_rows)
        if (!row.dropped)
            rows.push_back(row);
    return rows;
}

std::optional<std::vector<StoreRow>> TableCopy::since(std::uint64_t after) const
{
    if (!m_known || after < m_reachesBackTo)
        return std::nullopt;
    const auto first = std::upper_bound(
        m_steps.begin(), m_steps.end(), after,
        [](std::uint64_t version, const StoreRow &row) { return version < row.version; });
    return std::vector<StoreRow>(first, m_steps.end());
}

} // namespace balsamloft
