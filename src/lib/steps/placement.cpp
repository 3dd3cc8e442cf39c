#include "savorywick/steps/placement.h"

#include <algorithm>
#include <tuple>

namespace savorywick::steps {

namespace {

// A job that takes this many times its relative deadline is no more useful than one even later.
constexpr std::int64_t uselessAfterDeadlines = 3;

// A best-effort task starts only where at least this share of the processors it needs is idle.
constexpr int minBestEffortIdlePercent = 60;

constexpr double milliPerCore = 1'000;
constexpr double headroomCostStep = 0.1; // Smaller differences in cost don't decide.

// Groups of steps in the order of their placement, as described at comesBefore().
constexpr int starvedGroup = 0;
constexpr int bookingGroup = 1;
constexpr int bestEffortGroup = 2;
constexpr int lateGroup = 3;
constexpr int uselessGroup = 4;

int groupOf(const ReadyStep &step)
{
    if (step.longRunning)
        return step.starved ? starvedGroup : bookingGroup;
    const bool begins = step.spec->bestEffort && !step.occurrenceStarted;
    if (step.laxity >= (begins ? step.minLaxityToBegin : Millis{0}))
        return step.spec->bestEffort ? bestEffortGroup : bookingGroup;
    const bool useless = step.lateness >= step.relativeDeadline * (uselessAfterDeadlines - 1);
    return useless ? uselessGroup : lateGroup;
}

bool hasServiceAndLabel(const StepSpec &spec, const PlacementConstraints &constraints,
                        const WorkerInfo &info)
{
    if (info.service != constraints.service)
        return false;
    return spec.neededLabel.empty()
        || std::find(info.labels.begin(), info.labels.end(), spec.neededLabel) != info.labels.end();
}

bool isBelowWorkerLimit(const StepSpec &spec, const PlacementConstraints &constraints,
                        const WorkerInfo &info)
{
    if (spec.maxTasksPerWorker == 0)
        return true;
    const auto it = constraints.tasksPerWorker.find(info.incarnation.workerId);
    return it == constraints.tasksPerWorker.end() || it->second < spec.maxTasksPerWorker;
}

bool contains(const std::vector<std::string> &names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool mayRun(const StepSpec &spec, const PlacementConstraints &constraints,
            const CandidateWorker &worker)
{
    return hasServiceAndLabel(spec, constraints, *worker.info)
        && isBelowWorkerLimit(spec, constraints, *worker.info);
}

// The effect that a best-effort task would have on the latency-critical runs of a worker.
struct Interference
{
    double headroomCost = 0; // Sum over all of them.
    bool excessive = false; // Some run would keep too little headroom.
};

Interference interferenceOf(const StepSpec &spec, const PlacementConstraints &constraints,
                            const CandidateWorker &worker)
{
    Interference total;
    if (!constraints.headroomEstimator)
        return total;
    const double milliCores =
        static_cast<double>(spec.demand.milliCores) * constraints.bestEffortSpeedPercent / 100;
    const BestEffortLoad added{spec.image, milliCores / milliPerCore};
    for (const LatencyCriticalRun &it : worker.latencyCriticalRuns) {
        const double cost = constraints.headroomEstimator->headroomCost(it.image, added);
        total.headroomCost += cost;
        const bool mayMiss = constraints.besideMisses && it.missesAlone;
        const bool keepsTooLittle = it.expectedHeadroom - cost < constraints.minHeadroom;
        total.excessive = total.excessive || (keepsTooLittle && !mayMiss);
    }
    return total;
}

bool hasRoom(const StepSpec &spec, const CandidateWorker &worker)
{
    if (!spec.bestEffort)
        return spec.demand.fitsIn(worker.available);
    return spec.demand.memoryMb <= worker.available.memoryMb
        && spec.demand.accelerators <= worker.available.accelerators
        && hasIdleProcessors(worker, spec.demand.milliCores);
}

// Returns true if and only if a best-effort task may be given to the worker at all. While a target
// is missed there, it may only if no run misses its target because of such tasks.
bool acceptsBestEffort(const PlacementConstraints &constraints, const CandidateWorker &worker)
{
    if (worker.acceptsBestEffort)
        return true;
    const std::vector<LatencyCriticalRun> &runs = worker.latencyCriticalRuns;
    return constraints.besideMisses && !runs.empty()
        && std::all_of(runs.begin(), runs.end(),
                       [](const LatencyCriticalRun &it) { return it.missesAlone; });
}

bool fits(const StepSpec &spec, const PlacementConstraints &constraints,
          const CandidateWorker &worker)
{
    return hasRoom(spec, worker) && (!spec.bestEffort || acceptsBestEffort(constraints, worker));
}

// Returns what keeps the worker from taking a task of the step, or Room if nothing does.
WaitReason obstacleOn(const CandidateWorker &worker, const StepSpec &spec,
                      const PlacementConstraints &constraints)
{
    if (!hasServiceAndLabel(spec, constraints, *worker.info))
        return WaitReason::NoUsableWorker;
    if (!isBelowWorkerLimit(spec, constraints, *worker.info))
        return WaitReason::WorkerLimit;
    if (!hasRoom(spec, worker))
        return WaitReason::NoRoom;
    const bool harms = spec.bestEffort
        && (!acceptsBestEffort(constraints, worker)
            || interferenceOf(spec, constraints, worker).excessive);
    return harms ? WaitReason::Headroom : WaitReason::Room;
}

} // namespace

bool hasIdleProcessors(const CandidateWorker &worker, int milliCores)
{
    return worker.idleMilliCores * 100LL >= std::int64_t{milliCores} * minBestEffortIdlePercent;
}

int idleProcessorsFor(int milliCores)
{
    return milliCores * minBestEffortIdlePercent / 100;
}

bool comesBefore(const ReadyStep &a, const ReadyStep &b)
{
    const int groupA = groupOf(a);
    const int groupB = groupOf(b);
    if (groupA != groupB)
        return groupA < groupB;
    const int priorityA = a.job->spec.policy.priority;
    const int priorityB = b.job->spec.policy.priority;
    if (priorityA != priorityB)
        return priorityA < priorityB;
    if (a.longRunning != b.longRunning)
        return b.longRunning;
    if (a.preempted != b.preempted)
        return a.preempted;
    if (a.occurrenceStarted != b.occurrenceStarted && groupA <= bestEffortGroup && !a.longRunning)
        return a.occurrenceStarted;
    return std::tie(a.laxity, a.ref) < std::tie(b.laxity, b.ref);
}

bool couldEverRun(const StepSpec &spec, const PlacementConstraints &constraints,
                  std::span<const CandidateWorker> workers)
{
    return std::any_of(workers.begin(), workers.end(), [&](const CandidateWorker &it) {
        // The long-running tasks that a worker has of the step make no room for others of it.
        const bool suits = spec.longRunning ? mayRun(spec, constraints, it)
                                            : hasServiceAndLabel(spec, constraints, *it.info);
        return suits && spec.demand.fitsIn(it.info->capacity);
    });
}

std::vector<Millis> criticalPathLengths(std::span<const StepSpec> steps)
{
    std::vector<Millis> estimates;
    estimates.reserve(steps.size());
    for (const StepSpec &it : steps)
        estimates.push_back(it.estimatedDuration);
    return criticalPathLengths(steps, estimates);
}

std::vector<Millis> criticalPathLengths(std::span<const StepSpec> steps,
                                        std::span<const Millis> durations)
{
    std::vector<Millis> lengths(steps.size());
    for (std::size_t i = steps.size(); i-- > 0;) {
        lengths[i] = lengths[i] + durations[i];
        for (const int predecessor : steps[i].dependsOn)
            lengths[predecessor] = std::max(lengths[predecessor], lengths[i]);
    }
    return lengths;
}

Millis relativeDeadlineOf(const JobSpec &spec)
{
    Millis longest;
    for (const Millis it : criticalPathLengths(spec.steps))
        longest = std::max(longest, it);
    const double scaled = spec.policy.slackFactor * static_cast<double>(longest.count());
    return Millis{static_cast<std::int64_t>(scaled)} + spec.policy.targetDuration;
}

// Orders the workers for one task by key(); the smallest is the best.
struct WorkerChooser::Rank
{
    bool eligible = false; // The worker can take the task.
    bool avoided = false;
    bool failedBefore = false; // It failed tasks of the job, or they interfered with its runs.
    bool hasNewRuns = false; // Only for tasks on probation, like `runCount`.
    int runCount = 0;
    bool otherRack = false;
    int headroomCostSteps = 0; // Of best-effort tasks; 0 for others.
    int otherImages = 0; // Runs of other images; only for tasks with a latency target.
    // Accelerators left free, so that tasks that need none stay off workers that have some.
    int accelerators = 0;
    int milliCores = 0; // Processors left free, or for best-effort tasks the idle ones, negated.

