#include <balsamloft/storeeras.h>

#include <catch2/catch.hpp>

using namespace balsamloft;

// Guards against rows of the store's former era that arrive late and are taken for current ones.
TEST_CASE("an answer of an earlier era is void, whatever its number", "[storeeras]")
{
    StoreEras eras;
    CHECK(eras.recordAnswer({}, 3, 100) == 3U);
    const StoreVersion before = eras.newest();
    CHECK(eras.recordAnswer(before, 4, 60) == 4U);
    CHECK(eras.newest() == StoreVersion {4, 60});
    CHECK_FALSE(eras.recordAnswer(before, 3, 101));
    CHECK_FALSE(eras.recordAnswer(before, 2, 0));
    CHECK(eras.recordAnswer(before, 9, 0) == 9U);
}

// Guards against a store that names no era and whose restored rows are ignored.
TEST_CASE("without a stated era, a version below a known one begins an era", "[storeeras]")
{
    StoreEras eras;
    CHECK(eras.recordAnswer({}, 0, 100) == 0U);
    const StoreVersion before = eras.newest();
    CHECK(eras.recordAnswer(before, 0, 60) == 1U);
    // The answer to a call from before the change may come from either era.
    CHECK_FALSE(eras.recordAnswer(before, 0, 100));
    CHECK(eras.recordAnswer(eras.newest(), 0, 61) == 1U);
    CHECK(eras.recordAnswer(eras.newest(), 0, 0) == 1U);
}

// Guards against a false era when answers on two connections overtake each other.
TEST_CASE("without a stated era, answers that overtake each other begin no era", "[storeeras]")
{
    StoreEras eras;
    eras.recordAnswer({}, 0, 100);
    const StoreVersion before = eras.newest();
    CHECK(eras.recordAnswer(before, 0, 102) == 0U);
    CHECK(eras.recordAnswer(before, 0, 101) == 0U);
    CHECK(eras.newest() == StoreVersion {0, 102});
}

// Guards against an instance without the store that never learns of the new era.
TEST_CASE("an era is also learnt from other instances", "[storeeras]")
{
    StoreEras eras;
    eras.recordAnswer({}, 1, 100);
    eras.recordPeer({2, 40});
    CHECK(eras.newest() == StoreVersion {2, 40});
    eras.recordPeer({1, 500});
    CHECK(eras.newest() == StoreVersion {2, 40});
    CHECK_FALSE(eras.recordAnswer({1, 100}, 1, 101));
}
