/// \file
/// The store's rows of trials as plain state, for tests in virtual time.

#pragma once

#include <balsamloft/trialpermits.h>

#include <algorithm>
#include <map>

namespace balsamloft::fakes {

/// Takes a change if the rows that it names are still at its versions, or nothing of it.
class TrialStore
{
public:
    /// \return whether it was taken.
    bool write(const TrialChange &change)
    {
        const auto asKnown = [this](const TrialRow &row) {
            const auto it = m_rows.find(row.key);
            return (it == m_rows.end() ? 0 : it->second.version) == row.version;
        };
        if (!std::all_of(change.rows.begin(), change.rows.end(), asKnown)
            || !std::all_of(change.removed.begin(), change.removed.end(), asKnown))
            return false;
        m_version += 1;
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

    std::uint64_t version() const { return m_version; }

private:
    std::map<std::string, TrialRow> m_rows;
    std::uint64_t m_version = 0;
};

} // namespace balsamloft::fakes
