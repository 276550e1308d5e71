/// \file
/// Log of the decisions on recent requests, for the command `explain`.

#pragma once

#include <balsamloft/admission/fairqueue.h>

#include <boost/circular_buffer.hpp>

#include <optional>
#include <vector>

namespace balsamloft {

/// A log with a fixed capacity that overwrites its oldest entries.
class TraceLog
{
public:
    explicit TraceLog(std::size_t capacity)
        : m_entries(capacity)
    {
    }

    void add(RequestId request, Time at, std::string text)
    {
        m_entries.push_back({request, at, std::move(text)});
    }

    /// Returns the entries of \a request, each with the milliseconds since the first one.
    std::vector<std::string> lines(RequestId request) const
    {
        std::vector<std::string> result;
        std::optional<Time> first;
        for (const Entry &entry : m_entries) {
            if (entry.request != request)
                continue;
            if (!first)
                first = entry.at;
            const auto micros = (entry.at - *first).count();
            result.push_back("+" + std::to_string(micros / 1000) + "."
                             + std::to_string(micros % 1000 / 100) + " ms " + entry.text);
        }
        return result;
    }

private:
    struct Entry
    {
        RequestId request;
        Time at;
        std::string text;
    };
    boost::circular_buffer<Entry> m_entries;
};

} // namespace balsamloft
