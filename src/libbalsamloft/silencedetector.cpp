#include <balsamloft/silencedetector.h>

#include <algorithm>

namespace balsamloft {

namespace {

constexpr std::uint32_t MissesUntilSilent = 2;

} // namespace

void SilenceDetector::recordPoll(const std::string &id, Time now)
{
    m_engines[id].polledAt = now;
}

void SilenceDetector::recordAnswer(const std::string &id, Time now)
{
    Engine &engine = m_engines[id];
    engine.misses = 0;
    engine.replaced = false;
    engine.answeredAt = now;
}

void SilenceDetector::recordMiss(const std::string &id)
{
    Engine &engine = m_engines[id];
    engine.misses += 1;
    if (engine.misses == MissesUntilSilent)
        engine.missedSince = engine.polledAt;
}

void SilenceDetector::expectMiss(const std::string &id)
{
    Engine &engine = m_engines[id];
    engine.misses = std::max(engine.misses, MissesUntilSilent - 1);
}

void SilenceDetector::recordReplaced(const std::string &id)
{
    m_engines[id].replaced = true;
}

void SilenceDetector::removeUnlisted(const FleetSnapshot &fleet)
{
    std::erase_if(m_engines, [&](const auto &each) { return !fleet.find(each.first); });
}

bool SilenceDetector::isMissing(const Engine &engine) const
{
    return engine.replaced || engine.misses >= MissesUntilSilent;
}

bool SilenceDetector::hasMissed(const std::string &id) const
{
    const auto it = m_engines.find(id);
    return it != m_engines.end() && isMissing(it->second);
}

bool SilenceDetector::missedLast(const std::string &id) const
{
    const auto it = m_engines.find(id);
    return it != m_engines.end() && (it->second.replaced || it->second.misses > 0);
}

std::optional<std::set<std::string>> SilenceDetector::silent() const
{
    const auto missing = static_cast<std::size_t>(
        std::count_if(m_engines.begin(), m_engines.end(),
                      [this](const auto &each) { return isMissing(each.second); }));
    if (missing * 2 > m_engines.size())
        return std::nullopt;
    const std::size_t others = m_engines.size() - missing;
    std::set<std::string> result;
    for (const auto &[id, engine] : m_engines) {
        if (!isMissing(engine))
            continue;
        const Time missedSince = engine.missedSince;
        const auto answeredSince = static_cast<std::size_t>(
            std::count_if(m_engines.begin(), m_engines.end(), [&](const auto &each) {
                return !isMissing(each.second) && each.second.answeredAt > missedSince;
            }));
        if (engine.replaced || (answeredSince > 0 && answeredSince * 2 >= others))
            result.insert(id);
    }
    return result;
}

} // namespace balsamloft