    auto key() const
    {
        return std::tie(avoided, failedBefore, hasNewRuns, runCount, otherRack, headroomCostSteps,
                        otherImages, accelerators, milliCores);
    }

    static Rank of(const StepSpec &spec, const PlacementConstraints &constraints,
                   const CandidateWorker &worker);
};

WorkerChooser::Rank WorkerChooser::Rank::of(const StepSpec &spec,
                                            const PlacementConstraints &constraints,
                                            const CandidateWorker &worker)
{
    Rank rank;
    if (!fits(spec, constraints, worker) || !mayRun(spec, constraints, worker))
        return rank;
    const bool joinsSuspects =
        worker.hasProbation || (constraints.onProbation && worker.hasNewRuns);
    if (joinsSuspects && !constraints.mayJoinSuspects)
        return rank;
    rank.eligible = true;
    const WorkerInfo &info = *worker.info;
    const std::string &rack = spec.preferSameRack && !constraints.currentRack.empty()
        ? constraints.currentRack
        : spec.preferredRack;
    rank.avoided = worker.avoided;
    rank.failedBefore = contains(constraints.avoidedWorkers, info.incarnation.workerId)
        || (!worker.images.empty() && contains(constraints.avoidedImages, worker.images));
    rank.hasNewRuns = constraints.onProbation && worker.hasNewRuns;
    rank.runCount = constraints.onProbation ? worker.runCount : 0;
    rank.otherRack = !rack.empty() && rack != info.rack;
    rank.accelerators = worker.available.accelerators - spec.demand.accelerators;
    rank.milliCores = worker.available.milliCores - spec.demand.milliCores;
    if (spec.bestEffort) {
        const Interference interference = interferenceOf(spec, constraints, worker);
        rank.eligible = !interference.excessive;
        rank.headroomCostSteps = static_cast<int>(interference.headroomCost / headroomCostStep);
        rank.milliCores = -worker.idleMilliCores;
    }
    if (spec.longRunning && spec.latencyTarget > Millis{0}) {
        rank.otherImages = static_cast<int>(
            std::count_if(worker.latencyCriticalRuns.begin(), worker.latencyCriticalRuns.end(),
                          [&](const LatencyCriticalRun &it) { return it.image != spec.image; }));
    }
    return rank;
}

WorkerChooser::WorkerChooser(const StepSpec &spec, const PlacementConstraints &constraints,
                             std::span<const CandidateWorker> workers)
    : m_spec(spec)
    , m_constraints(constraints)
    , m_workers(workers)
    , m_ranks(workers.size())
{
    rankAll();
}

WorkerChooser::~WorkerChooser() = default;

void WorkerChooser::rankAll()
{
    m_rankedRack = m_constraints.currentRack;
    for (std::size_t i = 0; i < m_workers.size(); ++i)
        m_ranks[i] = Rank::of(m_spec, m_constraints, m_workers[i]);
}

void WorkerChooser::noteTask(std::size_t index)
{
    if (m_spec.preferSameRack && m_rankedRack != m_constraints.currentRack)
        return rankAll();
    m_ranks[index] = Rank::of(m_spec, m_constraints, m_workers[index]);
}

std::optional<std::size_t> WorkerChooser::choose() const
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < m_ranks.size(); ++i) {
        if (m_ranks[i].eligible && !(best && m_ranks[*best].key() <= m_ranks[i].key()))
            best = i;
    }
    return best;
}

