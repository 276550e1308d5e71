#include <balsamloft/requestdigest.h>

#include <catch2/catch.hpp>

using namespace balsamloft;

TEST_CASE("requests have equal digests only if their contents are equal")
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

// Guards against a caller whose request has the digest of another team's request.
TEST_CASE("moving bytes from one field to the next changes the digest")
{
    CHECK(requestDigest({"team", "POST", "host", "/path", "/body"})
          != requestDigest({"team", "POST", "host", "/path/", "body"}));
    CHECK(requestDigest({"tea", "mPOST", "host", "/path", ""})
          != requestDigest({"team", "POST", "host", "/path", ""}));
    CHECK(requestDigest({"", "4:team", "", "", ""}) != requestDigest({"4:team", "", "", "", ""}));
}
