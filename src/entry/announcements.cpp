#include "announcements.h"

#include "decisionlog.h"
#include "fieldtext.h"

namespace balsamloft {

namespace {

constexpr std::string_view RetryAfterField = "Retry-After";
constexpr int Misdirected = 421;
constexpr int TooManyRequests = 429;
constexpr int Unavailable = 503;

bool isRefusal(const MessageHead &head)
{
    return head.status == TooManyRequests || head.status == Unavailable;
}

} // namespace

Announcement announcementOf(const MessageHead &head, const HeaderNames &names)
{
    Announcement announcement;
    // With this status another process may have answered, which has taken over the address.
    if (head.status == Misdirected)
        return announcement;
    announcement.draining = head.find(names.draining) == "1";
    const bool fromEndpoint = head.find(names.notExecuted) || head.find(names.executionProof);
    if (!isRefusal(head) || !fromEndpoint)
        return announcement;
    std::vector<std::string_view> values;
    for (const HeaderField &field : head.fields)
        if (sameFieldName(field.name, RetryAfterField))
            values.push_back(field.value);
    announcement.retryAfter =
        parseRetryAfter(values, head.find("Date").value_or(""), std::chrono::system_clock::now());
    return announcement;
}

void logAnnouncement(const std::string &endpoint, const MessageHead &head,
                     const Announcement &announcement)
{
    constexpr std::size_t MaxShownLength = 40;
    if (announcement.retryAfter)
        logDecision("endpoint", "retry after",
                    {{"endpoint", std::string_view(endpoint)},
                     {"status", std::int64_t(head.status)},
                     {"ms", milliseconds(*announcement.retryAfter)}});
    else if (const auto value = isRefusal(head) ? head.find(RetryAfterField) : std::nullopt)
        logDecision("endpoint", "retry after ignored",
                    {{"endpoint", std::string_view(endpoint)},
                     {"value", value->substr(0, MaxShownLength)}});
    if (announcement.draining)
        logDecision("endpoint", "announces its exit", {{"endpoint", std::string_view(endpoint)}});
}

} // namespace balsamloft
