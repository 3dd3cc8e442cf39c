#include "core/settings.h"
#include "operator/advice.h"
#include "operator/report.h"

#include "savorywick/admission.h"
#include "savorywick/errors.h"
#include "savorywick/fairqueue.h"

#include <doctest/doctest.h>

using namespace savorywick;

namespace {

Report busyNight()
{
    Report r;
    r.entry = "entry-hobart-1";
    r.madeAtMs = 1'780'000'000'000;
    r.uptimeMs = 33'120'000;
    r.shardsHeld = 3;
    r.counters = {{"refused", "queue-full", 30},
                  {"refused", "draining", 0},
                  {"retried", "timed-out", 4},
                  {"runs", "finished", 812}};
    r.latencies = {{"matching", 48'210, 12, 300, 20, 340, 900}};
    r.waiting = {{"run", "matching", "allocation", "no-room", 41, 10'920'000, "run-7"}};
    r.evictions = {{"run-3", "matching", "worker-9", "interference", "running", 3'600'000}};
    r.hosts = {{"worker-4", "worker", "quarantined", 7'200'000}};
    r.edits = {{"rosters", 4, 65'000, {"entry-launceston-1", "entry-launceston-2"}}};
    r.invalidDocuments = {"parts"};
    return r;
}

void checkHas(const std::string &page, std::string_view text)
{
    CHECK_MESSAGE(page.find(text) != std::string::npos, "the page lacks: ", std::string(text),
                  "\nthe page:\n", page);
}

} // namespace

TEST_CASE("The page names each thing of the night with its reason and what to do")
{
    const std::string page = reportPage(busyNight());
    for (const char *text : {
             "Report of entry-hobart-1, made 2026-05-28 20:26:40 UTC",
             "Up for 9 h 12 min, holds 3 shards",
             "30  queue-full\n      more requests waited than the team's part of the queue holds; "
             "to do: add instances",
             "matching: 12 late of 48210 answers; half within 20 ms, 99 % within 340 ms (target "
             "300 ms)",
             "* matching misses its target: 99 % within 340 ms instead of 300 ms.",
             "41 runs allocation of matching: no-room, the oldest for 3 h 2 min (run-7)",
             "run-3 of matching from worker-9 1 h 0 min ago: interference; now running",
             "worker worker-4: quarantined for 2 h 0 min",
             "* rosters revision 4 has been pending for 1 min 5 s on entry-launceston-1, "
             "entry-launceston-2.",
             "* The newest document of parts is invalid; the one before is in force.",
             "runs finished: 812",
         })
        checkHas(page, text);
    CHECK(page.find("draining") == std::string::npos);
}

TEST_CASE("A quiet night is told as such")
{
    Report r;
    r.entry = "e";
    r.counters = {{"refused", "queue-full", 0}};
    r.latencies = {{"matching", 10, 0, 300, 20, 100, 110}};
    checkHas(reportPage(r), "ALL IS WELL\n");
    CHECK(reportPage(r).find("TO LOOK AT") == std::string::npos);
}

TEST_CASE("Each state of the platform and the entry is told first")
{
    Report r;
    r.storeUp = false;
    r.membershipUp = false;
    r.mustReread = true;
    const std::string page = reportPage(r);
    checkHas(page, "* The table service does not answer");
    checkHas(page, "* The membership list does not answer");
    checkHas(page, "* This entry was frozen");
}

TEST_CASE("An edit that has only just been made is listed but is no finding")
{
    Report r;
    r.edits = {{"rosters", 4, 2'000, {"e2"}}};
    const std::string page = reportPage(r);
    checkHas(page, "rosters revision 4 has been pending for 2 s on e2");
    checkHas(page, "ALL IS WELL");
}

TEST_CASE("A report survives its way as JSON")
{
    const Report r = busyNight();
    const Report read = parseReport(toJson(r));
    CHECK(toJson(read) == toJson(r));
    CHECK(reportPage(read) == reportPage(r));
}

TEST_CASE("parseReport refuses what is no report")
{
    for (const char *text : {"", "[]", "{}", "{\"entry\": \"e\", \"uptimeMs\": \"x\"}"}) {
        INFO("text: ", std::string(text));
        CHECK_THROWS_AS(parseReport(text), Error);
    }
}

TEST_CASE("Every reason that the library gives has advice")
{
    for (const RefusalReason it : refusalReasons)
        CHECK_MESSAGE(adviceFor(toString(it)).meaning != "no explanation is at hand",
                      std::string(toString(it)));
    for (const WaitReason it : {WaitReason::NextInTurn, WaitReason::NoRoom,
                                WaitReason::NotOnAnyHost, WaitReason::TeamQuota})
        CHECK_MESSAGE(adviceFor(toString(it)).meaning != "no explanation is at hand",
                      std::string(toString(it)));
    CHECK(adviceFor("new-reason").meaning == "no explanation is at hand");
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
