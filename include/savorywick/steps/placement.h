#pragma once

#include "savorywick/clock.h"
#include "savorywick/steps/latencyheadroom.h"
#include "savorywick/steps/workercommands.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick::steps {

// A long-running run with a latency target, on a worker that is considered for a task.
struct LatencyCriticalRun
{
    std::string_view image; // Must outlive this object.
    double expectedHeadroom = 0; // Beside the best-effort runs that are on the worker already.
    bool missesAlone = false; // It is expected to miss its target without any of them.
};

// A worker that may be given tasks now, with its free resources.
struct CandidateWorker
{
    const WorkerInfo *info = nullptr;
    ResourceVector available; // Capacity less what is booked.
    // Thousandths of a processor that best-effort tasks may use: those available, and those that
    // long-running tasks have booked but leave idle, less what best-effort runs use.
    int idleMilliCores = 0;
    std::vector<LatencyCriticalRun> latencyCriticalRuns;
    // False while a long-running run misses its latency target, or did so recently.
    bool acceptsBestEffort = true;
    int runCount = 0; // Runs that are on the worker.
    bool hasNewRuns = false; // Some were started so lately that they may yet crash it.
    bool hasProbation = false; // One is of a task that is suspected of crashing workers.
    std::string_view images; // The set of images of its latency-critical runs.
    bool avoided = false; // It is the last choice, since it has lately failed to start runs.

    // Leaves no room for further tasks.
    void closeToTasks()
    {
        available = {-1, -1, -1};
        idleMilliCores = -1;
    }
};

// What restricts the choice of workers for a step's further tasks.
struct PlacementConstraints
{
    std::string service; // Only workers of this service may run the step.
    std::map<std::string, int> tasksPerWorker; // The step's tasks that are placed, by worker.
    std::vector<std::string> avoidedWorkers; // Workers that the job has failed on.
    // Sets of images of latency-critical runs that the step's tasks have interfered with lately.
    std::vector<std::string> avoidedImages;
    // The rack of the step's placed tasks, for same-rack steps; empty if there are none.
    std::string currentRack;
    const LatencyHeadroomEstimator *headroomEstimator = nullptr; // If null, minHeadroom is ignored.
    double minHeadroom = 0; // That a best-effort task must leave to every latency-critical run.
    int bestEffortSpeedPercent = 100; // The speed at which a best-effort task is to start.
    // Whether a best-effort task may start beside runs that miss their targets without it.
    bool besideMisses = false;
    // Whether the tasks are suspected of crashing their workers.
    bool onProbation = false;
    // Whether the tasks may join a run on probation and, on probation, other new runs.
    bool mayJoinSuspects = true;
};

// Returns true if and only if enough of the worker's processors are idle for a best-effort task
// that requests `milliCores`.
bool hasIdleProcessors(const CandidateWorker &worker, int milliCores);
// Returns how many idle processors a worker must have at most so that hasIdleProcessors() is false
// for all requests above `milliCores`.
int idleProcessorsFor(int milliCores);

// A step whose predecessors are done and that has tasks to start, with what decides its precedence.
struct ReadyStep
{
    StepRef ref;
    const Job *job = nullptr;
    const StepSpec *spec = nullptr;
    Instant since; // When its predecessors were done.
    bool longRunning = false;
    bool starved = false; // Long-running, and has waited too long.
    bool occurrenceStarted = false; // Some task of its occurrence has been started.
    bool preempted = false; // A preempted task of it waits for its next run.
    Millis lateness; // Time since the job's deadline; negative before it.
    // Delay that the deadline still allows; negative if it can't be met. For a long-running step:
    // the time that it has waited, negated.
    Millis laxity;
    Millis relativeDeadline; // From when the job is due to start until it should be complete.
    // The laxity that the step needs to count as able to meet the deadline if it is best-effort and
    // its occurrence has not started.
    Millis minLaxityToBegin;
};

