// Measures scaling costs that no other benchmark covers: reading the rows of entries and shards,
// assigning workers to slices, and handling the lease report of a worker. See docs/CAPACITY.md.

#include "measure.h"
#include "report.h"

#include "savorywick/batchcontroller.h"
#include "savorywick/jobscheduler.h"
#include "savorywick/shardlease.h"
#include "savorywick/workerassigner.h"

#include <json/json.h>

using namespace savorywick;
using namespace savorywick::bench;

namespace {

constexpr const char *benchName = "capacity";
constexpr int tasksPerWorker = 20;
constexpr std::size_t rowOverheadBytes = 40; // Assumed of a row, besides its key and its value.

std::string sampleEntryValue()
{
    return R"({"beat":17,"callers":"10.20.30.40:18080","documentsSeen":123456,"draining":false,)"
           R"("name":"entry-hobart-1","peers":"10.20.30.40:18090","region":"south-tas",)"
           R"("zone":"hobart"})";
}

std::size_t totalRowBytes(const std::vector<Row> &rows)
{
    std::size_t n = 0;
    for (const Row &it : rows)
        n += it.key.size() + it.value.size() + rowOverheadBytes;
    return n;
}

void measureLeaseScan(int entries, int shards)
{
    std::vector<Row> entryRows;
    entryRows.reserve(static_cast<std::size_t>(entries));
    for (int i = 0; i < entries; ++i)
        entryRows.push_back({entryKey("entry-" + std::to_string(i) + ".0123abcd"),
                             sampleEntryValue(), static_cast<std::uint64_t>(i) + 1});
    std::vector<Row> shardRows;
    shardRows.reserve(static_cast<std::size_t>(shards));
    for (int i = 0; i < shards; ++i) {
        ShardRow row;
        row.owner = "entry-" + std::to_string(i % entries) + ".0123abcd";
        row.peer = "10.20.30.40:18090";
        row.epoch = 7;
        row.head = 123'456;
        row.commit = "entry-0.0123abcd/7/123456";
        shardRows.push_back(
            {shardKey(i), serializeShardRow(row), static_cast<std::uint64_t>(i) + 1});
    }
    ShardLeaseManager leaseManager("entry-0.0123abcd", "10.20.30.40:18090", {.shardCount = shards});
    std::int64_t ms = 0;
    const double us = bestMicrosPerCall(steadyMicros, 20, [&] {
        ms += 1'000;
        leaseManager.observe(entryRows, shardRows, Instant{ms});
    });
    report(
        benchName, std::to_string(entries) + " entries and " + std::to_string(shards) + " shards",
        {{"observe_us", us},
         {"bytes_read", static_cast<double>(totalRowBytes(entryRows) + totalRowBytes(shardRows))}});
}

std::vector<HostInfo> makeWorkers(int n)
{
    std::vector<HostInfo> hosts;
    hosts.reserve(static_cast<std::size_t>(n));
    for (int i = 0; i < n; ++i) {
        HostInfo host;
        host.id = "worker-" + std::to_string(i);
        host.role = HostRole::Worker;
        host.rack = "rack-" + std::to_string(i / 11);
        host.cores = 64;
        host.memoryMb = 250'000;
        host.accelerators = i % 4 == 0 ? 4 : 0;
        hosts.push_back(std::move(host));
    }
    return hosts;
}

void measureSlices(int workers, int shards)
{
    const std::vector<HostInfo> hosts = makeWorkers(workers);
    WorkerAssigner slices(shards, Millis{3'600'000});
    slices.observe({}, {});
    const auto first = slices.assign(hosts, Instant{1});
    std::vector<Row> rows;
    Row index;
    for (const Write &it : first->writes) {
        if (it.key == sliceIndexKey)
            index = {it.key, *it.value, 1};
        else
            rows.push_back({it.key, *it.value, 1});
    }
    slices.observe(index, rows);
    const double assign =
        bestMicrosPerCall(steadyMicros, 3, [&] { slices.assign(hosts, Instant{2}); });
    const double parse =
        bestMicrosPerCall(steadyMicros, 50, [&] { ShardWorkerCounts::parse(index); });
    const ShardWorkerCounts summary = ShardWorkerCounts::parse(index);
    std::uint64_t draw = 0;
    const double choose =
        bestMicrosPerCall(steadyMicros, 200, [&] { summary.chooseShard({.cores = 4}, ++draw); });
    report(benchName, std::to_string(workers) + " workers in " + std::to_string(shards) + " slices",
           {{"assign_us", assign},
            {"parse_us", parse},
            {"choose_us", choose},
            {"index_bytes", static_cast<double>(index.value.size())}});
}

// Test double of workers that start every task and renew every lease.
class FakeWorkers
{
public:
    explicit FakeWorkers(JobScheduler &scheduler)
        : m_scheduler(scheduler)
    { }

