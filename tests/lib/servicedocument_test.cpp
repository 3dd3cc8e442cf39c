#include "savorywick/servicedocument.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>

using namespace savorywick;

namespace {

const std::string validDocument = R"({
    // Comments are allowed.
    "service": "matching", "team": "placements", "upstreamService": "matching-app",
    "latencyTargetMs": 300,
    "requests": {
        "check": {"deadlineLimitMs": 2000, "repeatable": true},
        "offer": {"deadlineLimitMs": 5000, "repeatable": false, "concurrency": 20}
    },
    "runs": {"allocation": {"demand": {"cores": 8, "memoryMb": 32768}, "expectedMs": 3600000,
                            "priority": 6, "checkpointable": true}},
    "watchers": {"roster": {}},
    "quotas": {"cores": 64}
})";

std::string withReplaced(const std::string &from, const std::string &to)
{
    std::string text = validDocument;
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

ServiceDocument parseValid(const std::string &text)
{
    const ParsedDocument p = parseServiceDocument(text);
    INFO(p.faults.format("document"));
    REQUIRE(p.document.has_value());
    return *p.document;
}

struct InvalidDocument
{
    std::string from;
    std::string to;
    ValidationError expected;
};

const std::array invalidDocuments{
    InvalidDocument{"\"team\": \"placements\",",
                    "",
                    {"team", "this is missing", "write a string of at least one character"}},
    InvalidDocument{
        "\"service\": \"matching\"",
        "\"service\": \"a/b\"",
        {"service", "\"a/b\" is not a valid name", "write at most 64 letters, digits and hyphens"}},
    InvalidDocument{"\"roster\"",
                    "\"ro ster\"",
                    {"watchers.ro ster", "\"ro ster\" is not a valid name",
                     "write at most 64 letters, digits and hyphens"}},
    InvalidDocument{
        "\"upstreamService\": \"matching-app\",",
        "",
        {"upstreamService", "this is missing", "write a string of at least one character"}},
    InvalidDocument{", \"repeatable\": true",
                    "",
                    {"requests.check.repeatable", "this is missing", "write true or false"}},
    InvalidDocument{
        "\"repeatable\": true",
        "\"repeatable\": \"yes\"",
        {"requests.check.repeatable", "\"yes\" is neither true nor false", "write true or false"}},
    InvalidDocument{"\"deadlineLimitMs\": 2000",
                    "\"deadlineMs\": 2000",
                    {"requests.check.deadlineMs", "this key is unknown",
                     "write \"deadlineLimitMs\", the nearest known key, or remove it"}},
    InvalidDocument{"2000",
                    "0",
                    {"requests.check.deadlineLimitMs", "0 is out of range",
                     "write a whole number from 1 to 600000"}},
    InvalidDocument{"2000",
                    "200",
                    {"requests.check.deadlineLimitMs", "200 is below latencyTargetMs, 300",
                     "write at least 300, or lower the target"}},
    InvalidDocument{"\"cores\": 8",
                    "\"cores\": 65",
                    {"runs.allocation.demand.cores",
                     "65 is above quotas.cores, 64, so that work of this class could never start",
                     "write at most 64, or raise the quota"}},
    InvalidDocument{"\"cores\": 8, ",
                    "",
                    {"runs.allocation.demand.cores", "this is missing",
                     "write the number of cores or accelerators that it needs"}},
    InvalidDocument{"\"demand\": {\"cores\": 8, \"memoryMb\": 32768}, ",
                    "",
                    {"runs.allocation.demand", "this is missing", "write an object in braces"}},
    InvalidDocument{
        "\"priority\": 6",
        "\"priority\": 10",
        {"runs.allocation.priority", "10 is out of range", "write a whole number from 0 to 9"}},
    InvalidDocument{"\"quotas\": {",
                    "\"quotas\": {\"openWatchers\": 0, ",
                    {"quotas.openWatchers", "0 permits no work of the classes under watchers",
                     "write at least 1, or remove watchers"}},
    InvalidDocument{"\"quotas\": {\"cores\": 64}",
                    "\"quotas\": 64",
                    {"quotas", "64 stands where an object is needed", "write an object in braces"}},
};

const DocumentChange *changeAt(const std::vector<DocumentChange> &changes, std::string_view path)
{
    const auto it = std::find_if(changes.begin(), changes.end(),
                                 [path](const DocumentChange &c) { return c.path == path; });
    return it == changes.end() ? nullptr : &*it;
}

} // namespace

