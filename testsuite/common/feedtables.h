/// \file
/// Versioned tables of a fake store that uses the stand-in protocol. All tables share one version
/// counter, the write history answers queries for changes since a version, and commits are
/// conditional on row versions. The class holds state only; each fake store adds transport, delays
/// and faults.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace balsamloft::testsuite {

/// The tables of a store. Not thread-safe.
class FeedTables
{
public:
    void put(const std::string &table, const std::string &key, const std::string &value);
    void drop(const std::string &table, const std::string &key);

    /// Version of the last write to \a table; 0 if there was none.
    std::uint64_t newest(const std::string &table) const;
    /// Version of the last write to any table.
    std::uint64_t version() const { return m_version; }

    /// Keys of the current rows of \a table.
    std::vector<std::string> keys(const std::string &table) const;

    /// Returns the body of an answer with all current rows of \a table.
    std::string rows(const std::string &table) const;

    /// Returns the body of an answer with every write and deletion in \a table after version
    /// \a after, oldest first. A row that was written twice appears twice.
    std::string changes(const std::string &table, std::uint64_t after) const;

    /// Executes the transaction in \a body if its conditions hold.
    /// \return status and body of the answer.
    std::pair<int, std::string> commit(const std::string &body);

private:
    struct Row
    {
        std::string key;
        std::string value;
        std::uint64_t version = 0;
        bool dropped = false;
    };

    struct Table
    {
        std::map<std::string, Row> rows; ///< last write of each key
        std::vector<Row> history; ///< all writes and deletions, oldest first
    };

    void write(const std::string &table, Row row);
    static std::string body(const std::vector<Row> &rows, std::uint64_t version);

    std::map<std::string, Table> m_tables;
    std::uint64_t m_version = 10;
};

} // namespace balsamloft::testsuite
