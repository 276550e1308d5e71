// Entry point of a libFuzzer target. The build defines FUZZ_CASE as the name of the function to
// fuzz.

#include "fuzzcases.h"

#include <cstddef>
#include <cstdint>

// NOLINTNEXTLINE(readability-identifier-naming): name set by libFuzzer
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    balsamloft::fuzz::FUZZ_CASE({reinterpret_cast<const char *>(data), size});
    return 0;
}
