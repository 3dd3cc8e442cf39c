#include "savorywick/quarantine.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

using namespace savorywick;

namespace {

const QuarantineOptions options{
    .jobFailureThreshold = 3, .workerFailureThreshold = 3, .maxQuarantinedPercent = 30};

std::string workerName(int n)
{
    return "w" + std::to_string(n);
}

std::string jobName(int n)
{
    return "j" + std::to_string(n);
}

} // namespace

TEST_CASE("a job that always fails gets no worker quarantined")
{
    CHECK(rc::check("however often and on whichever workers it fails", [] {
        Quarantine quarantine(options);
        const int steps = *rc::gen::inRange(0, 60);
        for (int i = 0; i < steps; ++i) {
            const std::string worker = workerName(*rc::gen::inRange(0, 8));
            RC_ASSERT(!quarantine.recordFailure("failing", worker, "exit 1", Instant{i})
                           .quarantineWorker);
        }
        RC_ASSERT(quarantine.quarantinedWorkers().empty());
    }));
}

TEST_CASE("a worker that always fails gets no job given up")
{
    CHECK(rc::check("while tasks on the other workers succeed", [] {
        Quarantine quarantine(options);
        for (int i = 0; i < 10; ++i)
            quarantine.recordSuccess("earlier", workerName(i), Instant{0});
        const int steps = *rc::gen::inRange(0, 100);
        for (int i = 0; i < steps; ++i) {
            const std::string job = jobName(*rc::gen::inRange(0, 20));
            const int n = *rc::gen::inRange(0, 10);
            const bool failingWorker = n < 2;
            if (failingWorker)
                RC_ASSERT(
                    !quarantine.recordFailure(job, workerName(n), "exit 1", Instant{i}).giveUpJob);
            else
                quarantine.recordSuccess(job, workerName(n), Instant{i});
        }
    }));
}

TEST_CASE("failing jobs and failing workers are told apart when both occur")
{
    CHECK(rc::check("only failing jobs are given up and only failing workers quarantined", [] {
        Quarantine quarantine(options);
        constexpr int workers = 20;
        for (int i = 0; i < workers; ++i)
            quarantine.recordSuccess("earlier", workerName(i), Instant{0});
        std::set<std::string> givenUp;
        for (int i = 1; i < 600; ++i) {
            const int j = *rc::gen::inRange(0, 30);
            const int w = *rc::gen::inRange(0, workers);
            const bool failingJob = j < 4;
            const bool failingWorker = w < 2;
            if (givenUp.contains(jobName(j))
                || quarantine.availability(workerName(w), Instant{i})
                    != WorkerAvailability::Available)
                continue;
            if (!failingJob && !failingWorker) {
                quarantine.recordSuccess(jobName(j), workerName(w), Instant{i});
                continue;
            }
            if (quarantine.recordFailure(jobName(j), workerName(w), "exit 1", Instant{i})
                    .giveUpJob) {
                RC_ASSERT(failingJob);
                givenUp.insert(jobName(j));
            }
        }
        for (int j = 0; j < 4; ++j) {
            for (int w = 2; w < workers && !givenUp.contains(jobName(j)); ++w) {
                if (quarantine.recordFailure(jobName(j), workerName(w), "exit 1", Instant{600})
                        .giveUpJob)
                    givenUp.insert(jobName(j));
            }
            RC_ASSERT(givenUp.contains(jobName(j)));
        }
        for (const std::string &it : quarantine.quarantinedWorkers())
            RC_ASSERT(it == workerName(0) || it == workerName(1));
    }));
}

TEST_CASE("a job is given up after failures on distinct trusted workers and these are listed")
{
    Quarantine quarantine(options);
    for (int i = 0; i < 3; ++i)
        quarantine.recordSuccess("earlier", workerName(i), Instant{0});
    CHECK_FALSE(quarantine.recordFailure("failing", "w0", "exit 1", Instant{1}).giveUpJob);
    CHECK_FALSE(quarantine.recordFailure("failing", "w0", "exit 1", Instant{2}).giveUpJob);
    CHECK_FALSE(quarantine.recordFailure("failing", "w1", "no file", Instant{3}).giveUpJob);
    CHECK(quarantine.recordFailure("failing", "w2", "exit 2", Instant{4}).giveUpJob);
    const auto failures = quarantine.failures("failing");
    REQUIRE(failures.size() == 3);
    CHECK(failures[1].worker == "w1");
    CHECK(failures[1].cause == "no file");
    CHECK(quarantine.failedWorkers("failing") == std::vector<std::string>{"w0", "w1", "w2"});
    quarantine.removeJob("failing");
    CHECK(quarantine.failures("failing").empty());
}

TEST_CASE("without any trusted worker a job is given up after failures on twice as many workers")
{
    Quarantine quarantine(options);
    for (int i = 0; i < 5; ++i)
        CHECK_FALSE(
            quarantine.recordFailure("failing", workerName(i), "exit 1", Instant{i}).giveUpJob);
    CHECK(quarantine.recordFailure("failing", "w5", "exit 1", Instant{6}).giveUpJob);
}

