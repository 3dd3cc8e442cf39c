#include "platform/httpworkerclient.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::platform;
using savorywick::steps::CommandOutcome;

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
