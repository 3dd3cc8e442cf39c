#include "savorywick/steps/jobtable.h"

#include <algorithm>
#include <set>
#include <utility>

namespace savorywick::steps {

namespace {

// The task of a gang that counts the failures of all members. A gang's run fails as a whole, so its
// failure counts once.
constexpr int gangLeaderIndex = 0;

// Returns true if and only if the task had an active run with this number.
bool eraseRun(Task &task, int number)
{
    return std::erase_if(task.activeRuns, [&](const ActiveRun &it) { return it.number == number; })
        > 0;
}

// Notes what the end of a run says of crashes of its worker.
void recordCrash(Task &task, RunOutcome outcome)
{
    const bool caused = outcome == RunOutcome::CausedCrash;
    task.crashes += caused || outcome == RunOutcome::WorkerCrashed ? 1 : 0;
    task.causedCrashes += caused ? 1 : 0;
}

} // namespace

struct JobTable::RecordApplier
{
    JobTable &table;

    void operator()(const JobAccepted &it) const
    {
        Job job;
        job.spec = it.spec;
        job.acceptedWallMs = it.wallMs;
        if (table.m_earlyCancellations.contains(it.spec.id))
            endJob(job, JobState::Cancelled, it.wallMs);
        table.m_earlyCancellations.remove(it.spec.id);
        table.m_jobs.try_emplace(it.spec.id, std::move(job));
    }

    void operator()(const RunStarted &it) const
    {
        Job *job = table.findJob(it.task.job);
        Task *task = job ? findTask(*job, it.task) : nullptr;
        if (!task)
            return;
        task->lastRunNumber = std::max(task->lastRunNumber, it.run);
        task->activeRuns.push_back({it.run, it.worker});
        if (task->unansweredStart && task->unansweredStart->workerId != it.worker.workerId)
            task->unansweredStart.reset();
        if (job->state == JobState::Queued)
            job->state = JobState::Running;
    }

    void operator()(const RunConfirmed &it) const
    {
        Job *job = table.findJob(it.task.job);
        Task *task = job ? findTask(*job, it.task) : nullptr;
        if (!task)
            return;
        for (ActiveRun &run : task->activeRuns) {
            if (run.number != it.run)
                continue;
            run.confirmed = true;
            run.inheritedLeasesEndMs = it.inheritedLeasesEndMs;
        }
    }

    void operator()(const RunEnded &it) const
    {
        Job *job = table.findJob(it.task.job);
        Task *task = job ? findTask(*job, it.task) : nullptr;
        if (!task)
            return;
        const bool wasActive = eraseRun(*task, it.run);
        if (!isFoundGone(it.outcome))
            task->unansweredStart.reset();
        if (task->done && !job->spec.steps[it.task.step].gang)
            return; // The run was a duplicate that is no longer needed.
        if (!it.checkpoint.empty())
            task->checkpoint = it.checkpoint;
        if (wasActive)
            recordCrash(*task, it.outcome);
        endIfCrashing(*job, *task, it.wallMs);
        const StepSpec &spec = job->spec.steps[it.task.step];
        if (spec.gang)
            return endGangRun(*job, it);
        if (it.outcome == RunOutcome::Done && !spec.longRunning)
            return finishTask(*job, it.task, it.wallMs);
        if (it.outcome != RunOutcome::Failed || !wasActive)
            return;
        ++task->failedRuns;
        if (!spec.longRunning && !task->done && task->failedRuns >= job->spec.policy.maxAttempts)
            endJob(*job, JobState::Failed, it.wallMs);
    }

    void operator()(const TaskCleared &it) const
    {
        Job *job = table.findJob(it.task.job);
        Task *task = job ? findTask(*job, it.task) : nullptr;
        if (!task)
            return;
        task->crashes = 0;
        task->causedCrashes = 0;
        table.clearSuspectedRuns(it.task, *task);
    }

    void operator()(const RunSuspected &it) const { table.addSuspectedRun(it); }

    void operator()(const StartUnanswered &it) const
    {
        Job *job = table.findJob(it.task.job);
        if (Task *task = job ? findTask(*job, it.task) : nullptr)
            task->unansweredStart = it.start;
    }

    void operator()(const LifeSettled &it) const { table.settleLife(it); }

