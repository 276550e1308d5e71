#include <balsamloft/tablecopy.h>

#include <algorithm>

namespace balsamloft {

namespace {

/// Dropped rows that are remembered before the copy stops reaching back.
constexpr std::size_t MostDropped = 500;

} // namespace

void TableCopy::replace(const std::vector<StoreRow> &rows, std::uint64_t version)
{
    if (!m_known)
        m_reachesBackTo = version;
    for (auto &known : m_rows) {
        const bool still = std::any_of(rows.begin(), rows.end(), [&](const StoreRow &each) {
            return each.key == known.first;
        });
        if (!still && !known.second.dropped)
            known.second = {known.first, {}, version, true};
    }
    for (const StoreRow &row : rows)
        m_rows[row.key] = row;
    m_known = true;
    m_version = std::max(m_version, version);
    forgetDropped();
}

void TableCopy::change(const std::vector<StoreRow> &rows, std::uint64_t version)
{
    for (const StoreRow &row : rows) {
        StoreRow &known = m_rows[row.key];
        if (row.version >= known.version)
            known = row;
    }
    m_version = std::max(m_version, version);
    forgetDropped();
}

void TableCopy::forgetDropped()
{
    const auto dropped = std::count_if(m_rows.begin(), m_rows.end(),
                                       [](const auto &each) { return each.second.dropped; });
    if (static_cast<std::size_t>(dropped) <= MostDropped)
        return;
    std::erase_if(m_rows, [](const auto &each) { return each.second.dropped; });
    m_reachesBackTo = m_version;
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
    std::vector<StoreRow> rows;
    for (const auto &[key, row] : m_rows)
        if (row.version > after)
            rows.push_back(row);
    std::sort(rows.begin(), rows.end(), [](const StoreRow &left, const StoreRow &right) {
        return left.version < right.version;
    });
    return rows;
}

} // namespace balsamloft
