#include "platform/httpworkerclient.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::platform;
using savorywick::steps::CommandOutcome;

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

TEST_CASE("Each response to a command maps to one outcome")
{
    struct Case
    {
        HttpOutcome http;
        int status;
        const char *body;
        CommandOutcome outcome;
    };
    for (const Case &it :
         {Case{HttpOutcome::ResponseReceived, 200, R"({"clockMs":5})", CommandOutcome::Done},
          Case{HttpOutcome::ResponseReceived, 409, R"({"reason":"fence"})", CommandOutcome::Fenced},
          Case{HttpOutcome::ResponseReceived, 409, R"({"reason":"old"})", CommandOutcome::StaleRun},
          Case{HttpOutcome::ResponseReceived, 409, R"({"reason":"late"})", CommandOutcome::TooLate},
          Case{HttpOutcome::ResponseReceived, 409, R"({"reason":"room"})", CommandOutcome::NoRoom},
          Case{HttpOutcome::ResponseReceived, 409, "", CommandOutcome::Rejected},
          Case{HttpOutcome::ResponseReceived, 421, "", CommandOutcome::WrongIncarnation},
          Case{HttpOutcome::ResponseReceived, 400, "", CommandOutcome::Rejected},
          Case{HttpOutcome::ResponseReceived, 503, "", CommandOutcome::Rejected},
          Case{HttpOutcome::ResponseReceived, 500, "", CommandOutcome::Unknown},
          Case{HttpOutcome::NotSent, 0, "", CommandOutcome::NotSent},
          Case{HttpOutcome::ConnectionLost, 0, "", CommandOutcome::Unknown},
          Case{HttpOutcome::TimedOut, 0, "", CommandOutcome::Unknown}}) {
        CAPTURE(it.status);
        CAPTURE(it.body);
        const steps::CommandReply reply = parseCommandReply({it.http, it.status, {}, it.body});
        CHECK((reply.outcome == it.outcome));
    }
    CHECK(parseCommandReply({HttpOutcome::ResponseReceived, 200, {}, R"({"clockMs":5})"}).clockMs
          == 5);
}
