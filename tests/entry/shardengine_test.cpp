#include "entry/shardengine.h"

#include <doctest/doctest.h>

using namespace savorywick;

namespace {

OwnedShard ownedShard()
{
    OwnedShard owned;
    owned.row.owner = "entry.1";
    owned.row.epoch = 1;
    owned.version = 1;
    return owned;
}

HostInfo workerInfo()
{
    HostInfo info;
    info.id = "w0";
    info.role = HostRole::Worker;
    info.cores = 8;
    info.memoryMb = 16'000;
    return info;
}

JobSpec runSpec()
{
    JobSpec s;
    s.id = "run-1";
    s.service = "matching";
    s.idempotencyKey = "key-1";
    s.demand = {1, 100, 0};
    return s;
}

template<typename Call>
std::size_t countOf(const std::vector<WorkerCall> &workerCalls)
{
    std::size_t n = 0;
    for (const WorkerCall &it : workerCalls)
        n += std::holds_alternative<Call>(it) ? 1 : 0;
    return n;
}

// Creates an engine with one worker that has answered its first lease renewal.
class EngineFixture
{
public:
    EngineFixture()
        : m_engine(ownedShard(), {}, Instant{})
    {
        m_engine.restore({}, {}, Instant{});
        const HostInfo info = workerInfo();
        m_engine.jobs().setWorkers({&info, 1}, Instant{});
        m_engine.tick(Instant{});
        m_engine.takeActions(Instant{});
        JobScheduler::Records records;
        m_engine.jobs().handleLeaseReply("w0", {"1", {}, {}, {}}, Instant{10}, records);
        m_engine.appendJobRecords(records);
    }

    // Submits a run and returns the actions, with a commit that is still in flight.
    ShardActions submit()
    {
        JobScheduler::Records records;
        m_engine.jobs().submit(runSpec(), Instant{20}, records);
        m_engine.jobs().tick(Instant{20}, records);
        m_engine.appendJobRecords(records);
        return m_engine.takeActions(Instant{20});
    }

    ShardEngine &engine() { return m_engine; }

private:
    ShardEngine m_engine;
};

} // namespace

TEST_CASE("A task is started only after its journal record is committed")
{
    EngineFixture fixture;
    const ShardActions before = fixture.submit();
    REQUIRE(before.commit);
    CHECK(countOf<StartTask>(before.workerCalls) == 0);
    fixture.engine().commitFinished({CommitOutcome::Committed, 2}, Instant{30});
    CHECK(countOf<StartTask>(fixture.engine().takeActions(Instant{30}).workerCalls) == 1);
}

TEST_CASE("A worker's lease is renewed while a commit is in flight")
{
    EngineFixture fixture;
    REQUIRE(fixture.submit().commit);
    fixture.engine().tick(Instant{6'000});
    const ShardActions actions = fixture.engine().takeActions(Instant{6'000});
    CHECK(countOf<RenewLease>(actions.workerCalls) == 1);
    CHECK(countOf<StartTask>(actions.workerCalls) == 0);
}
