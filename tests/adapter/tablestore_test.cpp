#include "platform/tablestore.h"

#include "platform/base64.h"
#include "platform/rows.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace savorywick::platform;

TEST_CASE("Row keys map to locations and back and the rows of a shard share its partition")
{
    struct Case
    {
        const char *key;
        RowLocation location;
    };
    for (const Case &it :
         {Case{"entry/a.1f", {"entry", "", "a.1f"}}, Case{"shard/0007", {"shard", "0007", "row"}},
          Case{"journal/0007/0000000012", {"journal", "0007", "0000000012"}}}) {
        CAPTURE(it.key);
        CHECK((locationOf(it.key) == it.location));
        CHECK(keyOf(it.location) == it.key);
    }
    // The prefix of a scan selects the partition that it covers.
    CHECK(locationOf("journal/0007/").partition == "0007");
    CHECK(locationOf("entry/").partition.empty());
}

TEST_CASE("Base64 round-trips any bytes and rejects malformed text")
{
    CHECK(rc::check("any bytes", [](const std::string &bytes) {
        RC_ASSERT(decodeBase64(encodeBase64(bytes)) == bytes);
    }));
    CHECK(encodeBase64("node-1") == "bm9kZS0x");
    CHECK_FALSE(decodeBase64("a").has_value());
    CHECK_FALSE(decodeBase64("a$==").has_value());
    CHECK_FALSE(decodeBase64("====").has_value());
    CHECK_FALSE(decodeBase64("ab=cdefg").has_value());
    CHECK_FALSE(decodeBase64("ab\xff/").has_value());
}

TEST_CASE("Base64 has the text of the standard for each length and for all bits")
{
    struct Case
    {
        std::string bytes;
        const char *text;
    };
    // The first are the examples of RFC 4648, section 10.
    for (const Case &it :
         {Case{"", ""}, Case{"f", "Zg=="}, Case{"fo", "Zm8="}, Case{"foo", "Zm9v"},
          Case{"foob", "Zm9vYg=="}, Case{"fooba", "Zm9vYmE="}, Case{"foobar", "Zm9vYmFy"},
          Case{"\xfb\xef\xff", "++//"}, Case{std::string(3, '\0'), "AAAA"}}) {
        CAPTURE(it.text);
        CHECK(encodeBase64(it.bytes) == it.text);
        CHECK(decodeBase64(it.text) == it.bytes);
    }
}

TEST_CASE("A page of rows is parsed and malformed rows are skipped")
{
    const auto page = parsePage(
        R"({"rows":[{"table":"t","part":"","key":"a","value":"bm9kZS0x","ver":4},
            {"key":"gone","ver":5,"deleted":true},{"key":"b","value":"$$","ver":6},
            {"key":7,"ver":7}],"hasMore":true,"ver":9,"nowMs":1})");
    REQUIRE(page.has_value());
    REQUIRE(page->rows.size() == 2);
    CHECK(page->rows[0].value == "node-1");
    CHECK(page->rows[0].version == 4);
    CHECK(page->rows[1].deleted);
    CHECK(page->hasMore);
    CHECK(page->storeVersion == 9);
    CHECK(page->storeTimeMs == 1);
}

