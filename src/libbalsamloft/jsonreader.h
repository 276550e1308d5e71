/// \file
/// Reads typed fields from JSON and reports each problem with its path.

#pragma once

#include <balsamloft/config.h>

#include <boost/json.hpp>

#include <initializer_list>

namespace balsamloft {

/// Maximum nesting depth of JSON text from operators, peers and the platform.
inline constexpr std::size_t MaxJsonDepth = 16;

/// Parses \a text with bounded depth. On failure returns nullopt and sets \a reason.
std::optional<boost::json::value> parseJson(std::string_view text, Reason &reason);

/// Serialises \a value with the keys of every object sorted, so that equal values give
/// equal text.
std::string canonicalJson(const boost::json::value &value);

/// Reads the fields of one JSON object. Each read returns the field's value, or its default
/// if the field is missing or invalid; errors are appended to the list of problems.
class ObjectReader
{
public:
    ObjectReader(const boost::json::object &object, std::string path,
                 std::vector<Problem> &problems);

    std::string requiredText(std::string_view key);
    std::string text(std::string_view key, std::string_view fallback = {});
    double number(std::string_view key, double fallback, double min, double max);
    bool boolean(std::string_view key, bool fallback);
    const boost::json::array *array(std::string_view key);

    /// Reports a problem with the field \a key.
    void problem(std::string_view key, std::string advice);

    /// Reports each key of the object that was not read.
    void rejectUnknownKeys();

    const std::string &path() const { return m_path; }

private:
    const boost::json::value *find(std::string_view key);

    const boost::json::object &m_object;
    std::string m_path;
    std::vector<Problem> &m_problems;
    std::vector<std::string> m_readKeys;
};

} // namespace balsamloft
