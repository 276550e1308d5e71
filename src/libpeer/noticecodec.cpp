#include "noticecodec.h"

#include "entrynews.pb.h"

namespace balsamloft {

std::string encodeNotices(std::span<const CrashNotice> notices, Time now)
{
    wire::CrashNotices message;
    for (const CrashNotice &each : notices) {
        wire::CrashNotice &notice = *message.add_notices();
        notice.set_digest(each.record.digest);
        notice.set_endpoint(each.record.endpoint);
        const Duration age = std::max(Duration {}, now - each.record.at);
        notice.set_age_ms(static_cast<std::uint64_t>(age.count() / 1000));
        notice.set_withdrawn(each.withdrawn);
    }
    return message.SerializeAsString();
}

std::optional<std::vector<CrashNotice>> decodeNotices(std::string_view bytes, Time now)
{
    // Older ones are expired anyway; the bound keeps the time of a crash representable.
    constexpr std::uint64_t MaxAgeMs = 3'600'000;
    wire::CrashNotices message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    std::vector<CrashNotice> notices;
    for (const wire::CrashNotice &each : message.notices()) {
        if (each.digest().empty() || each.endpoint().empty())
            continue;
        const Duration age(static_cast<std::int64_t>(std::min(each.age_ms(), MaxAgeMs)) * 1000);
        notices.push_back({{each.digest(), each.endpoint(), now - age}, each.withdrawn()});
    }
    return notices;
}

} // namespace balsamloft
