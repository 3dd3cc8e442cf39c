#include "platform/json.h"

#include <doctest/doctest.h>

using namespace savorywick::platform;

TEST_CASE("A text is parsed and written again without white space")
{
    const auto json = parseJson(R"( { "b" : [ 1 , "x\n" ], "a" : null } )");
    REQUIRE(json.has_value());
    CHECK(serializeJson(*json) == R"({"a":null,"b":[1,"x\n"]})");
    CHECK(serializeJson(*json) == R"({"a":null,"b":[1,"x\n"]})");
}

// Guards against a malformed text spoiling the ones after it: one reader serves all of a thread's.
TEST_CASE("A text after a malformed one is parsed by itself")
{
    const std::string tooDeep(5'000, '[');
    for (const std::string &malformed : {std::string("{\"a\":[1,2"), std::string("}"), tooDeep}) {
        CAPTURE(malformed.substr(0, 20));
        CHECK_FALSE(parseJson(malformed).has_value());
        const auto json = parseJson(R"({"clockMs":5})");
        REQUIRE(json.has_value());
        CHECK(serializeJson(*json) == R"({"clockMs":5})");
    }
}
