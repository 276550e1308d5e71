/// \file
/// The platform's services over HTTP.

#pragma once

#include <balsamloft/httpclient.h>
#include <balsamloft/platform.h>

#include <memory>

namespace balsamloft {

/// Settings of the platform's client.
struct HttpPlatformSettings
{
    std::string address; ///< "IP:port"
    Duration timeout {2'000'000};
};

/// Returns a Platform that speaks to the service at \a settings.address.
std::unique_ptr<Platform> makeHttpPlatform(boost::asio::io_context &context,
                                           HttpPlatformSettings settings);

} // namespace balsamloft
