#include <balsamloft/resourceaccount.h>

#include <sys/resource.h>
#include <sys/sysinfo.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace balsamloft {

namespace {

/// What the process needs itself at most: control at full size, code and tables.
constexpr std::uint64_t OwnBytes = 64ULL << 20U;
/// Share of the rest that is granted. The remainder is for what is held for a moment, such as a
/// buffer while it grows, for the allocator and for what the system holds for the sockets.
constexpr double GrantedShare = 0.75;
constexpr double MinGrantedShare = 0.25; ///< of a machine that is smaller than OwnBytes allows
/// Descriptors for files; the rest of the machine's is for sockets and pipes.
constexpr std::uint32_t FileDescriptors = 200;
constexpr std::uint32_t MinConnections = 16;

/// A use's shares of the limits.
struct Shares
{
    double largeBytes;
    double bytes;
    double connections;
};

/// Each request in progress takes a connection of its caller and one to an endpoint, so callers
/// have half. Answers may use what requests can't, so that what was executed can be passed on.
constexpr std::array<Shares, ResourceUseNames.size()> SharesOfUse {{
    {.largeBytes = 0.5, .bytes = 0.625, .connections = 0.5},
    {.largeBytes = 0.75, .bytes = 0.875, .connections = 0},
    {.largeBytes = 0.25, .bytes = 0.25, .connections = 0.2},
    {.largeBytes = 0.375, .bytes = 0.375, .connections = 0.0625},
    {.largeBytes = 0.125, .bytes = 0.125, .connections = 0},
}};
constexpr double LargeShare = 0.75;
constexpr Duration RefusingTime {1'000'000};

const Shares &sharesOf(ResourceUse use)
{
    return SharesOfUse[static_cast<std::size_t>(use)];
}

std::uint64_t shareOf(std::uint64_t all, double share)
{
    return static_cast<std::uint64_t>(static_cast<double>(all) * share);
}

std::uint64_t largePart(std::uint64_t bytes)
{
    return bytes > SmallHoldBytes ? bytes : 0;
}

} // namespace

MachineSize machineSize(std::int32_t memoryMegabytes, std::int32_t descriptors)
{
    return {.memoryBytes = static_cast<std::uint64_t>(memoryMegabytes) << 20U,
            .descriptors = static_cast<std::uint32_t>(descriptors)};
}

MachineSize reportedSize(MachineSize size)
{
    struct sysinfo info
    {
    };
    if (size.memoryBytes == 0 && ::sysinfo(&info) == 0)
        size.memoryBytes = std::uint64_t(info.totalram) * info.mem_unit;
    rlimit descriptors {};
    if (size.descriptors == 0 && ::getrlimit(RLIMIT_NOFILE, &descriptors) == 0)
        size.descriptors = static_cast<std::uint32_t>(
            std::min<rlim_t>(descriptors.rlim_cur, std::numeric_limits<std::uint32_t>::max()));
    return size;
}

ResourceLimits limitsFor(const MachineSize &size)
{
    const std::uint64_t rest = size.memoryBytes - std::min(size.memoryBytes, OwnBytes);
    return {
        .bytes = std::max(shareOf(rest, GrantedShare), shareOf(size.memoryBytes, MinGrantedShare)),
        .connections = std::max(MinConnections,
                                size.descriptors - std::min(size.descriptors, FileDescriptors))};
}

ResourceAccount::ResourceAccount(const ResourceLimits &limits)
    : m_limits(limits)
{
}

