#include <balsamloft/admission/returnschedule.h>

#include <algorithm>
#include <cmath>

namespace balsamloft {

namespace {

Duration uniform(Duration from, Duration to, std::mt19937_64 &random)
{
    std::uniform_int_distribution<Duration::rep> distribution(from.count(),
                                                              std::max(from, to).count());
    return Duration(distribution(random));
}

} // namespace

ReturnSchedule::ReturnSchedule(ReturnScheduleSettings settings)
    : m_settings(settings)
{
    m_settings.slot = std::max(m_settings.slot, Duration(1'000));
    m_settings.maxDelay = std::max(m_settings.maxDelay, Duration::zero());
}

std::int64_t ReturnSchedule::slotAt(Time time) const
{
    return time.time_since_epoch() / m_settings.slot;
}

Time ReturnSchedule::beginOf(std::int64_t slot) const
{
    return Time(slot * m_settings.slot);
}

void ReturnSchedule::advance(Time now)
{
    const std::int64_t current = slotAt(now);
    const auto passed = std::clamp<std::int64_t>(current - m_first, 0, std::ssize(m_slots));
    m_slots.erase(m_slots.begin(), m_slots.begin() + passed);
    m_first = current;
    m_slots.resize(static_cast<std::size_t>(slotAt(now + m_settings.maxDelay) - current) + 1);
}

std::optional<std::int64_t> ReturnSchedule::freeSlot(double work, double rate, Time from,
                                                     Time to) const
{
    const double limit = rate * std::chrono::duration<double>(m_settings.slot).count();
    for (std::int64_t slot = slotAt(from); slot <= slotAt(to); ++slot) {
        const Duration usable = std::min(to, beginOf(slot + 1)) - std::max(from, beginOf(slot));
        const double usableLimit = limit * static_cast<double>(usable.count())
                                   / static_cast<double>(m_settings.slot.count());
        // Work beyond the limit of one slot is also charged to the next ones. If it needed an empty
        // slot, small requests would keep it out of slots that are mostly free.
        const double booked = load(slot).booked;
        if (work > limit ? booked < usableLimit : booked + work <= usableLimit)
            return slot;
    }
    return std::nullopt;
}

void ReturnSchedule::book(std::int64_t slot, double work, double limit)
{
    load(slot).returning += work;
    if (work <= limit) {
        load(slot).booked += work;
        return;
    }
    double rest = work;
    for (auto each = slot; rest > 0 && each < m_first + std::ssize(m_slots); ++each) {
        const double part = std::clamp(limit - load(each).booked, 0.0, rest);
        load(each).booked += part;
        rest -= part;
    }
}

Duration ReturnSchedule::schedule(double work, double rate, Duration earliest, Duration latest,
                                  Time now, std::mt19937_64 &random)
{
    advance(now);
    work = std::isfinite(work) ? std::max(work, 0.0) : 0;
    latest = std::clamp(latest, Duration::zero(), m_settings.maxDelay);
    earliest = std::max(earliest, m_settings.minDelay);
    if (earliest >= latest) {
        // No time meets both bounds. Returns are spread over the later half of the time that the
        // caller waits.
        earliest = latest / 2;
    }

    const bool known = std::isfinite(rate) && rate > 0;
    const auto slot = known ? freeSlot(work, rate, now + earliest, now + latest) : std::nullopt;
    Duration delay;
    if (slot) {
        const Duration from = std::max(earliest, beginOf(*slot) - now);
        const Duration to = std::min(latest, beginOf(*slot + 1) - now - Duration(1));
        delay = uniform(from, to, random);
    } else {
        // If all slots are full, the first ones are left to callers that fit later.
        delay = uniform(known ? (earliest + latest) / 2 : earliest, latest, random);
    }
    const double seconds = std::chrono::duration<double>(m_settings.slot).count();
    book(slotAt(now + delay), work, known ? rate * seconds : work);
    return delay;
}

double ReturnSchedule::pending(Time now) const
{
    double sum = 0;
    const std::int64_t end = m_first + std::ssize(m_slots);
    for (std::int64_t slot = std::max(slotAt(now), m_first); slot < end; ++slot)
        sum += load(slot).returning;
    return sum;
}

} // namespace balsamloft
