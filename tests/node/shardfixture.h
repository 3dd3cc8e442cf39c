#pragma once

#include "core/bootclock.h"
#include "fakeplatform.h"
#include "node/shardrunner.h"
#include "savorywick/steps/record.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace savorywick::testing {

// A table whose commits end when the test calls finishCommits().
class ManualTable final : public AsyncTable
{
public:
    void commit(const Transaction &, CommitCallback done) override
    {
        pendingCommits.push_back(std::move(done));
    }
    void read(const std::vector<std::string> &, ReadCallback done) override { done(std::nullopt); }
    void scan(const std::string &, const std::string &, std::size_t, ReadCallback done) override
    {
        done(segments);
    }

    void finishCommits(CommitOutcome outcome)
    {
        for (const CommitCallback &it : std::exchange(pendingCommits, {}))
            it({outcome, ++m_version});
    }

    std::vector<CommitCallback> pendingCommits;
    std::vector<Row> segments; // All that are still to be read.

private:
    std::uint64_t m_version = 10;
};

// A clock that runs ahead by `timePerReading` with each reading, so that all work seems slow.
class SlowClock final : public Clock
{
public:
    Instant now() const override
    {
        m_ahead = m_ahead + timePerReading;
        return m_clock.now() + m_ahead;
    }

    void advance(Millis span) { m_ahead = m_ahead + span; }

    Millis timePerReading;

private:
    BootClock m_clock;
    mutable Millis m_ahead;
};

// What an earlier owner of a shard has stored.
struct StoredShard
{
    ShardRow row{.owner = "a.1", .epoch = 1};
    std::string snapshot;
    std::vector<Row> segments;
};

// Returns a shard with a snapshot of that many jobs and five short segments after it.
inline StoredShard shardWithSnapshot(int jobs)
{
    StoredShard shard;
    shard.row.object = "snapshot/0/1.0";
    shard.row.snapshot = 1;
    shard.row.head = 6;
    for (int i = 0; i < jobs; ++i) {
        steps::JobSpec spec;
        spec.id = std::to_string(i);
        shard.snapshot += steps::encodeRecord(steps::JobAccepted{spec, 0}) + "\n";
    }
    for (int i = 2; i <= 6; ++i) {
        const std::string record = steps::encodeRecord(steps::JobPurged{"unknown"}) + "\n";
        shard.segments.push_back({"journal/0000/000000000" + std::to_string(i), record, 1});
    }
    return shard;
}

// A newly acquired shard without workers.
class ShardFixture
{
public:
    explicit ShardFixture(const ShardRunnerSettings &settings = {}, const StoredShard &stored = {})
        : runner(std::make_shared<ShardRunner>(
            OwnedShard{0, stored.row, 10}, settings,
            ShardRunnerDependencies{
                m_loop, clock, table, objects, m_workers, latencies,
                [this] { return leaseValidUntil(); }, [this](int) { ++endedCount; },
                [this] { return loopLag; },
                [this] { return std::span<const steps::WorkerInfo>(allWorkers); }}))
    {
        objects.object = stored.snapshot;
        table.segments = stored.segments;
        runner->open();
    }

    void request(const ShardRequest &request)
    {
        reply.reset();
        runner->handle(request, [this](const ShardReply &a) { reply = a; });
        runLoop();
    }

    // Runs the loop for longer than JournalSettings::commitInterval, so that the journal may
    // commit again.
    void runLoop()
    {
        m_loop.runAfter(Millis{60}, [this] { m_loop.stop(); });
        m_loop.run();
    }

    // Runs what was posted before the call.
    void runPosted()
    {
        m_loop.post([this] { m_loop.stop(); });
        m_loop.run();
    }
    // Requests and makes the change durable, if there is one.
    ShardOutcome durableRequest(const ShardRequest &r)
    {
        request(r);
        table.finishCommits(CommitOutcome::Committed);
        return reply.value().outcome;
    }
    // Hands in jobs until one is refused without effect. Returns that outcome, or Ok if none was.
    ShardOutcome submitUntilRefused()
    {
        constexpr int maxJobs = 50;
        for (int i = 0; i < maxJobs; ++i) {
            const ShardOutcome outcome = durableRequest(job("refused-" + std::to_string(i)));
            if (hadNoEffect(outcome))
                return outcome;
        }
        return ShardOutcome::Ok;
    }

    static SubmitJob job(const std::string &id)
    {
        SubmitJob submit;
        submit.spec.id = id;
        submit.spec.policy.queue = "q";
        submit.spec.steps.resize(1);
        return submit;
    }

    // The lease of this entry is valid for another second, or ended just now.
    Instant leaseValidUntil() const
    {
        return hasValidLease ? clock.now() + Millis{1'000} : clock.now();
    }

    bool hasValidLease = true;
    int endedCount = 0;
    Millis loopLag;
    SlowClock clock;
    ManualTable table;
    UnavailableObjectStore objects;
    ShardLatencies latencies;
    std::optional<ShardReply> reply;
    std::vector<steps::WorkerInfo> allWorkers; // Of all shards.

private:
    EventLoop m_loop;
    UnresponsiveWorkers m_workers;

public:
    std::shared_ptr<ShardRunner> runner;
};

} // namespace savorywick::testing
