#include "savorywick/steps/crashjudge.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace savorywick;
using namespace savorywick::steps;

namespace {

constexpr Instant now{100'000};
constexpr std::int64_t wallMs = 1'700'000'100'000;
const WorkerIncarnation lostLife{"w1", 1'700'000'000'000};
const std::string address = "10.0.0.1:1";

RunObservation startedBeforeLoss(const std::string &job, Millis before, bool confirmed = true,
                                 bool onProbation = false)
{
    return {{{job, 0, 0, 0}, 1}, now - before, confirmed, onProbation};
}

JobTable::LostLives lostFor(Millis span)
{
    JobTable::LostLives lives;
    lives[lostLife] = {address, wallMs - span.count(), {{"j", 0, 0, 0}}};
    return lives;
}

WorkerInfo entry(const std::string &id, std::int64_t startedWallMs, const std::string &at,
                 bool draining = false)
{
    WorkerInfo info;
    info.incarnation = {id, startedWallMs};
    info.address = at;
    info.draining = draining;
    return info;
}

Task lostTask(int crashes, int causedCrashes, int suspected, int causes, Millis lostFor)
{
    Task task;
    task.crashes = crashes;
    task.causedCrashes = causedCrashes;
    for (int i = 0; i < suspected; ++i)
        task.suspectedRuns.push_back(
            {i + 1, lostLife, address, i < causes, wallMs - lostFor.count()});
    return task;
}

} // namespace

// Guards against refused connections that count as the end of a life, and against crashes that
// count as cuts.
TEST_CASE("A life has crashed only if it is known to be over")
{
    struct Case
    {
        std::string name;
        LifeObservation life;
        bool mayHaveCrashed; // As long as nothing proves that it is over.
        bool hasCrashed; // Once something does.
    };
    const Instant answered = now - Millis{5'000};
    const std::vector<Case> cases = {
        {"refused at once", {answered, answered + Millis{30}, false}, true, true},
        {"refused after a long silence", {answered, answered + Millis{2'500}, false}, false, false},
        {"silent for long", {answered, {}, false}, false, false},
        {"silent for a moment", {now - Millis{900}, {}, false}, false, true},
        {"refused while it drained", {answered, answered + Millis{30}, true}, false, false},
    };
    const CrashJudge judge({});
    for (const Case &it : cases) {
        CAPTURE(it.name);
        CHECK(judge.mayHaveCrashed(it.life, now) == it.mayHaveCrashed);
        CHECK(judge.hasCrashed(it.life, now) == it.hasCrashed);
    }
}

TEST_CASE("Of the runs on a lost worker those are suspected that can be why")
{
    struct Case
    {
        std::string name;
        std::vector<RunObservation> runs;
        int suspects;
        int causes;
    };
    const std::vector<Case> cases = {
        {"none that is young", {startedBeforeLoss("a", Millis{1'600})}, 0, 0},
        {"the only young one", {startedBeforeLoss("a", Millis{1'100})}, 1, 1},
        {"the latest of two",
         {startedBeforeLoss("a", Millis{100}), startedBeforeLoss("b", Millis{900})},
         2,
         1},
        {"either of two jobs",
         {startedBeforeLoss("a", Millis{100}), startedBeforeLoss("b", Millis{200})},
         2,
         0},
        {"one that may never have started", {startedBeforeLoss("a", Millis{100}, false)}, 1, 0},
    };
    for (const Case &it : cases) {
        CAPTURE(it.name);
        CrashJudge judge({});
        const auto suspects = judge.findSuspects({now - Millis{20}, now, false}, it.runs, now);
        CHECK(static_cast<int>(suspects.size()) == it.suspects);
        CHECK(std::count_if(suspects.begin(), suspects.end(),
                            [](const CrashSuspect &suspect) { return suspect.isCause; })
              == it.causes);
    }
}

TEST_CASE("After a loss that no run explains only tasks that are suspected already are the cause")
{
    for (const bool onProbation : {false, true}) {
        CrashJudge judge({});
        CHECK(judge.findSuspects({now, now, false}, {}, now).empty());
        const std::vector<RunObservation> runs = {
            startedBeforeLoss("a", Millis{100}, true, onProbation)};
        const auto suspects = judge.findSuspects({now, now, false}, runs, now);
        REQUIRE(suspects.size() == 1);
        CHECK(suspects.front().isCause == onProbation);
    }
}

// Guards against a worker that is taken for crashed because of an entry that proves nothing.
TEST_CASE("The list of workers settles what became of a lost life")
{
    struct Case
    {
        std::string name;
        WorkerInfo listed;
        Millis lostFor;
        std::optional<LifeVerdict> verdict;
    };
    const std::int64_t born = lostLife.startedWallMs;
    const Millis justNow{9'000};
    const std::vector<Case> cases = {
        {"nothing else", entry("w2", born + 5, "10.0.0.2:1"), justNow, {}},
        {"it is still listed", entry("w1", born, address), justNow, {}},
        {"it drains", entry("w1", born, address, true), justNow, LifeVerdict::NotCrashed},
        {"a later life of it", entry("w1", born + 5, address), justNow, LifeVerdict::Crashed},
        {"a later life elsewhere", entry("w1", born + 5, "10.0.0.2:1"), justNow,
         LifeVerdict::Crashed},
        {"a later worker there", entry("w9", born + 5, address), justNow, LifeVerdict::Crashed},
        {"an earlier worker there", entry("w0", born - 5, address), justNow, {}},
        {"nothing for a minute", entry("w2", born + 5, "10.0.0.2:1"), Millis{60'001},
         LifeVerdict::Unknown},
        {"a later life just within a minute", entry("w1", born + 5, address), Millis{60'000},
         LifeVerdict::Crashed},
        {"a later life after a minute", entry("w1", born + 5, address), Millis{60'001},
         LifeVerdict::Unknown},
        {"a later worker there after a minute", entry("w9", born + 5, address), Millis{60'001},
         LifeVerdict::Unknown},
        {"it drains after a minute", entry("w1", born, address, true), Millis{60'001},
         LifeVerdict::NotCrashed},
    };
    const CrashJudge judge({});
    for (const Case &it : cases) {
        CAPTURE(it.name);
        const auto settled = judge.settle(lostFor(it.lostFor), {&it.listed, 1}, wallMs);
        REQUIRE(settled.size() == (it.verdict ? 1 : 0));
        if (it.verdict) {
            CHECK(settled.front().life == lostLife);
            CHECK(settled.front().verdict == *it.verdict);
        }
    }
}

// Guards against a worker that counts as crashed since the next one at its address is listed before
// the entry that says that it left.
TEST_CASE("A worker that drained has not crashed though another one is at its address")
{
    const std::int64_t born = lostLife.startedWallMs;
    const WorkerInfo drained = entry("w1", born, address, true);
    const WorkerInfo next = entry("w0", born + 5, address);
    for (const std::vector<WorkerInfo> &listed :
         {std::vector<WorkerInfo>{next, drained}, std::vector<WorkerInfo>{drained, next}}) {
        CAPTURE(listed.front().incarnation.workerId);
        const CrashJudge judge({});
        const auto settled = judge.settle(lostFor(Millis{9'000}), listed, wallMs);
        REQUIRE(settled.size() == 1);
        CHECK(settled.front().verdict == LifeVerdict::NotCrashed);
    }
}

// Guards against a task that takes down one worker after the other before any of the crashes is
// proved, and against innocent ones that wait for nothing.
TEST_CASE("A task waits that may have crashed too many workers")
{
    struct Case
    {
        std::string name;
        Task task;
        Millis hold;
    };
    const Millis justNow{0};
    const std::vector<Case> cases = {
        {"no loss", lostTask(0, 0, 0, 0, justNow), Millis{0}},
        {"crashes that are proved", lostTask(3, 1, 0, 0, justNow), Millis{0}},
        {"one loss", lostTask(0, 0, 1, 1, justNow), Millis{0}},
        {"three of unclear cause", lostTask(0, 0, 3, 0, justNow), Millis{0}},
        {"two that it may have caused", lostTask(0, 0, 2, 2, justNow), Millis{10'000}},
        {"a crash and a loss", lostTask(1, 1, 1, 1, justNow), Millis{10'000}},
        {"four of unclear cause", lostTask(1, 0, 3, 0, justNow), Millis{10'000}},
        {"four, some time ago", lostTask(1, 0, 3, 0, Millis{4'000}), Millis{6'000}},
        {"four, long ago", lostTask(1, 0, 3, 0, Millis{11'000}), Millis{0}},
        {"as many as it may be started", lostTask(2, 1, 3, 3, justNow), Millis{60'000}},
        {"a clock that was set back", lostTask(0, 0, 2, 2, Millis{-90'000}), Millis{10'000}},
    };
    const CrashJudge judge({});
    for (const Case &it : cases) {
        CAPTURE(it.name);
        CHECK(judge.holdTime(it.task, wallMs) == it.hold);
    }
}
