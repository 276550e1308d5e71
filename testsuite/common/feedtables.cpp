#include "feedtables.h"

#include <boost/json.hpp>

#include <chrono>

namespace json = boost::json;

namespace balsamloft::testsuite {

namespace {

constexpr int Ok = 200;
constexpr int Conflict = 409;

std::string withVersion(json::object object, std::uint64_t version)
{
    const auto clock = std::chrono::steady_clock::now().time_since_epoch();
    object["version"] = version;
    object["clock_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(clock).count();
    return json::serialize(object);
}

} // namespace

void FeedTables::write(const std::string &table, Row row)
{
    Table &written = m_tables[table];
    written.history.push_back(row);
    written.rows[row.key] = std::move(row);
}

void FeedTables::put(const std::string &table, const std::string &key, const std::string &value)
{
    write(table, {key, value, ++m_version, false});
}

void FeedTables::drop(const std::string &table, const std::string &key)
{
    write(table, {key, "", ++m_version, true});
}

std::uint64_t FeedTables::newest(const std::string &table) const
{
    const auto found = m_tables.find(table);
    if (found == m_tables.end() || found->second.history.empty())
        return 0;
    return found->second.history.back().version;
}

std::string FeedTables::body(const std::vector<Row> &rows, std::uint64_t version)
{
    json::array list;
    for (const Row &row : rows)
        list.push_back({{"key", row.key},
                        {"value", row.value},
                        {"version", row.version},
                        {"dropped", row.dropped}});
    return withVersion({{"rows", std::move(list)}}, version);
}

std::vector<std::string> FeedTables::keys(const std::string &table) const
{
    std::vector<std::string> keys;
    if (const auto found = m_tables.find(table); found != m_tables.end())
        for (const auto &[key, row] : found->second.rows)
            if (!row.dropped)
                keys.push_back(key);
    return keys;
}

std::string FeedTables::rows(const std::string &table) const
{
    std::vector<Row> rows;
    if (const auto found = m_tables.find(table); found != m_tables.end())
        for (const auto &[key, row] : found->second.rows)
            if (!row.dropped)
                rows.push_back(row);
    return body(rows, m_version);
}

std::string FeedTables::changes(const std::string &table, std::uint64_t after) const
{
    std::vector<Row> rows;
    if (const auto found = m_tables.find(table); found != m_tables.end())
        for (const Row &row : found->second.history)
            if (row.version > after)
                rows.push_back(row);
    return body(rows, m_version);
}

std::pair<int, std::string> FeedTables::commit(const std::string &text)
{
    const json::value value = json::parse(text);
    for (const json::value &check : value.at("checks").as_array()) {
        const auto &rows = m_tables[std::string(check.at("table").as_string())].rows;
        const auto row = rows.find(std::string(check.at("key").as_string()));
        const std::uint64_t version = row == rows.end() ? 0 : row->second.version;
        if (version != check.at("version").to_number<std::uint64_t>())
            return {Conflict, withVersion({}, m_version)};
    }
    m_version += 1;
    for (const json::value &each : value.at("writes").as_array())
        write(std::string(each.at("table").as_string()),
              {std::string(each.at("key").as_string()), std::string(each.at("value").as_string()),
               m_version, each.at("drop").as_bool()});
    return {Ok, withVersion({}, m_version)};
}

} // namespace balsamloft::testsuite
