/// \file
/// The tables of a stand-in store in the stand-in protocol: versions of one
/// counter, each change since a version, conditions. State only; how and when it
/// answers is for each stand-in to say.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace balsamloft::testsuite {

/// Tables as the store holds them. Not thread-safe.
class FeedTables
{
public:
    void put(const std::string &table, const std::string &key, const std::string &value);
    void drop(const std::string &table, const std::string &key);

    /// Newest version in \a table, and of all that was written.
    std::uint64_t newest(const std::string &table) const;
    std::uint64_t version() const { return m_version; }

    /// Body of an answer with the rows that \a table has.
    std::string rows(const std::string &table) const;

    /// Body of an answer with each write and drop in \a table after the version
    /// \a after, oldest first: a row that was written twice is there twice.
    std::string changes(const std::string &table, std::uint64_t after) const;

    /// Carries a transaction out when its conditions hold.
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
        std::map<std::string, Row> rows; ///< by key, as written last
        std::vector<Row> history; ///< oldest first
    };

    void write(const std::string &table, Row row);
    static std::string body(const std::vector<Row> &rows, std::uint64_t version);

    std::map<std::string, Table> m_tables;
    std::uint64_t m_version = 10;
};

} // namespace balsamloft::testsuite
