#pragma once

#include "savorywick/steps/drainrate.h"
#include "savorywick/steps/job.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace savorywick::steps {

// Predicts how long a task of a step runs. Implement it over learned durations to replace the
// caller's estimates.
class DurationPredictor
{
public:
    virtual ~DurationPredictor() = default;
    // Returns the predicted duration of one task of the step. The default is the caller's estimate.
    virtual Millis predict(const JobSpec &job, int step) const;
};

// The processors that work competes for: those that tasks book, and those that best-effort tasks
// can use beside long-running ones.
enum class ProcessorClass { Booked, BestEffort };
inline constexpr std::array processorClasses{ProcessorClass::Booked, ProcessorClass::BestEffort};

// Returns the class's name for logs and metrics, such as "best-effort".
std::string_view toString(ProcessorClass processors);

// Work in thousandths of a core times milliseconds, by ProcessorClass.
using WorkByClass = std::array<std::int64_t, processorClasses.size()>;

// What a job that has not started requires.
struct JobDemand
{
    WorkByClass work{};
    Millis criticalPath;
    Millis relativeDeadline; // As relativeDeadlineOf() returns it.
};

// The workers of one service that run tasks of one class.
struct ProcessorPool
{
    std::string service;
    ProcessorClass processors = ProcessorClass::Booked;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the default.
    auto operator<=>(const ProcessorPool &) const = default;
};

// The place of a job among others of its pool: its priority, and the latest time at which it can
// start and still meet its deadline, in wall-clock milliseconds.
struct BacklogRank
{
    int priority = 0;
    std::int64_t latestStartWallMs = 0;
};

// The backlog of a pool. Work is in thousandths of a core times milliseconds, rates are in
// thousandths of a core.
struct PoolBacklog
{
    std::int64_t work = 0; // Of all jobs that are still useful.
    // Of jobs that come before and will meet their deadline: as much as can be completed by then.
    std::int64_t inTimeAhead = 0;
    // Of jobs that are or will be late, and that would come before, were the job late as well.
    std::int64_t lateAhead = 0;
    bool hasRate = false; // There is enough evidence to rely on `rate`.
    double rate = 0; // As measured.
    double assumedRate = 0; // Raised by `ratePercent`.
    bool hasLateRate = false; // There is enough evidence to rely on the next.
    double assumedLateRate = 0; // The part of the rate that late jobs get, raised likewise.
    Millis rateAge; // The time since a task has last ended.
};

struct BacklogSettings
{
    DrainRateSettings rate;
    std::int64_t usefulDeadlines = 3; // A job is useless after this many relative deadlines.
    // Work counts as waiting if this many jobs wait and, of the work that runs, this share. Fewer
    // may wait for a worker of a rare kind while others are idle.
    int minWaitingJobs = 3;
    int minWaitingPercent = 25;
    // A measured rate is raised to this for a forecast, so that an estimate that is too low by less
    // refuses no job that could complete.
    int ratePercent = 125;
};

// Keeps the backlog of a shard's jobs, the rate at which it is completed, and the work that comes
// before a new job.
//
// Use one in the owner of a shard, which tells it of each change. All sums are updated by a change;
// none is computed by a walk over the jobs. The work before a job follows comesBefore(): jobs that
// can meet their deadline come first, by priority, those that have started, and the latest start;
// late jobs follow, and useless ones don't count. Jobs with long-running tasks or a schedule are
// left out, and so is what they use: the rate is what remains for the others. A running task counts
// as half done. The rate is computed from the estimated work of the tasks that ended, so that
// estimates that are wrong by a common factor have no effect. It is pure and not thread-safe.
//
// Example:
//   estimator.addJob(job);
//   estimator.recordStart(task);
//   estimator.recordEnd(job, task); // After the job's state was updated.
//   estimator.advance(now, wallMs);
//   const PoolBacklog b = estimator.backlogBefore({"matching", ProcessorClass::Booked}, rank);
class BacklogEstimator
{
public:
    explicit BacklogEstimator(const BacklogSettings &settings);
    BacklogEstimator(const BacklogEstimator &) = delete;
    BacklogEstimator &operator=(const BacklogEstimator &) = delete;

