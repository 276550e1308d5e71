#include "jsonreader.h"

#include <algorithm>

namespace json = boost::json;

namespace balsamloft {

namespace {

constexpr std::size_t MaxShownValueLength = 60;

std::string abbreviatedValue(const json::value *value)
{
    if (!value)
        return "(missing)";
    std::string text = json::serialize(*value);
    if (text.size() > MaxShownValueLength) {
        text.resize(MaxShownValueLength);
        text += "...";
    }
    return text;
}

json::value sortedByKey(const json::value &value)
{
    if (const auto *object = value.if_object()) {
        std::vector<std::string_view> keys;
        for (const auto &member : *object)
            keys.push_back(member.key());
        std::sort(keys.begin(), keys.end());
        json::object result;
        for (const auto key : keys)
            result[key] = sortedByKey(object->at(key));
        return result;
    }
    if (const auto *array = value.if_array()) {
        json::array result;
        for (const auto &item : *array)
            result.push_back(sortedByKey(item));
        return result;
    }
    return value;
}

} // namespace

std::optional<json::value> parseJson(std::string_view text, Reason &reason)
{
    json::parse_options options;
    options.max_depth = MaxJsonDepth;
    json::error_code error;
    json::value value = json::parse(text, error, {}, options);
    if (error) {
        reason = error == json::error::too_deep
                     ? "nested deeper than " + std::to_string(MaxJsonDepth) + " levels"
                     : "not valid JSON: " + error.message();
        return std::nullopt;
    }
    return value;
}

std::string canonicalJson(const json::value &value)
{
    return json::serialize(sortedByKey(value));
}

ObjectReader::ObjectReader(const json::object &object, std::string path,
                           std::vector<Problem> &problems)
    : m_object(object)
    , m_path(std::move(path))
    , m_problems(problems)
{
}

const json::value *ObjectReader::find(std::string_view key)
{
    m_readKeys.emplace_back(key);
    return m_object.if_contains(key);
}

void ObjectReader::problem(std::string_view key, std::string advice)
{
    const auto problemPath = key.empty() ? m_path : m_path + "." + std::string(key);
    m_problems.push_back(
        {problemPath, abbreviatedValue(m_object.if_contains(key)), std::move(advice)});
}

std::string ObjectReader::requiredText(std::string_view key)
{
    const json::value *value = find(key);
    if (value && value->is_string() && !value->get_string().empty())
        return std::string(value->get_string());
    problem(key, "must be a non-empty string");
    return {};
}

std::string ObjectReader::text(std::string_view key, std::string_view fallback)
{
    const json::value *value = find(key);
    if (!value)
        return std::string(fallback);
    if (value->is_string())
        return std::string(value->get_string());
    problem(key, "must be a string");
    return std::string(fallback);
}

double ObjectReader::number(std::string_view key, double fallback, double min, double max)
{
    const json::value *value = find(key);
    if (!value)
        return fallback;
    if (value->is_number()) {
        const auto number = value->to_number<double>();
        if (number >= min && number <= max)
            return number;
    }
    problem(key, "must be a number from " + json::serialize(json::value(min)) + " to "
                     + json::serialize(json::value(max)));
    return fallback;
}

bool ObjectReader::boolean(std::string_view key, bool fallback)
{
    const json::value *value = find(key);
    if (!value)
        return fallback;
    if (value->is_bool())
        return value->get_bool();
    problem(key, "must be true or false");
    return fallback;
}

const json::array *ObjectReader::array(std::string_view key)
{
    const json::value *value = find(key);
    if (!value)
        return nullptr;
    if (value->is_array())
        return &value->get_array();
    problem(key, "must be an array");
    return nullptr;
}

void ObjectReader::rejectUnknownKeys()
{
    for (const auto &member : m_object) {
        if (std::find(m_readKeys.begin(), m_readKeys.end(), member.key()) == m_readKeys.end())
            problem(member.key(), "is not a known field");
    }
}

} // namespace balsamloft
