/// \file
/// In-memory copy of one of the store's tables, from which other instances are updated.

#pragma once

#include <balsamloft/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamloft {

/// A row as returned by the store.
struct StoreRow
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool dropped = false; ///< the row was deleted

    bool operator==(const StoreRow &) const = default;
};

/// The rows of a table with their versions, and the rows that were deleted recently. The
/// versions are assigned by the store, so a follower can switch to another copy, or to the
/// store, and continue from the same version.
///
/// The version of a row never decreases: an older row that arrives late, through another
/// instance or in a slow answer, is ignored. Otherwise it could bring back an endpoint that
/// has left.
class TableCopy
{
public:
    // Commands

    /// Replaces the copy by a full snapshot of the table at \a version. Rows that are missing
    /// from the snapshot count as deleted at that version.
    void replaceAll(const std::vector<StoreRow> &rows, std::uint64_t version);

    /// Applies rows that were written or deleted up to \a version. Returns those that changed
    /// the copy, oldest first.
    std::vector<StoreRow> applyChanges(std::vector<StoreRow> rows, std::uint64_t version);

    // Queries

    bool known() const { return m_known; }
    std::uint64_t version() const { return m_version; }

    /// All rows that are not deleted.
    std::vector<StoreRow> rows() const;

    /// Whether \a changes, a result of changesSince(), are exactly the existing rows.
    bool isFullSnapshot(const std::vector<StoreRow> &changes) const;

    /// Returns the rows that changed after version \a after, oldest first, each in its current
    /// version; nullopt if the history does not reach back that far.
    ///
    /// Intermediate versions are omitted: a configuration may be written ten times a second, and
    /// sending every version would saturate the link of the instance that updates the others.
    /// The others would time out and serve callers with an outdated configuration.
    std::optional<std::vector<StoreRow>> changesSince(std::uint64_t after) const;

private:
    bool applyRow(const StoreRow &row);
    void pruneDeletions();

    std::map<std::string, StoreRow, std::less<>> m_rows;
    bool m_known = false;
    std::uint64_t m_version = 0;
    std::uint64_t m_historyStart = 0;
};

} // namespace balsamloft
