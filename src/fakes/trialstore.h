/// \file
/// In-memory table of the store's trial rows, for tests in virtual time.

#pragma once

#include <balsamloft/trialpermits.h>

#include <algorithm>
#include <map>

namespace balsamloft::fakes {

/// Applies a change completely if its rows still have the given versions, otherwise not at all.
class TrialStore
{
public:
    /// \return whether the change was applied.
    bool write(const TrialChange &change)
    {
        const auto versionMatches = [this](const TrialRow &row) {
            const auto it = m_rows.find(row.key);
            return (it == m_rows.end() ? StoreVersion {} : it->second.version) == row.version;
        };
        if (!std::all_of(change.rows.begin(), change.rows.end(), versionMatches)
            || !std::all_of(change.removed.begin(), change.removed.end(), versionMatches))
            return false;
        m_version.number += 1;
        for (TrialRow row : change.rows) {
            row.version = m_version;
            m_rows[row.key] = row;
        }
        for (const TrialRow &row : change.removed)
            m_rows.erase(row.key);
        return true;
    }

    std::vector<TrialRow> rows() const
    {
        std::vector<TrialRow> all;
        for (const auto &[key, row] : m_rows)
            all.push_back(row);
        return all;
    }

    StoreVersion version() const { return m_version; }

private:
    std::map<std::string, TrialRow> m_rows;
    StoreVersion m_version;
};

} // namespace balsamloft::fakes