ResourceAccount::Shortage ResourceAccount::shortage(ResourceUse use, std::uint64_t from,
                                                    std::uint64_t to) const
{
    const Held &held = m_held[static_cast<std::size_t>(use)];
    const auto exceeds = [&](std::uint64_t before, std::uint64_t given, std::uint64_t taken,
                             double share) {
        return before - given + taken > shareOf(m_limits.bytes, share);
    };
    if (const std::uint64_t large = largePart(to); large > 0) {
        if (exceeds(held.largeBytes, largePart(from), large, sharesOf(use).largeBytes))
            return Shortage::LargeOfUse;
        if (exceeds(m_total.largeBytes, largePart(from), large, LargeShare))
            return Shortage::Large;
    }
    if (exceeds(held.bytes, from, to, sharesOf(use).bytes))
        return Shortage::Use;
    return exceeds(m_total.bytes, from, to, 1) ? Shortage::All : Shortage::None;
}

ResourceAccount::Shortage ResourceAccount::change(ResourceUse use, std::uint64_t from,
                                                  std::uint64_t to)
{
    const std::lock_guard lock(m_mutex);
    const Shortage missing = to > from ? shortage(use, from, to) : Shortage::None;
    if (missing != Shortage::None)
        return missing;
    for (Held *held : {&m_held[static_cast<std::size_t>(use)], &m_total}) {
        held->bytes = held->bytes - from + to;
        held->largeBytes = held->largeBytes - largePart(from) + largePart(to);
    }
    return Shortage::None;
}

ResourceAccount::Shortage ResourceAccount::openConnection(ResourceUse use)
{
    const std::lock_guard lock(m_mutex);
    Held &held = m_held[static_cast<std::size_t>(use)];
    if (held.connections >= maxConnections(use))
        return Shortage::Connections;
    held.connections += 1;
    m_total.connections += 1;
    return Shortage::None;
}

void ResourceAccount::closeConnection(ResourceUse use)
{
    const std::lock_guard lock(m_mutex);
    m_held[static_cast<std::size_t>(use)].connections -= 1;
    m_total.connections -= 1;
}

void ResourceAccount::recordRefusal(Shortage shortage, Time now)
{
    const std::lock_guard lock(m_mutex);
    m_refusedAt = now;
    (shortage == Shortage::Connections ? m_counts.refusedForConnections
                                       : m_counts.refusedForMemory) += 1;
}

void ResourceAccount::recordDisplaced()
{
    const std::lock_guard lock(m_mutex);
    m_counts.displaced += 1;
}

std::uint64_t ResourceAccount::largestGrant(ResourceUse use) const
{
    return shareOf(m_limits.bytes, std::min(sharesOf(use).largeBytes, LargeShare));
}

std::uint32_t ResourceAccount::maxConnections(ResourceUse use) const
{
    return static_cast<std::uint32_t>(shareOf(m_limits.connections, sharesOf(use).connections));
}

std::uint64_t ResourceAccount::bytes(ResourceUse use) const
{
    const std::lock_guard lock(m_mutex);
    return m_held[static_cast<std::size_t>(use)].bytes;
}

std::uint64_t ResourceAccount::bytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_total.bytes;
}

std::uint32_t ResourceAccount::connections(ResourceUse use) const
{
    const std::lock_guard lock(m_mutex);
    return m_held[static_cast<std::size_t>(use)].connections;
}

bool ResourceAccount::isRefusing(Time now) const
{
    const std::lock_guard lock(m_mutex);
    return m_refusedAt != Time::min() && now - m_refusedAt < RefusingTime;
}

ResourceAccount::Counts ResourceAccount::counts() const
{
    const std::lock_guard lock(m_mutex);
    return m_counts;
}

void ResourceAccount::render(std::string &text) const
{
    const std::lock_guard lock(m_mutex);
    const auto sample = [&](std::string_view name, std::uint64_t value) {
        text.append("balsamloft_").append(name).append(" ").append(std::to_string(value)) += '\n';
    };
    for (std::size_t use = 0; use < ResourceUseNames.size(); ++use) {
        const std::string label = "{use=\"" + std::string(ResourceUseNames[use]) + "\"}";
        sample("held_bytes" + label, m_held[use].bytes);
        sample("held_connections" + label, m_held[use].connections);
    }
    sample("held_bytes_limit", m_limits.bytes);
    sample("held_connections_limit", m_limits.connections);
    sample("clients_refused_total{cause=\"memory\"}", m_counts.refusedForMemory);
    sample("clients_refused_total{cause=\"connections\"}", m_counts.refusedForConnections);
    sample("clients_displaced_total", m_counts.displaced);
}

