#include <balsamloft/peerdirectory.h>

#include <algorithm>

namespace balsamloft {

namespace {

/// How long an instance that failed is not asked again.
constexpr Duration Avoided {8'000'000};

} // namespace

PeerDirectory::PeerDirectory(std::string self, std::string domain)
    : m_self(std::move(self))
    , m_domain(std::move(domain))
{
}

void PeerDirectory::replace(std::vector<PeerInstance> instances)
{
    std::sort(instances.begin(), instances.end(),
              [](const auto &left, const auto &right) { return left.name < right.name; });
    m_instances = std::move(instances);
}

void PeerDirectory::failed(const std::string &name, Time now)
{
    m_badUntil[name] = now + Avoided;
}

bool PeerDirectory::good(const PeerInstance &instance, Time now) const
{
    const auto it = m_badUntil.find(instance.name);
    return it == m_badUntil.end() || now >= it->second;
}

const PeerInstance *PeerDirectory::reader(Time now) const
{
    for (const PeerInstance &each : m_instances) {
        if (each.domain != m_domain || each.address.empty())
            continue;
        if (each.name >= m_self)
            return nullptr;
        if (good(each, now))
            return &each;
    }
    return nullptr;
}

const PeerInstance *PeerDirectory::substitute(Time now) const
{
    for (const PeerInstance &each : m_instances)
        if (each.name != m_self && !each.address.empty() && good(each, now))
            return &each;
    return nullptr;
}

std::vector<PeerInstance> PeerDirectory::readersElsewhere(Time now) const
{
    std::map<std::string_view, const PeerInstance *> first;
    for (const PeerInstance &each : m_instances)
        if (each.domain != m_domain && !each.address.empty() && good(each, now))
            first.try_emplace(each.domain, &each);
    std::vector<PeerInstance> readers;
    for (const auto &[domain, instance] : first)
        readers.push_back(*instance);
    return readers;
}

std::size_t PeerDirectory::inDomain() const
{
    const auto found =
        std::count_if(m_instances.begin(), m_instances.end(),
                      [&](const PeerInstance &each) { return each.domain == m_domain; });
    return std::max<std::size_t>(1, static_cast<std::size_t>(found));
}

std::size_t PeerDirectory::count() const
{
    return std::max<std::size_t>(1, m_instances.size());
}

} // namespace balsamloft
