/// \file
/// Reads gflags' flags from the command line and the environment.

#pragma once

#include <balsamloft/types.h>

#include <optional>
#include <string>
#include <vector>

namespace balsamloft {

/// What is left of a command line once the flags are read.
struct ParsedCommandLine
{
    std::vector<std::string> arguments; ///< that are not flags
    bool helpRequested = false;
};

/// Sets the flags of \a programFiles (ends of source paths) from variables
/// named \a environmentPrefix + the flag's name in capitals, then from the
/// command line, which goes first. Returns nothing and a reason for an unknown
/// flag or variable or a value of the wrong kind.
std::optional<ParsedCommandLine> parseFlags(int argc, char **argv,
                                            std::string_view environmentPrefix,
                                            const std::vector<std::string> &programFiles,
                                            Reason &reason);

/// Returns a text that lists the flags of \a programFiles.
std::string flagsHelp(const std::vector<std::string> &programFiles,
                      std::string_view environmentPrefix);

} // namespace balsamloft
