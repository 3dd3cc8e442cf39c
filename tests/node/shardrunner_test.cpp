#include "node/shardrunner.h"

#include "core/bootclock.h"

#include <doctest/doctest.h>

#include <optional>
#include <vector>

using namespace savorywick;

namespace {

// A store that commits when it is told to.
class HandTable final : public AsyncTable
{
public:
    void commit(const Transaction &, Committed done) override
    {
        waiting.push_back(std::move(done));
    }
    void read(const std::vector<std::string> &, RowsRead done) override { done(std::nullopt); }
    void scan(const std::string &, const std::string &, std::size_t, RowsRead done) override
    {
        done(std::vector<Row>{});
    }

    void finish(CommitOutcome outcome)
    {
        for (const Committed &it : std::exchange(waiting, {}))
            it({outcome, ++m_version});
    }

    std::vector<Committed> waiting;

private:
    std::uint64_t m_version = 10;
};

class NoObjects final : public AsyncObjectStore
{
public:
    void put(const std::string &, const std::string &, Done done) override { done(false); }
    void fetch(const std::string &, Fetched done) override { done(std::nullopt); }
    void remove(const std::string &) override { }
};

class NoWorkers final : public WorkerLink
{
public:
    void renew(const steps::RenewLeaseCommand &, RenewDone) override { }
    void start(const steps::StartRunCommand &, OrderDone) override { }
    void stop(const steps::StopRunCommand &, OrderDone) override { }
    void pace(const steps::ThrottleRunCommand &, OrderDone) override { }
};

// A shard without workers that its entry has just taken.
class Shard
{
public:
    Shard()
        : runner(std::make_shared<ShardRunner>(
            OwnedShard{0, {.owner = "a.1", .epoch = 1}, 10}, ShardRunnerSettings{},
            ShardRunnerParts{m_loop, m_clock, table, m_objects, m_workers, times,
                             [this] { return mayAct; }, [this](int) { ++overs; }}))
    {
        runner->open();
    }

    void ask(const ShardRequest &request)
    {
        answer.reset();
        runner->handle(request, [this](const ShardAnswer &a) { answer = a; });
        turn();
    }

    // Lets the loop run until the journal may commit again.
    void turn()
    {
        m_loop.after(Millis{60}, [this] { m_loop.stop(); });
        m_loop.run();
    }

    static SubmitJob job(const std::string &id)
    {
        SubmitJob submit;
        submit.spec.id = id;
        submit.spec.policy.queue = "q";
        submit.spec.steps.resize(1);
        return submit;
    }

    bool mayAct = true;
    int overs = 0;
    HandTable table;
    ShardTimes times;
    std::optional<ShardAnswer> answer;

private:
    EventLoop m_loop;
    BootClock m_clock;
    NoObjects m_objects;
    NoWorkers m_workers;

public:
    std::shared_ptr<ShardRunner> runner;
};

} // namespace

TEST_CASE("A job is accepted only once its record is durable")
{
    Shard shard;
    shard.ask(Shard::job("j"));
    CHECK_FALSE(shard.answer.has_value());
    CHECK(shard.times.restore.count() == 1);
    CHECK(shard.times.submitCommit.count() == 0);
    REQUIRE(shard.table.waiting.size() == 1);
    shard.table.finish(CommitOutcome::Committed);
    REQUIRE(shard.answer.has_value());
    CHECK(shard.times.submitCommit.count() == 1);
    CHECK((shard.answer->outcome == ShardOutcome::Ok));
    shard.turn();
    shard.ask(ShowJob{"j"});
    CHECK((shard.answer->outcome == ShardOutcome::Ok));
    CHECK((shard.answer->state == steps::JobState::Queued));
    shard.ask(ShowJob{"other"});
    CHECK((shard.answer->outcome == ShardOutcome::UnknownJob));
}

TEST_CASE("An owner that does not reach the store refuses at once")
{
    Shard shard;
    shard.mayAct = false;
    shard.ask(Shard::job("j"));
    REQUIRE(shard.answer.has_value());
    CHECK((shard.answer->outcome == ShardOutcome::StoreDown));
    CHECK(shard.table.waiting.empty());
}

TEST_CASE("While the store takes no commits new jobs are refused and earlier ones wait")
{
    Shard shard;
    std::optional<ShardAnswer> first;
    shard.runner->handle(Shard::job("a"), [&](const ShardAnswer &a) { first = a; });
    shard.turn();
    shard.table.finish(CommitOutcome::Unavailable);
    shard.ask(Shard::job("b"));
    REQUIRE(shard.answer.has_value());
    CHECK((shard.answer->outcome == ShardOutcome::StoreDown));
    CHECK_FALSE(first.has_value());
    shard.turn();
    shard.table.finish(CommitOutcome::Committed);
    REQUIRE(first.has_value());
    CHECK((first->outcome == ShardOutcome::Ok));
}

TEST_CASE("A shard that is lost answers what waits as undecided and ends once")
{
    Shard shard;
    shard.ask(Shard::job("j"));
    shard.runner->drop();
    shard.runner->drop();
    REQUIRE(shard.answer.has_value());
    CHECK((shard.answer->outcome == ShardOutcome::Undecided));
    CHECK(shard.overs == 1);
}

TEST_CASE("A shard is released once all that was begun is durable")
{
    Shard shard;
    shard.ask(Shard::job("j"));
    shard.runner->release();
    shard.turn();
    CHECK(shard.overs == 0);
    for (int i = 0; i < 3 && shard.overs == 0; ++i) {
        shard.table.finish(CommitOutcome::Committed);
        shard.turn();
    }
    CHECK(shard.overs == 1);
    CHECK((shard.answer->outcome == ShardOutcome::Ok));
    shard.ask(Shard::job("k"));
    CHECK((shard.answer->outcome == ShardOutcome::NotOwner));
}
