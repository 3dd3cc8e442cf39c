#include "savorywick/steps/unansweredstarts.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace savorywick;
using namespace savorywick::steps;

namespace {

constexpr Millis maxExecutionDelay{15'000};
constexpr Instant sentAt{100'000};
constexpr Instant waitsUntil{102'500};
const TaskRef taskA{"a", 0, 0, 0};
const TaskRef taskB{"b", 0, 0, 0};

UnansweredStarts startsOf(const std::vector<TaskRef> &tasks)
{
    UnansweredStarts starts(maxExecutionDelay);
    for (const TaskRef &it : tasks)
        starts.noteUnanswered(it, "w0", sentAt, waitsUntil);
    return starts;
}

// What becomes of the task after its start got no answer, and when it may run anywhere.
struct Course
{
    std::string what;
    void (*events)(UnansweredStarts &);
    Instant releasedAt;
};

const std::vector<Course> courses = {
    {"it waits", [](UnansweredStarts &) {}, waitsUntil},
    {"it has another run there", [](UnansweredStarts &it) { it.notePlaced(taskA); },
     sentAt + maxExecutionDelay},
    {"the order for the other run was not sent",
     [](UnansweredStarts &it) {
         it.notePlaced(taskA);
         it.noteWithdrawn(taskA);
     },
     waitsUntil},
    {"the other run is lost",
     [](UnansweredStarts &it) {
         it.notePlaced(taskA);
         it.noteLost(taskA, Instant{104'000}, Instant{109'500});
     },
     Instant{109'500}},
    {"the other run is lost when the order is void soon",
     [](UnansweredStarts &it) {
         it.notePlaced(taskA);
         it.noteLost(taskA, Instant{112'000}, Instant{117'500});
     },
     sentAt + maxExecutionDelay},
    {"a start got no answer again",
     [](UnansweredStarts &it) {
         it.notePlaced(taskA);
         it.noteUnanswered(taskA, "w0", Instant{101'000}, Instant{103'500});
     },
     Instant{103'500}},
};

} // namespace

TEST_CASE("A task must go to its worker until it has waited for long or the order is void")
{
    for (const Course &it : courses) {
        CAPTURE(it.what);
        UnansweredStarts starts = startsOf({taskA});
        it.events(starts);
        CHECK(starts.takeReleased(it.releasedAt - Millis{1}).empty());
        REQUIRE(starts.workerFor(taskA));
        CHECK(*starts.workerFor(taskA) == "w0");
        CHECK(starts.takeReleased(it.releasedAt).size() == 1);
        CHECK(starts.workerFor(taskA) == nullptr);
    }
}

TEST_CASE("Only tasks without a run wait")
{
    UnansweredStarts starts = startsOf({taskA, taskB});
    CHECK(starts.isFirstRetry(taskA));
    starts.notePlaced(taskA);
    CHECK_FALSE(starts.isFirstRetry(taskA));
    REQUIRE(starts.waiting().size() == 1);
    CHECK((starts.waiting().front().task == taskB));
    CHECK((starts.waiting().front().since == sentAt));
    starts.notePlaced(taskB);
    CHECK_FALSE(starts.hasWaiting());
    CHECK(starts.concerns("b"));
}

TEST_CASE("What is known of a task is forgotten when it is settled")
{
    UnansweredStarts starts = startsOf({taskA, taskB});
    starts.noteUnanswered({"b", 0, 0, 1}, "w1", sentAt, waitsUntil);
    starts.settle(taskA);
    CHECK(starts.workerFor(taskA) == nullptr);
    CHECK(starts.settleWorker("w0").size() == 1);
    CHECK(starts.concerns("b"));
    starts.forgetJob("b");
    CHECK_FALSE(starts.concerns("b"));
    CHECK(starts.takeReleased(sentAt + maxExecutionDelay).empty());
}

TEST_CASE("Nothing follows for a task whose starts were all answered")
{
    UnansweredStarts starts(maxExecutionDelay);
    starts.notePlaced(taskA);
    starts.noteWithdrawn(taskA);
    starts.noteLost(taskA, sentAt, waitsUntil);
    CHECK(starts.workerFor(taskA) == nullptr);
    CHECK_FALSE(starts.isFirstRetry(taskA));
    CHECK_FALSE(starts.hasWaiting());
}
