#include "platform/clusterfeed.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>

using namespace savorywick;
using namespace savorywick::platform;

namespace {

constexpr const char *configuration = R"({"version":7,"routes":[
    {"name":"r1","host":"jobs.example","pathPrefix":"/fits/","kind":"unsafe","timeoutMs":3000,
     "targetDurationMs":500,"priority":2,"service":"matching","maxAttempts":4,"slackFactor":1.5},
    {"name":"broken","host":"jobs.example"}],
    "services":[],"limits":{"maxHeaderBytes":8000,"maxBodyBytes":0,"idleTimeoutMs":9000}})";

constexpr const char *workerEntry =
    R"({"service":"matching","address":"10.0.0.9:80","zone":"hobart",
    "state":"draining","born":1700000000123,"remainingMs":4000,
    "capacity":{"cpu":16000,"memMb":32768},"labels":["a","r1-3"],"sequence":4})";

} // namespace

TEST_CASE("A configuration row is parsed into queues")
{
    const auto c = parseConfiguration(configuration);
    REQUIRE(c.has_value());
    CHECK(c->version == 7);
    REQUIRE(c->queues.size() == 1);
    const steps::Queue &queue = c->queues.front();
    CHECK(queue.pathPrefix == "/fits/");
    CHECK(queue.policy.service == "matching");
    CHECK(queue.policy.maxAttempts == 4);
    CHECK(queue.policy.slackFactor == 1.5);
    CHECK(queue.policy.targetDuration == Millis{500});
    CHECK(c->maxHeaderBytes == 8'000);
    CHECK(c->maxBodyBytes == 262'144); // A limit of 0 is ignored in favor of the default.
    CHECK(c->idleTimeout == Millis{9'000});
}

TEST_CASE("A malformed configuration row is rejected")
{
    for (const char *text :
         {"", "7", "{}", R"({"version":"7","routes":[]})", R"({"version":7,"routes":{}})"}) {
        CAPTURE(text);
        CHECK_FALSE(parseConfiguration(text).has_value());
    }
}

TEST_CASE("A worker entry is parsed into the worker's description")
{
    const auto info = parseWorkerEntry("i-1", workerEntry);
    REQUIRE(info.has_value());
    CHECK((info->incarnation == steps::WorkerIncarnation{"i-1", 1'700'000'000'123}));
    CHECK((info->capacity == steps::ResourceVector{16'000, 32'768, 0}));
    CHECK(info->rack == "r1-3");
    CHECK(info->draining);
    CHECK(info->minRemainingTime == Millis{4'000});
}

TEST_CASE("A worker entry with missing or mistyped fields is rejected")
{
    const std::string valid = workerEntry;
    const auto replaced = [&](const std::string &from, const std::string &to) {
        std::string text = valid;
        text.replace(text.find(from), from.size(), to);
        return text;
    };
    for (const std::string &text :
         {std::string("\xff\x00 no json", 10), std::string("[]"),
          replaced(R"("draining")", R"("odd")"),
          replaced(R"("service":"matching")", R"("service":7)"),
          replaced(R"("10.0.0.9:80")", "null"), replaced("16000", R"("16000")"),
          replaced(R"("capacity")", R"("room")")}) {
        CAPTURE(text);
        CHECK_FALSE(parseWorkerEntry("i-1", text).has_value());
    }
}

// Guards against parsing the entries of all workers whenever one of them says that it is alive.
TEST_CASE("Only the entries of workers that changed are parsed again")
{
    const auto rowOf = [](const std::string &key, std::string text) {
        return std::pair(key, StoredRow{key, std::move(text), 1, false});
    };
    TableFeed::Rows rows;
    for (const char *id : {"i-1", "i-2", "i-3"})
        rows.insert(rowOf(id, workerEntry));
    rows.insert(rowOf("i-4", "malformed"));
    WorkerEntries entries;
    CHECK(entries.update(rows).size() == 3);
    CHECK(entries.parsedCount() == 4);
    CHECK(entries.update(rows).size() == 3);
    CHECK(entries.parsedCount() == 4);

    std::string moved = workerEntry;
    moved.replace(moved.find("hobart"), 6, "burnie");
    rows["i-2"].value = moved;
    rows["i-4"].value = workerEntry;
    rows.erase("i-1");
    const auto workers = entries.update(rows);
    CHECK(entries.parsedCount() == 6);
    REQUIRE(workers.size() == 3);
    CHECK(workers[0].incarnation.workerId == "i-2");
    CHECK(workers[0].availabilityZone == "burnie");
    CHECK(workers[1].availabilityZone == "hobart");
    CHECK(workers[2].incarnation.workerId == "i-4");

    rows.insert(rowOf("i-1", moved)); // Listed again with another text.
    CHECK(entries.update(rows).front().availabilityZone == "burnie");
    CHECK(entries.parsedCount() == 7);
}