TEST_CASE("A page tells the time on the store's clock")
{
    CHECK(parsePage(R"({"rows":[],"hasMore":false,"ver":9,"nowMs":51230})")->storeTimeMs == 51'230);
    CHECK_FALSE(parsePage(R"({"rows":[],"hasMore":false,"ver":9})")->storeTimeMs);
}

// Guards against a spelling that the reader of plain pages takes differently from the general one,
// which reads the second text of each case because of its comment.
TEST_CASE("Every spelling of a page says the same whichever reader takes it")
{
    const auto describe = [](const std::optional<RowPage> &page) {
        if (!page)
            return std::string("none");
        std::string text = std::to_string(page->storeVersion) + (page->hasMore ? " more" : "");
        if (page->storeTimeMs)
            text += " at " + std::to_string(*page->storeTimeMs);
        for (const StoredRow &it : page->rows)
            text += "; " + it.key + " " + it.value + " " + std::to_string(it.version)
                + (it.deleted ? " deleted" : "");
        return text;
    };
    const std::string usual =
        R"({"rows":[{"table":"t","part":"","key":"a","value":"Zm9v","ver":4,"deleted":false},
            {"key":"b","value":"Zm9v","deleted":true,"ver":5}],"ver":9,"hasMore":true,"nowMs":1.5})";
    for (const std::string &text : {
             usual,
             std::string(R"({"rows":[],"ver":9})"),
             std::string(R"({"rows":[{}],"ver":9})"),
             std::string(R"({"rows":[{"key":"a","ver":4}],"ver":9})"),
             std::string(R"({"rows":[{"key":"a","ver":-4,"value":""}],"ver":9})"),
             std::string(R"({"rows":[{"key":"\u0041","ver":4,"value":"Zm9v"}],"ver":9})"),
             std::string(R"({"rows":[{"key":"a","ver":4.5,"value":"Zm9v"}],"ver":9})"),
             std::string(R"({"rows":[{"key":"a","ver":4,"ver":5,"value":"Zm9v"}],"ver":9})"),
             std::string(R"({"rows":[{"key":"a","ver":4,"value":"Zm9v","x":[1]}],"ver":9})"),
             std::string(R"({"rows":[{"key":"a","ver":4,"deleted":1,"value":"Zm9v"}],"ver":9})"),
             std::string(R"({"rows":[{"key":"a","ver":4,"deleted":truex}],"ver":9})"),
             std::string(R"({"rows":[{"key":"a","ver":4,"value":null}],"ver":9,"hasMore":1})"),
             std::string(R"({"rows":[{"key":"a","ver":4,"value":"Zm9v"}],"rows":[],"ver":9})"),
             std::string(R"({"rows":[],"ver":9} tail)"),
             std::string(R"({"rows":[],"ver":9)"),
         }) {
        CAPTURE(text);
        CHECK(describe(parsePage(text)) == describe(parsePage("/**/" + text)));
    }
    CHECK(describe(parsePage(usual)) == "9 more; a foo 4; b  5 deleted");
}

TEST_CASE("A malformed page is rejected")
{
    for (const char *body :
         {"", "[]", "{}", R"({"rows":[]})", R"({"rows":{},"ver":1})", R"({"rows":[],"ver":"1"})"}) {
        CAPTURE(body);
        CHECK_FALSE(parsePage(body).has_value());
    }
}

TEST_CASE("Query parameters are percent-encoded")
{
    CHECK(percentEncode("a b/c&d") == "a%20b%2Fc%26d");
}

// Guards against one odd row that keeps all changes of its page from being followed, and against a
// version that ends the feed since no other is above it.
TEST_CASE("A row that can't be read hides no other row of its page")
{
    const std::string deep = std::string(5'000, '[') + std::string(5'000, ']');
    for (const std::string &row : {
             R"({"key":"odd","value":)" + deep + R"(,"ver":5})",
             std::string(R"({"key":"odd","value":"Zm9v","ver":-1})"),
             std::string(R"({"key":"odd","value":"Zm9v","ver":99999999999999999999})"),
             std::string(R"({"key":"odd","value":"%%%","ver":5})"),
             deep,
             std::string("7"),
         }) {
        CAPTURE(row.substr(0, 60));
        const auto page =
            parsePage(R"({"rows":[{"key":"a","value":"Zm9v","ver":4},)" + row
                      + R"(,{"key":"b","value":"","ver":6}],"ver":9,"hasMore":true})");
        REQUIRE(page.has_value());
        CHECK(page->storeVersion == 9);
        CHECK(page->hasMore);
        REQUIRE(page->rows.size() == 2);
        CHECK(page->rows[0].key == "a");
        CHECK(page->rows[1].key == "b");
    }
    CHECK_FALSE(parsePage(R"({"rows":[],"ver":-1})").has_value());
    CHECK_FALSE(parsePage(R"(/**/{"rows":[],"ver":-1})").has_value());
}
