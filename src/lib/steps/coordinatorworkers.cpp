// The part of Coordinator that tracks workers and processes their replies and the ends of runs.

#include "savorywick/steps/coordinator.h"

#include <algorithm>
#include <set>

namespace savorywick::steps {

namespace {

constexpr int fullPercent = 100;

} // namespace

Coordinator::Worker &Coordinator::findOrAddWorker(const WorkerInfo &info, Now now)
{
    const std::string &id = info.life.id;
    const auto it = m_workers.find(id);
    if (it != m_workers.end()) {
        it->second.session.update(info.life, info.address, now.at);
        it->second.info = info;
        return it->second;
    }
    m_quarantine.addWorker(id);
    Worker worker{
        info,
        WorkerSession(info.life, info.address, m_firstFence, m_ownedSince, m_settings.workers),
        {}};
    return m_workers.emplace(id, std::move(worker)).first->second;
}

void Coordinator::setWorkers(std::span<const WorkerInfo> workers, Now now)
{
    std::set<std::string_view> listed;
    for (const WorkerInfo &info : workers) {
        listed.insert(info.life.id);
        Worker &worker = findOrAddWorker(info, now);
        worker.unlistedSince.reset();
        worker.everListed = true;
        if (info.draining)
            evacuate(worker);
    }
    for (auto &[id, worker] : m_workers) {
        if (!listed.contains(id) && !worker.unlistedSince)
            worker.unlistedSince = now.at;
    }
    m_placementNeeded = true;
}

// Adds a run that an earlier owner recorded. The worker's next report tells whether it exists.
void Coordinator::adoptRun(const Job &job, const TaskRef &task, const ActiveRun &active)
{
    Run run = newRun({task, active.number}, job.spec.steps[task.step], active.worker, m_ownedSince);
    run.phase = RunPhase::Doubtful;
    m_runs.add(std::move(run));
    const std::string &id = active.worker.id;
    if (m_workers.contains(id))
        return;
    // The platform has not listed the worker yet. If it never does, the worker's lease lapses and
    // the run ends.
    Worker worker{{.life = active.worker},
                  WorkerSession(active.worker, {}, m_firstFence, m_ownedSince, m_settings.workers),
                  m_ownedSince};
    m_quarantine.addWorker(id);
    m_workers.emplace(id, std::move(worker));
}

void Coordinator::renewReply(const RenewOrder &order, const RenewReply &reply, Now now)
{
    const auto it = m_workers.find(order.target.worker.id);
    if (it == m_workers.end() || it->second.session.life() != order.target.worker)
        return;
    Worker &worker = it->second;
    const std::string &id = worker.info.life.id;
    const bool wasResponsive = worker.session.responsive();
    const Millis silence = now.at - worker.session.heardAt();
    if (reply.outcome != OrderOutcome::Done) {
        if (wasResponsive)
            noteWorker(NoteKind::WorkerSilent, id, toString(reply.outcome), silence);
        worker.session.renewalFailed(now.at);
        if (reply.outcome == OrderOutcome::Fenced)
            worker.session.raiseFence(now.at);
        return;
    }
    if (!worker.session.renewalAnswered(reply.report, now.at)) {
        worker.info.life.bornWallMs = reply.report.bornWallMs;
        worker.session.update(worker.info.life, worker.info.address, now.at);
        return;
    }
    if (!wasResponsive && worker.session.responsive())
        noteWorker(NoteKind::WorkerBack, id, "answered", silence);
    processEndReports(worker, reply.report, now);
    processRunningReports(worker, reply.report, now);
    endMissingRuns(worker, reply.report, now);
    controlInterference(worker, now);
    m_placementNeeded = true;
}

// Ends the runs that the worker reports as ended since its last report.
void Coordinator::processEndReports(Worker &worker, const WorkerReport &report, Now now)
{
    std::int64_t highest = worker.session.takenEnds();
    for (const EndReport &end : report.ended) {
        if (end.number <= worker.session.takenEnds())
            continue;
        highest = std::max(highest, end.number);
        const RunKey key{end.task, end.run};
        const Run *run = m_runs.find(key);
        if (run && run->worker == worker.info.life.id)
            endRun(key, end.how, end.checkpoint, now);
    }
    if (highest == worker.session.takenEnds())
        return;
    worker.session.endsTaken(highest);
    m_uncommittedAcks.push_back({0, worker.session.life(), highest});
}

// Confirms the runs that the worker reports as running and updates their progress.
void Coordinator::processRunningReports(Worker &worker, const WorkerReport &report, Now now)
{
    for (const RunningReport &it : report.running) {
        const RunKey key{it.task, it.run};
        Run *run = m_runs.find(key);
        if (!run || run->worker != worker.info.life.id) {
            stopUnknownRun(worker, it);
            continue;
        }
        if (run->life != worker.session.life())
            m_runs.setLife(key, worker.session.life());
        if (run->phase != RunPhase::Running) {
            if (run->fence == 0)
                ++m_counters.adopted;
            noteRun(NoteKind::RunConfirmed, *run, run->fence == 0 ? "adopted" : "listed",
                    now.at - run->startedAt, it.percent);
            run->phase = RunPhase::Running;
            run->confirmedAt = now.at;
        }
        if (it.percent != run->percent)
            run->progressAt = now.at;
        // Long-running tasks don't end by themselves: getting to work counts as their success.
        if (run->standing && it.percent == fullPercent && run->percent < fullPercent)
            m_quarantine.succeeded(key.task.job, run->worker, now.at);
        run->percent = it.percent;
        run->figure = it.figure;
    }
}

// Stops a run that is unknown here, such as one that was given up before its delayed start order
// took effect.
void Coordinator::stopUnknownRun(const Worker &worker, const RunningReport &report)
{
    m_immediateOrders.emplace_back(StopOrder{worker.session.target(), report.task, report.run});
}

// Ends the runs that are certainly gone: the report contains them neither as running nor as ended,
// and the worker either had them before the renewal was sent, or has seen a fence that voids their
// start orders.
void Coordinator::endMissingRuns(Worker &worker, const WorkerReport &report, Now now)
{
    std::set<RunKey> running;
    for (const RunningReport &it : report.running)
        running.insert({it.task, it.run});
    for (const RunKey &key : m_runs.onWorker(worker.info.life.id)) {
        const Run &run = *m_runs.find(key);
        if (run.phase == RunPhase::Recorded || running.contains(key))
            continue;
        const bool startIsVoid = run.fence < worker.session.answeredFence();
        const bool hadRun = run.phase == RunPhase::Running
            && run.confirmedAt < worker.session.answeredRenewalSentAt();
        if (run.phase == RunPhase::Running ? hadRun : startIsVoid)
            endRun(key, run.phase == RunPhase::Running ? RunEnd::Lapsed : RunEnd::NeverStarted, {},
                   now);
    }
}

void Coordinator::startReply(const StartOrder &order, const OrderReply &reply, Now now)
{
    ++m_counters.startReplies[reply.outcome];
    const auto worker = m_workers.find(order.target.worker.id);
    const bool sameLife =
        worker != m_workers.end() && worker->second.session.life() == order.target.worker;
    if (sameLife && reply.clockMs)
        worker->second.session.noteClock(*reply.clockMs, now.at);
    const RunKey key{order.task, order.run};
    Run *run = m_runs.find(key);
    if (!run || run->phase != RunPhase::Sent)
        return;
    switch (reply.outcome) {
    case OrderOutcome::Done:
        run->phase = RunPhase::Running;
        run->confirmedAt = now.at;
        run->progressAt = now.at;
        return;
    case OrderOutcome::Unknown:
    case OrderOutcome::OldRun: // This run or a later one has ended there; the next report tells.
        return markStartUnknown(key, now);
    case OrderOutcome::NoRoom:
    case OrderOutcome::TooLate:
    case OrderOutcome::Fenced:
    case OrderOutcome::OtherLife:
    case OrderOutcome::Rejected:
    case OrderOutcome::NotSent:
        if (sameLife && reply.outcome == OrderOutcome::NotSent)
            worker->second.session.noteSilence();
        if (sameLife && reply.outcome == OrderOutcome::NoRoom)
            worker->second.blockedUntil = now.at + m_settings.noRoomBackoff;
        return endRun(key, RunEnd::NeverStarted, {}, now);
    }
}

void Coordinator::stopReply(const StopOrder &order, const OrderReply &reply, Now now)
{
    const auto worker = m_workers.find(order.target.worker.id);
    if (worker == m_workers.end() || worker->second.session.life() != order.target.worker)
        return;
    if (reply.clockMs)
        worker->second.session.noteClock(*reply.clockMs, now.at);
    Run *run = m_runs.find({order.task, order.run});
    if (!run || reply.outcome == OrderOutcome::Done)
        return;
    noteRun(NoteKind::StopNotDone, *run, toString(reply.outcome), now.at - run->startedAt);
    run->stopSentAt = now.at - m_settings.stopResendInterval + m_settings.stopRetryDelay;
}

// Handles a start order that may or may not have taken effect. The fence is raised, so that the
// next answered renewal voids the order and its report tells whether the worker has the run.
void Coordinator::markStartUnknown(const RunKey &key, Now now)
{
    Run *run = m_runs.find(key);
    run->phase = RunPhase::Doubtful;
    noteRun(NoteKind::RunDoubted, *run, "no-answer", now.at - run->startedAt);
    const auto worker = m_workers.find(run->worker);
    if (worker != m_workers.end() && worker->second.session.fence() == run->fence)
        worker->second.session.raiseFence(now.at);
}

void Coordinator::endRun(const RunKey &key, RunEnd how, const std::string &checkpoint, Now now)
{
    const Run *known = m_runs.find(key);
    if (!known)
        return;
    const Run run = *known;
    m_runs.remove(key);
    m_placementNeeded = true;
    ++m_counters.ends[how];
    noteRun(NoteKind::RunEnded, run, toString(how), now.at - run.startedAt, run.percent);
    updateQuarantine(run, how, now);
    const Job *job = m_table.find(key.task.job);
    if (!job)
        return;
    const JobState before = job->state;
    appendRecord(RunEnded{key.task, key.number, how, checkpoint, now.wallMs});
    if (job->state != before) {
        noteRun(NoteKind::JobEnded, run, toString(job->state),
                Millis{now.wallMs - job->dueWallMs(key.task.occurrence)});
        m_endedJobs.emplace(now.wallMs, key.task.job);
        publishWhenDurable(key.task.job);
        openDueOccurrences(*job, now);
        stopJobRuns(*job, "job-over");
        return;
    }
    if (how == RunEnd::Done)
        stopDuplicateRuns(key.task);
    else if (job->spec.steps[key.task.step].gang)
        stopGangMembers(key);
    if (!isFinal(job->state))
        refreshOccurrence(*job, key.task.occurrence, now);
}

void Coordinator::updateQuarantine(const Run &run, RunEnd how, Now now)
{
    if (how == RunEnd::Done)
        m_quarantine.succeeded(run.key.task.job, run.worker, now.at);
    if (how != RunEnd::Failed)
        return;
    const FailureVerdict verdict =
        m_quarantine.failed(run.key.task.job, run.worker, toString(how), now.at);
    if (!verdict.quarantineWorker)
        return;
    ++m_counters.quarantined;
    noteWorker(NoteKind::WorkerSuspected, run.worker, "failures", Millis{0});
}

// Stops the other members of the gang's run, which would wait in vain for the one that ended.
void Coordinator::stopGangMembers(const RunKey &key)
{
    for (const RunKey &it : m_runs.ofStep(key.task.stepRef())) {
        if (it.number == key.number)
            requestStop(it, "gang-broken");
    }
}

void Coordinator::stopDuplicateRuns(const TaskRef &task)
{
    for (const RunKey &it : m_runs.ofTask(task))
        requestStop(it, "copy-done");
}

void Coordinator::requestStop(const RunKey &key, std::string_view why)
{
    const Run *run = m_runs.find(key);
    if (!run || run->stopping)
        return;
    noteRun(NoteKind::StopAsked, *run, why, Millis{0}, run->percent);
    m_runs.stop(key);
}

// Ends the runs of workers whose lease has lapsed, and removes such workers if they are unlisted.
void Coordinator::expireWorkers(Now now)
{
    std::vector<std::string> removable;
    for (auto &[id, worker] : m_workers) {
        if (!worker.session.lapsed(now.at))
            continue;
        // A run whose start order was not sent holds no lease.
        std::vector<RunKey> lapsedRuns = m_runs.onWorker(id);
        std::erase_if(lapsedRuns, [this](const RunKey &key) {
            return m_runs.find(key)->phase == RunPhase::Recorded;
        });
        if (!lapsedRuns.empty())
            noteWorker(NoteKind::WorkerLapsed, id, "lease-over", now.at - worker.session.heardAt());
        for (const RunKey &key : lapsedRuns)
            endRun(key, RunEnd::Lapsed, {}, now);
        if (worker.unlistedSince && !m_runs.hasRuns(id))
            removable.push_back(id);
    }
    for (const std::string &id : removable) {
        m_workers.erase(id);
        m_quarantine.removeWorker(id);
    }
}

bool Coordinator::isStalled(const Run &run, Now now) const
{
    if (run.phase != RunPhase::Running || run.stopping || run.fillIn)
        return false;
    const Millis withoutProgress = now.at - run.progressAt;
    if (run.standing)
        return run.percent < fullPercent && withoutProgress > m_settings.longRunningStartTimeout;
    const Millis estimateShare = run.estimate * m_settings.stallEstimatePercent / fullPercent;
    return withoutProgress > m_settings.stallTimeout && withoutProgress > estimateShare;
}

void Coordinator::stopStalledRuns(Now now)
{
    std::vector<RunKey> stalledRuns;
    for (const auto &[key, run] : m_runs.all()) {
        if (isStalled(run, now))
            stalledRuns.push_back(key);
    }
    for (const RunKey &key : stalledRuns) {
        ++m_counters.stalled;
        m_quarantine.failed(key.task.job, m_runs.find(key)->worker, "stalled", now.at);
        requestStop(key, "stalled");
    }
}

// Moves the runs that would not end before the worker leaves, if they lose little by moving: those
// that save checkpoints, and long-running ones.
void Coordinator::evacuate(const Worker &worker)
{
    for (const RunKey &key : m_runs.onWorker(worker.info.life.id)) {
        const Run &run = *m_runs.find(key);
        const StepSpec *spec = findStepSpec(key.task);
        if (run.stopping || run.phase != RunPhase::Running || !spec)
            continue;
        const Millis remainingWork = run.estimate * (fullPercent - run.percent) / fullPercent;
        const bool endsInTime = !run.standing && remainingWork < worker.info.remaining;
        if (endsInTime || !(spec->checkpointing || spec->standing))
            continue;
        ++m_counters.evacuated;
        requestStop(key, "worker-leaves");
    }
}

const StepSpec *Coordinator::findStepSpec(const TaskRef &task) const
{
    const Job *job = m_table.find(task.job);
    if (!job || task.step < 0 || task.step >= static_cast<int>(job->spec.steps.size()))
        return nullptr;
    return &job->spec.steps[task.step];
}

} // namespace savorywick::steps
