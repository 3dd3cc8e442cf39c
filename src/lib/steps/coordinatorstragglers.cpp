// The part of Coordinator that starts second runs of tasks whose first runs take too long.

#include "savorywick/steps/coordinator.h"

#include <algorithm>

namespace savorywick::steps {

namespace {

constexpr int fullPercent = 100;
constexpr int maxActiveRuns = 2;

// Returns true if and only if tasks of the step may have two runs at once.
bool allowsDuplicates(const StepSpec &spec)
{
    return spec.allowDuplicates && !spec.gang && !spec.longRunning;
}

int unfinishedTasksOf(const Job &job, const StepRef &ref)
{
    const Step &step = job.occurrences.at(ref.occurrence).steps[ref.step];
    return static_cast<int>(step.tasks.size()) - step.doneTasks;
}

// Returns true if and only if even the failure of both runs would keep to the attempts that the
// job's policy allows.
bool allowsTwoFailures(const Job &job, const Task &task)
{
    return task.failedRuns + maxActiveRuns <= job.spec.policy.maxAttempts;
}

} // namespace

// Notes a new run, so that its task may get a duplicate.
void Coordinator::trackStraggler(const Run &run, ClockReading now)
{
    const StepSpec *spec = findStepSpec(run.key.task);
    if (!spec || !allowsDuplicates(*spec))
        return;
    const bool isDuplicate = m_runs.ofTask(run.key.task).size() > 1;
    if (run.phase == RunPhase::Unconfirmed)
        m_stragglers.addAdopted(run.key);
    else if (!m_settings.durations.enabled)
        return; // Without learned durations no run counts as a straggler.
    else if (isDuplicate)
        m_stragglers.addDuplicate(run.key, now.monotonic);
    else
        m_stragglers.addRun(run.key, now.monotonic);
}

// Notes the end of the run. Call it before the record of the end is applied.
void Coordinator::settleStraggler(const Run &run, RunOutcome how)
{
    m_stragglers.remove(run.key);
    if (how != RunOutcome::Done || isDone(run.key.task))
        return;
    for (const RunKey &it : m_runs.ofTask(run.key.task))
        m_counters.duplicatesWon += it.number < run.key.number ? 1 : 0;
}

bool Coordinator::isDone(const TaskRef &task) const
{
    const Job *job = m_table.find(task.job);
    const Task *known = job ? job->findTask(task) : nullptr;
    return known && known->done;
}

// Stops the runs of tasks that were done when an earlier owner was lost.
void Coordinator::stopRunsOfDoneTasks()
{
    std::vector<TaskRef> done;
    for (const RunKey &it : m_stragglers.runs()) {
        if (isDone(it.task))
            done.push_back(it.task);
    }
    for (const TaskRef &it : done)
        stopDuplicateRuns(it);
}

// Returns true if and only if the run may get a duplicate at all: it certainly runs, it is the only
// run of its task, and nothing but the task or its worker can be why it takes long.
bool Coordinator::mayDuplicate(const Run &run) const
{
    const Job *job = m_table.find(run.key.task.job);
    const Task *task = job ? job->findTask(run.key.task) : nullptr;
    if (!task || isFinal(job->state) || task->done || isSuspected(run.key.task))
        return false;
    const bool slowed = run.speedPercent != fullPercent || run.speedChangedAt != Instant{};
    return run.phase == RunPhase::Running && !run.stopRequested && !slowed
        && task->activeRuns.size() == 1 && m_runs.ofTask(run.key.task).size() == 1
        && allowsTwoFailures(*job, *task);
}

// Returns true if and only if work waits for the capacity that a duplicate would take. Best-effort
// work does not take that of steps that book processors.
bool Coordinator::hasCompetitors(const ReadyStep &step, const PlacementPass &pass) const
{
    const std::string &service = step.job->spec.policy.service;
    return std::any_of(m_readySteps.begin(), m_readySteps.end(), [&](const auto &it) {
        const JobSpec &job = m_table.find(it.first.job)->spec;
        const StepSpec &waiting = job.steps[it.first.step];
        if (job.policy.service != service || (waiting.bestEffort && !step.spec->bestEffort))
            return false;
        PlacementConstraints constraints;
        constraints.service = service;
        return couldEverRun(waiting, constraints, pass.workers);
    });
}

std::vector<RunningTask> Coordinator::tasksToDuplicate(ClockReading now)
{
    std::vector<RunningTask> running;
    for (const RunKey &key : m_stragglers.runs()) {
        ++m_counters.runsExamined;
        const Run &run = *m_runs.find(key);
        if (!mayDuplicate(run))
            continue;
        const Job &job = *m_table.find(key.task.job);
        running.push_back({key, &job.spec, now.monotonic - run.startedAt, run.progressPercent,
                           unfinishedTasksOf(job, key.task.stepRef())});
    }
    return m_stragglers.select(running, now.monotonic);
}

// Starts duplicates of the tasks that take too long, unless other work waits.
void Coordinator::startDuplicates(ClockReading now)
{
    if (!m_stragglers.isDue(now.monotonic))
        return;
    const std::vector<RunningTask> stragglers = tasksToDuplicate(now);
    if (stragglers.empty())
        return;
    std::vector<ReadyStep> steps;
    for (const RunningTask &it : stragglers) {
        ReadyStep step;
        step.ref = it.run.task.stepRef();
        step.job = m_table.find(it.run.task.job);
        step.spec = &it.job->steps[it.run.task.step];
        step.since = now.monotonic;
        steps.push_back(step);
    }
    PlacementPass pass;
    pass.workers = candidateWorkers(needsOf(steps, now.monotonic), now.monotonic);
    for (std::size_t i = 0; i < steps.size(); ++i) {
        if (!hasCompetitors(steps[i], pass))
            startDuplicate(stragglers[i], steps[i], pass, now);
    }
}

// Starts a second run of the task if there is a worker for it: on another rack if possible, and on
// another worker in any case.
void Coordinator::startDuplicate(const RunningTask &straggler, const ReadyStep &step,
                                 PlacementPass &pass, ClockReading now)
{
    const Run &first = *m_runs.find(straggler.run);
    const auto worker = m_workers.find(first.workerId);
    const std::string rack = worker == m_workers.end() ? "" : worker->second.info.rack;
    PlacementConstraints constraints = constraintsFor(step.ref, now.monotonic);
    constraints.minHeadroom = m_settings.minHeadroom;
    for (const bool onOtherRack : {true, false}) {
        std::vector<CandidateWorker> others = pass.workers;
        for (CandidateWorker &it : others) {
            const bool sameWorker = it.info->incarnation.workerId == first.workerId;
            if (sameWorker || (onOtherRack && it.info->rack == rack))
                it.closeToTasks();
        }
        const auto chosen = chooseWorker(*step.spec, constraints, others);
        if (!chosen)
            continue;
        const RunKey key =
            startTask(step, straggler.run.task.index, pass.workers[*chosen], fullPercent, now);
        ++m_counters.duplicatesStarted;
        noteRun(SchedulerEventKind::RunDuplicated, *m_runs.find(key), "straggler",
                straggler.elapsed, straggler.progressPercent);
        return;
    }
}

} // namespace savorywick::steps