    // Replaces the caller's estimates for jobs that are added from now on. The predictor must
    // outlive this object.
    void setDurations(const DurationPredictor &durations) { m_durations = &durations; }

    // Returns true if and only if the job counts: it has no schedule, no long-running task and a
    // deadline, if only that of the default policy.
    static bool counts(const JobSpec &spec);
    // Returns what the job requires.
    JobDemand demandOf(const JobSpec &spec) const;

    // Adds a job as it is, such as one that an earlier owner accepted. Jobs that don't count, or
    // have ended, are ignored.
    void addJob(const Job &job);
    // Records that a run of the task was started.
    void recordStart(const TaskRef &task);
    // Records that a run of the task has ended. `job` is the job's state after it.
    void recordEnd(const Job &job, const TaskRef &task);
    // Removes the job, if it is known.
    void removeJob(const std::string &id);
    // Sets the present time. Call it at least every few hundred milliseconds.
    void advance(Instant now, std::int64_t wallMs);

    // Returns the pool's backlog, and the part of it that comes before a job of this rank.
    PoolBacklog backlogBefore(const ProcessorPool &pool, const BacklogRank &rank) const;
    // Returns all pools that have had jobs, sorted.
    std::vector<ProcessorPool> pools() const;

private:
    // The groups of jobs, in the order of comesBefore().
    enum class Group { Started, Waiting, Late, Useless };
    // Jobs of one priority and group, in the order in which they come.
    struct Place
    {
        int priority = 0;
        Group group = Group::Started;

        // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the default.
        auto operator<=>(const Place &) const = default;
    };
    // Work by the latest start.
    struct Level
    {
        std::int64_t total = 0;
        std::map<std::int64_t, std::int64_t> bySlot;
    };
    struct Pool
    {
        std::map<Place, Level> levels;
        std::int64_t work = 0;
        std::int64_t waiting = 0; // Of ready tasks without a run.
        std::int64_t running = 0;
        std::int64_t runningTimesDuration = 0;
        int waitingJobs = 0;
        int lateWaitingJobs = 0;
        DrainRate rate;
        DrainRate lateRate;
    };
    struct StepState
    {
        std::int64_t taskWork = 0;
        Millis duration;
        Millis pathLength;
        ProcessorClass processors = ProcessorClass::Booked;
        int tasks = 0;
        int done = 0;
        int running = 0;
        std::vector<int> dependsOn;
    };
    // What a job adds to the sums of its pools.
    struct Contribution
    {
        Group group = Group::Useless;
        std::int64_t slot = 0;
        WorkByClass work{};
        WorkByClass waiting{};
        WorkByClass running{};
        WorkByClass runningTimesDuration{};
    };
    struct Entry
    {
        std::string service;
        int priority = 0;
        std::int64_t deadlineWallMs = 0;
        std::int64_t uselessWallMs = 0;
        bool started = false;
        std::vector<StepState> steps;
        Contribution contribution;
        std::int64_t nextChangeWallMs = 0; // When the group changes with time alone.
    };

    std::vector<StepState> stepsOf(const JobSpec &spec) const;
    static bool isReady(const Entry &entry, const StepState &step);
    static std::int64_t latestStartOf(const Entry &entry);
    Contribution contributionOf(Entry &entry) const;
    Pool &findOrAddPool(const ProcessorPool &pool);
    void addContribution(const Entry &entry, int sign);
    void refresh(const std::string &id, Entry &entry);
    void detach(const std::string &id, Entry &entry);
    void recordDone(const Entry &entry, const StepState &step, int tasks);
    void advancePool(Pool &pool) const;
    void addInTime(const Level &level, std::int64_t lastSlot, PoolBacklog &backlog) const;

    const BacklogSettings m_settings;
    const DurationPredictor m_callerEstimates;
    const DurationPredictor *m_durations = &m_callerEstimates;
    Instant m_now;
    std::int64_t m_wallMs = 0;
    std::map<ProcessorPool, Pool> m_pools;
    std::unordered_map<std::string, Entry> m_jobs;
    std::set<std::pair<std::int64_t, std::string>> m_changes; // Wall-clock time and job.
};

} // namespace savorywick::steps