// Returns true if and only if `a` should be placed before `b`.
//
// Steps are placed in these groups, the first first:
//  - long-running steps that have waited too long;
//  - long-running steps, and steps that book processors and can still meet their job's deadline;
//  - best-effort steps that can still meet it; of an occurrence that has not started, only with
//    some laxity left, since best-effort runs are slowed down at times;
//  - steps that can't meet it;
//  - steps so late that completing them sooner makes no difference.
// Within a group the queue's priority decides. Of one priority, steps with a deadline come before
// long-running ones: they hold resources briefly, while long-running tasks would occupy whatever
// is freed for good. Steps whose tasks were preempted come next, so that they are delayed only
// once. Steps that can meet the deadline and whose occurrence has started come next,
// so that under overload some jobs complete in time rather than all of them late; then those with
// the least laxity.
bool comesBefore(const ReadyStep &a, const ReadyStep &b);

// Returns, for each step of a job, the length of the critical path that begins with it: the largest
// sum of estimates over a chain of dependent steps.
std::vector<Millis> criticalPathLengths(std::span<const StepSpec> steps);
// Returns the same if the steps take `durations` instead, one for each step.
std::vector<Millis> criticalPathLengths(std::span<const StepSpec> steps,
                                        std::span<const Millis> durations);
// Returns the time from when a job is due to start until it should be complete.
Millis relativeDeadlineOf(const JobSpec &spec);

// Returns true if and only if some of the workers could run a task of the step if it were empty, or
// held only the step's own tasks that are long-running.
bool couldEverRun(const StepSpec &spec, const PlacementConstraints &constraints,
                  std::span<const CandidateWorker> workers);

// Chooses workers for the tasks of one step, one after the other. A worker's rank for the step is
// computed once and again only when the worker changes, so that many tasks cost little more than
// one.
//
// Prefers workers that are not avoided, then those that the job has not failed on, then the
// preferred rack, then the tightest fit, which keeps free resources in large pieces for large
// tasks. Long-running tasks with a latency target prefer workers with few other images, so that few
// pairs of images share a worker. Best-effort tasks go where they cost latency-critical runs the
// least headroom, then where the most processors are idle. Tasks that are suspected of crashing
// workers go where no other run can be the cause, and then where the fewest others would be lost.
//
// The arguments of the constructor must outlive the object. Not thread-safe.
//
// Example:
//   WorkerChooser chooser(step, constraints, workers);
//   while (const auto index = chooser.choose()) {
//       start(workers[*index]); // Updates the worker and `constraints.tasksPerWorker`.
//       chooser.noteTask(*index);
//   }
class WorkerChooser
{
public:
    WorkerChooser(const StepSpec &spec, const PlacementConstraints &constraints,
                  std::span<const CandidateWorker> workers);
    ~WorkerChooser();
    WorkerChooser(const WorkerChooser &) = delete;
    WorkerChooser &operator=(const WorkerChooser &) = delete;

    // Returns the index of the worker that a task should start on, or nothing if none can take it
    // now.
    std::optional<std::size_t> choose() const;
    // Returns the index of this worker, or nothing if it can't take a task now.
    std::optional<std::size_t> chooseOnly(std::string_view workerId) const;
    // Notes that a task of the step was given to the worker: that worker, its entry in
    // `tasksPerWorker` and `currentRack` may have changed, nothing else.
    void noteTask(std::size_t index);

private:
    struct Rank;

    void rankAll();

    const StepSpec &m_spec;
    const PlacementConstraints &m_constraints;
    std::span<const CandidateWorker> m_workers;
    std::string m_rankedRack; // The `currentRack` that the ranks are for.
    std::vector<Rank> m_ranks; // By index of the worker.
};

// Why a step has a task that may start and no worker for it.
enum class WaitReason {
    NoUsableWorker, // No worker has the step's service and label.
    WorkerLimit, // All those have as many tasks of the step as it allows.
    NoRoom, // All others have too little room.
    Headroom, // Some have room, but long-running tasks there would keep too little headroom.
    GangIncomplete, // There is room for some members of a gang.
    Room, // There is room for a task.
};

// Returns the reason's name for logs, such as "no-room".
std::string_view toString(WaitReason reason);

// Returns why the step waits if these are the workers that may be given tasks now.
WaitReason waitReasonOf(const StepSpec &spec, const PlacementConstraints &constraints,
                        std::span<const CandidateWorker> workers);

// Returns what a WorkerChooser chooses for a single task.
std::optional<std::size_t> chooseWorker(const StepSpec &spec,
                                        const PlacementConstraints &constraints,
                                        std::span<const CandidateWorker> workers);

} // namespace savorywick::steps
