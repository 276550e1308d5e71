// The hash-chained log of configuration changes: diffs, digests, rebasing and serialisation.

#include "jsonreader.h"

#include <openssl/evp.h>

#include <algorithm>
#include <iterator>

namespace json = boost::json;

namespace balsamloft {

namespace {

json::value optionalText(const std::optional<std::string> &text)
{
    return text ? json::value(*text) : json::value(nullptr);
}

std::optional<std::string> optionalText(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    if (!value || !value->is_string())
        return std::nullopt;
    return std::string(value->get_string());
}

json::object changeBody(const ConfigChange &change)
{
    json::array edits;
    for (const ConfigEdit &edit : change.edits)
        edits.push_back({{"path", edit.path},
                         {"before", optionalText(edit.before)},
                         {"after", optionalText(edit.after)}});
    return {{"version", change.version},        {"id", change.id},
            {"author", change.author},          {"summary", change.summary},
            {"accepted_at", change.acceptedAt}, {"edits", std::move(edits)}};
}

} // namespace

std::string sha256Hex(std::string_view text)
{
    static constexpr char Digits[] = "0123456789abcdef";
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned length = 0;
    EVP_Digest(text.data(), text.size(), digest, &length, EVP_sha256(), nullptr);
    std::string hex;
    hex.reserve(static_cast<std::size_t>(length) * 2);
    for (unsigned i = 0; i < length; ++i) {
        hex += Digits[digest[i] >> 4U];
        hex += Digits[digest[i] & 0xfU];
    }
    return hex;
}

ConfigEdits diffEntries(const ConfigEntries &from, const ConfigEntries &to,
                        std::string_view section)
{
    ConfigEdits edits;
    for (const auto &[path, text] : from) {
        if (path.starts_with(section) && !to.contains(path))
            edits.push_back({path, text, std::nullopt});
    }
    for (const auto &[path, text] : to) {
        if (!path.starts_with(section))
            continue;
        const auto old = from.find(path);
        if (old == from.end())
            edits.push_back({path, std::nullopt, text});
        else if (old->second != text)
            edits.push_back({path, old->second, text});
    }
    return edits;
}

bool applyEdits(ConfigEntries &entries, std::span<const ConfigEdit> edits, Reason &reason)
{
    ConfigEntries result = entries;
    for (const ConfigEdit &edit : edits) {
        const auto it = result.find(edit.path);
        const bool matches =
            edit.before ? it != result.end() && it->second == *edit.before : it == result.end();
        if (!matches) {
            reason = edit.path + ": the entry does not have the value that the change replaces";
            return false;
        }
        if (edit.after)
            result[edit.path] = *edit.after;
        else
            result.erase(it);
    }
    entries = std::move(result);
    return true;
}

ConfigEdits reverseEdits(std::span<const ConfigEdit> edits)
{
    ConfigEdits result;
    result.reserve(edits.size());
    std::transform(edits.rbegin(), edits.rend(), std::back_inserter(result),
                   [](const ConfigEdit &edit) {
                       return ConfigEdit {edit.path, edit.after, edit.before};
                   });
    return result;
}

std::vector<std::string> conflictingPaths(std::span<const ConfigEdit> edits,
                                          std::span<const ConfigChange> since)
{
    std::map<std::string_view, const std::optional<std::string> *> latest;
    for (const ConfigChange &change : since) {
        for (const ConfigEdit &edit : change.edits)
            latest[edit.path] = &edit.after;
    }
    std::vector<std::string> paths;
    for (const ConfigEdit &edit : edits) {
        const auto it = latest.find(edit.path);
        if (it != latest.end() && *it->second != edit.after)
            paths.push_back(edit.path);
    }
    return paths;
}

std::string chainDigest(std::string_view previousDigest, const ConfigChange &change)
{
    return sha256Hex(std::string(previousDigest) + json::serialize(changeBody(change)));
}

std::string toJson(const ConfigChange &change)
{
    json::object object = changeBody(change);
    object["digest"] = change.digest;
    return json::serialize(object);
}

std::optional<ConfigChange> changeFromJson(std::string_view text, Reason &reason)
{
    const auto value = parseJson(text, reason);
    if (!value)
        return std::nullopt;
    std::vector<Problem> problems;
    const json::object *object = value->if_object();
    if (!object) {
        reason = "a change must be an object";
        return std::nullopt;
    }
    ObjectReader reader(*object, "change", problems);
    ConfigChange change;
    change.version = static_cast<std::uint64_t>(reader.number("version", 0, 1, 1e15));
    change.id = reader.requiredText("id");
    change.author = reader.text("author");
    change.summary = reader.text("summary");
    change.acceptedAt = static_cast<WallMillis>(reader.number("accepted_at", 0, 0, 1e15));
    change.digest = reader.requiredText("digest");
    const json::array *edits = reader.array("edits");
    for (std::size_t i = 0; edits && i < edits->size(); ++i) {
        const json::object *edit = (*edits)[i].if_object();
        const auto path = edit ? optionalText(*edit, "path") : std::nullopt;
        if (!path) {
            reader.problem("edits", "must contain objects with \"path\"");
            break;
        }
        change.edits.push_back(
            {*path, optionalText(*edit, "before"), optionalText(*edit, "after")});
    }
    if (change.version == 0)
        reader.problem("version", "is required, at least 1");
    if (!problems.empty()) {
        reason = problems.front().text();
        return std::nullopt;
    }
    return change;
}

} // namespace balsamloft
