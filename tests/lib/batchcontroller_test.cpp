#include "savorywick/batchcontroller.h"

#include "jobschedulerfixture.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace savorywick;

namespace {

constexpr int urgentCores = 4;

// A JobScheduler and its batch control over one worker with 8 cores and 16,000 MiB. Calls to the
// worker are answered at once.
class Shard
{
public:
    Shard()
        : m_scheduler({}, nullptr, &m_control.cost(), &m_control.demandEstimator())
    {
        HostInfo info = makeWorkerInfo("w");
        info.service = "quotes";
        m_scheduler.takeOver(m_now);
        m_scheduler.setWorkers({&info, 1}, m_now);
        m_control.setWorkers({&info, 1});
        m_control.setTargetP99s({{"quotes", Millis{50}}});
        step();
    }

    JobScheduler &scheduler() { return m_scheduler; }
    // Returns the number of effects of a kind since the start.
    template<typename Kind>
    std::ptrdiff_t countOf() const
    {
        return std::count_if(m_effects.begin(), m_effects.end(),
                             [](const WorkerCall &it) { return std::holds_alternative<Kind>(it); });
    }

    void submit(const std::string &id)
    {
        JobScheduler::Records records;
        m_scheduler.submit(makeJobSpec(id), m_now, records);
        step();
    }

    // Advances the clock by five seconds and delivers a report in which each placed task uses
    // `memoryMb`.
    void report(int memoryMb, Millis urgentP99)
    {
        m_now = m_now + Millis{5'000};
        LeaseReply lease{"w.1", {}, {.cores = urgentCores}, urgentP99};
        for (const std::string &it : m_scheduler.ledger().tasks("w"))
            lease.tasks.push_back({it,
                                   m_scheduler.find(it)->attempt,
                                   TaskState::Running,
                                   Millis{1'000},
                                   {},
                                   {.cores = 1, .memoryMb = memoryMb}});
        lease.usage.cores += static_cast<int>(lease.tasks.size());
        m_report = lease;
        step();
        step();
    }

private:
    // Ticks the scheduler and answers its calls; renewals are answered with the latest report.
    void step()
    {
        JobScheduler::Records records;
        for (int i = 0; i < 2; ++i) {
            m_scheduler.tick(m_now, records);
            for (WorkerCall &it : m_scheduler.takeCalls()) {
                answer(it, records);
                m_effects.push_back(std::move(it));
            }
        }
    }

    void answer(const WorkerCall &effect, JobScheduler::Records &records)
    {
        if (const auto *start = std::get_if<StartTask>(&effect))
            m_scheduler.handleStartReply(start->job, start->attempt, {StartOutcome::Running, {}},
                                         m_now, records);
        if (!std::holds_alternative<RenewLease>(effect))
            return;
        m_scheduler.handleLeaseReply("w", m_report, m_now, records);
        m_control.observe("w", m_report, m_scheduler, m_now, records);
    }

    Instant m_now{1'000};
    BatchController m_control{{}};
    JobScheduler m_scheduler;
    LeaseReply m_report{"w.1", {}, {}, Millis{0}};
    std::vector<WorkerCall> m_effects;
};

} // namespace

TEST_CASE("A task that uses more memory than is allocated gets a larger allocation")
{
    Shard shard;
    shard.submit("a");
    REQUIRE(shard.scheduler().ledger().allocatedTo("w", "a").memoryMb == 1'000);
    shard.report(3'000, Millis{0});
    CHECK(shard.scheduler().ledger().allocatedTo("w", "a").memoryMb == 3'000);
    shard.submit("b");
    // The estimate for further tasks of the class includes a margin of 10%.
    CHECK(shard.scheduler().ledger().allocatedTo("w", "b").memoryMb == 3'300);
}

TEST_CASE("A task that outgrows its host is checkpointed for eviction")
{
    Shard shard;
    shard.submit("a");
    shard.submit("b");
    shard.report(9'000, Millis{0});
    CHECK(shard.countOf<CheckpointTask>() == 1);
}

TEST_CASE("Batch work that slows down urgent work is throttled and gets no more cores")
{
    Shard shard;
    for (int i = 0; i < 20; ++i)
        shard.report(0, Millis{10});
    for (int i = 0; i < 6; ++i)
        shard.submit("j" + std::to_string(i));
    REQUIRE(shard.scheduler().ledger().allocated("w").cores > 0);
    REQUIRE(shard.countOf<ThrottleTask>() == 0);
    for (int i = 0; i < 20; ++i)
        shard.report(1'000, Millis{60});
    CHECK_MESSAGE(shard.countOf<ThrottleTask>() > 0, "no task was throttled in 100 s");
    CHECK(shard.scheduler().ledger().free("w").cores == 0);
}

TEST_CASE("Allocations never exceed the host for any reported memory use")
{
    CHECK(rc::check("the allocations fit in the capacity after every report", [] {
        Shard shard;
        const auto sizes = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40'000));
        int n = 0;
        for (const int it : sizes) {
            if (it % 2 == 0)
                shard.submit("j" + std::to_string(++n));
            shard.report(it, Millis{it % 100});
            const AllocationTable &allocations = shard.scheduler().ledger();
            RC_ASSERT(allocations.allocated("w").fitsIn(allocations.capacity("w")));
        }
    }));
}
