#include <balsamloft/crashgossip.h>
#include <balsamloft/promptparts.h>

#include <algorithm>

namespace balsamloft {

CrashGossip::CrashGossip(CrashGossipSettings settings)
    : m_settings(settings)
    , m_random(settings.seed)
{
}

void CrashGossip::publish(const CrashUpdate &update, Time now)
{
    std::vector<CrashNotice> notices;
    for (const CrashRecord &each : update.added)
        notices.push_back({each, false});
    for (const CrashRecord &each : update.removed)
        notices.push_back({{each.digest, each.endpoint, now}, true});
    receive(notices, now);
}

bool CrashGossip::receive(std::span<const CrashNotice> notices, Time now)
{
    removeExpired(now);
    bool changed = false;
    for (const CrashNotice &each : notices) {
        if (now - each.record.at >= retentionOf(each.record.digest) || !apply(each))
            continue;
        m_pending.push_back(each);
        changed = true;
    }
    return changed;
}

/// \return whether the notice was new.
bool CrashGossip::apply(const CrashNotice &notice)
{
    const Key key(notice.record.digest, notice.record.endpoint);
    const auto it = m_entries.find(key);
    if (it == m_entries.end()) {
        if (!ensureSpaceFor(notice.record.digest))
            return false;
        m_entries.emplace(key, Entry {notice.record.at, notice.withdrawn, false});
        return true;
    }
    // Notices may arrive in any order. A withdrawal is final, since a process crashes only once.
    if (!notice.withdrawn || it->second.withdrawn)
        return false;
    it->second = {notice.record.at, true, it->second.wasStored};
    return true;
}

bool CrashGossip::isOnlyNoticeOf(EntryMap::const_iterator it) const
{
    const std::string &digest = it->first.first;
    const auto next = std::next(it);
    return (it == m_entries.begin() || std::prev(it)->first.first != digest)
           && (next == m_entries.end() || next->first.first != digest);
}

bool CrashGossip::hasNoticeOf(const std::string &digest) const
{
    const auto first = m_entries.lower_bound({digest, {}});
    return first != m_entries.end() && first->first.first == digest;
}

/// Forgets the oldest notice of a content with a single crash if the table is full. Each crash adds
/// some of these, mostly harmless ones, and must not keep out what comes again. Such a notice
/// itself takes no other one's place: instances would send it to each other again and again.
/// \return whether there is space for a notice of \a digest.
bool CrashGossip::ensureSpaceFor(const std::string &digest)
{
    if (m_entries.size() < m_settings.maxNotices)
        return true;
    if (!isPromptPartDigest(digest) && !hasNoticeOf(digest))
        return false;
    auto oldest = m_entries.end();
    for (auto it = m_entries.begin(); it != m_entries.end(); ++it)
        if (!isPromptPartDigest(it->first.first) && it->first.first != digest && isOnlyNoticeOf(it)
            && (oldest == m_entries.end() || it->second.at < oldest->second.at))
            oldest = it;
    if (oldest == m_entries.end())
        return false;
    m_entries.erase(oldest);
    return true;
}

Duration CrashGossip::retentionOf(const std::string &digest) const
{
    return isPromptPartDigest(digest) ? m_settings.partRetention : m_settings.retention;
}

void CrashGossip::removeExpired(Time now)
{
    std::erase_if(m_entries, [&](const auto &each) {
        return now - each.second.at >= retentionOf(each.first.first);
    });
}

void CrashGossip::setStored(std::vector<CrashRecord> records)
{
    // A record keeps the time that was computed first: the clock of the store may have changed.
    std::map<Key, Time> known;
    for (const CrashRecord &each : m_stored)
        known.emplace(Key(each.digest, each.endpoint), each.at);
    m_stored = std::move(records);
    std::set<Key> stored;
    for (CrashRecord &each : m_stored) {
        const auto key = stored.emplace(each.digest, each.endpoint).first;
        if (const auto before = known.find(*key); before != known.end())
            each.at = before->second;
    }
    std::erase_if(m_entries, [&](const auto &each) {
        return each.second.wasStored && !each.second.withdrawn && !stored.contains(each.first);
    });
    for (auto &[key, entry] : m_entries)
        entry.wasStored = entry.wasStored || stored.contains(key);
}

/// Whether a notice to be sent belongs to a request with several crashes, or withdraws a record.
/// Requests with a single crash are mostly harmless ones that ran beside the cause.
bool CrashGossip::isUrgent() const
{
    return std::any_of(m_pending.begin(), m_pending.end(), [this](const CrashNotice &notice) {
        if (notice.withdrawn)
            return true;
        const auto first = m_entries.lower_bound({notice.record.digest, {}});
        return first != m_entries.end() && std::next(first) != m_entries.end()
               && std::next(first)->first.first == notice.record.digest;
    });
}

std::optional<CrashGossip::Message>
CrashGossip::takeMessage(std::span<const PeerInstance> instances, Time now)
{
    if (m_pending.empty() || (now - m_sentAt < m_settings.batchInterval && !isUrgent()))
        return std::nullopt;
    m_sentAt = now;
    const auto count =
        static_cast<std::ptrdiff_t>(std::min(m_pending.size(), m_settings.maxPerMessage));
    Message message;
    message.notices.assign(m_pending.begin(), m_pending.begin() + count);
    m_pending.erase(m_pending.begin(), m_pending.begin() + count);
    std::vector<PeerInstance> others;
    std::copy_if(instances.begin(), instances.end(), std::back_inserter(others),
                 [this](const PeerInstance &each) { return each.name != m_settings.self; });
    std::sample(others.begin(), others.end(), std::back_inserter(message.recipients),
                m_settings.fanOut, m_random);
    return message;
}

std::vector<CrashRecord> CrashGossip::records() const
{
    std::vector<CrashRecord> result;
    std::set<Key> listed;
    for (const CrashRecord &each : m_stored) {
        const Key key(each.digest, each.endpoint);
        const auto entry = m_entries.find(key);
        if (entry != m_entries.end() && entry->second.withdrawn)
            continue;
        listed.insert(key);
        result.push_back(each);
    }
    for (const auto &[key, entry] : m_entries)
        if (!entry.withdrawn && !listed.contains(key))
            result.push_back({key.first, key.second, entry.at});
    return result;
}

} // namespace balsamloft
