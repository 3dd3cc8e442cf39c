#include "savorywick/steps/schedulerevent.h"

namespace savorywick::steps {

std::string_view toString(SchedulerEventKind kind)
{
    switch (kind) {
    case SchedulerEventKind::JobStarted:
        return "job-started";
    case SchedulerEventKind::RunPlaced:
        return "run-placed";
    case SchedulerEventKind::LongRunningRestarted:
        return "long-running-restarted";
    case SchedulerEventKind::RunConfirmed:
        return "run-confirmed";
    case SchedulerEventKind::StartRefused:
        return "start-refused";
    case SchedulerEventKind::RunDuplicated:
        return "run-duplicated";
    case SchedulerEventKind::RunEnded:
        return "run-ended";
    case SchedulerEventKind::StopRequested:
        return "stop-asked";
    case SchedulerEventKind::StopFailed:
        return "stop-not-done";
    case SchedulerEventKind::RunUnconfirmed:
        return "run-doubted";
    case SchedulerEventKind::TaskAwaitsWorker:
        return "task-awaits-worker";
    case SchedulerEventKind::TaskReleased:
        return "task-released";
    case SchedulerEventKind::RunThrottled:
        return "run-paced";
    case SchedulerEventKind::JobEnded:
        return "job-ended";
    case SchedulerEventKind::WorkerUnresponsive:
        return "worker-silent";
    case SchedulerEventKind::WorkerRecovered:
        return "worker-back";
    case SchedulerEventKind::WorkerLeaseExpired:
        return "worker-lapsed";
    case SchedulerEventKind::RunLeaseExpired:
        return "run-lease-over";
    case SchedulerEventKind::WorkerRestarted:
        return "worker-restarted";
    case SchedulerEventKind::WorkerQuarantined:
        return "worker-suspected";
    case SchedulerEventKind::WorkerLost:
        return "worker-lost";
    case SchedulerEventKind::WorkerCrashed:
        return "worker-crashed";
    case SchedulerEventKind::WorkerNotCrashed:
        return "worker-not-crashed";
    case SchedulerEventKind::WorkerNotBack:
        return "worker-not-back";
    case SchedulerEventKind::RunSuspected:
        return "run-suspected";
    case SchedulerEventKind::TaskHeld:
        return "task-held";
    case SchedulerEventKind::RunCleared:
        return "run-cleared";
    case SchedulerEventKind::StepWaiting:
        return "step-waiting";
    case SchedulerEventKind::ZoneEvacuated:
        return "zone-evacuated";
    case SchedulerEventKind::ZoneReturned:
        return "zone-returned";
    case SchedulerEventKind::PreemptionPlanned:
        return "preemption-planned";
    case SchedulerEventKind::ReservationEnded:
        return "reservation-ended";
    }
    return "unnamed";
}

} // namespace savorywick::steps
