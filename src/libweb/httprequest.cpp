#include <balsamloft/httprequest.h>

#include <boost/beast/http/field.hpp>

#include <algorithm>

namespace balsamloft {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";

std::string_view targetOf(const HttpRequest &request)
{
    const auto target = request.target();
    return {target.data(), target.size()};
}

} // namespace

std::string_view targetPath(const HttpRequest &request)
{
    const std::string_view target = targetOf(request);
    return target.substr(0, target.find('?'));
}

std::string_view queryParameter(const HttpRequest &request, std::string_view name)
{
    std::string_view rest = targetOf(request);
    const auto mark = rest.find('?');
    rest = mark == std::string_view::npos ? "" : rest.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        if (pair.starts_with(name) && pair.substr(name.size()).starts_with('='))
            return pair.substr(name.size() + 1);
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return {};
}

std::optional<std::string_view> bearerToken(const HttpRequest &request)
{
    const auto value = request[boost::beast::http::field::authorization];
    const std::string_view text(value.data(), value.size());
    if (!text.starts_with(BearerPrefix))
        return std::nullopt;
    return text.substr(BearerPrefix.size());
}

Time steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace balsamloft
