#include "harness.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

constexpr int callers = 8;
constexpr int callsEach = 25;

struct Tally
{
    std::atomic<int> own = 0; // Answered with the whole of their own answer.
    std::atomic<int> typed = 0; // Told with a typed reason that no answer came.
    std::atomic<int> wrong = 0; // Anything else.
};

void callAgainAndAgain(Cluster &cluster, int caller, Tally &tally)
{
    for (int i = 0; i < callsEach; ++i) {
        const std::string body = "caller " + std::to_string(caller) + " call " + std::to_string(i);
        const HttpResult a = cluster.request(i % 2, "quote", body);
        const Json::Value answer = parseJson(a.body);
        if (a.status == 200 && answer["echo"] == body)
            ++tally.own;
        else if (a.status >= 500 && !answer["type"].asString().empty())
            ++tally.typed;
        else
            ++tally.wrong;
    }
}

} // namespace

TEST_CASE("Every caller gets the whole of its own answer or a typed error whatever upstreams send")
{
    ClusterShape shape;
    shape.entries = 2;
    Cluster cluster(shape);
    for (const char *fault :
         {R"({"crossAnswers":true})", R"({"wrongId":true})", R"({"shortBody":true})"}) {
        CAPTURE(fault);
        cluster.fault(cluster.upstream(0), fault);
        Tally tally;
        std::vector<std::thread> threads;
        threads.reserve(callers);
        for (int i = 0; i < callers; ++i)
            threads.emplace_back([&, i] { callAgainAndAgain(cluster, i, tally); });
        for (std::thread &it : threads)
            it.join();
        CHECK_MESSAGE(tally.wrong == 0, tally.wrong.load(), " of ", callers * callsEach,
                      " answers were another caller's or cut short; check the echo of the id");
        CHECK(tally.own > 0);
        cluster.fault(cluster.upstream(0),
                      R"({"crossAnswers":false,"wrongId":false,"shortBody":false})");
    }
}
