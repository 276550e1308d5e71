#include <balsamloft/requestdigest.h>

#include <balsamloft/config.h>

namespace balsamloft {

namespace {

constexpr std::size_t DigestDigits = 32;

} // namespace

std::string requestDigest(const RequestContent &content)
{
    std::string text;
    // The length precedes each field. Without it, moving bytes from one field to the next
    // would give the digest of another team's request.
    for (const std::string_view field :
         {content.team, content.method, content.host, content.target, content.body})
        text.append(std::to_string(field.size())).append(":").append(field);
    return sha256Hex(text).substr(0, DigestDigits);
}

} // namespace balsamloft
