/// \file
/// Reports of engines, as one instance tells them on to others.

#pragma once

#include <balsamloft/enginebook.h>

#include <map>
#include <string>
#include <vector>

namespace balsamloft {

/// The newest report of each engine, and when it came.
///
/// Each asker is told a report once. Told again with each answer, the reports of
/// thousands of engines fill the link of the instance that tells hundreds of others:
/// its bytes grow as engines times instances times questions.
class EngineReports
{
public:
    // Commands

    /// All that is known at \a now; reports of engines that it lacks are forgotten.
    void replace(const std::vector<EngineState> &states, Time now);

    // Queries

    /// Reports that came at \a told or later: one that came in the moment of the answer
    /// before may have missed it.
    std::vector<EngineState> since(Time told) const;

private:
    struct Report
    {
        EngineState state;
        Time cameAt {};
    };

    std::map<std::string, Report, std::less<>> m_reports; ///< by engine
};

} // namespace balsamloft
