#pragma once

#include "fakeworker.h"
#include "savorywick/jobscheduler.h"

#include <doctest/doctest.h>

#include <memory>
#include <set>

namespace savorywick {

inline HostInfo makeWorkerInfo(const std::string &id, int cores = 8)
{
    HostInfo info;
    info.id = id;
    info.role = HostRole::Worker;
    info.cores = cores;
    info.memoryMb = 16'000;
    return info;
}

inline JobSpec makeJobSpec(const std::string &id, int cores = 1)
{
    JobSpec s;
    s.id = id;
    s.service = "matching";
    s.runClass = "allocation";
    s.team = "derwent";
    s.idempotencyKey = "key-" + id;
    s.bodyHash = "hash";
    s.demand = {cores, 1'000, 0};
    s.expectedDuration = Millis{60'000};
    s.checkpointable = true;
    return s;
}

inline std::string nameOf(const SubmitResult &result)
{
    return std::string(toString(result.outcome));
}

inline std::string nameOf(const std::optional<JobState> &state)
{
    return state ? std::string(toString(*state)) : std::string();
}

// Runs a JobScheduler in virtual time with fake workers, for tests of one owner. Journal records
// are durable at once, and workers answer at once unless they are disconnected.
//
// Example:
//   SchedulerFixture fixture(2);
//   fixture.submit(makeJobSpec("a"));
//   fixture.runFor(Millis{70'000});
//   CHECK(fixture.state("a") == "finished");
class SchedulerFixture
{
public:
    explicit SchedulerFixture(int workers, const JobSchedulerSettings &settings = {})
        : m_settings(settings)
        , m_scheduler(std::make_unique<JobScheduler>(settings))
    {
        for (int n = 0; n < workers; ++n) {
            m_workerInfos.push_back(makeWorkerInfo("w" + std::to_string(n)));
            m_workers.emplace(m_workerInfos.back().id, FakeWorker(m_workerInfos.back(), 1.0));
        }
        m_scheduler->takeOver(now());
        m_scheduler->setWorkers(m_workerInfos, now());
    }

    JobScheduler &scheduler() { return *m_scheduler; }
    FakeWorker &worker(const std::string &id) { return m_workers.at(id); }
    Instant now() const { return Instant{m_now.count()}; }
    const Job &job(const std::string &id) const { return *m_scheduler->find(id); }
    std::string state(const std::string &id) const { return std::string(toString(job(id).state)); }
    // Makes calls to a worker fail without an answer.
    void disconnect(const std::string &worker) { m_disconnectedWorkers.insert(worker); }
    void reconnect(const std::string &worker) { m_disconnectedWorkers.erase(worker); }
    // Returns the number of StartTask calls made so far.
    std::size_t startCalls() const { return m_startCalls; }

    SubmitResult submit(const JobSpec &s)
    {
        JobScheduler::Records records;
        SubmitResult result = m_scheduler->submit(s, now(), records);
        appendRecords(records);
        return result;
    }

    std::optional<JobState> cancel(const std::string &id)
    {
        JobScheduler::Records records;
        const auto state = m_scheduler->cancel(id, now(), records);
        appendRecords(records);
        return state;
    }

    bool evict(const std::string &id)
    {
        JobScheduler::Records records;
        const bool begun = m_scheduler->evict(id, now(), records);
        appendRecords(records);
        return begun;
    }

    SubmitResult watch(const WatcherSpec &s)
    {
        JobScheduler::Records records;
        SubmitResult result = m_scheduler->watch(s, now(), records);
        appendRecords(records);
        return result;
    }

    // Does a step now and then every half second, up to and including `span` from now.
    void runFor(Millis span)
    {
        const Millis end = m_now + span;
        do {
            step();
            m_now = m_now + Millis{500};
        } while (m_now <= end);
    }

    // Does one tick of the scheduler and carries out the calls that follow from it.
    void step()
    {
        for (auto &[id, worker] : m_workers)
            worker.advance(m_now);
        JobScheduler::Records records;
        m_scheduler->tick(now(), records);
        appendRecords(records);
        for (int n = 0; n < 10; ++n) {
            for (const WorkerCall &effect : m_scheduler->takeCalls()) {
                if (m_scheduler->isStillValid(effect))
                    std::visit([this](const auto &call) { carryOut(call); }, effect);
            }
        }
    }

    // Replaces the scheduler by one that replays the records and takes over. Checks that the replay
    // gives the same state unless `complete` is false, that is, records were dropped.
    void replaceOwner(bool complete = true)
    {
        const std::string before = m_scheduler->snapshot();
        m_scheduler = std::make_unique<JobScheduler>(m_settings);
        for (const std::string &record : m_records)
            m_scheduler->apply(record);
        if (complete)
            CHECK(m_scheduler->snapshot() == before);
        ++m_epoch;
        m_scheduler->takeOver(now());
        m_scheduler->setWorkers(m_workerInfos, now());
    }

    // Drops the latest records, as if a crash had prevented their commit.
    void dropLatestRecords(std::size_t count) { m_records.resize(m_records.size() - count); }

private:
    void appendRecords(const JobScheduler::Records &records)
    {
        m_records.insert(m_records.end(), records.begin(), records.end());
    }

    bool isReachable(const std::string &worker) const
    {
        return !m_disconnectedWorkers.contains(worker);
    }

    void carryOut(const RenewLease &call)
    {
        JobScheduler::Records records;
        const auto report = isReachable(call.worker)
            ? worker(call.worker).renew(call, m_epoch, m_now)
            : std::nullopt;
        if (report)
            m_scheduler->handleLeaseReply(call.worker, *report, now(), records);
        else
            m_scheduler->handleLeaseFailure(call.worker, now());
        appendRecords(records);
    }

    void carryOut(const StartTask &call)
    {
        JobScheduler::Records records;
        ++m_startCalls;
        StartReply reply;
        if (isReachable(call.worker))
            reply = worker(call.worker).start(call, m_epoch, m_now);
        m_scheduler->handleStartReply(call.job, call.attempt, reply, now(), records);
        appendRecords(records);
    }

    void carryOut(const StopTask &call)
    {
        JobScheduler::Records records;
        const bool stopped = isReachable(call.worker) && worker(call.worker).stop(call, m_epoch);
        m_scheduler->handleStopReply(call, stopped, now(), records);
        appendRecords(records);
    }

    void carryOut(const CheckpointTask &call)
    {
        JobScheduler::Records records;
        std::optional<std::string> checkpoint;
        if (isReachable(call.worker))
            checkpoint = worker(call.worker).checkpoint(call, m_epoch, m_now);
        m_scheduler->handleCheckpointReply(call.job, call.attempt, checkpoint, now(), records);
        appendRecords(records);
    }

    void carryOut(const ThrottleTask &) { }

    JobSchedulerSettings m_settings;
    std::unique_ptr<JobScheduler> m_scheduler;
    std::vector<HostInfo> m_workerInfos;
    std::map<std::string, FakeWorker> m_workers;
    std::set<std::string> m_disconnectedWorkers;
    JobScheduler::Records m_records;
    Millis m_now;
    std::uint64_t m_epoch = 1;
    std::size_t m_startCalls = 0;
};

} // namespace savorywick