std::optional<std::size_t> WorkerChooser::chooseOnly(std::string_view workerId) const
{
    for (std::size_t i = 0; i < m_ranks.size(); ++i) {
        if (m_ranks[i].eligible && m_workers[i].info->incarnation.workerId == workerId)
            return i;
    }
    return {};
}

std::string_view toString(WaitReason reason)
{
    switch (reason) {
    case WaitReason::NoUsableWorker:
        return "no-usable-worker";
    case WaitReason::WorkerLimit:
        return "worker-limit";
    case WaitReason::NoRoom:
        return "no-room";
    case WaitReason::Headroom:
        return "headroom";
    case WaitReason::GangIncomplete:
        return "gang-incomplete";
    case WaitReason::Room:
        return "room";
    }
    return "unnamed";
}

// The reasons are in the order of what a worker must have, so the last obstacle of any worker is
// what the step waits for.
WaitReason waitReasonOf(const StepSpec &spec, const PlacementConstraints &constraints,
                        std::span<const CandidateWorker> workers)
{
    WaitReason reason = WaitReason::NoUsableWorker;
    for (const CandidateWorker &it : workers)
        reason = std::max(reason, obstacleOn(it, spec, constraints));
    return spec.gang && reason == WaitReason::Room ? WaitReason::GangIncomplete : reason;
}

std::optional<std::size_t> chooseWorker(const StepSpec &spec,
                                        const PlacementConstraints &constraints,
                                        std::span<const CandidateWorker> workers)
{
    return WorkerChooser(spec, constraints, workers).choose();
}

} // namespace savorywick::steps
