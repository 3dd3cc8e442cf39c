// The part of Coordinator that knows when the leases of workers are over, its own and those of
// earlier owners.

#include "savorywick/steps/coordinator.h"

#include <algorithm>
#include <utility>

namespace savorywick::steps {

WorkerSession Coordinator::makeSession(const WorkerIncarnation &life,
                                       const std::string &address) const
{
    std::optional<Instant> lastGrantAt = m_earlierLeases.lastForgottenGrantAt();
    if (m_hasPredecessors)
        lastGrantAt = std::max(m_ownedSince, lastGrantAt.value_or(m_ownedSince));
    std::optional<EarlierGrants> earlierGrants;
    if (lastGrantAt)
        earlierGrants = {*lastGrantAt, m_earlierLeases.endOf(m_table.silentUntilMs(life.workerId))};
    return {life, address, m_firstFence, m_ownedSince, m_settings.workerSessions, earlierGrants};
}

// Tells the session with the run's worker that the life that it is with has confirmed the run to an
// earlier owner.
void Coordinator::noteKnownLife(WorkerSession &session, const Run &run)
{
    if (run.confirmationRecorded && run.incarnation == session.incarnation())
        session.noteKnownLife(leaseBoundOf(run).end);
}

// Records that a worker has the long-running run. For others the record would cost more than it
// saves: they end soon. It is put off while it can't tell a later owner how long leases may last
// that the worker inherited.
void Coordinator::recordConfirmation(const Worker &worker, Run &run, Instant now)
{
    m_longRunningGaps.noteSeen(run.key.task);
    if (run.confirmationRecorded)
        return;
    const Instant inheritedEndAt = worker.session.inheritedLeasesEndAt();
    const auto endMs = inheritedEndAt <= now ? std::optional<std::int64_t>(0)
                                             : m_earlierLeases.storeTimeOf(inheritedEndAt);
    if (!endMs)
        return;
    run.confirmationRecorded = true;
    appendRecord(RunConfirmed{run.key.task, run.key.number, *endMs});
}

// Records for the next owner that a worker with runs of earlier owners does not answer.
void Coordinator::recordSilence(const Worker &worker, Instant now)
{
    const std::string &id = worker.info.incarnation.workerId;
    if (worker.session.hasGranted() || !m_runs.hasRunsOn(id))
        return;
    if (const auto record = m_earlierLeases.noteSilence(id, m_table.silentUntilMs(id), now))
        appendRecord(*record);
}

// Withdraws what is recorded of the worker's silence, before it is granted a lease.
void Coordinator::recordAnswer(const std::string &worker)
{
    if (m_table.silentUntilMs(worker))
        appendRecord(m_earlierLeases.noteAnswer(worker));
}

// Returns from when on the run, whose start order was sent, has certainly ended with its lease.
LeaseBound Coordinator::leaseBoundOf(const Run &run) const
{
    const WorkerSession &session = m_workers.find(run.workerId)->second.session;
    const bool isOfEarlierOwner = run.phase == RunPhase::Unconfirmed && run.startFence == 0;
    if (isOfEarlierOwner && run.confirmationRecorded) {
        const LeaseBound granted = session.confirmedRunsBound();
        const Instant inheritedEndAt = run.inheritedLeasesEndAt.value_or(granted.end);
        if (inheritedEndAt <= granted.end)
            return granted;
        return {std::min(inheritedEndAt, session.leaseExpiresAt()), "inherited-leases"};
    }
    const bool endedWithItsLife =
        run.phase == RunPhase::Running && run.incarnation != session.incarnation();
    if (endedWithItsLife)
        return {session.formerLifeEndsAt(), "former-life"};
    return session.leaseBound();
}

void Coordinator::noteLeaseEnd(const Run &run, Instant now)
{
    const WorkerIncarnation &present = m_workers.find(run.workerId)->second.session.incarnation();
    SchedulerEvent note{SchedulerEventKind::RunLeaseExpired,
                        run.key.task,
                        run.key.number,
                        run.workerId,
                        leaseBoundOf(run).basis,
                        now - run.startedAt};
    note.lives = {run.incarnation.startedWallMs, present.startedWallMs};
    m_notes.push_back(std::move(note));
}

// Returns when the first lease on the worker ends.
Instant Coordinator::nextLeaseEnd(const Worker &worker) const
{
    Instant next = worker.session.leaseExpiresAt();
    if (worker.session.formerLifeEndsAt() == Instant{}
        && worker.session.confirmedRunsEndAt() == next)
        return next;
    for (const RunKey &key : m_runs.onWorker(worker.info.incarnation.workerId))
        next = std::min(next, leaseBoundOf(*m_runs.find(key)).end);
    return next;
}

// Ends the runs of workers whose lease has lapsed, and removes such workers if they are unlisted.
void Coordinator::expireWorkers(ClockReading now)
{
    refreshDueTimes();
    for (const std::string &id : m_leaseEnds.takeDue(now.monotonic)) {
        ++m_counters.workersExamined;
        endLapsedRuns(id, now);
        const auto it = m_workers.find(id);
        if (!it->second.session.leaseExpired(now.monotonic)) {
            markStale(it->second);
            continue;
        }
        if (!it->second.unlistedSince || m_runs.hasRunsOn(id))
            continue;
        m_renewals.cancel(id);
        std::erase(m_staleWorkers, &it->second);
        m_firstFence = std::max(m_firstFence, it->second.session.fence() + 1);
        if (const auto grantedAt = it->second.session.lastGrantAt())
            m_earlierLeases.noteForgottenGrant(*grantedAt);
        m_quarantine.removeWorker(id);
        m_bestEffortLimit.removeWorker(id);
        m_workers.erase(it);
    }
}

// Ends the runs on the worker whose lease has lapsed. A run whose start order was not sent holds
// none.
void Coordinator::endLapsedRuns(const std::string &id, ClockReading now)
{
    std::vector<RunKey> lapsedRuns = m_runs.onWorker(id);
    std::erase_if(lapsedRuns, [&](const RunKey &key) {
        const Run &run = *m_runs.find(key);
        return run.phase == RunPhase::StartPending || now.monotonic < leaseBoundOf(run).end;
    });
    const Worker &worker = m_workers.at(id);
    if (lapsedRuns.empty())
        return;
    recordLoss(worker, now);
    noteWorker(SchedulerEventKind::WorkerLeaseExpired, id, "lease-over",
               now.monotonic - worker.session.lastAnswerAt());
    for (const RunKey &key : lapsedRuns) {
        noteLeaseEnd(*m_runs.find(key), now.monotonic);
        endRun(key, RunOutcome::LeaseExpired, {}, now);
    }
}

} // namespace savorywick::steps
