// Measures the shard journal and the job scheduler: writes and delays of group commit, memory and
// CPU time per job, and the times of recovery and takeover.

#include "measure.h"
#include "report.h"
#include "savorywick/jobscheduler.h"
#include "savorywick/journal.h"
#include "savorywick/shardlease.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <deque>
#include <map>
#include <random>
#include <utility>

using namespace savorywick;
using bench::Metric;

namespace {

constexpr unsigned seed = 20'261'203;
const std::string benchName = "journal";

double cpuMillis()
{
    return 1'000.0 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

OwnedShard ownedShard()
{
    OwnedShard owned;
    owned.row.owner = "entry.1";
    owned.row.epoch = 1;
    owned.version = 1;
    return owned;
}

JobSpec makeJobSpec(int n)
{
    JobSpec s;
    s.id = "run-" + std::to_string(n);
    s.service = "matching";
    s.runClass = "allocation";
    s.team = n % 3 == 0 ? "derwent" : "kestrel";
    s.idempotencyKey = "key-" + std::to_string(n);
    s.bodyHash = "9f86d081884c7d65";
    s.demand = {1, 1'000, 0};
    s.expectedDuration = Millis{60'000};
    s.payload = std::string(100, 'p');
    return s;
}

struct Workload
{
    int startsPerSecond = 100;
    Millis commitEvery{20};
    Millis storeLatency{5}; // Mean; each commit takes 0.5 to 1.5 times this.
    int burst = 1;
};

struct PendingStart
{
    LogSequenceNumber lsn;
    Instant at;
};

struct CommitStats
{
    std::vector<double> delaysMs;
    double commits = 0;
    double starts = 0;
    double bytes = 0;
    double seconds = 0;
};

// Simulates the group commit of one shard in virtual time.
CommitStats simulateCommits(const Workload &load)
{
    constexpr int simulatedMs = 20'000;
    constexpr int recordsPerStart = 3; // Submit, place and end records.
    std::mt19937 random(seed);
    std::poisson_distribution<int> arrivals(load.startsPerSecond / 1'000.0);
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    JournalSettings settings;
    settings.commitInterval = load.commitEvery;
    settings.commitBurst = load.burst;
    Journal journal(ownedShard(), settings);
    const std::vector<std::string> records(recordsPerStart, std::string(160, 'r'));
    CommitStats figures;
    std::deque<PendingStart> waiting;
    Instant commitEndsAt;
    bool inFlight = false;
    for (Instant now; now.count() < simulatedMs; now = now + Millis{1}) {
        for (int n = arrivals(random); n > 0; --n) {
            waiting.push_back({journal.append(records), now});
            ++figures.starts;
        }
        if (inFlight && now >= commitEndsAt) {
            journal.handleCommitResult({CommitOutcome::Committed, 2}, now);
            inFlight = false;
        }
        for (; !waiting.empty() && waiting.front().lsn <= journal.durableLsn(); waiting.pop_front())
            figures.delaysMs.push_back(static_cast<double>((now - waiting.front().at).count()));
        const auto t = journal.nextCommit(now);
        if (!t)
            continue;
        ++figures.commits;
        for (const Write &it : t->writes)
            figures.bytes += static_cast<double>(it.key.size() + it.value.value_or("").size());
        const double commitMs = static_cast<double>(load.storeLatency.count()) * spread(random);
        inFlight = true;
        commitEndsAt = now + Millis{std::max<std::int64_t>(1, std::llround(commitMs))};
    }
    figures.seconds = simulatedMs / 1'000.0;
    return figures;
}

void reportCommits(const Workload &load)
{
    CommitStats f = simulateCommits(load);
    const std::string name = std::to_string(load.startsPerSecond) + " starts/s, every "
        + std::to_string(load.commitEvery.count()) + " ms, burst " + std::to_string(load.burst)
        + ", store " + std::to_string(load.storeLatency.count()) + " ms";
    bench::report(benchName, name,
                  {{"writesPer1000Starts", 1'000 * f.commits / f.starts},
                   {"startsPerWrite", f.starts / f.commits},
                   {"writesPerSecond", f.commits / f.seconds},
                   {"kilobytesPerSecond", f.bytes / 1'000 / f.seconds},
                   {"delayP50Ms", bench::quantile(f.delaysMs, 0.5)},
                   {"delayP99Ms", bench::quantile(f.delaysMs, 0.99)}});
}

void measureCommits()
{
    bench::reportTableHeader("group commit of one shard",
                             {"writes per 1,000 starts", "starts per write", "writes/s", "kB/s",
                              "delay p50 ms", "delay p99 ms"});
    for (const int rate : {10, 100, 469}) {
        for (const int every : {1, 20, 50, 100})
            reportCommits({rate, Millis{every}, Millis{5}, 1});
        reportCommits({rate, Millis{50}, Millis{5}, 10});
    }
    for (const int latency : {2, 20, 100, 500, 2'000})
        reportCommits({100, Millis{50}, Millis{latency}, 10});
}

// Test double of workers that answer at once and finish every attempt by the next lease renewal.
class ImmediateWorkers
{
public:
    explicit ImmediateWorkers(int count)
    {
        for (int n = 0; n < count; ++n) {
            HostInfo info;
            info.id = "worker-" + std::to_string(n);
            info.role = HostRole::Worker;
            info.rack = "rack-" + std::to_string(n / 11);
            info.cores = 64;
            info.memoryMb = 250'000;
            m_infos.push_back(info);
        }
    }

    const std::vector<HostInfo> &infos() const { return m_infos; }

    void answer(JobScheduler &scheduler, Instant now, JobScheduler::Records &records)
    {
        for (const WorkerCall &call : scheduler.takeCalls()) {
            if (const auto *renew = std::get_if<RenewLease>(&call)) {
                auto &tasks = m_tasks[renew->worker];
                scheduler.handleLeaseReply(renew->worker, {"1", std::exchange(tasks, {}), {}, {}},
                                           now, records);
            } else if (const auto *start = std::get_if<StartTask>(&call)) {
                scheduler.handleStartReply(start->job, start->attempt, {StartOutcome::Running, {}},
                                           now, records);
                m_tasks[start->worker].push_back(
                    {start->job, start->attempt, TaskState::Finished, {}, "done", {}});
            }
        }
    }

private:
    std::vector<HostInfo> m_infos;
    std::map<std::string, std::vector<TaskReport>> m_tasks;
};

struct JobSchedulerCost
{
    double submitCpuMs = 0; // For all jobs.
    double runCpuMs = 0;
    double waitingBytes = 0;
    double finalBytes = 0;
    std::vector<std::string> records;
    std::string snapshot;
};

JobSchedulerCost measureJobs(int jobs)
{
    constexpr int workers = 65;
    JobSchedulerCost figures;
    const double before = bench::heapBytes();
    JobSchedulerSettings settings;
    settings.maxPlacementsPerTick = 4'096;
    JobScheduler scheduler(settings);
    ImmediateWorkers pool(workers);
    Instant now;
    scheduler.takeOver(now);
    scheduler.setWorkers(pool.infos(), now);
    JobScheduler::Records records;
    const double start = cpuMillis();
    for (int n = 0; n < jobs; ++n)
        scheduler.submit(makeJobSpec(n), now, records);
    figures.submitCpuMs = cpuMillis() - start;
    figures.records = std::move(records);
    double recordBytes = 0;
    for (const std::string &it : figures.records)
        recordBytes += static_cast<double>(it.capacity() + sizeof(std::string));
    figures.waitingBytes = bench::heapBytes() - before - recordBytes;
    const double runStart = cpuMillis();
    while (scheduler.count(JobState::Finished) < static_cast<std::size_t>(jobs)) {
        records.clear();
        scheduler.tick(now, records);
        pool.answer(scheduler, now, records);
        std::ranges::move(records, std::back_inserter(figures.records));
        now = now + Millis{1'000};
    }
    figures.runCpuMs = cpuMillis() - runStart;
    figures.snapshot = scheduler.snapshot();
    return figures;
}

double replayCpuMs(const std::vector<std::string> &records)
{
    JobScheduler scheduler{JobSchedulerSettings{}};
    const double start = cpuMillis();
    for (const std::string &it : records)
        scheduler.apply(it);
    scheduler.takeOver(Instant{});
    return cpuMillis() - start;
}

double restoreCpuMs(const std::string &snapshot)
{
    JobScheduler scheduler{JobSchedulerSettings{}};
    const double start = cpuMillis();
    scheduler.restore(snapshot);
    scheduler.takeOver(Instant{});
    return cpuMillis() - start;
}

void measureJobScheduler()
{
    struct Recovery
    {
        int jobs;
        std::size_t records;
        double bytes;
        double replayMs;
        double restoreMs;
    };
    std::vector<Recovery> recoveries;
    bench::reportTableHeader(
        "one shard's book",
        {"bytes per waiting job", "submit µs per job", "place, start and end µs per job"});
    for (const int jobs : {1'000, 10'000, 100'000}) {
        const JobSchedulerCost f = measureJobs(jobs);
        bench::report(benchName, std::to_string(jobs) + " jobs",
                      {{"bytesPerWaitingJob", f.waitingBytes / jobs},
                       {"submitMicros", 1'000 * f.submitCpuMs / jobs},
                       {"runMicros", 1'000 * f.runCpuMs / jobs}});
        double bytes = 0;
        for (const std::string &it : f.records)
            bytes += static_cast<double>(it.size()) + 1;
        recoveries.push_back(
            {jobs, f.records.size(), bytes, replayCpuMs(f.records), restoreCpuMs(f.snapshot)});
    }
    bench::reportTableHeader("recovery (processor time)",
                             {"records", "MB of journal", "replay ms", "snapshot restore ms"});
    for (const Recovery &it : recoveries)
        bench::report(benchName, "recovery of " + std::to_string(it.jobs) + " jobs",
                      {{"records", static_cast<double>(it.records)},
                       {"journalMegabytes", it.bytes / 1e6},
                       {"replayMs", it.replayMs},
                       {"restoreMs", it.restoreMs}});
}

// Fault-free table shared by two shard lease managers.
class InMemoryTable
{
public:
    CommitResult commit(const Transaction &t)
    {
        for (const Condition &it : t.conditions) {
            const auto row = m_rows.find(it.key);
            if ((row == m_rows.end() ? 0 : row->second.version) != it.version)
                return {CommitOutcome::Conflict, 0};
        }
        ++m_version;
        for (const Write &it : t.writes) {
            if (it.value)
                m_rows[it.key] = {it.key, *it.value, m_version};
            else
                m_rows.erase(it.key);
        }
        return {CommitOutcome::Committed, m_version};
    }

    std::vector<Row> rows(const std::string &prefix) const
    {
        std::vector<Row> all;
        for (const auto &[key, row] : m_rows) {
            if (key.starts_with(prefix))
                all.push_back(row);
        }
        return all;
    }

private:
    std::map<std::string, Row> m_rows;
    std::uint64_t m_version = 0;
};

void runLeaseRound(ShardLeaseManager &leaseManager, InMemoryTable &table, Instant now)
{
    if (const auto t = leaseManager.nextRenewal(now))
        leaseManager.handleRenewalResult(table.commit(*t), now);
    leaseManager.observe(table.rows("entry/"), table.rows("shard/"), now);
    for (const Transaction &t : leaseManager.expiryTransactions(now))
        table.commit(t);
    leaseManager.observe(table.rows("entry/"), table.rows("shard/"), now);
    for (const ShardClaim &claim : leaseManager.claimFreeShards(now))
        leaseManager.handleClaimResult(claim, table.commit(claim.transaction));
}

// Simulates two owners in virtual time. Returns the milliseconds from the stop of one of them until
// the other owns all shards.
double takeoverMs(int stopAtMs, int phaseMs, bool graceful)
{
    constexpr std::size_t shardCount = 16; // The default of ShardLeaseSettings.
    constexpr int roundIntervalMs = 500; // Between the rounds of a lease manager.
    InMemoryTable table;
    ShardLeaseManager stopping("a.1", "", {});
    ShardLeaseManager surviving("b.1", "", {});
    for (int now = 0;; ++now) {
        if (now % roundIntervalMs == 0 && now < stopAtMs)
            runLeaseRound(stopping, table, Instant{now});
        if (now == stopAtMs && graceful)
            table.commit(stopping.endSessionTransaction());
        if (now % roundIntervalMs == phaseMs)
            runLeaseRound(surviving, table, Instant{now});
        if (now > stopAtMs && surviving.ownedShards().size() == shardCount)
            return now - stopAtMs;
    }
}

void measureTakeovers()
{
    bench::reportTableHeader("takeover of 8 of 16 shards (virtual time)", {"p50 ms", "longest ms"});
    for (const bool graceful : {false, true}) {
        std::mt19937 random(seed);
        std::vector<double> takeoversMs;
        for (int n = 0; n < 60; ++n) {
            const int stopAtMs = std::uniform_int_distribution<int>(5'000, 15'000)(random);
            const int phaseMs = std::uniform_int_distribution<int>(0, 499)(random);
            takeoversMs.push_back(takeoverMs(stopAtMs, phaseMs, graceful));
        }
        const double longestMs = *std::ranges::max_element(takeoversMs);
        bench::report(benchName, graceful ? "owner left in order" : "owner died",
                      {{"takeoverP50Ms", bench::quantile(takeoversMs, 0.5)},
                       {"takeoverLongestMs", longestMs}});
    }
}

} // namespace

int main()
{
    measureCommits();
    measureJobScheduler();
    measureTakeovers();
    return 0;
}
