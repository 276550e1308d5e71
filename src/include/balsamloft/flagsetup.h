/// \file
/// Sets gflags flags from the command line and the environment.

#pragma once

#include <balsamloft/types.h>

#include <optional>
#include <string>
#include <vector>

namespace balsamloft {

/// The parts of a command line that are not flags.
struct ParsedCommandLine
{
    std::vector<std::string> arguments;
    bool helpRequested = false; ///< by --help or -h
};

/// Sets the flags that are defined in the source files \a programFiles (suffixes of their paths)
/// from environment variables, named \a environmentPrefix + the flag's name in capitals, then from
/// the command line, which overrides them. Returns nothing and sets \a reason if a flag or variable
/// is unknown or a value has the wrong type.
std::optional<ParsedCommandLine> parseFlags(int argc, char **argv,
                                            std::string_view environmentPrefix,
                                            const std::vector<std::string> &programFiles,
                                            Reason &reason);

/// Returns the help text for the flags that are defined in \a programFiles.
std::string flagsHelp(const std::vector<std::string> &programFiles,
                      std::string_view environmentPrefix);

} // namespace balsamloft
