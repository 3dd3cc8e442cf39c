#pragma once

#include "savorywick/clock.h"
#include "savorywick/steps/job.h"
#include "savorywick/steps/longrunninggaps.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace savorywick::steps {

// What happened. Each kind is logged as an event of its own name.
enum class SchedulerEventKind {
    JobStarted, // The first run of the job was placed.
    RunPlaced, // A worker was chosen for the run.
    LongRunningRestarted, // A worker was chosen for a long-running task that had lost its run.
    RunConfirmed, // The worker reported that it has the run.
    StartRefused, // The worker refused the start command, or the command did not reach it.
    RunDuplicated, // A second run of a task was placed, since the first takes too long.
    RunEnded, // The run ended.
    StopRequested, // The run is to be stopped.
    StopFailed, // The worker refused to stop the run, or did not answer.
    RunUnconfirmed, // The start command got no answer, so whether the worker has the run is
                    // unknown.
    TaskAwaitsWorker, // The start got no answer, so the task is started again only on that worker.
    TaskReleased, // The task has waited for its worker for long, and may be started on any other.
    RunThrottled, // The run was throttled to another share of its full speed.
    JobEnded, // The job ended.
    WorkerUnresponsive, // The worker no longer answers renewals.
    WorkerRecovered, // The worker answers renewals again.
    WorkerLeaseExpired, // The worker's lease expired, so all its runs are over.
    RunLeaseExpired, // The run is taken for over, since every lease that it may have has ended.
    WorkerRestarted, // Another life of the worker was met under the same id.
    WorkerQuarantined, // The worker was quarantined because too many runs fail on it.
    WorkerLost, // The worker may have crashed: its host refused connections until the lease was
                // over.
    WorkerCrashed, // The worker's life ended without a drain while it answered until then.
    WorkerNotCrashed, // A lost life of the worker answers again, or was about to leave.
    WorkerNotBack, // It is no longer awaited that anything tells what became of a lost worker.
    RunSuspected, // The run may be why its worker crashed.
    TaskHeld, // The task is not started again yet, as it may have crashed too many workers.
    RunCleared, // The run of a suspected task has lasted, so that the task is suspected no more.
    StepWaiting, // A step has had a task that may start, and no worker for it, for long.
    ZoneEvacuated, // An operator evacuates the availability zone: nothing is started there.
    ZoneReturned, // The zone returns to service.
    PreemptionPlanned, // Room on the worker is reserved for the step, and runs there are stopped.
    ReservationEnded, // The reservation of room for the step is over.
};

// Returns the name of the log event, such as "run-placed".
std::string_view toString(SchedulerEventKind kind);

// Two lives of a worker under one id, by when they started in wall-clock milliseconds since the
// Unix epoch: the one that a run was last known to be on, or that is over, and the one that the
// owner deals with now.
struct WorkerLives
{
    std::int64_t earlierMs = 0;
    std::int64_t presentMs = 0;
};

// A log event of the scheduler: a decision or an observation, with the inputs that explain it.
//
// Use it to log what a Coordinator decided, which does no I/O itself.
struct SchedulerEvent
{
    SchedulerEventKind kind = SchedulerEventKind::RunPlaced;
    // The job is empty if and only if the event concerns a worker or a zone and no run.
    TaskRef task;
    int run = 0;
    std::string worker;
    // One of a fixed set of words, such as "gang-broken". Of RunLeaseExpired it names the bound
    // that decided: see LeaseBound.
    std::string_view reason;
    // The time since the occurrence was due for JobStarted, RunPlaced and JobEnded, since the
    // worker last answered for events of workers' leases and lives, or since it was lost where what
    // became of it is settled later, and since the step has waited for
    // StepWaiting; for how long at most for TaskHeld; the whole gap for LongRunningRestarted; the
    // time that the run had been on its worker for RunSuspected, and that the first run has taken
    // for RunDuplicated. StopRequested and WorkerQuarantined have 0; PreemptionPlanned has the
    // delay that the step's deadline still allows, and ReservationEnded the time since the
    // reservation; other events have the time since the run was started.
    Millis age;
    // The processors left on the worker, in thousandths of a core, for RunPlaced; the new speed in
    // percent for RunThrottled; the progress of the first run for RunDuplicated; the progress in
    // percent for RunConfirmed, RunEnded and StopRequested; the number of workers that may be given
    // tasks for StepWaiting; the number of runs in the zone for ZoneEvacuated and ZoneReturned, and
    // of those that are stopped for PreemptionPlanned; for WorkerRestarted, for how many
    // milliseconds the new life may have leases that were granted to others; 0 for other events.
    int value = 0;
    std::string zone = {}; // Only of ZoneEvacuated and ZoneReturned.
    int workerCount = 0; // Workers in the zone.
    std::optional<LongRunningGap> gap = {}; // Only of LongRunningRestarted.
    std::optional<WorkerLives> lives = {}; // Only of RunLeaseExpired and WorkerRestarted.
};

} // namespace savorywick::steps
