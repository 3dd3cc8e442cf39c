#include "savorywick/steps/coordinator.h"

#include <algorithm>
#include <utility>

namespace savorywick::steps {

namespace {

// Fences reserved for one epoch, so that a later owner's are higher. A worker's session uses up one
// each time that earlier orders to the worker must become void.
constexpr Fence fencesPerEpoch = 1U << 20U;
constexpr std::uint64_t firstEpoch = 1;

// Returns true if the task's state shows that a worker has started it. Otherwise it may have
// started as well.
bool showsStart(const Task &task)
{
    return task.done || task.failedRuns > 0 || !task.checkpoint.empty();
}

bool showsStart(const Job &job)
{
    for (const auto &[k, occurrence] : job.occurrences) {
        for (const Step &step : occurrence.steps) {
            if (std::any_of(step.tasks.begin(), step.tasks.end(),
                            [](const Task &it) { return showsStart(it); }))
                return true;
        }
    }
    return false;
}

// Returns true if and only if the occurrence's time has come. A job without a schedule is due
// whatever the clock of this owner shows: that of the owner that accepted it may have been ahead.
bool isDue(const Job &job, int occurrence, std::int64_t wallMs)
{
    return job.spec.schedule.occurrenceCount == 0 || job.dueWallMs(occurrence) <= wallMs;
}

} // namespace

Coordinator::Coordinator(std::uint64_t epoch, Instant ownedSince,
                         const CoordinatorSettings &settings)
    : m_settings(settings)
    , m_firstFence(epoch * fencesPerEpoch)
    , m_hasPredecessors(epoch > firstEpoch)
    , m_ownedSince(ownedSince)
    , m_transfers(m_table, [this](const Record &it) { appendRecord(it); })
    , m_crashJudge(settings.crashes)
    , m_quarantine(settings.quarantine)
    , m_evacuatedZones(settings.zoneEvacuation)
    , m_relaxedStarts(settings.relaxedRunsPerHundredWorkers)
    , m_bestEffortLimit(settings.bestEffortLimit)
    , m_preemption(settings.preemption)
    , m_durations(settings.durations)
    , m_stragglers(settings.stragglers, m_durations, ownedSince)
    , m_admission(settings.admission)
    , m_longRunningGaps(epoch)
    , m_unansweredStarts(settings.workerSessions.maxExecutionDelay)
{ }

void Coordinator::takeOver(ClockReading now)
{
    m_admission.advance(now.monotonic, now.wallMs);
    m_transfers.takeOver(now.wallMs);
    for (const auto &[id, job] : m_table.jobs()) {
        if (m_settings.admission.enabled && !m_transfers.leavingTo(id))
            m_admission.restore(job);
        m_durableJobs[id] = {job.state, job.spec.policy.queue, showsStart(job)};
        adjustPendingCount(m_durableJobs[id], 1);
        if (isFinal(job.state))
            m_endedJobs.emplace(job.endedWallMs, id);
        for (const auto &[k, occurrence] : job.occurrences) {
            for (int s = 0; s < static_cast<int>(occurrence.steps.size()); ++s) {
                const std::vector<Task> &tasks = occurrence.steps[s].tasks;
                for (int i = 0; i < static_cast<int>(tasks.size()); ++i) {
                    restoreUnansweredStart({id, k, s, i}, tasks[i]);
                    for (const ActiveRun &active : tasks[i].activeRuns)
                        adoptRun(job, {id, k, s, i}, active);
                }
            }
        }
        openDueOccurrences(job, now);
        if (isFinal(job.state))
            stopJobRuns(job, "job-over");
    }
    stopRunsOfDoneTasks();
    for (const auto &[life, lost] : m_table.lostLives())
        updateHoldsOf(lost, now);
}

std::vector<std::string> Coordinator::snapshot() const
{
    std::vector<std::string> lines;
    for (const Record &it : m_table.snapshot())
        lines.push_back(encodeRecord(it));
    return lines;
}

void Coordinator::appendRecord(const Record &record)
{
    m_table.apply(record);
    if (m_settings.admission.enabled)
        m_admission.apply(record, m_table);
    m_records.push_back(encodeRecord(record));
}

JobAdmissionDecision Coordinator::decideAdmission(const JobSpec &spec, ClockReading now)
{
    return m_admission.decide(spec, now.monotonic, now.wallMs);
}

SubmitResult Coordinator::submit(const JobSpec &spec, ClockReading now)
{
    if (m_table.find(spec.id)) {
        ++m_counters.jobsRepeated;
        return SubmitResult::Repeated;
    }
    ++m_counters.jobsAccepted;
    appendRecord(JobAccepted{spec, now.wallMs});
    publishWhenDurable(spec.id);
    const Job &job = *m_table.find(spec.id);
    openDueOccurrences(job, now);
    if (!isFinal(job.state))
        return SubmitResult::Accepted;
    m_endedJobs.emplace(now.wallMs, spec.id);
    m_admission.removeJob(spec.id);
    return SubmitResult::Cancelled;
}

bool Coordinator::cancel(const std::string &job, ClockReading now)
{
    const Job *known = m_table.find(job);
    if (!known)
        return false;
    if (isFinal(known->state))
        return true;
    appendRecord(JobCancelled{job, now.wallMs});
    m_endedJobs.emplace(now.wallMs, job);
    publishWhenDurable(job);
    stopJobRuns(*known, "cancelled");
    openDueOccurrences(*known, now);
    return true;
}

bool Coordinator::rememberCancellation(const std::string &job, const std::string &queue,
                                       ClockReading now)
{
    const EarlyCancellations &known = m_table.earlyCancellations();
    if (known.contains(job))
        return true;
    if (known.countOf(queue) >= m_settings.maxEarlyCancellations)
        return false;
    appendRecord(UnknownJobCancelled{job, queue, now.wallMs});
    return true;
}

std::optional<JobState> Coordinator::durableState(std::string_view job) const
{
    const auto it = m_durableJobs.find(std::string(job));
    if (it == m_durableJobs.end())
        return {};
    return it->second.state;
}

int Coordinator::pendingJobCount(std::string_view queue) const
{
    const auto it = m_pendingJobs.find(queue);
    return it == m_pendingJobs.end() ? 0 : it->second;
}

int Coordinator::pendingJobCount() const
{
    int count = 0;
    for (const auto &[queue, jobs] : m_pendingJobs)
        count += jobs;
    return count;
}

void Coordinator::publishWhenDurable(const std::string &job)
{
    const Job *known = m_table.find(job);
    UncommittedState update{0, job, {}};
    if (known)
        update.state = known->state;
    m_uncommittedStates.push_back(std::move(update));
}

void Coordinator::publishState(const UncommittedState &update)
{
    const auto it = m_durableJobs.find(update.job);
    if (it != m_durableJobs.end())
        adjustPendingCount(it->second, -1);
    if (!update.state) {
        m_durableJobs.erase(update.job);
        return;
    }
    DurableJob &published = m_durableJobs[update.job];
    published.state = *update.state;
    if (const Job *job = m_table.find(update.job)) {
        published.queue = job->spec.policy.queue;
        if (m_table.handovers().contains(update.job))
            published.startConfirmed = published.startConfirmed || showsStart(*job);
    }
    adjustPendingCount(published, 1);
}

void Coordinator::adjustPendingCount(const DurableJob &job, int delta)
{
    if (!isFinal(job.state) && !job.startConfirmed)
        m_pendingJobs[job.queue] += delta;
}

// Notes that a worker has started a task of the job.
void Coordinator::noteConfirmedStart(const std::string &job)
{
    const auto it = m_durableJobs.find(job);
    if (it == m_durableJobs.end() || it->second.startConfirmed)
        return;
    adjustPendingCount(it->second, -1);
    it->second.startConfirmed = true;
}

// Lets no step of the job be ready any more.
void Coordinator::closeSteps(const std::string &job)
{
    m_nextOccurrence.erase(job);
    m_dueOccurrences.cancel(job);
    m_longRunningGaps.forgetJob(job);
    m_unansweredStarts.forgetJob(job);
    for (auto it = m_readySteps.lower_bound({job, 0, 0});
         it != m_readySteps.end() && it->first.job == job;)
        it = m_readySteps.erase(it);
}

// Carries out that the job has ended, with a run of the task on the worker.
void Coordinator::concludeJob(const Job &job, const TaskRef &task, int run,
                              const std::string &worker, ClockReading now)
{
    m_notes.push_back({SchedulerEventKind::JobEnded, task, run, worker, toString(job.state),
                       Millis{now.wallMs - job.dueWallMs(task.occurrence)}, 0});
    m_endedJobs.emplace(now.wallMs, job.spec.id);
    m_admission.removeJob(job.spec.id);
    publishWhenDurable(job.spec.id);
    openDueOccurrences(job, now);
    stopJobRuns(job, "job-over");
}

// Makes the steps of the job's due occurrences ready. If the job has ended or leaves, removes all
// of its ready steps instead.
void Coordinator::openDueOccurrences(const Job &job, ClockReading now)
{
    const std::string &id = job.spec.id;
    if (isFinal(job.state) || m_transfers.leavingTo(id))
        return closeSteps(id);
    int k = 0;
    const auto next = m_nextOccurrence.find(id);
    if (next != m_nextOccurrence.end())
        k = next->second;
    for (; k < job.occurrenceCount() && isDue(job, k, now.wallMs); ++k)
        refreshOccurrence(job, k, now);
    if (k < job.occurrenceCount()) {
        m_nextOccurrence[id] = k;
        m_dueOccurrences.schedule(id, Instant{job.dueWallMs(k)});
    } else {
        m_nextOccurrence.erase(id);
        m_dueOccurrences.cancel(id);
    }
}

void Coordinator::refreshOccurrence(const Job &job, int occurrence, ClockReading now)
{
    for (int s = 0; s < static_cast<int>(job.spec.steps.size()); ++s)
        refreshStep(job, {job.spec.id, occurrence, s}, now);
}

// Adds the step to the ready steps, or removes it, as the state of its occurrence requires.
void Coordinator::refreshStep(const Job &job, const StepRef &ref, ClockReading now)
{
    const StepSpec &spec = job.spec.steps[ref.step];
    const auto it = job.occurrences.find(ref.occurrence);
    const Occurrence *occurrence = it == job.occurrences.end() ? nullptr : &it->second;
    const bool predecessorsDone =
        std::all_of(spec.dependsOn.begin(), spec.dependsOn.end(), [&](int predecessor) {
            return occurrence && occurrence->steps[predecessor].done();
        });
    const bool hasTasksToStart =
        !isFinal(job.state) && predecessorsDone && !tasksToStart(ref).empty();
    if (!hasTasksToStart) {
        m_readySteps.erase(ref);
        return;
    }
    m_readySteps.try_emplace(ref, now.monotonic);
    m_placementNeeded = true;
}

void Coordinator::noteRun(SchedulerEventKind kind, const Run &run, std::string_view why, Millis age,
                          int value)
{
    m_notes.push_back({kind, run.key.task, run.key.number, run.workerId, why, age, value});
}

void Coordinator::noteWorker(SchedulerEventKind kind, const std::string &worker,
                             std::string_view why, Millis age)
{
    m_notes.push_back({kind, {}, 0, worker, why, age, 0});
}

std::vector<SchedulerEvent> Coordinator::takeNotes()
{
    return std::exchange(m_notes, {});
}

void Coordinator::stopJobRuns(const Job &job, std::string_view why)
{
    for (const RunKey &it : m_runs.ofJob(job.spec.id))
        requestStop(it, why);
}

// Forgets ended jobs after their retention, in the order of their ends. A job that still has runs
// is kept, and those that ended after it as well.
void Coordinator::forgetExpiredJobs(ClockReading now)
{
    while (!m_endedJobs.empty()) {
        const auto &[endedWallMs, id] = *m_endedJobs.begin();
        const bool hasRuns = !m_runs.ofJob(id).empty();
        if (hasRuns || endedWallMs + m_settings.endedJobRetention.count() > now.wallMs)
            return;
        const std::string forgotten = id;
        m_endedJobs.erase(m_endedJobs.begin());
        appendRecord(JobPurged{forgotten});
        m_transfers.notePurged(forgotten, now.wallMs);
        m_quarantine.removeJob(forgotten);
        m_headroomEstimator.forgetJob(forgotten);
        publishWhenDurable(forgotten);
    }
}

void Coordinator::tick(ClockReading now)
{
    m_admission.advance(now.monotonic, now.wallMs);
    expireWorkers(now);
    releaseHeldTasks(now);
    releaseWaitingTasks(now);
    stopStalledRuns(now);
    for (const std::string &id : m_dueOccurrences.takeDue(Instant{now.wallMs}))
        openDueOccurrences(*m_table.find(id), now);
    forgetExpiredJobs(now);
    for (const std::string &it :
         m_table.earlyCancellations().expired(m_settings.endedJobRetention, now.wallMs))
        appendRecord(CancellationForgotten{it});
    m_transfers.forgetExpired(m_settings.delegationRetention, now.wallMs);
    if (now.monotonic >= placementAt())
        placeReadySteps(now);
    startDuplicates(now);
    noteWaitingSteps(now);
}

std::vector<std::string> Coordinator::takeRecords()
{
    return std::exchange(m_records, {});
}

void Coordinator::recordsAppended(LogSequenceNumber lsn)
{
    m_appended = lsn;
    const auto stamp = [lsn](auto &held) {
        for (auto it = held.rbegin(); it != held.rend() && it->lsn == 0; ++it)
            it->lsn = lsn;
    };
    stamp(m_uncommittedStarts);
    stamp(m_uncommittedAcks);
    stamp(m_uncommittedStates);
    m_earlierLeases.recordsAppended(lsn);
}

void Coordinator::recordsDurable(LogSequenceNumber lsn)
{
    m_durable = lsn;
    m_earlierLeases.recordsDurable(lsn);
    const auto isDurable = [lsn](const auto &held) {
        return !held.empty() && held.front().lsn != 0 && held.front().lsn <= lsn;
    };
    while (isDurable(m_uncommittedStates)) {
        publishState(m_uncommittedStates.front());
        m_uncommittedStates.pop_front();
    }
    while (isDurable(m_uncommittedAcks)) {
        const UncommittedAck &ack = m_uncommittedAcks.front();
        const auto it = m_workers.find(ack.worker.workerId);
        if (it != m_workers.end() && it->second.session.incarnation() == ack.worker) {
            it->second.session.recordDurableEnds(ack.endNumber);
            markStale(it->second);
        }
        m_uncommittedAcks.pop_front();
    }
    while (isDurable(m_uncommittedStarts)) {
        m_durableStarts.push_back(m_uncommittedStarts.front().run);
        m_uncommittedStarts.pop_front();
    }
}

} // namespace savorywick::steps
