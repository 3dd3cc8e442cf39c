#include "core/settings.h"

#include "savorywick/errors.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>
#include <functional>

using namespace savorywick;

namespace {

const std::string validSettings = R"({
    // A comment.
    "id": "entry-a", "availabilityZone": "hobart", "region": "south-tas",
    "callersListen": "127.0.0.1:0", "peersListen": "127.0.0.1:0",
    "platform": {"table": "127.0.0.1:7101", "objects": "127.0.0.1:7102",
                 "membership": "127.0.0.1:7103"},
    "limits": {"queueRequests": 100},
    "teamKeys": {"placements": "0123456789abcdef"}
})";

// Returns the valid settings with the first occurrence of `from` replaced by `to`.
std::string settingsWith(const std::string &from, const std::string &to)
{
    std::string text = validSettings;
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

// Returns the faults of `text`, after checking that settings are returned if and only if there are
// none.
ValidationErrors faultsOf(const std::string &text)
{
    ValidationErrors faults;
    const auto settings = parseSettings(text, faults);
    CHECK(settings.has_value() == faults.empty());
    return faults;
}

// An edit of the valid settings and the fault that it must cause.
struct InvalidEdit
{
    const char *from;
    const char *to;
    ValidationError expected;
};

const InvalidEdit invalidEdits[] = {
    {"\"id\"", "\"ids\"", {"id", "this is missing", "write a string of at least one character"}},
    {"\"entry-a\"", "7", {"id", "7 is no text", "write a string of at least one character"}},
    {"entry-a",
     "a/b",
     {"id", "\"a/b\" contains characters that a name may not have",
      "use only letters, digits, hyphens and periods"}},
    {"127.0.0.1:0",
     "localhost:80",
     {"callersListen", "\"localhost:80\" is not an IP address and port",
      "write it as in \"127.0.0.1:8080\"; host names are not resolved"}},
    {"127.0.0.1:0",
     "127.0.0.1:65536",
     {"callersListen", "\"127.0.0.1:65536\" is not an IP address and port",
      "write it as in \"127.0.0.1:8080\"; host names are not resolved"}},
    {"127.0.0.1:7101",
     "127.0.0.1:0",
     {"platform.table", "port 0 can't be connected to",
      "write the port that the service listens on"}},
    {"\"queueRequests\": 100",
     "\"queueRequest\": 100",
     {"limits.queueRequest", "this key is unknown",
      "write \"queueRequests\", the nearest known key, or remove it"}},
    {"100",
     "0",
     {"limits.queueRequests", "0 is out of range", "write a whole number from 1 to 1000000"}},
    {"100",
     "99999999999999999999",
     {"limits.queueRequests", "1e+20 is no whole number",
      "write a whole number from 1 to 1000000"}},
    {"100",
     "1.5",
     {"limits.queueRequests", "1.5 is no whole number", "write a whole number from 1 to 1000000"}},
    {"100",
     "\"100\"",
     {"limits.queueRequests", "\"100\" is no whole number",
      "write a whole number from 1 to 1000000"}},
    {"{\"queueRequests\": 100}",
     "[]",
     {"limits", "a list stands where an object is needed", "write an object in braces"}},
    {"0123456789abcdef",
     "short",
     {"teamKeys.placements", "this key is shorter than 16 characters",
      "write a random key of at least 16 characters"}},
    {"\"limits\"",
     "\"logLevel\": \"loud\", \"limits\"",
     {"logLevel", "\"loud\" is unknown here",
      R"(write one of "debug", "info", "warning", "error")"}},
    {"\"limits\"",
     "\"shutdownBoundMs\": 20000, \"limits\"",
     {"limits.requestDeadlineMs", "30000 exceeds shutdownBoundMs, 20000",
      "write at most 20000, or raise shutdownBoundMs"}},
    {"\"limits\"",
     "\"leases\": {\"entryRenewalMs\": 5000}, \"limits\"",
     {"leases.entryRenewalMs", "2 times 5000 exceeds leases.entryTermMs, 9000",
      "write at most 4500, or raise leases.entryTermMs"}},
    {"\"queueRequests\": 100",
     "\"bodyBytes\": 2048, \"queueBytes\": 1024",
     {"limits.queueBytes", "1024 is less than limits.bodyBytes, 2048", "write at least 2048"}},
    {"127.0.0.1:0\", \"peersListen\": \"127.0.0.1:0",
     "127.0.0.1:80\", \"peersListen\": \"127.0.0.1:80",
     {"peersListen", "\"127.0.0.1:80\" is already used by callersListen", "write another port"}},
    {"\"region\"",
     "\"id\": \"b\", \"region\"",
     {"line 3, column 52", "Duplicate key: 'id'", "keep one of the two"}},
    {"\"limits\"",
     "\"limits\" \"x\"",
     {"line 7, column 14", "Missing ':' after object member name",
      "write JSON; comments are allowed, trailing commas are not"}},
};

} // namespace

