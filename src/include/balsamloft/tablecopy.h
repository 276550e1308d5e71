/// \file
/// In-memory copy of one of the store's tables, from which other instances are updated.

#pragma once

#include <balsamloft/storeversion.h>
#include <balsamloft/types.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamloft {

/// A row as returned by the store.
struct StoreRow
{
    std::string key;
    std::string value; ///< of a deleted row: its last value, if known
    std::uint64_t version = 0; ///< number within the era of the answer or copy that has the row
    bool dropped = false; ///< the row was deleted
    std::uint64_t writtenAt = 0; ///< of a deleted row: number of the last write before; 0: unknown

    bool operator==(const StoreRow &) const = default;
};

/// What a copy keeps of its rows when the store begins a new era with older rows.
struct RestorePolicy
{
    /// Whether the value of \a known is later than the one of \a listed by its writer's own order.
    /// Numbers of the store do not tell, since the two come from different eras. Empty: never.
    std::function<bool(const StoreRow &known, const StoreRow &listed)> isLater;
    /// Whether \a listed was written after \a deleted, a row that was deleted, by their writer's
    /// own order. If not, it is taken for one that the store has again. Empty: never.
    std::function<bool(const StoreRow &listed, const StoreRow &deleted)> isRewritten {};
    bool keepsMissing = false; ///< rows that the store lacks are kept, until it has them again
};

/// The rows of a table with their versions, and the rows that were deleted recently. The
/// versions are assigned by the store, so a follower can switch to another copy, or to the
/// store, and continue from the same version.
///
/// Within an era, the version of a row never decreases: an older row that arrives late, through
/// another instance or in a slow answer, is ignored. Otherwise it could bring back an endpoint that
/// has left. A snapshot of a later era replaces the rows, except for those that the store lost, see
/// RestorePolicy, and those that the store has again although their deletion was known.
class TableCopy
{
public:
    explicit TableCopy(RestorePolicy policy = {});

    // Commands

    /// Replaces the copy by a full snapshot of the table at \a version, unless it is of an earlier
    /// era. Rows that are missing from the snapshot count as deleted at that version.
    void replaceAll(const std::vector<StoreRow> &rows, StoreVersion version);

    /// Applies rows that were written or deleted up to \a version, if it is of the same era.
    /// Returns those that changed the copy, oldest first.
    std::vector<StoreRow> applyChanges(std::vector<StoreRow> rows, StoreVersion version);

    /// Takes over the value that another instance has of a row, because it is later by its writer's
    /// own order. The row keeps its version, so that the store's next write replaces it.
    void adopt(const std::string &key, const std::string &value);

    // Queries

    bool known() const { return m_known; }
    StoreVersion version() const { return m_version; }

    /// All rows that are not deleted.
    std::vector<StoreRow> rows() const;

    /// The same with the latest deletions, for an instance that starts: if the store is restored,
    /// it must not take the rows for present ones.
    std::vector<StoreRow> snapshot() const;

    /// Whether \a changes, a result of changesSince(), are exactly the existing rows.
    bool isFullSnapshot(const std::vector<StoreRow> &changes) const;

    /// Returns the rows that changed after version \a after, oldest first, each in its current
    /// version; nullopt if the history does not reach back that far.
    ///
    /// Intermediate versions are omitted: a configuration may be written ten times a second, and
    /// sending every version would saturate the link of the instance that updates the others.
    /// The others would time out and serve callers with an outdated configuration.
    std::optional<std::vector<StoreRow>> changesSince(StoreVersion after) const;

    /// Rows and deletions that the store lost and that were not written again yet. The version is
    /// the one that the store has of the row; 0: it has none.
    std::vector<StoreRow> lostRows() const;

    /// Whether the row \a key exists.
    bool contains(std::string_view key) const;

    /// Whether the row \a key is one of lostRows().
    bool isLost(std::string_view key) const;

private:
    struct Entry
    {
        StoreRow row;
        bool lost = false; ///< see lostRows()
    };

    void beginEra(const std::vector<StoreRow> &rows, StoreVersion version);
    bool applyRow(const StoreRow &row);
    void pruneDeletions();

    RestorePolicy m_policy;
    std::map<std::string, Entry, std::less<>> m_rows;
    bool m_known = false;
    StoreVersion m_version;
    std::uint64_t m_historyStart = 0; ///< number in the era of m_version
};

} // namespace balsamloft