    void answerAll(Instant now)
    {
        JobScheduler::Records records;
        for (const WorkerCall &it : m_scheduler.takeCalls()) {
            if (const auto *lease = std::get_if<RenewLease>(&it))
                m_scheduler.handleLeaseReply(lease->worker, reportOf(lease->worker), now, records);
            if (const auto *start = std::get_if<StartTask>(&it))
                m_scheduler.handleStartReply(start->job, start->attempt,
                                             {StartOutcome::Running, {}}, now, records);
        }
    }

    LeaseReply reportOf(const std::string &worker) const
    {
        LeaseReply report{worker + ".1", {}, {.cores = 40, .memoryMb = 100'000}, Millis{20}};
        for (const std::string &it : m_scheduler.ledger().tasks(worker))
            report.tasks.push_back(
                {it, 1, TaskState::Running, Millis{60'000}, {}, {.cores = 2, .memoryMb = 4'000}});
        return report;
    }

private:
    JobScheduler &m_scheduler;
};

// Returns the size in bytes of a lease renewal and its answer in the format of docs/PROTOCOLS.md.
double wireBytes(const LeaseReply &report)
{
    constexpr int httpBytes = 300;
    constexpr std::size_t renewalBodyBytes = 50; // Assumed of the body of the renewal.
    Json::Value answer;
    answer["incarnation"] = report.incarnation;
    for (const TaskReport &it : report.tasks) {
        Json::Value task;
        task["task"] = "0123-0123456789abcdef0123456789abcdef";
        task["attempt"] = it.attempt;
        task["state"] = "running";
        task["progressMs"] = 123'456;
        task["result"] = "";
        task["cores"] = it.usage.cores;
        task["memoryMb"] = it.usage.memoryMb;
        answer["tasks"].append(std::move(task));
    }
    answer["usage"]["cores"] = report.usage.cores;
    answer["usage"]["memoryMb"] = report.usage.memoryMb;
    answer["usage"]["accelerators"] = 0;
    answer["usage"]["urgentP99Ms"] = 20;
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return static_cast<double>(Json::writeString(builder, answer).size() + renewalBodyBytes
                               + httpBytes);
}

void measureLeaseReports(int workers)
{
    const double heapBefore = heapBytes();
    const std::vector<HostInfo> hosts = makeWorkers(workers);
    BatchController control({});
    SpreadPlacement placement;
    JobSchedulerSettings settings;
    settings.maxPlacementsPerTick = 1'000'000;
    JobScheduler scheduler(settings, &placement, &control.cost(), &control.demandEstimator());
    FakeWorkers fakes(scheduler);
    Instant now{1'000};
    JobScheduler::Records records;
    scheduler.takeOver(now);
    scheduler.setWorkers(hosts, now);
    control.setWorkers(hosts);
    scheduler.tick(now, records);
    fakes.answerAll(now);
    for (int i = 0; i < workers * tasksPerWorker; ++i) {
        JobSpec spec;
        spec.id = "0123-job-" + std::to_string(i);
        spec.service = "matching";
        spec.runClass = "allocation";
        spec.team = "team-" + std::to_string(i % 10);
        spec.idempotencyKey = "key-" + std::to_string(i);
        spec.demand = {2, 4'000, 0};
        spec.expectedDuration = Millis{600'000};
        scheduler.submit(spec, now, records);
    }
    for (int i = 0; i < 20; ++i) {
        scheduler.tick(now, records);
        fakes.answerAll(now);
        records.clear();
    }
    const double heapAfter = heapBytes();
    // Spread placement keeps hosts with accelerators free, so sample the second, which has none.
    const LeaseReply sample = fakes.reportOf(hosts[1].id);
    now = now + Millis{6'000};
    const int rounds = std::min(workers, 200);
    int next = 0;
    const double reply = bestMicrosPerCall(steadyMicros, rounds, [&] {
        const std::string &worker = hosts[static_cast<std::size_t>(next++ % workers)].id;
        scheduler.handleLeaseReply(worker, sample, now, records);
        control.observe(worker, sample, scheduler, now, records);
        records.clear();
    });
    const double tick = bestMicrosPerCall(steadyMicros, 5, [&] {
        now = now + Millis{100};
        scheduler.tick(now, records);
        scheduler.takeCalls();
        records.clear();
    });
    report(benchName, std::to_string(workers) + " workers in a shard",
           {{"running", static_cast<double>(scheduler.count(JobState::Placed))},
            {"report_us", reply},
            {"tick_us", tick},
            {"bytes_per_task", (heapAfter - heapBefore) / (workers * tasksPerWorker)},
            {"wire_bytes", wireBytes(sample)}});
}

} // namespace

int main()
{
    reportTableHeader("list", {"observe us", "bytes read"});
    measureLeaseScan(9, 16);
    measureLeaseScan(60, 64);
    measureLeaseScan(240, 256);
    reportTableHeader("slices", {"assign us", "parse us", "choose us", "index bytes"});
    measureSlices(65, 3);
    measureSlices(3'000, 32);
    measureSlices(30'000, 256);
    reportTableHeader("worker control",
                      {"running", "report us", "tick us", "bytes per task", "wire bytes"});
    measureLeaseReports(50);
    measureLeaseReports(500);
    measureLeaseReports(5'000);
    return 0;
}