TEST_CASE("Settings may contain comments and absent members get their defaults")
{
    ValidationErrors faults;
    const auto settings = parseSettings(validSettings, faults);
    INFO(faults.format("valid.json"));
    REQUIRE(settings.has_value());
    CHECK(settings->id == "entry-a");
    CHECK(settings->callersListen == "127.0.0.1:0");
    CHECK(settings->platform.membership == "127.0.0.1:7103");
    CHECK(settings->limits.queueRequests == 100);
    CHECK(settings->limits.bodyBytes == Settings{}.limits.bodyBytes);
    CHECK(settings->polls.membership == Millis{1'000});
}

TEST_CASE("The fault of each invalid setting gives its path and what was found and the remedy")
{
    for (const InvalidEdit &it : invalidEdits) {
        const ValidationErrors faults = faultsOf(settingsWith(it.from, it.to));
        INFO("changed ", std::string(it.from), " to ", std::string(it.to), "; faults:\n",
             faults.format("bad.json"));
        REQUIRE_FALSE(faults.empty());
        const auto list = faults.errors();
        const bool reported = std::find(list.begin(), list.end(), it.expected) != list.end();
        CHECK_MESSAGE(reported, "expected: ", it.expected.path, ": ", it.expected.problem, "; ",
                      it.expected.remedy);
    }
}

TEST_CASE("Settings report all faults at once")
{
    const ValidationErrors faults =
        faultsOf(R"({"id": 1, "regoin": "x", "limits": {"bodyBytes": -1}})");
    INFO(faults.format("bad.json"));
    // An invalid id, five missing members, a limit out of range and an unknown key.
    CHECK(faults.errors().size() == 8);
}

TEST_CASE("parseSettings rejects text that is not a single JSON object")
{
    for (const char *text : {"", "[]", "7", "{} {}", "{", "{\"a\":}", "\xff\xfe", "{} x"}) {
        INFO("text: ", std::string(text));
        CHECK_FALSE(faultsOf(text).empty());
    }
    std::string deep;
    for (int i = 0; i < 5'000; ++i)
        deep += "{\"a\":";
    CHECK(faultsOf(deep).errors().front().problem == "this nests deeper than 32 levels");
}

TEST_CASE("A team's key is never shown in a fault")
{
    const std::string text = settingsWith("\"0123456789abcdef\"", "[\"hidden-secret\"]");
    CHECK(faultsOf(text).format("bad.json").find("hidden") == std::string::npos);
    CHECK(faultsOf(settingsWith("0123456789abcdef", "brief")).format("f").find("brief")
          == std::string::npos);
}

TEST_CASE("isValidTeamKey accepts only the complete key of the team")
{
    ValidationErrors faults;
    const auto settings = parseSettings(validSettings, faults);
    REQUIRE(settings.has_value());
    CHECK(isValidTeamKey(*settings, "placements", "0123456789abcdef"));
    for (const char *key :
         {"", "0", "0123456789abcdeX", "0123456789abcdef0", "0123456789abcdef0123456789abcdef"})
        CHECK_FALSE(isValidTeamKey(*settings, "placements", key));
    CHECK_FALSE(isValidTeamKey(*settings, "others", "0123456789abcdef"));
    CHECK_FALSE(isValidTeamKey(*settings, "others", ""));
}

TEST_CASE("loadSettings throws an error that lists every fault with the path of the file")
{
    const std::string path = "settings_test_bad.json";
    std::ofstream(path) << R"({"id": "a"})";
    try {
        loadSettings(path);
        FAIL("loadSettings accepted a file without availabilityZone");
    } catch (const Error &e) {
        CHECK((e.kind() == ErrorKind::InvalidInput));
        CHECK(e.problem().find(path + ": availabilityZone: this is missing") != std::string::npos);
        CHECK(e.problem().find(path + ": platform: this is missing") != std::string::npos);
    }
    std::remove(path.c_str());
    CHECK_THROWS_AS(loadSettings("no/such/file.json"), Error);
}

TEST_CASE("docs/SETTINGS.md has a line with the default and the range of every integer setting")
{
    const std::string page = readFile(std::string(SOURCE_DIR) + "/docs/SETTINGS.md");
    for (const IntegerSetting &it : integerSettings()) {
        std::string line = "| `";
        if (!it.section.empty())
            line.append(it.section).append(".");
        line.append(it.key).append("` | ");
        line += std::to_string(it.defaultValue) + " | " + std::to_string(it.min) + " | "
            + std::to_string(it.max) + " | ";
        CHECK_MESSAGE(page.find(line) != std::string::npos,
                      "docs/SETTINGS.md lacks a line that starts with: ", line);
    }
}

TEST_CASE("docs/SETTINGS.md lists no integer setting that does not exist")
{
    const std::string page = readFile(std::string(SOURCE_DIR) + "/docs/SETTINGS.md");
    const std::string numbers = page.substr(page.find("## Numbers"));
    std::size_t lines = 0;
    for (auto at = numbers.find("\n| `"); at != std::string::npos;
         at = numbers.find("\n| `", at + 1))
        ++lines;
    CHECK(lines == integerSettings().size());
}
