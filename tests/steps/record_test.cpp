#include "savorywick/steps/record.h"

#include "savorywick/errors.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace savorywick;
using namespace savorywick::steps;

namespace {

std::string anyText()
{
    return *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

StepSpec anyStep(int index)
{
    StepSpec s;
    s.count = *rc::gen::inRange(1, 50);
    s.demand = {*rc::gen::inRange(0, 64'000), *rc::gen::inRange(0, 250'000),
                *rc::gen::inRange(0, 8)};
    s.estimate = Millis{*rc::gen::inRange(0, 100'000)};
    if (index > 0)
        s.after = {*rc::gen::inRange(0, index)};
    s.checkpointing = *rc::gen::arbitrary<bool>();
    s.gang = *rc::gen::arbitrary<bool>();
    s.standing = *rc::gen::arbitrary<bool>();
    s.fillIn = *rc::gen::arbitrary<bool>();
    s.neededLabel = anyText();
    s.image = anyText();
    s.maxPerWorker = *rc::gen::inRange(0, 9);
    return s;
}

Record anyAccepted()
{
    JobAccepted it;
    it.spec.id = anyText();
    it.spec.policy = {anyText(), anyText(),  *rc::gen::inRange(0, 9), *rc::gen::inRange(1, 9),
                      1.5,       Millis{500}};
    it.spec.payload = anyText();
    const int steps = *rc::gen::inRange(1, 5);
    for (int i = 0; i < steps; ++i)
        it.spec.steps.push_back(anyStep(i));
    it.spec.schedule = {*rc::gen::inRange(0, 5), 1'700'000'000'123, Millis{700}};
    it.wallMs = 1'700'000'000'000;
    return it;
}

} // namespace

TEST_CASE("A record is read back from its line as it was written")
{
    CHECK(rc::check("whatever its texts hold", [] {
        const TaskRef task{anyText(), 0, 1, 2};
        const WorkerLife worker{anyText(), 1'700'000'000'001};
        const std::vector<Record> all{
            anyAccepted(),
            RunStarted{task, 3, worker},
            RunEnded{task, 3, RunEnd::Broken, anyText(), 17},
            JobCancelled{anyText(), 18},
            JobForgotten{anyText()},
            TaskRestored{task, {4, 1, 2, false, anyText(), {{4, worker}}}},
            JobRestored{anyText(), JobState::Failed, 19},
        };
        for (const Record &it : all) {
            const std::string line = encode(it);
            RC_ASSERT(line.find('\n') == std::string::npos);
            RC_ASSERT(encode(decode(line)) == line);
        }
    }));
}

TEST_CASE("A line that is no record is refused")
{
    const std::string lines[] = {
        "",
        "X a",
        "S job 0 0 0 1 w", // Cut short.
        "S job 0 0 0 1 w 1 extra",
        "S job 0 0 zero 1 w 1",
        "E job 0 0 0 1 99 %- 0", // No such end.
        "C job%G1 5", // No such escape.
        "T job 0 0 0 1 0 0 0 %- 99999999999", // A list longer than the line.
    };
    for (const std::string &line : lines) {
        CAPTURE(line);
        CHECK_THROWS_AS(decode(line), Error);
    }
}
