// Tests of peers that do not read, and of peers that are gone.

#include "acknowledgmentlimit.h"

#include <catch2/catch.hpp>

using namespace balsamloft;

TEST_CASE("a peer that answers the probes of its closed window does not read")
{
    CHECK(isWindowClosed({.unacknowledged = false, .unsent = true, .unansweredProbes = 0}));
    CHECK(isWindowClosed({.unacknowledged = false, .unsent = true, .unansweredProbes = 1}));
}

// Guards against peers behind a partition that are never found to be gone.
TEST_CASE("a peer that acknowledges nothing is not taken for one that does not read")
{
    CHECK_FALSE(isWindowClosed({.unacknowledged = true, .unsent = true, .unansweredProbes = 0}));
    CHECK_FALSE(isWindowClosed({.unacknowledged = true, .unsent = false, .unansweredProbes = 0}));
    CHECK_FALSE(isWindowClosed({.unacknowledged = false, .unsent = true, .unansweredProbes = 3}));
}

TEST_CASE("the limit is in force while nothing waits")
{
    CHECK_FALSE(isWindowClosed({}));
}
