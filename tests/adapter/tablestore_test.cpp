#include "platform/tablestore.h"

#include "platform/base64.h"
#include "platform/rows.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace savorywick::platform;

TEST_CASE("Every key of ours has one place and all rows of a shard lie in its part")
{
    struct Case
    {
        const char *key;
        RowPlace place;
    };
    for (const Case &it :
         {Case{"entry/a.1f", {"entry", "", "a.1f"}}, Case{"shard/0007", {"shard", "0007", "row"}},
          Case{"journal/0007/0000000012", {"journal", "0007", "0000000012"}}}) {
        CAPTURE(it.key);
        CHECK((placeOf(it.key) == it.place));
        CHECK(keyOf(it.place) == it.key);
    }
    // The prefix of a scan names the part that it covers.
    CHECK(placeOf("journal/0007/").part == "0007");
    CHECK(placeOf("entry/").part.empty());
}

TEST_CASE("Base64 brings back any bytes and refuses other text")
{
    CHECK(rc::check("any bytes", [](const std::string &bytes) {
        RC_ASSERT(fromBase64(toBase64(bytes)) == bytes);
    }));
    CHECK(toBase64("node-1") == "bm9kZS0x");
    CHECK_FALSE(fromBase64("a").has_value());
    CHECK_FALSE(fromBase64("a$==").has_value());
    CHECK_FALSE(fromBase64("====").has_value());
}

TEST_CASE("A page of rows is read and unreadable rows are left out")
{
    const auto page = parsePage(
        R"({"rows":[{"table":"t","part":"","key":"a","value":"bm9kZS0x","ver":4},
            {"key":"gone","ver":5,"deleted":true},{"key":"b","value":"$$","ver":6},
            {"key":7,"ver":7}],"hasMore":true,"ver":9,"nowMs":1})");
    REQUIRE(page.has_value());
    REQUIRE(page->rows.size() == 2);
    CHECK(page->rows[0].value == "node-1");
    CHECK(page->rows[0].version == 4);
    CHECK(page->rows[1].dropped);
    CHECK(page->hasMore);
    CHECK(page->storeVersion == 9);
}

TEST_CASE("A body that is no page is none")
{
    for (const char *body :
         {"", "[]", "{}", R"({"rows":[]})", R"({"rows":{},"ver":1})", R"({"rows":[],"ver":"1"})"}) {
        CAPTURE(body);
        CHECK_FALSE(parsePage(body).has_value());
    }
}

TEST_CASE("Queries are escaped")
{
    CHECK(escapeQuery("a b/c&d") == "a%20b%2Fc%26d");
}
