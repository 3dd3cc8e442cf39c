// The part of Coordinator that learns how long tasks take and uses it.

#include "savorywick/steps/coordinator.h"

#include <algorithm>

namespace savorywick::steps {

namespace {

constexpr int fullPercent = 100;
// All members of a gang end together, so that one tells of the whole gang.
constexpr int gangLeaderIndex = 0;

bool wasSlowed(const Run &run)
{
    return run.speedPercent != fullPercent || run.speedChangedAt != Instant{};
}

// Returns true if the run shows how long a task of its step takes.
bool isRepresentative(const Run &run, const StepSpec &spec)
{
    const bool adopted = run.startFence == 0; // It is not known when an adopted run was started.
    const bool ofGangMember = spec.gang && run.key.task.index != gangLeaderIndex;
    return !run.longRunning && !run.stopRequested && !run.hasUnusualStart && !adopted
        && !ofGangMember && !wasSlowed(run);
}

} // namespace

// Returns false if the task takes longer than usual on the worker, since that is on another rack
// than the one that the step prefers.
bool Coordinator::isOnPreferredRack(const TaskRef &task, const WorkerInfo &worker) const
{
    const StepSpec &spec = *findStepSpec(task);
    if (!spec.preferredRack.empty() && worker.rack != spec.preferredRack)
        return false;
    const std::vector<RunKey> others =
        spec.preferSameRack ? m_runs.ofStep(task.stepRef()) : std::vector<RunKey>();
    return std::all_of(others.begin(), others.end(), [&](const RunKey &it) {
        const auto other = m_workers.find(m_runs.find(it)->workerId);
        return other == m_workers.end() || other->second.info.rack == worker.rack;
    });
}

// Notes, for a run that is placed on the worker, what its duration can be compared with.
void Coordinator::noteStartConditions(Run &run, const WorkerInfo &worker, Instant now) const
{
    const TaskRef &ref = run.key.task;
    const Job &job = *m_table.find(ref.job);
    const Task *task = job.findTask(ref);
    const bool resumes = task && !task->checkpoint.empty();
    run.hasUnusualStart = resumes || !isOnPreferredRack(ref, worker);
    run.longDuration = m_durations.longDuration(job.spec, ref.step, now);
}

// Learns from the end of the run how long tasks like it take.
void Coordinator::observeDuration(const Run &run, RunOutcome how, Instant now)
{
    const StepSpec *spec = findStepSpec(run.key.task);
    if (how != RunOutcome::Done || !spec || !isRepresentative(run, *spec))
        return;
    ++m_counters.durationsObserved;
    m_durations.observe(m_table.find(run.key.task.job)->spec, run.key.task.step,
                        now - run.startedAt, now);
}

// Returns how long the critical path that begins with the step is expected to take.
Millis Coordinator::expectedCriticalPath(const Job &job, int step, Instant now) const
{
    if (!m_settings.durations.enabled)
        return criticalPathLengths(job.spec.steps)[step];
    return criticalPathLengths(job.spec.steps, m_durations.expectedDurations(job.spec, now))[step];
}

} // namespace savorywick::steps
