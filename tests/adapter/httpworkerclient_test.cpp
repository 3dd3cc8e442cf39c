#include "platform/httpworkerclient.h"

#include "net/asynchttpserver.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>

using namespace savorywick;
using namespace savorywick::platform;
using savorywick::steps::CommandOutcome;

namespace {

// Returns the path and the body of the request that `send` makes to a worker.
std::string requestOf(const std::function<void(HttpWorkerClient &, const std::string &)> &send)
{
    EventLoop loop;
    std::string request;
    AsyncHttpServer worker(loop, {}, [&](const HttpRequest &r, const auto &respond) {
        request = r.path + " " + r.body;
        respond({.status = 200, .headers = {}, .body = "{}"});
        loop.stop();
    });
    const std::string address = worker.listen("127.0.0.1:0");
    AsyncHttpClient http(loop);
    HttpWorkerClient client(http);
    send(client, address);
    loop.run();
    return request;
}

} // namespace

// Guards against a change of the wire format: workers were built against these texts.
TEST_CASE("Each command is sent as its documented text")
{
    const steps::TaskRef task{"5c0e7a21d94b36f8", 0, 1, 17};
    const auto target = [](const std::string &address) {
        return steps::CommandTarget{{"i-1", 5}, address, 18'446'744'073'709'551'615U};
    };
    const auto ignore = [](const auto &) {};
    CHECK(requestOf([&](HttpWorkerClient &client, const std::string &address) {
              client.renew({target(address), 57, 486'000, Millis{1'000}}, ignore);
          })
          == R"(/api/hold {"fencingToken":18446744073709551615,"lastSeen":57,)"
             R"("untilMs":486000,"waitMs":1000})");
    CHECK(requestOf([&](HttpWorkerClient &client, const std::string &address) {
              client.renew({target(address), 0, {}, Millis{0}}, ignore);
          })
          == R"(/api/hold {"fencingToken":18446744073709551615,"lastSeen":0})");
    CHECK(requestOf([&](HttpWorkerClient &client, const std::string &address) {
              client.start({target(address), task, 2, "a \"b\" \n \xc3\xa9", "00ff", -5}, ignore);
          })
          == R"(/api/run-start {"checkpoint":"00ff","fencingToken":18446744073709551615,"run":2,)"
             R"("spec":"a \"b\" \n \u00e9","task":"5c0e7a21d94b36f8.0.1.17","untilMs":-5})");
    CHECK(requestOf([&](HttpWorkerClient &client, const std::string &address) {
              client.start({target(address), task, 1, "text", "", 486'000}, ignore);
          })
          == R"(/api/run-start {"fencingToken":18446744073709551615,"run":1,"spec":"text",)"
             R"("task":"5c0e7a21d94b36f8.0.1.17","untilMs":486000})");
    CHECK(requestOf([&](HttpWorkerClient &client, const std::string &address) {
              client.stop({target(address), task, 2}, ignore);
          })
          == R"(/api/run-stop {"fencingToken":18446744073709551615,"run":2,)"
             R"("task":"5c0e7a21d94b36f8.0.1.17"})");
    CHECK(requestOf([&](HttpWorkerClient &client, const std::string &address) {
              client.throttle({target(address), task, 2, 40}, ignore);
          })
          == R"(/api/pace {"fencingToken":18446744073709551615,"percent":40,"run":2,)"
             R"("task":"5c0e7a21d94b36f8.0.1.17"})");
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

TEST_CASE("A command without a response tells whether the connection was closed")
{
    for (const bool closed : {false, true}) {
        for (const HttpOutcome outcome :
             {HttpOutcome::NotSent, HttpOutcome::ConnectionLost, HttpOutcome::TimedOut}) {
            const steps::CommandReply reply = parseCommandReply({outcome, 0, {}, {}, closed});
            CHECK(reply.connectionClosed == closed);
        }
    }
}
