#include <balsamloft/requestdigest.h>

#include <catch2/catch.hpp>

using namespace balsamloft;

TEST_CASE("requests with the same content have the same digest, any other has another one")
{
    const RequestContent content {"team", "POST", "host", "/path/", "body"};
    const std::string digest = requestDigest(content);
    CHECK(digest.size() == 32);
    CHECK(requestDigest(content) == digest);
    CHECK(requestDigest({"other", "POST", "host", "/path/", "body"}) != digest);
    CHECK(requestDigest({"team", "PUT", "host", "/path/", "body"}) != digest);
    CHECK(requestDigest({"team", "POST", "other", "/path/", "body"}) != digest);
    CHECK(requestDigest({"team", "POST", "host", "/path/?x", "body"}) != digest);
    CHECK(requestDigest({"team", "POST", "host", "/path/", "other"}) != digest);
}

// Guards against a caller who makes a request that is taken for another team's.
TEST_CASE("bytes that move from one field to the next make another request")
{
    CHECK(requestDigest({"team", "POST", "host", "/path", "/body"})
          != requestDigest({"team", "POST", "host", "/path/", "body"}));
    CHECK(requestDigest({"tea", "mPOST", "host", "/path", ""})
          != requestDigest({"team", "POST", "host", "/path", ""}));
    CHECK(requestDigest({"", "4:team", "", "", ""}) != requestDigest({"4:team", "", "", "", ""}));
}
