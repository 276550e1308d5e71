#include <balsamloft/flagsetup.h>

#include <gflags/gflags.h>

#include <algorithm>
#include <cctype>

extern char **environ; // NOLINT(readability-identifier-naming): name set by POSIX

namespace balsamloft {

namespace {

std::vector<gflags::CommandLineFlagInfo>
flagsDefinedIn(const std::vector<std::string> &programFiles)
{
    std::vector<gflags::CommandLineFlagInfo> all;
    gflags::GetAllFlags(&all);
    std::erase_if(all, [&](const gflags::CommandLineFlagInfo &flag) {
        return std::none_of(programFiles.begin(), programFiles.end(),
                            [&](const std::string &file) { return flag.filename.ends_with(file); });
    });
    return all;
}

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    for (char &c : result)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return result;
}

const gflags::CommandLineFlagInfo *findFlag(const std::vector<gflags::CommandLineFlagInfo> &flags,
                                            const std::string &name)
{
    const auto it = std::find_if(flags.begin(), flags.end(),
                                 [&](const auto &flag) { return flag.name == name; });
    return it == flags.end() ? nullptr : &*it;
}

bool setFlag(const std::string &name, const std::string &value, std::string_view source,
             const gflags::CommandLineFlagInfo &flag, Reason &reason)
{
    if (!gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty())
        return true;
    reason = std::string(source) + ": \"" + value + "\" is not a valid " + flag.type + " for "
             + flag.description;
    return false;
}

bool readEnvironment(std::string_view prefix, const std::vector<gflags::CommandLineFlagInfo> &flags,
                     Reason &reason)
{
    for (char **entry = environ; *entry; ++entry) {
        const std::string_view text(*entry);
        const auto equals = text.find('=');
        if (equals == std::string_view::npos || !text.starts_with(prefix))
            continue;
        const std::string variable(text.substr(0, equals));
        const std::string name = lowerCase(text.substr(prefix.size(), equals - prefix.size()));
        const auto *flag = findFlag(flags, name);
        if (!flag) {
            reason = variable + ": there is no setting \"" + name + "\"; see --help";
            return false;
        }
        if (!setFlag(name, std::string(text.substr(equals + 1)), variable, *flag, reason))
            return false;
    }
    return true;
}

} // namespace

std::optional<ParsedCommandLine> parseFlags(int argc, char **argv,
                                            std::string_view environmentPrefix,
                                            const std::vector<std::string> &programFiles,
                                            Reason &reason)
{
    const auto flags = flagsDefinedIn(programFiles);
    if (!readEnvironment(environmentPrefix, flags, reason))
        return std::nullopt;
    ParsedCommandLine result;
    bool flagsEnded = false;
    for (int i = 1; i < argc; ++i) {
        std::string_view text(argv[i]);
        if (flagsEnded || !text.starts_with("--") || text == "--") {
            flagsEnded = flagsEnded || text == "--";
            if (text == "-h")
                result.helpRequested = true;
            else if (text != "--")
                result.arguments.emplace_back(text);
            continue;
        }
        text.remove_prefix(2);
        const auto equals = text.find('=');
        std::string name(text.substr(0, equals));
        std::replace(name.begin(), name.end(), '-', '_');
        if (name == "help") {
            result.helpRequested = true;
            continue;
        }
        const auto *flag = findFlag(flags, name);
        const bool negated = !flag && name.starts_with("no");
        if (negated)
            flag = findFlag(flags, name.substr(2));
        if (!flag || (negated && flag->type != "bool")) {
            reason = "--" + name + ": there is no such flag; see --help";
            return std::nullopt;
        }
        std::string value;
        if (equals != std::string_view::npos) {
            value = text.substr(equals + 1);
        } else if (flag->type == "bool") {
            value = negated ? "false" : "true";
        } else if (i + 1 < argc) {
            value = argv[++i];
        } else {
            reason = "--" + name + ": a value is missing";
            return std::nullopt;
        }
        if (!setFlag(flag->name, value, "--" + name, *flag, reason))
            return std::nullopt;
    }
    return result;
}

std::string flagsHelp(const std::vector<std::string> &programFiles,
                      std::string_view environmentPrefix)
{
    std::string text;
    for (const auto &flag : flagsDefinedIn(programFiles)) {
        text += "  --" + flag.name + " (" + flag.type;
        text += flag.default_value.empty() ? ")\n" : ", default " + flag.default_value + ")\n";
        text += "      " + flag.description + "\n";
    }
    text += "\nEach flag can also be set by an environment variable: "
            + std::string(environmentPrefix) + "NAME, with the flag's name in capitals.\n";
    return text;
}

} // namespace balsamloft