    void operator()(const WorkerAddress &it) const
    {
        table.m_workerAddresses[it.workerId] = it.address;
    }

    void operator()(const WorkerSilent &it) const
    {
        table.m_silentUntilMs[it.workerId] = it.leasesEndMs;
    }

    void operator()(const WorkerHeard &it) const { table.m_silentUntilMs.erase(it.workerId); }

    void operator()(const JobCancelled &it) const
    {
        if (Job *job = table.findJob(it.job))
            endJob(*job, JobState::Cancelled, it.wallMs);
    }

    void operator()(const UnknownJobCancelled &it) const
    {
        table.m_earlyCancellations.add(it.job, it.queue, it.wallMs);
    }

    void operator()(const CancellationForgotten &it) const
    {
        table.m_earlyCancellations.remove(it.job);
    }

    void operator()(const JobPurged &it) const
    {
        table.forgetLivesGivenUp(it.job);
        if (table.m_jobs.erase(it.job) > 0)
            return;
        table.m_delegations.erase(it.job);
        table.m_handovers.erase(it.job);
    }

    void operator()(const JobDelegated &it) const
    {
        table.forgetLivesGivenUp(it.job);
        table.m_jobs.erase(it.job);
        table.m_handovers.erase(it.job);
        table.m_delegations[it.job] = it;
    }

    void operator()(const JobLeaving &it) const
    {
        if (table.m_jobs.contains(it.job))
            table.m_handovers[it.job] = {it.handovers, it.shard, true};
    }

    void operator()(const JobArrived &it) const
    {
        table.forgetLivesGivenUp(it.job);
        table.m_jobs.erase(it.job);
        table.m_delegations.erase(it.job);
        table.m_handovers[it.job] = {it.handovers, {}, false};
    }

    void operator()(const TaskSnapshot &it) const
    {
        Job *job = table.findJob(it.task.job);
        Task *task = job ? findTask(*job, it.task) : nullptr;
        if (!task)
            return;
        // This counts the task as done in its step, which replacing the state does not do.
        if (it.state.done)
            finishTask(*job, it.task, 0);
        *task = it.state;
        task->suspectedRuns.clear(); // Records of their own tell of these.
        task->unansweredStart.reset();
    }

    void operator()(const JobStateSnapshot &it) const
    {
        if (const auto handover = table.m_handovers.find(it.job);
            handover != table.m_handovers.end())
            handover->second.complete = true;
        Job *job = table.findJob(it.job);
        if (!job)
            return;
        job->state = it.state;
        job->endedWallMs = it.endedWallMs;
    }
};

void JobTable::apply(const Record &record)
{
    std::visit(RecordApplier{*this}, record);
}

const Job *JobTable::find(std::string_view id) const
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : &it->second;
}

Job *JobTable::findJob(std::string_view id)
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : &it->second;
}

// Returns the task's state, or nullptr if the job has no such task. Creates the state of the task's
// occurrence if there is none yet.
Task *JobTable::findTask(Job &job, const TaskRef &ref)
{
    const bool known = ref.occurrence >= 0 && ref.occurrence < job.occurrenceCount()
        && ref.step >= 0 && ref.step < static_cast<int>(job.spec.steps.size()) && ref.index >= 0
        && ref.index < job.spec.steps[ref.step].taskCount;
    if (!known)
        return nullptr;
    auto it = job.occurrences.find(ref.occurrence);
    if (it == job.occurrences.end())
        it = job.occurrences.emplace(ref.occurrence, initialOccurrence(job.spec)).first;
    return &it->second.steps[ref.step].tasks[ref.index];
}

void JobTable::finishTask(Job &job, const TaskRef &ref, std::int64_t wallMs)
{
    Occurrence &occurrence = job.occurrences.at(ref.occurrence);
    Step &step = occurrence.steps[ref.step];
    Task &task = step.tasks[ref.index];
    if (task.done)
        return;
    task.done = true;
    task.checkpoint.clear();
    if (++step.doneTasks < static_cast<int>(step.tasks.size()))
        return;
    if (++occurrence.doneSteps < static_cast<int>(occurrence.steps.size()))
        return;
    if (++job.doneOccurrences == job.occurrenceCount())
        endJob(job, JobState::Completed, wallMs);
}

