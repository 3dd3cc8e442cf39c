#include "core/settings.h"
#include "operator/advice.h"
#include "operator/report.h"

#include "savorywick/admission.h"
#include "savorywick/errors.h"
#include "savorywick/fairqueue.h"
#include "savorywick/retrybudget.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace savorywick;

namespace {

ReportEntry healthyEntry(const std::string &name)
{
    ReportEntry e;
    e.entry = name;
    e.availabilityZone = "hobart";
    e.region = "south-tas";
    e.uptimeMs = 33'120'000;
    e.counters = {{"refused", "queue-full", 0}};
    e.latencies = {{"urgent matching", 10, 20, 100, 110, 120}};
    e.documents = {{"matching", 3, 300}};
    return e;
}

Report degradedReport()
{
    ReportEntry a = healthyEntry("a");
    a.counters = {{"refused", "queue-full", 30},
                  {"refused", "draining", 0},
                  {"retried", "timed-out", 4},
                  {"late", "matching", 5},
                  {"answers", "2xx", 812}};
    a.latencies = {{"urgent matching", 48'210, 20, 340, 900, 950}};
    a.documents = {{"matching", 3, 300}, {"rosters", 4, 0}};
    a.invalidDocuments = {"parts"};
    ReportShard shard;
    shard.jobs = {{"waiting", 41}, {"finished", 8}};
    shard.counters = {{"evictions", 2}, {"givenUp", 1}, {"quarantines", 1}};
    shard.claims.unknown = 1;
    shard.oldest = {"run-7", 10'920'000, "no-room"};
    a.shards = {shard, shard};
    a.evictions = {{"run-3", "matching", "worker-9", "interference", "placed", 3'600'000}};
    a.suspects = {{"worker-4", "worker", "quarantined", 7'200'000}};
    ReportEntry b = healthyEntry("b");
    b.counters = {{"refused", "queue-full", 12}};
    b.documents = {{"matching", 3, 300}, {"rosters", 3, 0}};
    b.ready = false;
    ReportEntry c;
    c.entry = "c";
    c.unreachable = true;
    return {{a, b, c}};
}

void checkContains(const std::string &page, std::string_view text)
{
    CHECK_MESSAGE(page.find(text) != std::string::npos, "the page lacks: ", std::string(text),
                  "\nthe page:\n", page);
}

} // namespace

TEST_CASE("The page lists each problem with its reason and the recommended action")
{
    const std::string page = formatReport(degradedReport());
    for (const char *text : {
             "Report of 3 entries, each since it started",
             "a in hobart, south-tas: ready, up for 9 h 12 min, holds 2 shards",
             "* b takes no callers now.",
             "* c is listed but does not answer.",
             "* 42 requests were refused",
             "42  queue-full\n      more requests waited than the team's part of the queue holds;",
             "4  timed-out",
             "matching: 48220 answers; slowest at a: half within 20 ms, 99 % within 340 ms ",
             "(target 300 ms), 99.9 % within 900 ms",
             "matching: 5 requests ended after the deadline",
             "* matching misses its target at a: 99 % within 340 ms instead of 300 ms.",
             "* 2 requests that may run once only ended unknown",
             "82  waiting",
             "longest wait for no-room: run-7, for 3 h 2 min (one of 2 shards)",
             "* 2 runs were given up",
             "4  evictions",
             "run-3 of matching from worker-9 1 h 0 min ago: interference; now placed",
             "worker worker-4: quarantined for 2 h 0 min",
             "* worker worker-4 is quarantined.",
             "rosters revision 4 is pending on b, c",
             "* The newest document of parts is invalid",
             "answers 2xx: 812",
         })
        checkContains(page, text);
    CHECK(page.find("draining") == std::string::npos);
}

TEST_CASE("A report without problems has no findings")
{
    const std::string page = formatReport({{healthyEntry("a"), healthyEntry("b")}});
    checkContains(page, "ALL IS WELL\n");
    CHECK(page.find("TO LOOK AT") == std::string::npos);
}

TEST_CASE("An entry that does not reach the store is among the findings")
{
    ReportEntry e = healthyEntry("a");
    e.storeUp = false;
    const std::string page = formatReport({{e}});
    checkContains(page, "* An entry does not reach the table service");
    checkContains(page, "holds 0 shards, does not reach the table service");
}

TEST_CASE("A long list of pending edits is truncated")
{
    ReportEntry ahead = healthyEntry("a");
    ReportEntry behind = healthyEntry("b");
    for (int i = 0; i < 1'000; ++i)
        ahead.documents.push_back({"service-" + std::to_string(i), 1, 0});
    const std::string page = formatReport({{ahead, behind}});
    checkContains(page, "* 1000 edits are pending");
    checkContains(page, "and 980 more; see --json");
    CHECK(std::count(page.begin(), page.end(), '\n') < 80);
}

TEST_CASE("A report is unchanged after a round trip through JSON")
{
    const Report r = degradedReport();
    const Report read = parseReport(toJson(r));
    CHECK(toJson(read) == toJson(r));
    CHECK(formatReport(read) == formatReport(r));
}

TEST_CASE("parseReport throws if the text is not a report")
{
    for (const char *text : {"", "[]", "{}", R"({"entries":[{"uptimeMs":"x"}]})"}) {
        INFO("text: ", std::string(text));
        CHECK_THROWS_AS(parseReport(text), Error);
    }
}

TEST_CASE("Every refusal and wait and retry reason of the library has advice")
{
    for (const RefusalReason it : refusalReasons)
        CHECK_MESSAGE(adviceFor(toString(it)).meaning != "no explanation is available",
                      std::string(toString(it)));
    for (const WaitReason it : {WaitReason::NextInTurn, WaitReason::NoRoom,
                                WaitReason::NotOnAnyHost, WaitReason::TeamQuota})
        CHECK_MESSAGE(adviceFor(toString(it)).meaning != "no explanation is available",
                      std::string(toString(it)));
    for (const RetryReason it : retryReasons)
        CHECK_MESSAGE(adviceFor(toString(it)).meaning != "no explanation is available",
                      std::string(toString(it)));
    for (const RetryDenial it : retryDenials)
        CHECK_MESSAGE(adviceFor(toString(it)).meaning != "no explanation is available",
                      std::string(toString(it)));
    CHECK(adviceFor("new-reason").meaning == "no explanation is available");
}

TEST_CASE("docs/OPERATIONS.md explains every reason in the words of the report")
{
    const std::string page = readFile(std::string(SOURCE_DIR) + "/docs/OPERATIONS.md");
    for (const Advice &it : allAdvice()) {
        const std::string line = "| `" + std::string(it.reason) + "` | " + std::string(it.meaning)
            + " | " + std::string(it.action) + " |";
        CHECK_MESSAGE(page.find(line) != std::string::npos, "docs/OPERATIONS.md lacks: ", line);
    }
}
