// Tests of submissions to the owner of a shard that has more work than it can complete.

#include "../steps/coordinatorharness.h"
#include "node/jobrequests.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::steps::testing;

namespace {

// A shard with two workers of 16 cores whose runs take half a second.
class OverloadedShard
{
public:
    explicit OverloadedShard(bool admissionEnabled)
        : m_harness(2, settings(admissionEnabled))
    { }

    ShardOutcome submit(const std::string &id, bool longRunning = false)
    {
        SubmitJob submission;
        submission.spec.id = id;
        submission.spec.policy = {"q", "matching", 0, 2, 1.0, Millis{1'000}};
        steps::StepSpec step = task(4'000);
        step.estimatedDuration = Millis{500};
        step.longRunning = longRunning;
        submission.spec.steps = {step};
        return apply(submission).outcome;
    }
    ShardReply apply(const ShardRequest &request)
    {
        return applyRequest(m_harness.coordinator(), 0, m_dealer, request, m_harness.now());
    }
    // Submits new jobs at five times the capacity until one is refused. Returns that, or nothing
    // if none is.
    std::optional<std::string> submitUntilRefused()
    {
        constexpr int maxJobs = 1'600;
        for (int n = 0; n < maxJobs; ++n) {
            const std::string id = "job" + std::to_string(n);
            if (submit(id) == ShardOutcome::NoCapacity)
                return id;
            if (n % 2 == 1)
                step();
        }
        return {};
    }

private:
    static steps::CoordinatorSettings settings(bool admissionEnabled)
    {
        steps::CoordinatorSettings s;
        s.admission.enabled = admissionEnabled;
        return s;
    }
    void step()
    {
        m_harness.advance(Millis{20});
        for (; m_ended < m_harness.starts.size(); ++m_ended) {
            const steps::StartRunCommand &start = m_harness.starts[m_ended];
            const steps::Run *run = m_harness.coordinator().runs().find({start.task, start.run});
            if (run && m_harness.now().monotonic - run->startedAt < Millis{500})
                return;
            m_harness.reportEnd(start.target.worker.workerId, {start.task, start.run},
                                steps::RunOutcome::Done);
        }
    }

    CoordinatorHarness m_harness;
    JobDealer m_dealer{0};
    std::size_t m_ended = 0; // Of the starts, those whose runs have ended.
};

} // namespace

// Guards against a 503 for a job that runs or may run, which its caller would submit again.
TEST_CASE("An owner without capacity refuses new jobs and nothing else")
{
    OverloadedShard shard(true);
    const auto refused = shard.submitUntilRefused();
    REQUIRE(refused.has_value());
    CHECK((shard.submit("job0") == ShardOutcome::Ok)); // Known.
    CHECK((shard.submit("service", true) == ShardOutcome::Ok));
    CHECK((shard.apply(GetJobState{*refused}).outcome == ShardOutcome::UnknownJob));
    CHECK((shard.apply(CancelJob{"job0"}).outcome == ShardOutcome::Ok));
}

TEST_CASE("With admission disabled no job is refused whatever the backlog")
{
    CHECK_FALSE(OverloadedShard(false).submitUntilRefused().has_value());
}
