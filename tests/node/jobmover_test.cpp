// Tests of jobs that owners of shards hand over to each other.

#include "node/jobmover.h"

#include "../steps/coordinatorharness.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace savorywick;
using namespace savorywick::steps;
using namespace savorywick::steps::testing;

namespace {

constexpr int shardCount = 3;
constexpr Millis stepTime{20};

// Three shards of one worker each, whose owners hand jobs over to each other through messages that
// the test may lose, repeat and hold back. Owners are replaced, and commits held back, at will.
class MovingJobs
{
public:
    MovingJobs()
    {
        for (int i = 0; i < shardCount; ++i) {
            m_shards.push_back(std::make_unique<Shard>(i));
            m_shards.back()->harness.progressPercent = 50;
            openMover(i);
        }
        label(0, "x");
        label(1, "y");
        label(2, "z");
    }

    // Gives the worker of the shard this label only.
    void label(int shard, const std::string &label)
    {
        m_shards[shard]->harness.setLabels(0, {label});
        assignFit();
    }

    void submit(int shard, const std::string &id, const std::vector<std::string> &labels)
    {
        JobSpec spec;
        spec.id = id;
        spec.policy = {"q", "matching", 0, 2, 2.0, Millis{500}};
        for (const std::string &it : labels) {
            StepSpec next = tasks(2, 1'000);
            next.neededLabel = it;
            if (!spec.steps.empty())
                next.dependsOn = {static_cast<int>(spec.steps.size()) - 1};
            spec.steps.push_back(next);
        }
        m_shards[shard]->harness.coordinator().submit(spec, harness(shard).now());
        m_jobs.insert(id);
    }

    void replaceOwner(int shard)
    {
        ++m_shards[shard]->life;
        m_shards[shard]->held.clear();
        harness(shard).replaceOwner();
        openMover(shard);
    }

    void advance(Millis span)
    {
        for (Millis t{0}; t < span; t = t + stepTime)
            advanceOnce();
    }

    // Ends all runs as done.
    void finishRuns()
    {
        for (const auto &it : m_shards) {
            for (const StartRunCommand &start : std::vector(it->harness.starts)) {
                const RunKey key{start.task, start.run};
                if (m_finished.insert(key).second) {
                    RC_ASSERT(m_done.insert(start.task).second);
                    it->harness.reportEnd(start.target.worker.workerId, key, RunOutcome::Done);
                }
            }
        }
    }

    // Returns the shards in which the job may start tasks.
    std::set<int> shardsActingOn(const std::string &id)
    {
        std::set<int> shards;
        for (int i = 0; i < shardCount; ++i) {
            const Coordinator &owner = harness(i).coordinator();
            if (owner.jobTable().find(id) && !owner.transfers().leavingTo(id))
                shards.insert(i);
        }
        return shards;
    }

    // Returns the job's state as callers are told who ask at its home shard, or nothing if they are
    // told that it is unknown.
    std::optional<JobState> stateAt(int shard, const std::string &id)
    {
        for (int i = 0; i < 40; ++i) {
            const Coordinator &owner = harness(shard).coordinator();
            const auto next = owner.transfers().delegatedTo(id);
            if (!next)
                return owner.durableState(id);
            shard = *next;
        }
        return {};
    }

    CoordinatorHarness &harness(int shard) { return m_shards[shard]->harness; }
    const std::set<std::string> &jobs() const { return m_jobs; }

    int losesOneIn = 0; // Of the requests, and of the replies; 0 for none.
    int repeatsOneIn = 0; // Of the requests, a few seconds later.
    std::function<int(int)> randomBelow = [](int) { return 1; };
    int requestsSent = 0;

private:
    struct Reply
    {
        LogSequenceNumber lsn = 0; // It is sent once this is durable.
        int to = 0;
        int toLife = 0;
        ShardReplyCallback callback;
    };
    struct Shard
    {
        explicit Shard(int)
            : harness(1)
        { }
        CoordinatorHarness harness;
        std::unique_ptr<JobMover> mover;
        std::deque<Reply> held;
        int life = 0;
    };
    struct Message
    {
        Instant at;
        int from = 0;
        int fromLife = 0;
        int to = 0;
        TakeJob request;
        ShardReplyCallback callback;
    };

    bool happensOneIn(int n) { return n > 0 && randomBelow(n) == 0; }

    void openMover(int shard)
    {
        m_shards[shard]->mover = std::make_unique<JobMover>(
            shard, JobMoverSettings{}, &m_fit,
            [this, shard](int to, const ShardRequest &request, Millis,
                          const ShardReplyCallback &onReply) {
                send(shard, to, std::get<TakeJob>(request), onReply);
            },
            [this, shard](const std::string &job, int handovers) {
                harness(shard).coordinator().confirmHandover(job, handovers, harness(shard).now());
            });
    }

    void send(int from, int to, const TakeJob &request, const ShardReplyCallback &onReply)
    {
        ++requestsSent;
        const Instant now = harness(from).now().monotonic;
        const Message message{now + stepTime, from, m_shards[from]->life, to, request, onReply};
        if (happensOneIn(repeatsOneIn)) {
            m_messages.push_back(message);
            m_messages.back().at = now + Millis{100 + 100 * randomBelow(50)};
        }
        if (!happensOneIn(losesOneIn))
            m_messages.push_back(message);
        else
            onReply({});
    }

    void deliver(const Message &it)
    {
        RC_ASSERT(faultOf(it.request.transfer).empty());
        harness(it.to).coordinator().takeJob(it.request.transfer, harness(it.to).now());
        harness(it.to).step();
        m_shards[it.to]->held.push_back(
            {harness(it.to).appendedLsn(), it.from, it.fromLife, it.callback});
    }

    void sendReplies(Shard &shard)
    {
        while (!shard.held.empty() && shard.held.front().lsn <= shard.harness.durableLsn()) {
            const Reply reply = shard.held.front();
            shard.held.pop_front();
            if (m_shards[reply.to]->life != reply.toLife)
                continue;
            const auto outcome =
                happensOneIn(losesOneIn) ? ShardOutcome::Undecided : ShardOutcome::Ok;
            reply.callback({outcome, {}, 0});
        }
    }

    void advanceOnce()
    {
        const Instant now = harness(0).now().monotonic;
        std::vector<Message> due;
        std::copy_if(m_messages.begin(), m_messages.end(), std::back_inserter(due),
                     [now](const Message &it) { return it.at <= now; });
        std::erase_if(m_messages, [now](const Message &it) { return it.at <= now; });
        for (const Message &it : due)
            deliver(it);
        for (const auto &it : m_shards) {
            CoordinatorHarness &harness = it->harness;
            it->mover->chooseJobs(harness.coordinator(), harness.now());
            harness.advance(stepTime);
            it->mover->recordsAppended(harness.appendedLsn());
            it->mover->sendJobs(harness.coordinator(), harness.durableLsn(),
                                harness.now().monotonic);
            sendReplies(*it);
        }
        for (const std::string &id : m_jobs)
            RC_ASSERT(shardsActingOn(id).size() <= 1);
    }

    void assignFit()
    {
        m_fit.assign({}, {}, 0);
        m_workers.clear();
        for (const auto &it : m_shards)
            m_workers.push_back(it->harness.workers().front());
        const std::vector<int> shards{0, 1, 2};
        m_fit.assign(m_workers, shards, shardCount);
    }

    ShardFit m_fit;
    std::vector<WorkerInfo> m_workers;
    std::vector<std::unique_ptr<Shard>> m_shards;
    std::vector<Message> m_messages;
    std::set<std::string> m_jobs;
    std::set<RunKey> m_finished;
    std::set<TaskRef> m_done;
};

} // namespace

// Guards against a job that waits for ever since the only worker that suits it is in another shard.
TEST_CASE("A job moves to the shard that has a worker of the label that it needs")
{
    MovingJobs shards;
    shards.submit(0, "j", {"y"});
    shards.advance(Millis{900});
    CHECK(shards.shardsActingOn("j") == std::set{0});
    shards.advance(Millis{1'100});
    CHECK(shards.shardsActingOn("j") == std::set{1});
    CHECK(shards.harness(1).workersStartedOn("j").size() == 2);
    CHECK((shards.stateAt(0, "j") == JobState::Running));
    shards.finishRuns();
    shards.advance(Millis{500});
    CHECK((shards.stateAt(0, "j") == JobState::Completed));
    CHECK(shards.requestsSent == 1);
}

TEST_CASE("A job moves between two steps, with what it has done, and back to its first shard")
{
    MovingJobs shards;
    shards.submit(0, "j", {"x", "z", "x"});
    for (int i = 0; i < 3; ++i) {
        shards.advance(Millis{2'500});
        shards.finishRuns();
    }
    shards.advance(Millis{500});
    CHECK((shards.stateAt(0, "j") == JobState::Completed));
    CHECK(shards.harness(0).workersStartedOn("j").size() == 4);
    CHECK(shards.harness(2).workersStartedOn("j").size() == 2);
    CHECK(shards.harness(0).coordinator().counters().jobsTaken == 1);
}

TEST_CASE("A job that no worker suits stays, and moves once one comes to another shard")
{
    MovingJobs shards;
    shards.submit(0, "j", {"rare"});
    shards.advance(Millis{5'000});
    CHECK(shards.shardsActingOn("j") == std::set{0});
    CHECK(shards.requestsSent == 0);
    shards.label(2, "rare");
    shards.advance(Millis{1'000});
    CHECK(shards.shardsActingOn("j") == std::set{2});
}

// Guards against a job that waits for a worker that is listed and does not answer, such as one that
// another writer has listed.
TEST_CASE("A job moves away from workers that are listed and silent unless most of them are")
{
    CoordinatorHarness harness(3);
    std::vector<WorkerInfo> workers = harness.workers();
    for (WorkerInfo &it : workers)
        it.labels = {it.incarnation.workerId == "w0" ? "a" : "b"};
    for (int i = 0; i < 3; ++i)
        harness.setLabels(i, workers[static_cast<std::size_t>(i)].labels);
    workers.push_back(workers[0]); // In the other shard.
    ShardFit fit;
    fit.assign(workers, std::vector<int>{0, 0, 0, 1}, 2);
    std::vector<int> movedTo;
    JobMover mover(
        0, {}, &fit,
        [&](int shard, const ShardRequest &, Millis, const ShardReplyCallback &) {
            movedTo.push_back(shard);
        },
        [](const std::string &, int) {});
    const auto advance = [&](Millis span) {
        for (Millis t{0}; t < span; t = t + stepTime) {
            mover.chooseJobs(harness.coordinator(), harness.now());
            harness.advance(stepTime);
            mover.recordsAppended(harness.appendedLsn());
            mover.sendJobs(harness.coordinator(), harness.durableLsn(), harness.now().monotonic);
        }
    };
    harness.silentWorkers = {"w0", "w1", "w2"};
    advance(Millis{6'000});
    StepSpec step = task(1'000);
    step.neededLabel = "a";
    harness.submit("j", step);
    advance(Millis{6'000});
    CHECK(movedTo.empty());
    harness.silentWorkers = {"w0"};
    advance(Millis{4'000});
    CHECK(movedTo == std::vector<int>(movedTo.size(), 1));
    CHECK_FALSE(movedTo.empty());
}

TEST_CASE("A job that has been handed over often waits longer each time")
{
    JobTable table;
    JobTransfers transfers(table, [&](const Record &it) { table.apply(it); });
    JobSpec spec;
    spec.id = "j";
    spec.steps = {tasks(1, 1'000)};
    const auto factorAfter = [&](int handovers) {
        const JobTransfer arrival{
            "j", handovers, {JobAccepted{spec, 1}, JobStateSnapshot{"j", JobState::Queued, 0}}};
        transfers.take(arrival);
        return transfers.patienceFactor("j");
    };
    CHECK(transfers.patienceFactor("j") == 1);
    CHECK(factorAfter(4) == 1);
    CHECK(factorAfter(5) == 2);
    CHECK(factorAfter(7) == 8);
    CHECK(factorAfter(1'000) == 64);
}

// Guards against a receiver that starts a job while its sender could forget that it left.
TEST_CASE("Nobody is told of a job before it is durable that it leaves")
{
    MovingJobs shards;
    shards.submit(0, "j", {"y"});
    shards.advance(Millis{200});
    shards.harness(0).commits = false;
    shards.advance(Millis{3'000});
    CHECK(shards.requestsSent == 0);
    CHECK((shards.stateAt(0, "j") == JobState::Queued));
    shards.replaceOwner(0);
    CHECK(shards.shardsActingOn("j") == std::set{0});
    shards.harness(0).commits = true;
    shards.advance(Millis{2'000});
    CHECK(shards.shardsActingOn("j") == std::set{1});
}

TEST_CASE("The sender keeps a job that leaves until its receiver has made it durable")
{
    MovingJobs shards;
    shards.submit(0, "j", {"y"});
    shards.harness(1).commits = false;
    shards.advance(Millis{4'000});
    CHECK(shards.harness(0).coordinator().transfers().leavingTo("j") == 1);
    CHECK((shards.stateAt(0, "j") == JobState::Queued));
    shards.replaceOwner(1); // It forgets what was not durable.
    shards.replaceOwner(0);
    shards.harness(1).commits = true;
    shards.advance(Millis{2'000});
    CHECK(shards.harness(1).workersStartedOn("j").size() == 2);
    CHECK_FALSE(shards.harness(0).coordinator().jobTable().find("j"));
}

// Guards against a job of which only the first records are durable that is taken for the whole one.
TEST_CASE("A job that has arrived in part is forgotten by the next owner and taken again")
{
    MovingJobs shards;
    CoordinatorHarness &receiver = shards.harness(1);
    JobSpec spec;
    spec.id = "j";
    spec.policy.service = "matching";
    spec.steps = {tasks(2, 1'000)};
    Task done;
    done.done = true;
    done.lastRunNumber = 1;
    const JobTransfer transfer{"j",
                               1,
                               {JobAccepted{spec, 1}, TaskSnapshot{{"j", 0, 0, 0}, done},
                                JobStateSnapshot{"j", JobState::Running, 0}}};
    JobTable table;
    JobTransfers transfers(table, [&](const Record &it) { table.apply(it); });
    table.apply(JobArrived{"j", 1});
    table.apply(transfer.state[0]);
    transfers.takeOver(1);
    CHECK_FALSE(table.find("j"));
    CHECK_FALSE(transfers.hasTaken("j", 1));
    CHECK(transfers.hasTaken("j", 0)); // A late repetition of an earlier one must not be taken.
    transfers.take(transfer);
    CHECK(transfers.hasTaken("j", 1));
    CHECK_FALSE(transfers.hasTaken("j", 2));
    REQUIRE(table.find("j"));
    CHECK(table.find("j")->findTask({"j", 0, 0, 0})->done);
    receiver.coordinator().takeJob(transfer, receiver.now());
    receiver.coordinator().takeJob(transfer, receiver.now());
    receiver.advance(Millis{200});
    CHECK(receiver.workersStartedOn("j").size() == 1);
}

// Guards against a job that runs again when a request that was held back for long arrives.
TEST_CASE("A repeated hand-over has no effect once the job has gone on or was forgotten")
{
    JobTable table;
    JobTransfers transfers(table, [&](const Record &it) { table.apply(it); });
    JobSpec spec;
    spec.id = "j";
    spec.steps = {tasks(1, 1'000)};
    transfers.take({"j", 1, {JobAccepted{spec, 1}, JobStateSnapshot{"j", JobState::Queued, 0}}});
    transfers.begin("j", 2);
    CHECK(transfers.hasTaken("j", 1));
    transfers.confirm("j", 1'000);
    CHECK(transfers.hasTaken("j", 2));
    CHECK_FALSE(transfers.hasTaken("j", 3));
    CHECK(transfers.delegatedTo("j") == 2);
    transfers.take({"j", 3, {JobAccepted{spec, 1}, JobStateSnapshot{"j", JobState::Queued, 0}}});
    CHECK_FALSE(transfers.delegatedTo("j").has_value());
    table.apply(JobPurged{"j"});
    transfers.notePurged("j", 5'000);
    CHECK(transfers.hasTaken("j", 3));
    JobTable restored;
    for (const Record &it : table.snapshot())
        restored.apply(it);
    JobTransfers next(restored, [&](const Record &it) { restored.apply(it); });
    next.takeOver(6'000);
    CHECK(next.hasTaken("j", 3));
    next.forgetExpired(Millis{10'000}, 16'000);
    CHECK_FALSE(next.hasTaken("j", 3));
}

// Guards against a job that both shards have forgotten: it had come back and was leaving again when
// a reply to its earlier hand-over arrived.
TEST_CASE("A late reply to an earlier hand-over of a job confirms nothing")
{
    CoordinatorHarness harness(1);
    harness.submit("j", task(64'000));
    REQUIRE(harness.coordinator().handOver("j", 1, harness.now()));
    JobTransfer back = harness.coordinator().transfers().transferOf("j");
    CHECK(back.handovers == 1);
    back.handovers = 2;
    harness.coordinator().takeJob(back, harness.now());
    harness.step();
    REQUIRE(harness.coordinator().handOver("j", 2, harness.now()));
    CHECK_FALSE(harness.coordinator().confirmHandover("j", 1, harness.now()));
    CHECK(harness.coordinator().transfers().leavingTo("j") == 2);
    CHECK(harness.coordinator().confirmHandover("j", 3, harness.now()));
    CHECK(harness.coordinator().transfers().delegatedTo("j") == 2);
}

TEST_CASE("A transfer of anything but one waiting job is refused")
{
    JobSpec spec;
    spec.id = "j";
    Task running;
    running.activeRuns = {{1, {"w", 1}}};
    const Record accepted = JobAccepted{spec, 1};
    const Record state = JobStateSnapshot{"j", JobState::Queued, 0};
    CHECK(faultOf({"j", 1, {accepted, state}}).empty());
    const std::vector<JobTransfer> faulty = {
        {"j", 0, {accepted, state}},
        {"j", 1, {accepted}},
        {"j", 1, {}},
        {"k", 1, {accepted, state}},
        {"j", 1, {accepted, TaskSnapshot{{"j", 0, 0, 0}, running}, state}},
        {"j", 1, {accepted, JobPurged{"other"}, state}},
        {"j", 1, {accepted, JobStateSnapshot{"j", JobState::Completed, 1}}},
    };
    for (const JobTransfer &it : faulty)
        CHECK_FALSE(faultOf(it).empty());
}

TEST_CASE("Whatever is lost or late no job is lost or acts in two shards or runs a task twice")
{
    CHECK(rc::check("moving labels, replaced owners, lost and repeated and late messages", [] {
        MovingJobs shards;
        shards.randomBelow = [](int n) { return *rc::gen::inRange(0, n); };
        const std::vector<std::string> labels{"x", "y", "z", "none"};
        shards.losesOneIn = 3;
        shards.repeatsOneIn = 3;
        const int jobs = *rc::gen::inRange(1, 6);
        for (int n = 0; n < jobs; ++n) {
            std::vector<std::string> needs;
            for (int i = *rc::gen::inRange(1, 4); i > 0; --i)
                needs.push_back(labels[*rc::gen::inRange(0, 3)]);
            shards.submit(*rc::gen::inRange(0, shardCount), "job" + std::to_string(n), needs);
            shards.advance(Millis{200}); // Its acceptance is durable.
        }
        for (int round = *rc::gen::inRange(2, 12); round > 0; --round) {
            const int shard = *rc::gen::inRange(0, shardCount);
            shards.harness(shard).commits = *rc::gen::inRange(0, 3) > 0;
            shards.label(*rc::gen::inRange(0, shardCount), labels[*rc::gen::inRange(0, 4)]);
            shards.advance(Millis{*rc::gen::inRange(20, 2'000)});
            if (*rc::gen::inRange(0, 2) == 0)
                shards.replaceOwner(*rc::gen::inRange(0, shardCount));
            if (*rc::gen::inRange(0, 2) == 0)
                shards.finishRuns();
        }
        for (int i = 0; i < shardCount; ++i) {
            shards.harness(i).commits = true;
            shards.label(i, labels[i]);
        }
        shards.losesOneIn = 0;
        for (int i = 0; i < 12; ++i) {
            shards.advance(Millis{4'000});
            shards.finishRuns();
        }
        for (const std::string &id : shards.jobs()) {
            for (int i = 0; i < shardCount; ++i) {
                if (const auto state = shards.stateAt(i, id))
                    RC_ASSERT(*state == JobState::Completed);
            }
            RC_ASSERT(shards.shardsActingOn(id).size() == 1U);
        }
    }));
}
