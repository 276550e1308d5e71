#include <balsamloft/answerrules.h>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>

#include <algorithm>

namespace balsamloft {

std::string describeStatus(unsigned status)
{
    constexpr std::size_t Digits = 3;
    const std::string text = std::to_string(status);
    return "status " + std::string(Digits - std::min(Digits, text.size()), '0') + text;
}

bool isReadableTransferCoding(std::string_view value)
{
    const auto coding = boost::trim_copy_if(std::string(value), boost::is_any_of(" \t"));
    return boost::iequals(coding, "chunked");
}

} // namespace balsamloft
