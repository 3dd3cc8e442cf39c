#include "platform/jsonsplitter.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace savorywick::platform;

namespace {

// Returns the rest and the elements in one text, for comparisons.
std::string describe(const std::string &text)
{
    const auto split = splitArrayMember(text, "rows");
    if (!split)
        return "none";
    std::string all = split->rest;
    for (const std::string_view it : split->elements)
        all.append(" | ").append(it);
    return all;
}

} // namespace

TEST_CASE("A list is taken out of an object whatever its elements are")
{
    struct Case
    {
        std::string text;
        std::string expected;
    };
    for (const Case &it : std::vector<Case>{
             {R"({"rows":[1,[[2]]],"ver":3})", R"({"rows":[],"ver":3} | 1 | [[2]])"},
             {R"({"ver":3,"rows":[]})", R"({"ver":3,"rows":[]})"},
             {R"({"rows" : [ ] })", R"({"rows" : [] })"},
             {R"({"rows":["]\"},{",2]})", R"({"rows":[]} | "]\"},{" | 2)"},
             {R"({"rows":[{"rows":[1,2]},{}]})", R"({"rows":[]} | {"rows":[1,2]} | {})"},
             {R"({"a":"rows","b":[9],"rows":[1]})", R"({"a":"rows","b":[9],"rows":[]} | 1)"},
             {R"({"rows":{"rows":[1]}})", "none"},
             {R"({"rows":7,"b":[1]})", "none"},
             {R"(["rows",[1]])", "none"},
             {R"({"rows":[1,2)", "none"},
             {R"({"rows":["1)", "none"},
             {R"({"rows":["\)", "none"},
             {"", "none"},
             {"]]]}}", "none"},
         }) {
        CAPTURE(it.text);
        CHECK(describe(it.text) == it.expected);
    }
}

TEST_CASE("Nesting of any depth is taken apart")
{
    constexpr std::size_t depth = 1'000'000;
    const std::string deep = std::string(depth, '[') + std::string(depth, ']');
    const std::string text = R"({"rows":[1,)" + deep + R"(,2]})";
    const auto split = splitArrayMember(text, "rows");
    REQUIRE(split.has_value());
    REQUIRE(split->elements.size() == 3);
    CHECK(split->elements[1].size() == deep.size());
    CHECK(split->rest == R"({"rows":[]})");
}
