/// \file
/// A copy of one of the store's tables, from which other instances are told.

#pragma once

#include <balsamloft/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamloft {

/// A row as the store answers it.
struct StoreRow
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool dropped = false;

    bool operator==(const StoreRow &) const = default;
};

/// Rows with their versions, and which were dropped since a version. The versions
/// are the store's, so one who follows a copy may change to another copy, or to the
/// store, and go on from the same version.
///
/// A row's version only rises here: an older one, come late by way of another instance
/// or a slow answer, is no news. Taken over, an endpoint that left would be back.
class TableCopy
{
public:
    // Commands

    /// The whole table as of \a version. Rows that it lacks count as dropped then.
    void replace(const std::vector<StoreRow> &rows, std::uint64_t version);

    /// Rows that were written or dropped, up to \a version.
    /// \return those that were not known, oldest first.
    std::vector<StoreRow> change(std::vector<StoreRow> rows, std::uint64_t version);

    // Queries

    bool known() const { return m_known; }
    std::uint64_t version() const { return m_version; }

    /// Rows that exist.
    std::vector<StoreRow> all() const;

    /// Whether \a changes, as since() gives them, are just the rows that exist.
    bool isFullSnapshot(const std::vector<StoreRow> &changes) const;

    /// What changed after the version \a after, oldest first, each row as it is now;
    /// nothing when the copy does not reach back that far.
    ///
    /// Not each step: a configuration may be written ten times a second, and told in all
    /// its versions it fills the link of the instance that tells the others. These find
    /// it silent and serve callers by what was in force before.
    std::optional<std::vector<StoreRow>> since(std::uint64_t after) const;

private:
    bool take(const StoreRow &row);
    void pruneDeletions();

    std::map<std::string, StoreRow, std::less<>> m_rows;
    bool m_known = false;
    std::uint64_t m_version = 0;
    std::uint64_t m_historyStart = 0;
};

} // namespace balsamloft
