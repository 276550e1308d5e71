#include "output.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <map>
#include <vector>

namespace json = boost::json;

namespace balsamloft {

namespace {

std::string timeText(std::int64_t millis)
{
    const std::time_t seconds = millis / 1000;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    char buffer[32];
    const std::size_t size = std::strftime(buffer, sizeof buffer, "%Y-%m-%d %H:%M:%S", &parts);
    return {buffer, size};
}

std::string member(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value ? plainText(*value) : std::string();
}

json::object parsedEntry(const json::object &edit, std::string_view key)
{
    const json::value *text = edit.if_contains(key);
    if (!text || !text->is_string())
        return {};
    json::error_code error;
    const json::value value = json::parse(text->get_string(), error);
    return !error && value.is_object() ? value.get_object() : json::object {};
}

void renderChanged(const std::string &path, const json::object &before, const json::object &after,
                   std::string &text)
{
    std::map<std::string, std::pair<std::string, std::string>> fields;
    for (const auto &item : before)
        fields[item.key()].first = plainText(item.value());
    for (const auto &item : after)
        fields[item.key()].second = plainText(item.value());
    for (const auto &[name, values] : fields) {
        if (values.first != values.second)
            text += "~ " + path + "." + name + ": "
                    + (values.first.empty() ? "(none)" : values.first) + " -> "
                    + (values.second.empty() ? "(none)" : values.second) + "\n";
    }
}

} // namespace

std::string plainText(const json::value &value)
{
    return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
}

std::string renderEdits(const json::array &edits)
{
    std::string text;
    for (const json::value &item : edits) {
        const json::object &edit = item.as_object();
        const std::string path = member(edit, "path");
        const bool added = edit.at("before").is_null();
        const bool removed = edit.at("after").is_null();
        if (added)
            text += "+ " + path + ": " + member(edit, "after") + "\n";
        else if (removed)
            text += "- " + path + "\n";
        else
            renderChanged(path, parsedEntry(edit, "before"), parsedEntry(edit, "after"), text);
    }
    return text;
}

std::string renderHistory(const json::array &changes, bool withEdits)
{
    std::string text;
    for (const json::value &item : changes) {
        const json::object &change = item.as_object();
        text += member(change, "version") + "  " + timeText(change.at("accepted_at").as_int64())
                + "  " + member(change, "author") + "  " + member(change, "summary") + "  ("
                + std::to_string(change.at("edits").as_array().size()) + " entries, id "
                + member(change, "id") + ")\n";
        if (withEdits)
            text += renderEdits(change.at("edits").as_array());
    }
    return text;
}

std::string renderTable(const json::array &rows, std::initializer_list<std::string_view> columns)
{
    std::vector<std::vector<std::string>> cells;
    cells.emplace_back(columns.begin(), columns.end());
    for (const json::value &row : rows) {
        std::vector<std::string> line;
        for (const std::string_view column : columns)
            line.push_back(member(row.as_object(), column));
        cells.push_back(std::move(line));
    }
    std::vector<std::size_t> widths(columns.size());
    for (const auto &line : cells) {
        for (std::size_t i = 0; i < line.size(); ++i)
            widths[i] = std::max(widths[i], line[i].size());
    }
    std::string text;
    for (const auto &line : cells) {
        for (std::size_t i = 0; i < line.size(); ++i) {
            text += line[i];
            if (i + 1 < line.size())
                text += std::string(widths[i] - line[i].size() + 2, ' ');
        }
        text += "\n";
    }
    return text;
}

std::string renderFields(const json::object &object)
{
    std::string text;
    for (const auto &item : object) {
        if (!item.value().is_object() && !item.value().is_array())
            text += std::string(item.key()) + ": " + plainText(item.value()) + "\n";
    }
    return text;
}

} // namespace balsamloft
