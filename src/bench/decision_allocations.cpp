// Counts heap allocations by replacing the global operator new.

#include "decision.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::uint64_t> allocationCount {0};

} // namespace

void *operator new(std::size_t size)
{
    allocationCount.fetch_add(1, std::memory_order_relaxed);
    if (void *memory = std::malloc(size == 0 ? 1 : size)) // NOLINT
        return memory;
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory); // NOLINT
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory); // NOLINT
}

namespace balsamloft::bench {

std::uint64_t allocations()
{
    return allocationCount.load(std::memory_order_relaxed);
}

} // namespace balsamloft::bench
