#include "savorywick/steps/coordinator.h"

#include "stepworld.h"

#include <rapidcheck.h>

#include <cstdlib>
#include <exception>
#include <iostream>

using namespace savorywick;
using namespace savorywick::steps;
using namespace savorywick::steps::testing;

namespace {

StepSpec step(int count, int milliCores, std::vector<int> after = {})
{
    StepSpec s;
    s.count = count;
    s.demand = {milliCores, 1'000, 0};
    s.estimate = Millis{500};
    s.after = std::move(after);
    return s;
}

JobSpec job(const std::string &id, std::vector<StepSpec> steps)
{
    JobSpec spec;
    spec.id = id;
    spec.policy = {"checks", "matching", 0, 3, 1.5, Millis{500}};
    spec.payload = "payload of " + id;
    spec.steps = std::move(steps);
    return spec;
}

JobSpec anyJob(StepWorld &world, const std::string &id)
{
    std::vector<StepSpec> all;
    const int steps = 1 + world.draw(3);
    for (int i = 0; i < steps; ++i) {
        StepSpec s = step(1 + world.draw(5), 500 + world.draw(6'000));
        if (i > 0)
            s.after = {world.draw(i)};
        s.maxPerWorker = world.draw(4) == 0 ? 2 : 0;
        s.checkpointing = world.draw(2) == 0;
        all.push_back(s);
    }
    JobSpec spec = job(id, std::move(all));
    if (world.draw(6) == 0) {
        spec.steps.resize(1);
        spec.steps[0].standing = true;
        spec.steps[0].demand.milliCores = 300; // So that room for the others is left.
    }
    if (world.draw(8) == 0 && !spec.steps[0].standing)
        spec.schedule = {2, world.now().wallMs + world.draw(3'000), Millis{1'500}};
    return spec;
}

// Prints what happened in the world if the scope is left by an exception.
class StoryOnFailure
{
public:
    explicit StoryOnFailure(const StepWorld &world)
        : m_world(world)
    { }
    ~StoryOnFailure()
    {
        if (std::uncaught_exceptions() > 0 && std::getenv("STORY"))
            std::cerr << m_world.storyOf(std::getenv("STORY")) << "----\n";
    }
    StoryOnFailure(const StoryOnFailure &) = delete;
    StoryOnFailure &operator=(const StoryOnFailure &) = delete;

private:
    const StepWorld &m_world;
};

} // namespace

TEST_CASE("Whatever fails no task runs twice nor early nor too often and every job ends")
{
    CHECK(rc::check("over owners and workers and late orders", [] {
        const auto seed = *rc::gen::inRange(0U, 1'000'000'000U);
        StepWorld world(seed);
        const StoryOnFailure story(world);
        const int jobs = *rc::gen::inRange(1, 25);
        for (int n = 0; n < jobs; ++n) {
            const std::string id = "job" + std::to_string(n);
            world.submit(anyJob(world, id));
            world.run(*rc::gen::inRange(1, 60), true);
            if (world.draw(8) == 0)
                world.cancel("job" + std::to_string(world.draw(n + 1)));
        }
        world.finish();
        RC_CLASSIFY(world.takeovers() > 1, "several owners");
        RC_CLASSIFY(world.startsSeen() > 60, "many starts");
    }));
}

TEST_CASE("A job runs its steps in order and is shown as completed once its last end is durable")
{
    StepWorld world(1);
    world.submit(job("a", {step(3, 2'000), step(2, 2'000, {0})}));
    CHECK_FALSE(world.owner().shown("a").has_value());
    world.run(8, false);
    CHECK((world.owner().shown("a") == JobState::Running));
    world.run(600, false);
    CHECK(isFinal(*world.owner().shown("a")));
}

TEST_CASE("A repeated submission is the same job")
{
    StepWorld world(1);
    const JobSpec spec = job("a", {step(1, 1'000)});
    CHECK((world.owner().submit(spec, world.now()) == SubmitResult::Accepted));
    CHECK((world.owner().submit(spec, world.now()) == SubmitResult::Repeated));
    CHECK(world.owner().counters().accepted == 1);
}

TEST_CASE("Running tasks are adopted by the next owner and not started again")
{
    StepWorld world(3);
    world.submit(job("a", {step(4, 1'000)}));
    JobSpec standing = job("s", {step(4, 1'000)});
    standing.steps[0].standing = true;
    world.submit(standing);
    world.run(6, false);
    const int before = world.startsSeen();
    world.takeOver();
    world.run(6, false);
    CHECK(world.startsSeen() == before);
    CHECK(world.owner().counters().adopted >= 4);
}

TEST_CASE("Pending counts the queue's durable jobs that nothing was started for")
{
    StepWorld world(1, 1);
    world.submit(job("big", {step(2, 15'000)}));
    world.submit(job("next", {step(1, 15'000)}));
    world.run(8, false);
    CHECK(world.owner().pending("checks") == 1);
    CHECK(world.owner().pending("other") == 0);
}

TEST_CASE("A job that no worker can hold waits and is not given up")
{
    StepWorld world(1);
    world.submit(job("huge", {step(1, 64'000)}));
    world.run(400, false);
    CHECK((world.owner().shown("huge") == JobState::Queued));
}

TEST_CASE("A gang starts all its members under one run number or none")
{
    StepWorld world(5, 2);
    JobSpec spec = job("g", {step(4, 9'000)});
    spec.steps[0].gang = true;
    world.submit(spec);
    world.run(60, false);
    CHECK(world.startsSeen() == 0); // Two members fit at most.
    JobSpec fits = job("h", {step(3, 5'000)});
    fits.steps[0].gang = true;
    world.submit(fits);
    world.run(4, false);
    const Job *job = world.owner().table().find("h");
    for (int i = 0; i < 3; ++i)
        CHECK(job->find({"h", 0, 0, i})->lastRun == 1);
}