// All members of a gang are done as soon as one of them is.
void JobTable::finishGang(Job &job, const RunEnded &end)
{
    std::vector<Task> &tasks = job.occurrences.at(end.task.occurrence).steps[end.task.step].tasks;
    for (int i = 0; i < static_cast<int>(tasks.size()); ++i)
        finishTask(job, {end.task.job, end.task.occurrence, end.task.step, i}, end.wallMs);
}

// Records the end of a gang member's run. Members share their checkpoints and their failures.
void JobTable::endGangRun(Job &job, const RunEnded &end)
{
    if (end.outcome == RunOutcome::Done)
        return finishGang(job, end);
    std::vector<Task> &tasks = job.occurrences.at(end.task.occurrence).steps[end.task.step].tasks;
    if (!end.checkpoint.empty()) {
        for (Task &it : tasks)
            it.checkpoint = end.checkpoint;
    }
    Task &leader = tasks[gangLeaderIndex];
    if (end.outcome != RunOutcome::Failed || end.run <= leader.lastFailedRunNumber)
        return;
    leader.lastFailedRunNumber = end.run;
    if (++leader.failedRuns >= job.spec.policy.maxAttempts && !leader.done)
        endJob(job, JobState::Failed, end.wallMs);
}

// Sets the final state of a job that has none yet.
void JobTable::endJob(Job &job, JobState state, std::int64_t wallMs)
{
    if (isFinal(job.state))
        return;
    job.state = state;
    job.endedWallMs = wallMs;
}

// Ends the job if its task has crashed too many workers.
void JobTable::endIfCrashing(Job &job, const Task &task, std::int64_t wallMs)
{
    if (isOverCrashLimit(task.crashes, task.causedCrashes))
        endJob(job, JobState::Failed, wallMs);
}

void JobTable::addSuspectedRun(const RunSuspected &record)
{
    Job *job = findJob(record.task.job);
    Task *task = job ? findTask(*job, record.task) : nullptr;
    if (!task)
        return;
    const SuspectedRun &run = record.run;
    const bool known = std::any_of(task->suspectedRuns.begin(), task->suspectedRuns.end(),
                                   [&](const SuspectedRun &it) { return it.number == run.number; });
    if (!known)
        task->suspectedRuns.push_back(run);
    LostLife &life = m_lostLives[run.worker];
    life.address = run.address;
    life.lostWallMs = run.lostWallMs;
    life.tasks.insert(record.task);
}

// Counts the crash of the life against the tasks that were suspected, or suspects them no more.
// While nothing tells what became of it they stay suspected, which ends no job.
void JobTable::settleLife(const LifeSettled &record)
{
    std::set<TaskRef> tasks;
    if (const auto lost = m_lostLives.extract(record.worker)) {
        if (record.verdict == LifeVerdict::Unknown)
            return giveUpLife(record.worker, lost.mapped());
        tasks = lost.mapped().tasks;
    }
    if (record.verdict == LifeVerdict::NotCrashed) {
        if (auto givenUp = m_livesGivenUp.extract(record.worker))
            tasks.merge(givenUp.mapped().tasks);
    }
    for (const TaskRef &ref : tasks) {
        Job *job = findJob(ref.job);
        Task *task = job ? findTask(*job, ref) : nullptr;
        if (!task)
            continue;
        std::erase_if(task->suspectedRuns, [&](const SuspectedRun &it) {
            const bool settled = it.worker == record.worker;
            const bool counts = settled && record.verdict == LifeVerdict::Crashed && !task->done;
            task->crashes += counts ? 1 : 0;
            task->causedCrashes += counts && it.isCause ? 1 : 0;
            return settled;
        });
        endIfCrashing(*job, *task, record.wallMs);
    }
}

void JobTable::giveUpLife(const WorkerIncarnation &life, const LostLife &lost)
{
    for (const TaskRef &it : lost.tasks) {
        const Job *job = find(it.job);
        if (!job || isFinal(job->state))
            continue;
        LostLife &givenUp = m_livesGivenUp[life];
        givenUp.address = lost.address;
        givenUp.lostWallMs = lost.lostWallMs;
        givenUp.tasks.insert(it);
    }
}

