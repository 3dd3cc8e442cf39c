#include "platform/workerreport.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace savorywick;
using namespace savorywick::platform;

namespace {

// Returns a text of what a report says, for comparisons.
std::string describe(const std::optional<steps::WorkerReport> &report)
{
    if (!report)
        return "none";
    std::string text =
        std::to_string(report->clockMs) + " " + std::to_string(report->startedWallMs);
    for (const steps::RunningReport &it : report->running)
        text += "; " + steps::toString(it.task) + " " + std::to_string(it.run) + " " + it.checkpoint
            + " " + std::to_string(it.progressPercent) + " "
            + (it.measurement ? std::to_string(*it.measurement) : "-");
    for (const steps::RunEndReport &it : report->ended)
        text += "; " + std::to_string(it.endNumber) + " " + steps::toString(it.task) + " "
            + std::to_string(it.run) + " " + std::to_string(static_cast<int>(it.outcome)) + " "
            + it.checkpoint;
    return text;
}

} // namespace

TEST_CASE("Task names are parsed and malformed names are rejected")
{
    const auto task = parseTaskRef("5c0e7a21d94b36f8.2.1.17");
    REQUIRE(task.has_value());
    CHECK((*task == steps::TaskRef{"5c0e7a21d94b36f8", 2, 1, 17}));
    CHECK(steps::toString(*task) == "5c0e7a21d94b36f8.2.1.17");
    for (const char *name : {"", "a", "a.1.2", "a.1.2.3.4", "a.1.x.3", ".1.2.3", "a.1.-2.3"}) {
        CAPTURE(name);
        CHECK_FALSE(parseTaskRef(name).has_value());
    }
}

TEST_CASE("A worker report is parsed and malformed rows are skipped")
{
    // The columns of "active": task, run, latest checkpoint, percent of the work done and,
    // optionally, a measured figure.
    // The columns of "finished": number of the report, task, run, how the run ended, checkpoint.
    const auto report = parseWorkerReport(
        R"({"clockMs":482113,"born":1700000000001,
            "active":[["a.0.1.17",2,"00ff",41,30],["a.0.1.18",1,"",0],["odd",1,"",0],[1]],
            "finished":[[58,"a.0.1.9",1,"done",""],[59,"a.0.1.10",3,"broken","c"],
                        [60,"a.0.1.11",1,"unheard",""]]})");
    REQUIRE(report.has_value());
    CHECK(report->clockMs == 482'113);
    CHECK(report->startedWallMs == 1'700'000'000'001);
    REQUIRE(report->running.size() == 2);
    CHECK(report->running[0].checkpoint == "00ff");
    CHECK(report->running[0].progressPercent == 41);
    CHECK(report->running[0].measurement == 30);
    CHECK_FALSE(report->running[1].measurement.has_value());
    REQUIRE(report->ended.size() == 2);
    CHECK(report->ended[0].endNumber == 58);
    CHECK((report->ended[1].outcome == steps::RunOutcome::GangBroken));
}

TEST_CASE("A report without its lists is rejected")
{
    for (const char *body : {"", "{}", R"({"clockMs":1})", R"({"clockMs":1,"active":[]})",
                             R"({"clockMs":"1","active":[],"finished":[]})"}) {
        CAPTURE(body);
        CHECK_FALSE(parseWorkerReport(body).has_value());
    }
}

// Guards against a spelling that the reader of plain reports takes differently from the general
// one, which reads the second text of each case because of its comment.
TEST_CASE("Every spelling of a report says the same whichever reader takes it")
{
    for (const std::string text : {
             R"({"clockMs":5,"active":[],"finished":[]})",
             R"({"clockMs":-5,"born":9,"active":[["a.0.1.2",1,"",41.9,0.83]],"finished":[]})",
             R"( { "finished" : [ [1,"a.0.1.2",1,"lapsed","c"] , [2,"a.0.1.3",7,"alone",""] ] ,
                   "active" : [ [ "a.0.1.2" , 1 , "" , 7 ] ] , "clockMs" : 5 } )",
             R"({"clockMs":5,"active":[["a.0.1.2",1,"\u0041\"",1e1,-3.5]],"finished":[]})",
             R"({"clockMs":5,"active":[["a.0.1.2",1,"",2147483647,-2147483648]],"finished":[]})",
             R"({"clockMs":5,"active":[["a.0.1.2",1,"",true]],"finished":[]})",
             R"({"clockMs":5,"active":[["a.0.1.2",1.5,"",1]],"finished":[]})",
             R"({"clockMs":5,"active":[["a.0.1.2",3000000000,"",1]],"finished":[]})",
             R"({"clockMs":5,"active":[["a.0.1.2",1,"",1,null]],"finished":[]})",
             R"({"clockMs":5,"active":[["a.0.1.2",1,"",1,2,3]],"finished":[]})",
             R"({"clockMs":5,"active":[["a.0.1.2",1,"",1],["b"],7],"finished":[[1],"x"]})",
             R"({"clockMs":5,"clockMs":6,"active":[],"finished":[]})",
             R"({"clockMs":5,"active":[["a.0.1.2",1,"",1]],"active":[],"finished":[]})",
             R"({"clockMs":5,"born":"x","active":[],"finished":[],"other":{"a":[1]}})",
             R"({"clockMs":99999999999999999999,"active":[],"finished":[]})",
             R"({"clockMs":5.0,"active":[],"finished":[]})",
             R"({"clockMs":5,"active":[],"finished":[]} tail)",
             R"({"clockMs":5,"active":[,],"finished":[]})",
             R"({"clockMs":5,"active":[["a.0.1.2",1,"",nan]],"finished":[]})",
             R"({"clockMs":5,"active":[["a.0.1.2",1,"",1]"finished":[]})",
             R"({"clockMs":5,"active":[],"finished":[[1,"a.0.1.2",1,"unheard",""]]})",
             R"({"clockMs":5,"active":{},"finished":[]})",
             "{",
             "[]",
         }) {
        CAPTURE(text);
        CHECK(describe(parseWorkerReport(text)) == describe(parseWorkerReport("/**/" + text)));
    }
    const std::string fractions =
        R"({"clockMs":5,"born":9,"active":[["a.0.1.2",1,"",41.9,0.83]],"finished":[]})";
    CHECK(describe(parseWorkerReport(fractions)) == "5 9; a.0.1.2 1  41 0");
    CHECK(describe(parseWorkerReport("/**/" + fractions)) == "5 9; a.0.1.2 1  41 0");
}

