#include <balsamloft/promptparts.h>
#include <balsamloft/requestdigest.h>

#include <catch2/catch.hpp>

using namespace balsamloft;

TEST_CASE("all parts of a prompt but the last are shared")
{
    const auto parts = sharedPromptParts("model", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    CHECK(parts
          == std::vector<std::string> {promptPartDigest("model", "5c1e07a2"),
                                       promptPartDigest("model", "91bd3f06")});
    CHECK(sharedPromptParts("model", "5c1e07a2:800").empty());
    CHECK(sharedPromptParts("model", "").empty());
}

TEST_CASE("an id identifies the same part in either case and with spaces, for one service")
{
    CHECK(sharedPromptParts("model", "AB:1,c:2") == sharedPromptParts("model", " ab :9, d:2"));
    CHECK(sharedPromptParts("model", "ab:1,c:2") != sharedPromptParts("other", "ab:1,c:2"));
}

// Guards against callers that choose how much memory a request takes.
TEST_CASE("invalid, repeated and excess entries of a prompt's list are ignored")
{
    CHECK(sharedPromptParts("model", ",,:5, ,a:1,a:2,A,b:1")
          == std::vector<std::string> {promptPartDigest("model", "a")});
    std::string list;
    for (int i = 0; i < 5000; ++i)
        list += std::to_string(i) + std::string(50, 'f') + ":1,";
    const auto parts = sharedPromptParts("model", list + "last:1");
    CHECK(parts.size() == MaxPromptParts);
    CHECK(parts.front().size() == promptPartDigest("model", "a").size());
}

TEST_CASE("digests of parts and of contents differ")
{
    const std::string content = requestDigest({"team", "POST", "host", "/", "body"});
    CHECK_FALSE(isPromptPartDigest(content));
    CHECK(isPromptPartDigest(promptPartDigest("model", "a")));
    CHECK(content.size() == promptPartDigest("model", "a").size());
}
