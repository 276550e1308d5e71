/// \file
/// Reads typed fields out of JSON, noting every problem with its place.

#pragma once

#include <balsamloft/config.h>

#include <boost/json.hpp>

#include <initializer_list>

namespace balsamloft {

/// Deepest nesting accepted in any JSON text from outside.
inline constexpr std::size_t MaxJsonDepth = 16;

/// Parses \a text with bounded depth. Returns nothing and a reason on failure.
std::optional<boost::json::value> parseJson(std::string_view text, Reason &reason);

/// Returns \a value as text with the keys of every object sorted, so that
/// equal values have equal text.
std::string canonicalJson(const boost::json::value &value);

/// Reads the fields of one JSON object. Each read returns the field's value or
/// its default; what is wrong is appended to the problems.
class ObjectReader
{
public:
    ObjectReader(const boost::json::object &object, std::string path,
                 std::vector<Problem> &problems);

    std::string requiredText(std::string_view key);
    std::string text(std::string_view key, std::string_view fallback = {});
    double number(std::string_view key, double fallback, double least, double most);
    bool boolean(std::string_view key, bool fallback);
    const boost::json::array *array(std::string_view key);

    /// Notes a problem at \a key.
    void problem(std::string_view key, std::string advice);

    /// Notes each key of the object that no read has asked for.
    void rejectUnknownKeys();

    const std::string &path() const { return m_path; }

private:
    const boost::json::value *find(std::string_view key);

    const boost::json::object &m_object;
    std::string m_path;
    std::vector<Problem> &m_problems;
    std::vector<std::string> m_known;
};

} // namespace balsamloft
