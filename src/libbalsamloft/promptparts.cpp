#include <balsamloft/promptparts.h>

#include <balsamloft/config.h>

#include <algorithm>

namespace balsamloft {

namespace {

/// Not hexadecimal, unlike a content's digest.
constexpr std::string_view Prefix = "part-";
constexpr std::size_t DigestDigits = 27;

/// The id of a list's entry in lower case; empty if it has none.
std::string idOf(std::string_view entry)
{
    entry = entry.substr(0, entry.find(':'));
    std::string id;
    for (const char c : entry)
        if (c != ' ' && c != '\t')
            id += c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    return id;
}

} // namespace

std::string promptPartDigest(std::string_view service, std::string_view id)
{
    std::string text = std::to_string(service.size());
    text.append(":").append(service).append(id);
    return std::string(Prefix).append(sha256Hex(text), 0, DigestDigits);
}

bool isPromptPartDigest(std::string_view digest)
{
    return digest.starts_with(Prefix);
}

std::vector<std::string> sharedPromptParts(std::string_view service, std::string_view list)
{
    std::vector<std::string> parts;
    const std::size_t lastComma = list.rfind(',');
    if (lastComma == std::string_view::npos)
        return parts;
    list = list.substr(0, lastComma);
    while (!list.empty() && parts.size() < MaxPromptParts) {
        const std::size_t comma = std::min(list.find(','), list.size());
        const std::string id = idOf(list.substr(0, comma));
        list.remove_prefix(std::min(comma + 1, list.size()));
        if (id.empty())
            continue;
        std::string digest = promptPartDigest(service, id);
        if (std::find(parts.begin(), parts.end(), digest) == parts.end())
            parts.push_back(std::move(digest));
    }
    return parts;
}

} // namespace balsamloft
