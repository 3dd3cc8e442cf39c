#include "savorywick/steps/record.h"

#include "savorywick/errors.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <tuple>

using namespace savorywick;
using namespace savorywick::steps;

namespace {

std::string arbitraryText()
{
    return *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

StepSpec arbitraryStep(int index)
{
    StepSpec s;
    s.taskCount = *rc::gen::inRange(1, 50);
    s.demand = {*rc::gen::inRange(0, 64'000), *rc::gen::inRange(0, 250'000),
                *rc::gen::inRange(0, 8)};
    s.estimatedDuration = Millis{*rc::gen::inRange(0, 100'000)};
    if (index > 0)
        s.dependsOn = {*rc::gen::inRange(0, index)};
    s.checkpointing = *rc::gen::arbitrary<bool>();
    s.gang = *rc::gen::arbitrary<bool>();
    s.longRunning = *rc::gen::arbitrary<bool>();
    s.bestEffort = *rc::gen::arbitrary<bool>();
    s.neededLabel = arbitraryText();
    s.image = arbitraryText();
    s.maxTasksPerWorker = *rc::gen::inRange(0, 9);
    return s;
}

Record arbitraryJobAccepted()
{
    JobAccepted it;
    it.spec.id = arbitraryText();
    it.spec.policy = {
        arbitraryText(), arbitraryText(), *rc::gen::inRange(0, 9), *rc::gen::inRange(1, 9), 1.5,
        Millis{500}};
    it.spec.payload = arbitraryText();
    const int steps = *rc::gen::inRange(1, 5);
    for (int i = 0; i < steps; ++i)
        it.spec.steps.push_back(arbitraryStep(i));
    it.spec.schedule = {*rc::gen::inRange(0, 5), 1'700'000'000'123, Millis{700}};
    it.wallMs = 1'700'000'000'000;
    return it;
}

} // namespace

namespace {

// Returns all members of the step, for comparison.
auto membersOf(const StepSpec &s)
{
    return std::tie(s.taskCount, s.demand, s.estimatedDuration, s.dependsOn, s.checkpointing,
                    s.gang, s.preferSameRack, s.allowDuplicates, s.longRunning, s.bestEffort,
                    s.neededLabel, s.preferredRack, s.image, s.maxTasksPerWorker, s.latencyTarget,
                    s.maxUnavailable);
}

} // namespace

// Guards against a next owner that believes in other needs of a step than its caller submitted.
TEST_CASE("Every member of a step survives encoding and decoding")
{
    CHECK(rc::check("for arbitrary steps", [] {
        JobAccepted accepted;
        accepted.spec.id = "a";
        accepted.spec.steps = {arbitraryStep(0), arbitraryStep(1)};
        for (StepSpec &it : accepted.spec.steps) {
            it.preferSameRack = *rc::gen::arbitrary<bool>();
            it.allowDuplicates = *rc::gen::arbitrary<bool>();
            it.preferredRack = arbitraryText();
            it.latencyTarget = Millis{*rc::gen::inRange(0, 100'000)};
            it.maxUnavailable = *rc::gen::inRange(0, 9);
        }
        const auto decoded = std::get<JobAccepted>(decodeRecord(encodeRecord(accepted)));
        RC_ASSERT(decoded.spec.steps.size() == accepted.spec.steps.size());
        for (std::size_t i = 0; i < decoded.spec.steps.size(); ++i)
            RC_ASSERT((membersOf(decoded.spec.steps[i]) == membersOf(accepted.spec.steps[i])));
    }));
}

TEST_CASE("Every type of record survives encoding and decoding")
{
    CHECK(rc::check("for arbitrary texts, with spaces and control characters", [] {
        const TaskRef task{arbitraryText(), 0, 1, 2};
        const WorkerIncarnation worker{arbitraryText(), 1'700'000'000'001};
        const std::vector<Record> records{
            arbitraryJobAccepted(),
            RunStarted{task, 3, worker},
            RunEnded{task, 3, RunOutcome::GangBroken, arbitraryText(), 17},
            JobCancelled{arbitraryText(), 18},
            JobPurged{arbitraryText()},
            UnknownJobCancelled{arbitraryText(), arbitraryText(), 18},
            CancellationForgotten{arbitraryText()},
            JobDelegated{arbitraryText(), 3, 1'700'000'000'000},
            JobDelegated{arbitraryText(), 3, 1'700'000'000'000, 2},
            JobLeaving{arbitraryText(), 3, 2},
            JobArrived{arbitraryText(), 2},
            RunEnded{task, 3, RunOutcome::CausedCrash, arbitraryText(), 17},
            TaskSnapshot{task, {4, 1, 2, false, arbitraryText(), {{4, worker}}}},
            TaskSnapshot{task, {4, 1, 2, false, arbitraryText(), {{4, worker}}, 2, 1}},
            TaskCleared{task},
            RunSuspected{task, {3, worker, arbitraryText(), true, 1'700'000'000'002}},
            LifeSettled{worker, LifeVerdict::NotCrashed, 20},
            StartUnanswered{task, {3, arbitraryText(), 91'234}},
            TaskSnapshot{task, {4, 1, 2, false, arbitraryText(), {{3, worker}, {4, worker, true}}}},
            RunConfirmed{task, 4},
            RunConfirmed{task, 4, 91'234},
            TaskSnapshot{
                task, {4, 1, 2, false, arbitraryText(), {{3, worker}, {4, worker, true, 91'234}}}},
            WorkerSilent{arbitraryText(), 81'234},
            WorkerHeard{arbitraryText()},
            WorkerAddress{arbitraryText(), arbitraryText()},
            JobStateSnapshot{arbitraryText(), JobState::Failed, 19},
        };
        for (const Record &it : records) {
            const std::string line = encodeRecord(it);
            RC_ASSERT(line.find('\n') == std::string::npos);
            RC_ASSERT(encodeRecord(decodeRecord(line)) == line);
        }
    }));
}

// Guards against a journal of the version before that can't be restored.
TEST_CASE("Records of confirmed runs without an end of inherited leases are read as having none")
{
    const auto confirmed = std::get<RunConfirmed>(decodeRecord("V job 0 0 0 4"));
    CHECK(confirmed.run == 4);
    CHECK(confirmed.inheritedLeasesEndMs == 0);
    const TaskSnapshot before{{"job", 0, 0, 0}, {4, 1, 2, false, "", {{4, {"w", 7}, true}}}};
    const std::string line = encodeRecord(before);
    const auto older = std::get<TaskSnapshot>(decodeRecord(line));
    CHECK(older.state.activeRuns.front().confirmed);
    CHECK(older.state.activeRuns.front().inheritedLeasesEndMs == 0);
    const auto newer = std::get<TaskSnapshot>(decodeRecord(line + " 4 91234"));
    CHECK(newer.state.activeRuns.front().inheritedLeasesEndMs == 91'234);
}

TEST_CASE("Decoding rejects malformed lines")
{
    const std::string lines[] = {
        "",
        "X a", // There is no such type of record.
        "S job 0 0 0 1 w", // The last field is missing.
        "S job 0 0 0 1 w 1 extra", // There is a field too many.
        "S job 0 0 zero 1 w 1", // A number is expected.
        "E job 0 0 0 1 99 %- 0", // There is no such outcome of a run.
        "C job%G1 5", // The escape is not hexadecimal.
        "T job 0 0 0 1 0 0 0 %- 99999999999", // The list can't fit into the line.
    };
    for (const std::string &line : lines) {
        CAPTURE(line);
        CHECK_THROWS_AS(decodeRecord(line), Error);
    }
}