bool ResourceGroup::displaceOne(const ResourceHold &wanting, ResourceAccount::Shortage shortage,
                                Time now)
{
    ResourceHold *slowest = nullptr;
    for (ResourceHold *each : m_holds)
        if (each->mayYieldFor(wanting, shortage, now)
            && (!slowest || each->progressAt() < slowest->progressAt()))
            slowest = each;
    if (!slowest)
        return false;
    m_account->recordDisplaced();
    slowest->release();
    slowest->m_holder.displace();
    return true;
}

ResourceHold::ResourceHold(ResourceGroupPtr group, ResourceUse use, ResourceHolder &holder,
                           Time now)
    : m_group(std::move(group))
    , m_use(use)
    , m_holder(holder)
    , m_progressAt(now)
{
    m_group->m_holds.insert(this);
}

ResourceHold::~ResourceHold()
{
    release();
    m_group->m_holds.erase(this);
}

bool ResourceHold::openConnection(Time now)
{
    ResourceAccount *account = m_group->account();
    if (!account || m_hasConnection)
        return true;
    auto shortage = account->openConnection(m_use);
    while (shortage != ResourceAccount::Shortage::None
           && m_group->displaceOne(*this, shortage, now))
        shortage = account->openConnection(m_use);
    m_hasConnection = shortage == ResourceAccount::Shortage::None;
    if (!m_hasConnection)
        account->recordRefusal(shortage, now);
    return m_hasConnection;
}

bool ResourceHold::resize(std::uint64_t bytes, Time now)
{
    ResourceAccount *account = m_group->account();
    if (m_released && bytes > 0)
        return false;
    if (!account || bytes == m_bytes) {
        m_bytes = bytes;
        return true;
    }
    auto shortage = account->change(m_use, m_bytes, bytes);
    while (shortage != ResourceAccount::Shortage::None
           && m_group->displaceOne(*this, shortage, now))
        shortage = account->change(m_use, m_bytes, bytes);
    if (shortage != ResourceAccount::Shortage::None) {
        account->recordRefusal(shortage, now);
        return false;
    }
    m_bytes = bytes;
    return true;
}

void ResourceHold::recordProgress(std::uint64_t bytes, Time now)
{
    m_movedBytes += bytes;
    if (m_movedBytes >= ProgressBytes)
        restartProgress(now);
}

void ResourceHold::restartProgress(Time now)
{
    m_movedBytes = 0;
    m_progressAt = now;
}

void ResourceHold::release()
{
    m_released = true;
    ResourceAccount *account = m_group->account();
    if (!account)
        return;
    account->change(m_use, std::exchange(m_bytes, 0), 0);
    if (std::exchange(m_hasConnection, false))
        account->closeConnection(m_use);
}

bool ResourceHold::mayYieldFor(const ResourceHold &wanting, ResourceAccount::Shortage shortage,
                               Time now) const
{
    using Shortage = ResourceAccount::Shortage;
    if (&m_holder == &wanting.m_holder || !m_displaceable || m_released
        || now - m_progressAt < StallTime)
        return false;
    const bool large = m_bytes > SmallHoldBytes;
    switch (shortage) {
    case Shortage::None:
        return false;
    case Shortage::LargeOfUse:
        return large && m_use == wanting.m_use;
    case Shortage::Large:
        return large;
    case Shortage::Use:
        return m_bytes > 0 && m_use == wanting.m_use;
    case Shortage::All:
        return m_bytes > 0;
    case Shortage::Connections:
        return m_hasConnection && m_use == wanting.m_use;
    }
    return false;
}

} // namespace balsamloft
