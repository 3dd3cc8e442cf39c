#include "platform/workerentry.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>

using namespace savorywick;
using namespace savorywick::platform;

namespace {

constexpr const char *workerEntry =
    R"({"service":"matching","address":"10.0.0.9:80","zone":"hobart",
    "state":"draining","born":1700000000123,"remainingMs":4000,
    "capacity":{"cpu":16000,"memMb":32768},"labels":["a","r1-3"],"sequence":4})";

} // namespace

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

// Guards against a spelling that the reader of plain entries takes differently from the general
// one, which reads the second text of each case because of its comment.
TEST_CASE("Every spelling of a worker entry says the same whichever reader takes it")
{
    const std::string usual = workerEntry;
    const auto with = [&](const std::string &from, const std::string &to) {
        std::string text = usual;
        return text.replace(text.find(from), from.size(), to);
    };
    for (const std::string &text : {
             usual,
             with("16000", "16000.0"),
             with("16000", "1.5"),
             with("16000", "\"16000\""),
             with("{\"cpu\":16000,\"memMb\":32768}", "{}"),
             with("{\"cpu\":16000,\"memMb\":32768}", "[16000,32768]"),
             with("\"labels\":[\"a\",\"r1-3\"]", "\"labels\":[]"),
             with("\"labels\":[\"a\",\"r1-3\"]", "\"labels\":[7,\"a\",\"r\\u0031\"]"),
             with("\"labels\":[\"a\",\"r1-3\"]", "\"labels\":\"a\""),
             with("\"labels\":[\"a\",\"r1-3\"]", "\"labels\":[\"a\"],\"labels\":[\"b\",\"c\"]"),
             with("1700000000123", "null"),
             with("4000", "\"4000\""),
             with("hobart", "ho\\u0062art"),
             with("draining", "ready"),
             with("draining", "gone"),
             with("\"sequence\":4", "\"sequence\":4,\"other\":{\"a\":[1]}"),
             with("\"sequence\":4", "\"sequence\":4,\"state\":\"ready\""),
             with("\"sequence\":4", "\"sequence\":4,\"capacity\":{\"cpu\":5,\"memMb\":6}"),
             with("\"sequence\":4", "\"sequence\":4,"),
             with("\"sequence\":4}", "\"sequence\":4"),
             with("\"sequence\":4", "\"sequence\":\"4"),
             with("\"sequence\":4", "\"sequence\":\"true"),
             usual + " tail",
             std::string("{}"),
             std::string("[]"),
         }) {
        CAPTURE(text);
        const auto plain = parseWorkerEntry("i-1", text);
        const auto general = parseWorkerEntry("i-1", "/**/" + text);
        CHECK((plain == general));
    }
    CHECK(parseWorkerEntry("i-1", "/**/" + usual).has_value());
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
    CHECK(entries.update(rows));
    CHECK(entries.workers().size() == 3);
    CHECK(entries.parsedCount() == 4);
    CHECK_FALSE(entries.update(rows));
    CHECK(entries.workers().size() == 3);
    CHECK(entries.parsedCount() == 4);

    std::string moved = workerEntry;
    moved.replace(moved.find("hobart"), 6, "burnie");
    rows["i-2"].value = moved;
    rows["i-4"].value = workerEntry;
    rows.erase("i-1");
    CHECK(entries.update(rows));
    const auto workers = entries.workers();
    CHECK(entries.parsedCount() == 6);
    REQUIRE(workers.size() == 3);
    CHECK(workers[0].incarnation.workerId == "i-2");
    CHECK(workers[0].availabilityZone == "burnie");
    CHECK(workers[1].availabilityZone == "hobart");
    CHECK(workers[2].incarnation.workerId == "i-4");

    rows.insert(rowOf("i-1", moved)); // Listed again with another text.
    CHECK(entries.update(rows));
    CHECK(entries.workers().front().availabilityZone == "burnie");
    CHECK(entries.parsedCount() == 7);
}

// Guards against handing on the list of a large fleet several times a second, as each worker writes
// its entry every second: the list is copied and compared for each shard.
TEST_CASE("An entry that tells only that its worker lives does not change the list")
{
    TableFeed::Rows rows;
    for (const char *id : {"i-1", "i-2"})
        rows[id] = {id, workerEntry, 1, false};
    WorkerEntries entries;
    CHECK(entries.update({})); // The first list, although it is empty.
    CHECK(entries.update(rows));
    std::string later = workerEntry;
    later.insert(later.find('{') + 1, "\"beats\":7,");
    rows["i-1"].value = later;
    CHECK_FALSE(entries.update(rows));
    CHECK(entries.parsedCount() == 3);
    rows.erase("i-2");
    CHECK(entries.update(rows));
}

// Guards against capacities that are narrowed to another number, also a negative one, and workers
// that can't be called: another writer left one odd entry among those of the workers.
TEST_CASE("A worker entry with an impossible figure or address is rejected")
{
    const auto with = [](const std::string &from, const std::string &to) {
        std::string text = workerEntry;
        return text.replace(text.find(from), from.size(), to);
    };
    const std::string deep = std::string(5'000, '[') + std::string(5'000, ']');
    for (const std::string &text : {
             with("16000", "4295031296"),
             with("16000", "3000000000"),
             with("16000", "18446744073709551616"),
             with("16000", "1e300"),
             with("16000", "-5"),
             with("16000", "0"),
             with("32768", "-1"),
             with("32768", "4294967296"),
             with("32768}", "32768,\"gpu\":-1}"),
             with("32768}", "32768,\"gpu\":4294967297}"),
             with("1700000000123", "-1"),
             with("1700000000123", "9223372036854775807"),
             with("10.0.0.9:80", "10.0.0.9:99999"),
             with("10.0.0.9:80", "10.0.0.9:-1"),
             with("10.0.0.9:80", "10.0.0.9"),
             with("10.0.0.9:80", "matching.example:80"),
             with("10.0.0.9:80", ""),
             with("\"sequence\":4", "\"sequence\":" + deep),
         }) {
        CAPTURE(text.substr(0, 300));
        CHECK_FALSE(parseWorkerEntry("i-1", text).has_value());
    }
    CHECK(parseWorkerEntry("i-1", with("4000", "-4000"))->minRemainingTime == Millis{0});
    CHECK(parseWorkerEntry("i-1", with("4000", "9223372036854775807"))->minRemainingTime
          < Millis{10'000'000'000});
}

TEST_CASE("An odd entry hides no other and one that was readable is ignored from then on")
{
    TableFeed::Rows rows;
    rows["i-1"] = {"i-1", workerEntry, 1, false};
    rows["i-2"] = {"i-2", std::string(5'000, '['), 2, false};
    rows["i-3"] = {"i-3", "", 3, false};
    WorkerEntries entries;
    CHECK(entries.update(rows));
    CHECK(entries.workers().size() == 1);
    rows["i-2"] = {"i-2", workerEntry, 4, false};
    CHECK(entries.update(rows));
    CHECK(entries.workers().size() == 2);
    rows["i-1"].value = R"({"capacity":{"cpu":1e300}})";
    CHECK(entries.update(rows));
    REQUIRE(entries.workers().size() == 1);
    CHECK(entries.workers()[0].incarnation.workerId == "i-2");
}
