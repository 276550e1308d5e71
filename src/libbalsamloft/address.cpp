#include <balsamloft/address.h>

#include <charconv>

using boost::asio::ip::tcp;

namespace balsamloft {

std::optional<tcp::endpoint> parseTcpEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(std::string(text.substr(0, colon)), error);
    unsigned short port = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (error || parsed.ec != std::errc {} || parsed.ptr != end)
        return std::nullopt;
    return tcp::endpoint(address, port);
}

} // namespace balsamloft