TEST_CASE("a quarantined worker has rested if nothing was tried there for long enough")
{
    constexpr Millis rest{2'000};
    Quarantine quarantine(options);
    CHECK_FALSE(quarantine.hasRested("w", rest, Instant{10'000}));
    for (int i = 0; i < 3; ++i)
        quarantine.recordFailure(jobName(i), "w", "exit 1", Instant{1'000});
    CHECK_FALSE(quarantine.hasRested("w", rest, Instant{2'999}));
    CHECK(quarantine.hasRested("w", rest, Instant{3'000}));
    quarantine.hastenProbe("w", Instant{3'000});
    REQUIRE(quarantine.beginProbe("w", Instant{3'000}));
    CHECK_FALSE(quarantine.hasRested("w", rest, Instant{4'999}));
    quarantine.recordFailure("j9", "w", "exit 1", Instant{4'999});
    CHECK_FALSE(quarantine.hasRested("w", rest, Instant{6'998}));
    CHECK(quarantine.hasRested("w", rest, Instant{6'999}));
    quarantine.recordSuccess("j9", "w", Instant{7'000});
    CHECK_FALSE(quarantine.hasRested("w", rest, Instant{20'000}));
}

TEST_CASE("a worker is probed with exponential back-off and released on success")
{
    Quarantine quarantine(options);
    for (int i = 0; i < 3; ++i)
        quarantine.recordFailure(jobName(i), "w", "exit 1", Instant{i});
    REQUIRE(quarantine.quarantinedWorkers() == std::vector<std::string>{"w"});
    CHECK(quarantine.availability("w", Instant{30'001}) == WorkerAvailability::Quarantined);
    CHECK_FALSE(quarantine.beginProbe("w", Instant{30'001}));
    REQUIRE(quarantine.beginProbe("w", Instant{30'002}));
    CHECK(quarantine.availability("w", Instant{30'003}) == WorkerAvailability::Probing);
    CHECK_FALSE(quarantine.beginProbe("w", Instant{30'003}));
    quarantine.recordFailure("j9", "w", "exit 1", Instant{31'000});
    CHECK(quarantine.availability("w", Instant{90'999}) == WorkerAvailability::Quarantined);
    REQUIRE(quarantine.beginProbe("w", Instant{91'000}));
    CHECK(quarantine.recordSuccess("j9", "w", Instant{92'000}));
    CHECK(quarantine.availability("w", Instant{92'000}) == WorkerAvailability::Available);
}

TEST_CASE("a probe without a result is repeated after its timeout")
{
    Quarantine quarantine(options);
    for (int i = 0; i < 3; ++i)
        quarantine.recordFailure(jobName(i), "w", "exit 1", Instant{0});
    REQUIRE(quarantine.beginProbe("w", Instant{30'000}));
    CHECK(quarantine.availability("w", Instant{629'999}) == WorkerAvailability::Probing);
    CHECK(quarantine.beginProbe("w", Instant{630'000}));
}

TEST_CASE("a probe that showed nothing is repeated at once")
{
    Quarantine quarantine(options);
    for (int i = 0; i < 3; ++i)
        quarantine.recordFailure(jobName(i), "w", "exit 1", Instant{0});
    quarantine.abandonProbe("w", Instant{10'000}); // None is in progress.
    CHECK(quarantine.availability("w", Instant{29'999}) == WorkerAvailability::Quarantined);
    REQUIRE(quarantine.beginProbe("w", Instant{30'000}));
    quarantine.abandonProbe("w", Instant{31'000});
    CHECK(quarantine.beginProbe("w", Instant{31'000}));
    quarantine.abandonProbe("unknown", Instant{31'000});
}

TEST_CASE("failures spread over more than the window do not quarantine a worker")
{
    Quarantine quarantine(options);
    for (int i = 0; i < 10; ++i)
        CHECK_FALSE(quarantine.recordFailure(jobName(i), "w", "exit 1", Instant{i * 500'000LL})
                        .quarantineWorker);
}

TEST_CASE("many failing jobs get no more than the configured share of workers quarantined")
{
    Quarantine quarantine(options);
    for (int i = 0; i < 10; ++i)
        quarantine.addWorker(workerName(i));
    for (int i = 0; i < 1'000; ++i)
        quarantine.recordFailure(jobName(i), workerName(i % 10), "exit 1", Instant{i});
    CHECK(quarantine.quarantinedWorkers().size() == 3);
    quarantine.removeWorker(quarantine.quarantinedWorkers().front());
    CHECK(quarantine.quarantinedWorkers().size() == 2);
}

TEST_CASE("quarantinedAt returns when the worker was quarantined")
{
    Quarantine quarantine({});
    quarantine.addWorker("w0");
    CHECK_FALSE(quarantine.quarantinedAt("w0"));
    quarantine.recordFailure("a", "w0", "exit 1", Instant{10});
    quarantine.recordFailure("b", "w0", "exit 1", Instant{20});
    quarantine.recordFailure("c", "w0", "exit 1", Instant{30});
    REQUIRE(quarantine.quarantinedAt("w0"));
    CHECK(*quarantine.quarantinedAt("w0") == Instant{30});
    quarantine.recordSuccess("d", "w0", Instant{40});
    CHECK_FALSE(quarantine.quarantinedAt("w0"));
}
