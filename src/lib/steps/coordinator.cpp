#include "savorywick/steps/coordinator.h"

#include <algorithm>
#include <utility>

namespace savorywick::steps {

namespace {

// Fences reserved for one epoch, so that a later owner's are higher. A worker's session uses up one
// each time that earlier orders to the worker must become void.
constexpr Fence fencesPerEpoch = 1U << 20U;

} // namespace

Coordinator::Coordinator(std::uint64_t epoch, Instant ownedSince,
                         const CoordinatorSettings &settings)
    : m_settings(settings)
    , m_firstFence(epoch * fencesPerEpoch)
    , m_ownedSince(ownedSince)
    , m_quarantine(settings.quarantine)
{ }

void Coordinator::takeOver(Now now)
{
    for (const auto &[id, job] : m_table.jobs()) {
        m_durableJobs[id] = {job.state, job.spec.policy.queue};
        adjustQueuedCount(m_durableJobs[id], 1);
        if (isFinal(job.state))
            m_endedJobs.emplace(job.endedWallMs, id);
        for (const auto &[k, occurrence] : job.occurrences) {
            for (int s = 0; s < static_cast<int>(occurrence.steps.size()); ++s) {
                const std::vector<Task> &tasks = occurrence.steps[s].tasks;
                for (int i = 0; i < static_cast<int>(tasks.size()); ++i) {
                    for (const ActiveRun &active : tasks[i].runs)
                        adoptRun(job, {id, k, s, i}, active);
                }
            }
        }
        openDueOccurrences(job, now);
        if (isFinal(job.state))
            stopJobRuns(job, "job-over");
    }
}

std::vector<std::string> Coordinator::snapshot() const
{
    std::vector<std::string> lines;
    for (const Record &it : m_table.snapshot())
        lines.push_back(encode(it));
    return lines;
}

void Coordinator::appendRecord(const Record &record)
{
    m_table.apply(record);
    m_records.push_back(encode(record));
}

SubmitResult Coordinator::submit(const JobSpec &spec, Now now)
{
    if (m_table.find(spec.id)) {
        ++m_counters.repeated;
        return SubmitResult::Repeated;
    }
    ++m_counters.accepted;
    appendRecord(JobAccepted{spec, now.wallMs});
    publishWhenDurable(spec.id);
    openDueOccurrences(*m_table.find(spec.id), now);
    return SubmitResult::Accepted;
}

bool Coordinator::cancel(const std::string &job, Now now)
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

std::optional<JobState> Coordinator::shown(std::string_view job) const
{
    const auto it = m_durableJobs.find(std::string(job));
    if (it == m_durableJobs.end())
        return {};
    return it->second.state;
}

int Coordinator::pending(std::string_view queue) const
{
    const auto it = m_queuedJobs.find(queue);
    return it == m_queuedJobs.end() ? 0 : it->second;
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
        adjustQueuedCount(it->second, -1);
    if (!update.state) {
        m_durableJobs.erase(update.job);
        return;
    }
    DurableJob &published = m_durableJobs[update.job];
    published.state = *update.state;
    if (const Job *job = m_table.find(update.job))
        published.queue = job->spec.policy.queue;
    adjustQueuedCount(published, 1);
}

void Coordinator::adjustQueuedCount(const DurableJob &job, int delta)
{
    if (job.state == JobState::Queued)
        m_queuedJobs[job.queue] += delta;
}

// Makes the steps of the job's due occurrences ready. If the job has ended, removes all of its
// ready steps instead.
void Coordinator::openDueOccurrences(const Job &job, Now now)
{
    const std::string &id = job.spec.id;
    if (isFinal(job.state)) {
        m_nextOccurrence.erase(id);
        for (auto it = m_readySteps.lower_bound({id, 0, 0});
             it != m_readySteps.end() && it->first.job == id;)
            it = m_readySteps.erase(it);
        return;
    }
    int k = 0;
    const auto next = m_nextOccurrence.find(id);
    if (next != m_nextOccurrence.end())
        k = next->second;
    for (; k < job.occurrenceCount() && job.dueWallMs(k) <= now.wallMs; ++k)
        refreshOccurrence(job, k, now);
    if (k < job.occurrenceCount())
        m_nextOccurrence[id] = k;
    else
        m_nextOccurrence.erase(id);
}

void Coordinator::refreshOccurrence(const Job &job, int occurrence, Now now)
{
    for (int s = 0; s < static_cast<int>(job.spec.steps.size()); ++s)
        refreshStep(job, {job.spec.id, occurrence, s}, now);
}

// Adds the step to the ready steps, or removes it, as the state of its occurrence requires.
void Coordinator::refreshStep(const Job &job, const StepRef &ref, Now now)
{
    const StepSpec &spec = job.spec.steps[ref.step];
    const auto it = job.occurrences.find(ref.occurrence);
    const Occurrence *occurrence = it == job.occurrences.end() ? nullptr : &it->second;
    const bool predecessorsDone =
        std::all_of(spec.after.begin(), spec.after.end(), [&](int predecessor) {
            return occurrence && occurrence->steps[predecessor].done();
        });
    const bool hasTasksToStart =
        !isFinal(job.state) && predecessorsDone && !tasksToStart(ref).empty();
    if (!hasTasksToStart) {
        m_readySteps.erase(ref);
        return;
    }
    m_readySteps.try_emplace(ref, now.at);
    m_placementNeeded = true;
}

void Coordinator::noteRun(NoteKind kind, const Run &run, std::string_view why, Millis age,
                          int value)
{
    m_notes.push_back({kind, run.key.task, run.key.number, run.worker, why, age, value});
}

void Coordinator::noteWorker(NoteKind kind, const std::string &worker, std::string_view why,
                             Millis age)
{
    m_notes.push_back({kind, {}, 0, worker, why, age, 0});
}

std::vector<Note> Coordinator::takeNotes()
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
void Coordinator::forgetExpiredJobs(Now now)
{
    while (!m_endedJobs.empty()) {
        const auto &[endedWallMs, id] = *m_endedJobs.begin();
        const bool hasRuns = !m_runs.ofJob(id).empty();
        if (hasRuns || endedWallMs + m_settings.retention.count() > now.wallMs)
            return;
        const std::string forgotten = id;
        m_endedJobs.erase(m_endedJobs.begin());
        appendRecord(JobForgotten{forgotten});
        m_quarantine.forgetJob(forgotten);
        m_headroomEstimator.forgetJob(forgotten);
        publishWhenDurable(forgotten);
    }
}

void Coordinator::tick(Now now)
{
    expireWorkers(now);
    stopStalledRuns(now);
    std::vector<std::string> scheduled;
    for (const auto &[id, k] : m_nextOccurrence)
        scheduled.push_back(id);
    for (const std::string &id : scheduled)
        openDueOccurrences(*m_table.find(id), now);
    forgetExpiredJobs(now);
    if (m_placementNeeded)
        placeReadySteps(now);
}

std::vector<std::string> Coordinator::takeRecords()
{
    return std::exchange(m_records, {});
}

void Coordinator::appended(Ticket ticket)
{
    m_appended = ticket;
    const auto stamp = [ticket](auto &held) {
        for (auto it = held.rbegin(); it != held.rend() && it->ticket == 0; ++it)
            it->ticket = ticket;
    };
    stamp(m_uncommittedStarts);
    stamp(m_uncommittedAcks);
    stamp(m_uncommittedStates);
}

void Coordinator::landed(Ticket ticket)
{
    m_durable = ticket;
    const auto isDurable = [ticket](const auto &held) {
        return !held.empty() && held.front().ticket != 0 && held.front().ticket <= ticket;
    };
    while (isDurable(m_uncommittedStates)) {
        publishState(m_uncommittedStates.front());
        m_uncommittedStates.pop_front();
    }
    while (isDurable(m_uncommittedAcks)) {
        const UncommittedAck &ack = m_uncommittedAcks.front();
        const auto it = m_workers.find(ack.worker.id);
        if (it != m_workers.end() && it->second.session.life() == ack.worker)
            it->second.session.endsDurable(ack.endNumber);
        m_uncommittedAcks.pop_front();
    }
    while (isDurable(m_uncommittedStarts)) {
        m_durableStarts.push_back(m_uncommittedStarts.front().run);
        m_uncommittedStarts.pop_front();
    }
}

std::vector<Order> Coordinator::takeOrders(Now now)
{
    std::vector<Order> orders = std::exchange(m_immediateOrders, {});
    addStartOrders(orders, now);
    addStopOrders(orders, now);
    std::vector<Order> renewals = takeRenewals(now);
    orders.insert(orders.end(), std::make_move_iterator(renewals.begin()),
                  std::make_move_iterator(renewals.end()));
    return orders;
}

void Coordinator::addStartOrders(std::vector<Order> &orders, Now now)
{
    for (const RunKey &key : std::exchange(m_durableStarts, {})) {
        Run *run = m_runs.find(key);
        if (!run || run->phase != RunPhase::Recorded)
            continue;
        const auto it = m_workers.find(run->worker);
        const Job *job = m_table.find(key.task.job);
        const bool mayStart = job && !isFinal(job->state) && !run->stopping && it != m_workers.end()
            && it->second.session.life() == run->life && it->second.session.responsive()
            && !it->second.info.draining;
        if (!mayStart) {
            endRun(key, RunEnd::NeverStarted, {}, now);
            continue;
        }
        WorkerSession &session = it->second.session;
        run->phase = RunPhase::Sent;
        run->fence = session.fence();
        run->startedAt = now.at;
        run->progressAt = now.at;
        orders.emplace_back(StartOrder{session.target(), key.task, key.number, job->spec.payload,
                                       job->find(key.task)->checkpoint,
                                       session.grantLease(now.at)});
    }
}

void Coordinator::addStopOrders(std::vector<Order> &orders, Now now)
{
    for (const RunKey &key : m_runs.stopping()) {
        Run *run = m_runs.find(key);
        const bool due =
            !run->stopSentAt || now.at - *run->stopSentAt >= m_settings.stopResendInterval;
        const auto it = m_workers.find(run->worker);
        if (run->phase != RunPhase::Running || !due || it == m_workers.end())
            continue;
        run->stopSentAt = now.at;
        orders.emplace_back(StopOrder{it->second.session.target(), key.task, key.number});
    }
}

std::vector<Order> Coordinator::takeRenewals(Now now)
{
    std::vector<Order> renewals;
    for (auto &[id, worker] : m_workers) {
        const Millis wait = needsMonitoring(worker) ? m_settings.monitoredRenewalWait
                                                    : m_settings.workers.renewalWait;
        if (auto renewal = worker.session.nextRenewal(m_runs.hasRuns(id), wait, now.at))
            renewals.emplace_back(std::move(*renewal));
    }
    return renewals;
}

Instant Coordinator::wakeAt(Instant now) const
{
    // Bounds the delay of lapsed leases, stalled runs, due occurrences and repeated stop orders.
    constexpr Millis maxTickInterval{500};
    Instant at = now + maxTickInterval;
    for (const auto &[id, worker] : m_workers) {
        if (const auto due = worker.session.nextRenewalAt(m_runs.hasRuns(id)))
            at = std::min(at, *due);
    }
    return at;
}

} // namespace savorywick::steps