std::optional<LostLife> JobTable::lostLife(const WorkerIncarnation &life) const
{
    std::optional<LostLife> found;
    for (const LostLives *lives : {&m_lostLives, &m_livesGivenUp}) {
        const auto it = lives->find(life);
        if (it == lives->end())
            continue;
        if (!found)
            found = it->second;
        found->tasks.insert(it->second.tasks.begin(), it->second.tasks.end());
    }
    return found;
}

void JobTable::clearSuspectedRuns(const TaskRef &ref, Task &task)
{
    for (const SuspectedRun &it : task.suspectedRuns) {
        for (LostLives *lives : {&m_lostLives, &m_livesGivenUp}) {
            const auto life = lives->find(it.worker);
            if (life == lives->end())
                continue;
            life->second.tasks.erase(ref);
            if (life->second.tasks.empty())
                lives->erase(life);
        }
    }
    task.suspectedRuns.clear();
}

void JobTable::forgetLivesGivenUp(std::string_view job)
{
    for (auto &[life, lost] : m_livesGivenUp)
        std::erase_if(lost.tasks, [&](const TaskRef &it) { return it.job == job; });
    std::erase_if(m_livesGivenUp, [](const auto &it) { return it.second.tasks.empty(); });
}

std::string JobTable::workerAddress(std::string_view worker) const
{
    const auto it = m_workerAddresses.find(worker);
    return it == m_workerAddresses.end() ? std::string() : it->second;
}

std::optional<std::int64_t> JobTable::silentUntilMs(std::string_view worker) const
{
    const auto it = m_silentUntilMs.find(worker);
    return it == m_silentUntilMs.end() ? std::nullopt : std::optional(it->second);
}

std::vector<Record> JobTable::snapshotOf(const Job &job) const
{
    std::vector<Record> records;
    records.emplace_back(JobAccepted{job.spec, job.acceptedWallMs});
    for (const auto &[k, occurrence] : job.occurrences) {
        for (int s = 0; s < static_cast<int>(occurrence.steps.size()); ++s) {
            const std::vector<Task> &tasks = occurrence.steps[s].tasks;
            for (int i = 0; i < static_cast<int>(tasks.size()); ++i) {
                if (isFinal(job.state) && tasks[i].activeRuns.empty())
                    continue;
                const TaskRef ref{job.spec.id, k, s, i};
                records.emplace_back(TaskSnapshot{ref, tasks[i]});
                for (const SuspectedRun &run : tasks[i].suspectedRuns)
                    records.emplace_back(RunSuspected{ref, run});
                if (tasks[i].unansweredStart)
                    records.emplace_back(StartUnanswered{ref, *tasks[i].unansweredStart});
            }
        }
    }
    records.emplace_back(JobStateSnapshot{job.spec.id, job.state, job.endedWallMs});
    return records;
}

std::vector<Record> JobTable::snapshot() const
{
    std::vector<Record> records;
    std::set<std::string> workers; // That have runs.
    for (const auto &[id, handover] : m_handovers) {
        records.emplace_back(JobArrived{id, handover.count});
        if (handover.complete) // Also if the job is forgotten.
            records.emplace_back(JobStateSnapshot{id, JobState::Completed, 0});
    }
    for (const auto &[id, job] : m_jobs) {
        for (Record &it : snapshotOf(job)) {
            if (const auto *task = std::get_if<TaskSnapshot>(&it)) {
                for (const ActiveRun &run : task->state.activeRuns)
                    workers.insert(run.worker.workerId);
            }
            records.push_back(std::move(it));
        }
        const auto handover = m_handovers.find(id);
        if (handover != m_handovers.end() && handover->second.to)
            records.emplace_back(JobLeaving{id, *handover->second.to, handover->second.count});
    }
    for (const auto &[id, delegation] : m_delegations)
        records.emplace_back(delegation);
    for (const auto &[id, cancellation] : m_earlyCancellations.all())
        records.emplace_back(UnknownJobCancelled{id, cancellation.queue, cancellation.wallMs});
    for (const auto &[id, address] : m_workerAddresses) {
        if (workers.contains(id))
            records.emplace_back(WorkerAddress{id, address});
    }
    for (const auto &[id, endMs] : m_silentUntilMs) {
        if (workers.contains(id))
            records.emplace_back(WorkerSilent{id, endMs});
    }
    return records;
}

} // namespace savorywick::steps
