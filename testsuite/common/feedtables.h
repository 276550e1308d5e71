/// \file
/// The tables of a stand-in store in the stand-in protocol: versions of one
/// counter, changes since a version, conditions. State only; how and when it
/// answers is for each stand-in to say.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

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

    /// Body of an answer with the rows of \a table that are newer than \a after;
    /// \a dropped: also those that were dropped.
    std::string rows(const std::string &table, std::uint64_t after, bool dropped) const;

    /// Carries a transaction out when its conditions hold.
    /// \return status and body of the answer.
    std::pair<int, std::string> commit(const std::string &body);

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool dropped = false;
    };

    std::map<std::string, std::map<std::string, Row>> m_tables;
    std::uint64_t m_version = 10;
};

} // namespace balsamloft::testsuite
