// Measures what a shard's owner spends on one event: its Coordinator with many workers and runs, in
// virtual time, with a round of ShardRunner's calls after every event. See docs/BENCH.md.

#include "eventqueue.h"
#include "fakefleet.h"
#include "report.h"

#include "savorywick/steps/coordinator.h"

#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

using namespace savorywick;
using namespace savorywick::bench;
using namespace savorywick::steps;

namespace {

constexpr const char *benchName = "coordinator";
constexpr std::int64_t wallOffset = 1'700'000'000'000; // From virtual time to the time of day, ms.
constexpr std::int64_t commitMicros = 15'000;
constexpr std::int64_t minCallMicros = 2'000;
constexpr std::uint64_t callMicrosSpread = 6'000;
constexpr std::int64_t warmUpSeconds = 8;
constexpr std::int64_t measuredSeconds = 4;

constexpr int workersPerRack = 20;
constexpr int coresPerWorker = 64;
constexpr int memoryMbPerWorker = 256'000;
constexpr int milliPerCore = 1'000;

// The load at this number of workers; a smaller fleet gets its share of it.
constexpr int fullFleet = 490;
constexpr double quickJobsPerSecond = 11;
constexpr double imageJobsPerSecond = 16.5;
constexpr int standingJobs = 130;

// Spreads the bits of `n`, so that similar numbers give different results.
std::uint64_t mix(std::uint64_t n)
{
    n += 0x9e3779b97f4a7c15ULL;
    n = (n ^ (n >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    n = (n ^ (n >> 27U)) * 0x94d049bb133111ebULL;
    return n ^ (n >> 31U);
}

std::uint64_t hashOf(const std::string &text)
{
    std::uint64_t hash = 0;
    for (const char c : text)
        hash = mix(hash ^ static_cast<unsigned char>(c));
    return hash;
}

double cpuMicros()
{
    timespec t{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) * 1e6 + static_cast<double>(t.tv_nsec) / 1e3;
}

// Returns what identifies the order, for the checksum.
std::string describe(const WorkerCommand &order)
{
    return std::visit(
        [&](const auto &it) {
            std::string text = std::to_string(order.index()) + it.target.worker.workerId + "/"
                + std::to_string(it.target.fence);
            if constexpr (requires { it.task; })
                text += "/" + toString(it.task) + "/" + std::to_string(it.run);
            if constexpr (requires { it.ackedEndNumber; })
                text += "/" + std::to_string(it.ackedEndNumber);
            return text;
        },
        order);
}

// A shard's owner with its workers, driven in virtual time.
class BusyShard
{
public:
    // `load` is relative to what the fleet can carry with some room to spare.
    BusyShard(int workers, double load)
        : m_share(static_cast<double>(workers) / fullFleet)
        , m_load(load)
        , m_events(microsPerSecond)
        , m_owner(1, m_events.now(), {})
    {
        std::vector<WorkerInfo> listed;
        for (int i = 0; i < workers; ++i) {
            listed.push_back(workerInfo(i));
            m_workers.emplace(listed.back().incarnation.workerId,
                              std::make_unique<FakeWorker>(m_events, listed.back()));
        }
        m_owner.takeOver(now());
        m_owner.setWorkers(listed, now());
        for (int i = 0; i < static_cast<int>(standingJobs * m_share); ++i)
            m_events.scheduleAfter(i * minCallMicros, [this, i] { submit(standingJob(i)); });
        submitRepeatedly(
            quickJobsPerSecond, [](int i) { return quickJob(i); }, 0);
        submitRepeatedly(
            imageJobsPerSecond, [](int i) { return imageJob(i); }, 0);
        process();
    }

    // Runs the shard and reports what it cost from the end of the warm-up on.
    void run(const std::string &caseName)
    {
        m_events.runUntil(m_events.nowMicros() + warmUpSeconds * microsPerSecond);
        m_cpuMicros = 0;
        m_eventCount = 0;
        const std::uint64_t before = m_owner.counters().runsStarted;
        m_events.runUntil(m_events.nowMicros() + measuredSeconds * microsPerSecond);
        const auto started = static_cast<double>(m_owner.counters().runsStarted - before);
        const auto events = static_cast<double>(m_eventCount);
        const double beforeSnapshot = cpuMicros();
        std::size_t snapshotBytes = 0;
        for (const std::string &it : m_owner.snapshot())
            snapshotBytes += it.size() + 1;
        const double snapshotMicros = cpuMicros() - beforeSnapshot;
        constexpr std::uint64_t shownChecksumRange = 1'000'000;
        report(benchName, caseName,
               {{"runs", static_cast<double>(m_owner.runs().all().size())},
                {"waiting_steps", static_cast<double>(m_owner.readyStepCount())},
                {"events_per_s", events / measuredSeconds},
                {"starts_per_s", started / measuredSeconds},
                {"cpu_us_per_event", m_cpuMicros / events},
                {"cpu_us_per_start", m_cpuMicros / started},
                {"snapshot_cpu_us", snapshotMicros},
                {"snapshot_bytes", static_cast<double>(snapshotBytes)},
                {"orders_checksum", static_cast<double>(m_checksum % shownChecksumRange)}});
    }

private:
    static WorkerInfo workerInfo(int i)
    {
        WorkerInfo info;
        info.incarnation = {"worker-" + std::to_string(i), wallOffset};
        info.service = "matching";
        info.address = "10.0.0.1:9000";
        info.availabilityZone = "zone-a";
        info.rack = "rack-" + std::to_string(i / workersPerRack);
        info.capacity = {coresPerWorker * milliPerCore, memoryMbPerWorker, 0};
        return info;
    }

    static JobSpec jobSpec(const std::string &kind, int i, int priority)
    {
        JobSpec spec;
        spec.id = std::to_string(mix(hashOf(kind) + static_cast<std::uint64_t>(i)));
        spec.policy = {kind, "matching", priority, 3, 1.5, Millis{500}};
        spec.payload = "payload of job " + std::to_string(i);
        return spec;
    }

    // 1.6 steps on average.
    static JobSpec quickJob(int i)
    {
        JobSpec spec = jobSpec("quick", i, 0);
        StepSpec step;
        step.taskCount = 10;
        step.demand = {11 * milliPerCore, 4'000, 0};
        step.estimatedDuration = Millis{1'000};
        step.image = "quick:1";
        spec.steps.push_back(step);
        step.dependsOn = {0};
        if (i % 5 < 3)
            spec.steps.push_back(step);
        return spec;
    }

    static JobSpec imageJob(int i)
    {
        JobSpec spec = jobSpec("image", i, 2);
        StepSpec step;
        step.taskCount = 20;
        step.demand = {7 * milliPerCore, 4'000, 0};
        step.estimatedDuration = Millis{2'700};
        step.bestEffort = true;
        step.image = "image:" + std::to_string(i % 4);
        spec.steps.push_back(step);
        step.dependsOn = {0};
        spec.steps.push_back(step);
        return spec;
    }

    static JobSpec standingJob(int i)
    {
        JobSpec spec = jobSpec("standing", i, 0);
        StepSpec step;
        step.taskCount = 14;
        step.demand = {5 * milliPerCore, 8'000, 0};
        step.longRunning = true;
        step.latencyTarget = Millis{100};
        step.image = "standing:" + std::to_string(i % 6);
        step.maxTasksPerWorker = 2;
        spec.steps.push_back(step);
        return spec;
    }

    ClockReading now() const { return {m_events.now(), m_events.now().count() + wallOffset}; }

    void submitRepeatedly(double perSecond, const std::function<JobSpec(int)> &job, int i)
    {
        const double interval =
            static_cast<double>(microsPerSecond) / (perSecond * m_share * m_load);
        m_events.scheduleAfter(static_cast<std::int64_t>(interval), [this, perSecond, job, i] {
            submit(job(i));
            submitRepeatedly(perSecond, job, i + 1);
        });
    }

    void submit(const JobSpec &spec)
    {
        m_jobs.emplace(spec.id, spec);
        handle([&] { m_owner.submit(spec, now()); });
    }

    // Carries out the event, then does what ShardRunner does after each one.
    void handle(const std::function<void()> &event)
    {
        ++m_eventCount;
        const double before = cpuMicros();
        event();
        m_cpuMicros += cpuMicros() - before;
        process();
    }

    void process()
    {
        const double before = cpuMicros();
        m_owner.tick(now());
        m_owner.recordsAppended(appended(m_owner.takeRecords()));
        m_owner.recordsDurable(m_durable);
        const std::vector<WorkerCommand> orders = m_owner.takeOrders(now());
        m_owner.recordsAppended(appended(m_owner.takeRecords()));
        m_owner.takeNotes();
        const Instant wakeAt = m_owner.wakeAt(m_events.now());
        m_cpuMicros += cpuMicros() - before;
        for (const WorkerCommand &it : orders)
            send(it);
        wakeUpAt(wakeAt);
        commit();
    }

    LogSequenceNumber appended(const std::vector<std::string> &records)
    {
        m_appended += static_cast<LogSequenceNumber>(records.size());
        return m_appended;
    }

    void commit()
    {
        if (m_committing || m_durable == m_appended)
            return;
        m_committing = true;
        m_events.scheduleAfter(commitMicros, [this, lsn = m_appended] {
            m_committing = false;
            m_durable = lsn;
            handle([] {});
        });
    }

    void wakeUpAt(Instant at)
    {
        if (m_wakeUpAt == at)
            return;
        m_wakeUpAt = at;
        const Millis delay = std::max(Millis{1}, at - m_events.now());
        m_events.scheduleAfter(delay.count() * EventQueue::microsPerMilli, [this, at] {
            if (m_wakeUpAt != at)
                return;
            m_wakeUpAt = {};
            handle([] {});
        });
    }

    // Passes the order to its worker and the answer to the owner. How long the calls take depends
    // on the order alone, so that equal decisions lead to equal runs.
    void send(const WorkerCommand &order)
    {
        const std::uint64_t hash =
            mix(hashOf(describe(order)) + static_cast<std::uint64_t>(m_events.nowMicros()));
        m_checksum += hash;
        const auto delay = minCallMicros + static_cast<std::int64_t>(hash % callMicrosSpread);
        m_events.scheduleAfter(delay, [this, order, delay] {
            std::visit([&](const auto &it) { execute(it, delay); }, order);
        });
    }

    FakeWorker &workerOf(const CommandTarget &target)
    {
        return *m_workers.at(target.worker.workerId);
    }

    void replyAfter(std::int64_t delay, std::function<void()> action)
    {
        m_events.scheduleAfter(delay, [this, action = std::move(action)] { handle(action); });
    }

    void execute(const RenewLeaseCommand &order, std::int64_t delay)
    {
        workerOf(order.target).renew(order, [this, order, delay](const RenewLeaseReply &reply) {
            replyAfter(delay,
                       [this, order, reply] { m_owner.handleRenewReply(order, reply, now()); });
        });
    }

    void execute(const StartRunCommand &order, std::int64_t delay)
    {
        const StepSpec &step = m_jobs.at(order.task.job).steps[order.task.step];
        const double cores = static_cast<double>(step.demand.milliCores) / milliPerCore;
        const CommandReply reply =
            workerOf(order.target)
                .start({order.task, order.run, step.estimatedDuration, step.longRunning,
                        step.bestEffort ? cores : 0, step.latencyTarget});
        replyAfter(delay, [this, order, reply] { m_owner.handleStartReply(order, reply, now()); });
    }

    void execute(const StopRunCommand &order, std::int64_t delay)
    {
        const CommandReply reply = workerOf(order.target).stop(order.task, order.run);
        replyAfter(delay, [this, order, reply] { m_owner.handleStopReply(order, reply, now()); });
    }

    void execute(const ThrottleRunCommand &, std::int64_t delay)
    {
        replyAfter(delay, [] {});
    }

    double m_share; // Of the full fleet.
    double m_load;
    EventQueue m_events;
    Coordinator m_owner;
    std::map<std::string, std::unique_ptr<FakeWorker>> m_workers;
    std::map<std::string, JobSpec> m_jobs;
    LogSequenceNumber m_appended = 0;
    LogSequenceNumber m_durable = 0;
    bool m_committing = false;
    Instant m_wakeUpAt;
    double m_cpuMicros = 0;
    std::uint64_t m_eventCount = 0;
    std::uint64_t m_checksum = 0;
};

} // namespace

int main()
{
    reportTableHeader("fleet",
                      {"runs", "waiting", "events per s", "starts per s", "us per event",
                       "us per start", "snapshot us", "snapshot bytes", "checksum"});
    for (const int workers : {120, 245, 490})
        BusyShard(workers, 1).run(std::to_string(workers) + " workers");
    for (const int load : {2, 6})
        BusyShard(fullFleet, load).run("490 workers, load x " + std::to_string(load));
    return 0;
}