TEST_CASE("parseServiceDocument reads all sections and fills in the defaults")
{
    const ServiceDocument d = parseValid(validDocument);
    CHECK(d.service == "matching");
    CHECK((d.requests.at("check").deadlineLimit == Millis{2'000}));
    CHECK_FALSE(d.requests.at("offer").repeatable);
    CHECK(d.requests.at("offer").concurrency == 20);
    CHECK((d.runs.at("allocation").demand == Resources{8, 32'768, 0}));
    CHECK(d.runs.at("allocation").checkpointable);
    CHECK((d.watchers.at("roster").demand == Resources{}));
    CHECK(d.quotas.resources.cores == 64);
    CHECK(d.quotas.weight == 1);
}

TEST_CASE(
    "parseServiceDocument reports the path and the fault and the remedy of each invalid value")
{
    for (const InvalidDocument &it : invalidDocuments) {
        const ParsedDocument p = parseServiceDocument(withReplaced(it.from, it.to));
        INFO("changed ", it.from, " to ", it.to, "; faults:\n", p.faults.format("bad.json"));
        CHECK_FALSE(p.document.has_value());
        const auto list = p.faults.errors();
        CHECK_MESSAGE(std::find(list.begin(), list.end(), it.expected) != list.end(),
                      "expected: ", it.expected.path, ": ", it.expected.problem, "; ",
                      it.expected.remedy);
    }
}

TEST_CASE("parseServiceDocument rejects a document without any class of work")
{
    const ParsedDocument p = parseServiceDocument(R"({"service": "a", "team": "b"})");
    REQUIRE(p.faults.errors().size() == 1);
    CHECK(p.faults.errors()[0].problem == "the document declares no class of work");
}

TEST_CASE("diffDocuments of equal documents is empty")
{
    const ServiceDocument d = parseValid(validDocument);
    CHECK(diffDocuments(d, d, {}).empty());
}

TEST_CASE("diffDocuments refuses to remove a class if and only if it has unfinished work")
{
    const ServiceDocument before = parseValid(validDocument);
    ServiceDocument after = before;
    after.runs.clear();
    const std::array live{LiveWork{BatchKind::Run, "allocation", 3},
                          LiveWork{BatchKind::Watcher, "allocation", 9}};
    const auto refused = diffDocuments(before, after, live);
    REQUIRE(changeAt(refused, "runs.allocation"));
    CHECK(changeAt(refused, "runs.allocation")->change
          == "is removed while 3 of it are unfinished");
    CHECK(anyRefused(refused));
    CHECK_FALSE(anyRefused(diffDocuments(before, after, {})));
    CHECK_FALSE(anyRefused(diffDocuments(before, after, {live.data() + 1, 1})));
}

TEST_CASE("diffDocuments refuses a change of the team or service name")
{
    const ServiceDocument before = parseValid(validDocument);
    CHECK(anyRefused(diffDocuments(before, parseValid(withReplaced("placements", "others")), {})));
    CHECK(anyRefused(
        diffDocuments(before, parseValid(withReplaced("\"matching\"", "\"other\"")), {})));
}

TEST_CASE("diffDocuments reports old and new values and the effect on unfinished work")
{
    const ServiceDocument before = parseValid(validDocument);
    ServiceDocument after = before;
    after.requests.at("check").repeatable = false;
    after.requests.erase("offer");
    after.runs.at("allocation").demand.cores = 16;
    after.watchers["fresh"] = {};
    after.quotas.weight = 2;
    const auto changes = diffDocuments(before, after, {});
    REQUIRE(changes.size() == 5);
    REQUIRE(changeAt(changes, "runs.allocation.demand.cores"));
    CHECK(changeAt(changes, "runs.allocation.demand.cores")->change == "8 becomes 16");
    REQUIRE(changeAt(changes, "requests.check.repeatable"));
    CHECK(changeAt(changes, "requests.check.repeatable")->change == "true becomes false");
    REQUIRE(changeAt(changes, "requests.offer"));
    CHECK(changeAt(changes, "requests.offer")->effect
          == "requests in flight are answered; later requests are refused");
    CHECK(changeAt(changes, "watchers.fresh"));
    CHECK(changeAt(changes, "quotas.weight"));
    CHECK_FALSE(anyRefused(changes));
}

TEST_CASE("removesBatchClass considers runs and watchers but not requests")
{
    ServiceDocument before;
    before.requests["quote"] = {};
    before.runs["rebuild"] = {};
    before.watchers["stock"] = {};
    ServiceDocument after = before;
    after.requests.clear();
    after.runs["new"] = {};
    CHECK_FALSE(removesBatchClass(before, after));
    CHECK(removesBatchClass(after, before));
    after.watchers.clear();
    CHECK(removesBatchClass(before, after));
}
