#include "feedtables.h"

#include <boost/json.hpp>

#include <chrono>

namespace json = boost::json;

namespace balsamloft::testsuite {

namespace {

constexpr int Ok = 200;
constexpr int Conflict = 409;

std::string body(json::object object, std::uint64_t version)
{
    const auto clock = std::chrono::steady_clock::now().time_since_epoch();
    object["version"] = version;
    object["clock_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(clock).count();
    return json::serialize(object);
}

} // namespace

void FeedTables::put(const std::string &table, const std::string &key, const std::string &value)
{
    m_tables[table][key] = {value, ++m_version, false};
}

void FeedTables::drop(const std::string &table, const std::string &key)
{
    m_tables[table][key] = {"", ++m_version, true};
}

std::uint64_t FeedTables::newest(const std::string &table) const
{
    std::uint64_t version = 0;
    if (const auto found = m_tables.find(table); found != m_tables.end())
        for (const auto &[key, row] : found->second)
            version = std::max(version, row.version);
    return version;
}

std::string FeedTables::rows(const std::string &table, std::uint64_t after, bool dropped) const
{
    json::array rows;
    if (const auto found = m_tables.find(table); found != m_tables.end())
        for (const auto &[key, row] : found->second)
            if (row.version > after && (dropped || !row.dropped))
                rows.push_back({{"key", key},
                                {"value", row.value},
                                {"version", row.version},
                                {"dropped", row.dropped}});
    return body({{"rows", rows}}, m_version);
}

std::pair<int, std::string> FeedTables::commit(const std::string &text)
{
    const json::value value = json::parse(text);
    for (const json::value &check : value.at("checks").as_array()) {
        const auto &table = m_tables[std::string(check.at("table").as_string())];
        const auto row = table.find(std::string(check.at("key").as_string()));
        const std::uint64_t version = row == table.end() ? 0 : row->second.version;
        if (version != check.at("version").to_number<std::uint64_t>())
            return {Conflict, body({}, m_version)};
    }
    m_version += 1;
    for (const json::value &write : value.at("writes").as_array())
        m_tables[std::string(write.at("table").as_string())][std::string(
            write.at("key").as_string())] = {std::string(write.at("value").as_string()), m_version,
                                             write.at("drop").as_bool()};
    return {Ok, body({}, m_version)};
}

} // namespace balsamloft::testsuite