TEST_CASE("A response says its clock and the reason of a refusal")
{
    struct Case
    {
        const char *text;
        std::optional<std::int64_t> clockMs;
        const char *reason;
    };
    for (const Case &it : {
             Case{R"({"clockMs":482113})", 482'113, ""},
             Case{R"( { "clockMs" : 5 } )", 5, ""},
             Case{R"({"clockMs":5,"reason":"fence"})", 5, "fence"},
             Case{R"({"reason":"room"})", {}, "room"},
             Case{R"({"clockMs":5.5})", {}, ""},
             Case{R"({"clockMs":"5"})", {}, ""},
             Case{R"({"clockMs":5)", {}, ""},
             Case{"", {}, ""},
         }) {
        CAPTURE(it.text);
        const WorkerResponseBody body = parseWorkerResponseBody(it.text);
        CHECK((body.clockMs == it.clockMs));
        CHECK(body.reason == it.reason);
    }
}

// Guards against tasks that run again since a report was taken for complete that lists the first
// 500 of the worker's ends, or has a row that can't be read and may be of any run.
TEST_CASE("A report that may leave runs out is marked as partial")
{
    struct Case
    {
        std::string what;
        int ends = 0;
        std::string oddRow;
        bool partial = false;
    };
    for (const Case &it : std::vector<Case>{
             {"no ends", 0, "", false},
             {"one end less than a page", 499, "", false},
             {"a page of ends", 500, "", true},
             {"a page of ends with one that can't be read", 499, R"([500,"a.0.1.9",1,"odd",""])",
              true},
             {"an end that can't be read", 2, R"([3,"a.0.1.9",1,"odd",""])", true},
             {"an end that the general reader takes", 2, R"([3,"a\u002e0.1.9",1,"done",""])",
              false},
         }) {
        CAPTURE(it.what);
        std::string rows;
        for (int i = 1; i <= it.ends; ++i) {
            rows += i > 1 ? ",[" : "[";
            rows += std::to_string(i);
            rows += R"(,"a.0.0.)";
            rows += std::to_string(i);
            rows += R"(",1,"done",""])";
        }
        if (!rows.empty() && !it.oddRow.empty())
            rows += ",";
        rows += it.oddRow;
        const auto report =
            parseWorkerReport(R"({"clockMs":1,"active":[],"finished":[)" + rows + "]}");
        REQUIRE(report.has_value());
        CHECK(report->isPartial == it.partial);
    }
    const auto report =
        parseWorkerReport(R"({"clockMs":1,"active":[["odd",1,"",0]],"finished":[]})");
    REQUIRE(report.has_value());
    CHECK(report->isPartial);
}

// Guards against figures that are cast to integers that can't hold them.
TEST_CASE("Impossible figures of a report are bounded or the report is rejected")
{
    struct Case
    {
        std::string percent;
        std::string measurement;
        int expectedPercent = 0;
        int expectedMeasurement = 0;
    };
    for (const Case &it : std::vector<Case>{
             {"41.9", "30", 41, 30},
             {"1e300", "1e300", 100, 1'000'000'000},
             {"-1e300", "-7", 0, 0},
             {"4294967338", "9223372036854775807", 100, 1'000'000'000},
             {"250", "0.5", 100, 0},
         }) {
        CAPTURE(it.percent);
        const std::string body = R"({"clockMs":1,"active":[["a.0.1.17",2,"",)" + it.percent + ","
            + it.measurement + R"(]],"finished":[]})";
        for (const std::string &text : {body, "/**/" + body}) {
            const auto report = parseWorkerReport(text);
            REQUIRE(report.has_value());
            REQUIRE(report->running.size() == 1);
            CHECK(report->running[0].progressPercent == it.expectedPercent);
            CHECK(report->running[0].measurement == it.expectedMeasurement);
        }
    }
    for (const std::string times :
         {R"("clockMs":9223372036854775807)", R"("clockMs":-9223372036854775808)",
          R"("clockMs":1,"born":-1)", R"("clockMs":1,"born":9223372036854775807)"}) {
        CAPTURE(times);
        const std::string body = "{" + times + R"(,"active":[],"finished":[]})";
        CHECK_FALSE(parseWorkerReport(body).has_value());
        CHECK_FALSE(parseWorkerReport("/**/" + body).has_value());
    }
}
