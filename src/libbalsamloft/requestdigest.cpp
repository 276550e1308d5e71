#include <balsamloft/requestdigest.h>

#include <balsamloft/config.h>

namespace balsamloft {

namespace {

constexpr std::size_t DigestDigits = 32;

} // namespace

std::string requestDigest(const RequestContent &content)
{
    std::string text;
    // Each field behind its length: moved from one field to the next, the same bytes
    // would else make another team's request.
    for (const std::string_view field :
         {content.team, content.method, content.host, content.target, content.body})
        text.append(std::to_string(field.size())).append(":").append(field);
    return sha256Hex(text).substr(0, DigestDigits);
}

} // namespace balsamloft
