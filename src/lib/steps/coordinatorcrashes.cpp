// The part of Coordinator that tells workers that have crashed from those that are silent, and finds
// the runs that may be why.

#include "savorywick/steps/coordinator.h"

#include <utility>

namespace savorywick::steps {

// Notes what a call that got no answer shows of the worker. The first sign after an answer counts: a
// worker that was silent before its host refused connections may have been cut off, and is not known
// to have crashed.
void Coordinator::noteUnanswered(Worker &worker, CommandOutcome outcome, bool connectionClosed,
                                 Instant now)
{
    const bool unanswered = outcome == CommandOutcome::Unknown || connectionClosed;
    if (!unanswered || worker.contact != Contact::Answers)
        return;
    worker.contact = connectionClosed ? Contact::ConnectionsClosed : Contact::Silent;
    worker.contactLostAt = now;
}

// Records that the life of the worker that the session is with is over, since another one was met.
void Coordinator::endLife(Worker &worker, std::string_view why, ClockReading now)
{
    if (std::exchange(worker.lifeIsOver, true))
        return;
    const bool crashed = worker.contact != Contact::Silent && !worker.info.draining;
    if (crashed)
        noteCrash(worker, why, now);
}

// Begins a session with another life of the worker under the same id, if it is another one.
void Coordinator::meetLife(Worker &worker, const WorkerIncarnation &life, ClockReading now)
{
    if (life == worker.session.incarnation())
        return;
    const bool startKnown = worker.session.incarnation().startedWallMs != 0;
    if (startKnown) // Otherwise it may be the same life.
        endLife(worker, "restarted", now);
    worker.lifeIsOver = false;
    worker.contact = Contact::Answers;
}

// Returns the runs that may be why the worker crashed: those that it had started lately.
std::vector<RunKey> Coordinator::suspectsOf(const Worker &worker) const
{
    const Instant lostAt = worker.contact == Contact::Answers ? worker.session.lastAnswerAt()
                                                              : worker.contactLostAt;
    std::vector<RunKey> suspects = m_runs.onWorker(worker.info.incarnation.workerId);
    std::erase_if(suspects, [&](const RunKey &key) {
        const Run &run = *m_runs.find(key);
        return run.phase == RunPhase::StartPending
            || lostAt - run.startedAt > m_settings.crashWindow;
    });
    return suspects;
}

void Coordinator::noteCrash(const Worker &worker, std::string_view why, ClockReading now)
{
    ++m_counters.workersCrashed;
    noteWorker(SchedulerEventKind::WorkerCrashed, worker.info.incarnation.workerId, why,
               now.monotonic - worker.session.lastAnswerAt());
    for (const RunKey &key : suspectsOf(worker)) {
        const Run &run = *m_runs.find(key);
        noteRun(SchedulerEventKind::RunSuspected, run, why, worker.contactLostAt - run.startedAt);
    }
}

} // namespace savorywick::steps
