#include <balsamloft/announcedpauses.h>

#include <algorithm>

namespace balsamloft {

namespace {

/// How long after a pause the number of unanswered requests is limited.
constexpr Duration LimitedTime {10'000'000};

} // namespace

bool AnnouncedPauses::recordRefusal(const std::string &endpoint, Duration pause, Time now,
                                    std::mt19937_64 &random)
{
    Pause &each = m_pauses[endpoint];
    const bool begins = now >= each.until;
    if (begins) {
        each.limit = 1;
        each.unanswered = 0;
    }
    const auto maxSpread = std::min(
        m_settings.maxSpread, Duration(static_cast<std::int64_t>(
                                  m_settings.spreadShare * static_cast<double>(pause.count()))));
    std::uniform_int_distribution<std::int64_t> spread(0, maxSpread.count());
    if (now + pause > each.until) {
        each.length = pause;
        each.until = now + pause + Duration(spread(random));
    }
    return begins;
}

void AnnouncedPauses::recordSend(const std::string &endpoint, Time now)
{
    const auto it = m_pauses.find(endpoint);
    if (it != m_pauses.end() && now >= it->second.until)
        it->second.unanswered += 1;
}

void AnnouncedPauses::recordResult(const std::string &endpoint, Time sentAt, bool accepted)
{
    const auto it = m_pauses.find(endpoint);
    if (it == m_pauses.end() || sentAt < it->second.until)
        return;
    Pause &pause = it->second;
    pause.unanswered -= std::min(pause.unanswered, 1U);
    if (accepted)
        pause.limit += 1 / pause.limit;
}

void AnnouncedPauses::removeEnded(Time now)
{
    std::erase_if(m_pauses,
                  [now](const auto &each) { return now >= each.second.until + LimitedTime; });
}

const AnnouncedPauses::Pause *AnnouncedPauses::find(const std::string &endpoint) const
{
    const auto it = m_pauses.find(endpoint);
    return it == m_pauses.end() ? nullptr : &it->second;
}

bool AnnouncedPauses::isPaused(const std::string &endpoint, Time now) const
{
    const Pause *pause = find(endpoint);
    return pause && now < pause->until;
}

AnnouncedPause AnnouncedPauses::lastPause(const std::string &endpoint) const
{
    const Pause *pause = find(endpoint);
    return pause ? AnnouncedPause(*pause) : AnnouncedPause {};
}

bool AnnouncedPauses::isBlocked(const Pause &pause, Time now) const
{
    return now < pause.until || pause.unanswered >= pause.limit;
}

std::set<std::string> AnnouncedPauses::blockedEndpoints(Time now) const
{
    std::set<std::string> blocked;
    for (const auto &[id, pause] : m_pauses)
        if (isBlocked(pause, now))
            blocked.insert(id);
    return blocked;
}

std::size_t AnnouncedPauses::size(Time now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_pauses.begin(), m_pauses.end(),
                      [now](const auto &each) { return now < each.second.until; }));
}

} // namespace balsamloft
