#pragma once

#include "savorywick/clock.h"
#include "savorywick/quarantine.h"
#include "savorywick/steps/besteffortlimit.h"
#include "savorywick/steps/crashjudge.h"
#include "savorywick/steps/durationestimator.h"
#include "savorywick/steps/evacuatedzones.h"
#include "savorywick/steps/jobadmission.h"
#include "savorywick/steps/preemptionsettings.h"
#include "savorywick/steps/stragglerdetector.h"
#include "savorywick/steps/workersession.h"

#include <cstddef>
#include <optional>

namespace savorywick::steps {

// The timing of the Coordinator and the thresholds of its decisions. Headroom is the latency target
// of a long-running run divided by its tail latency.
struct CoordinatorSettings
{
    WorkerSessionSettings workerSessions;
    QuarantineOptions quarantine;
    ZoneEvacuationSettings zoneEvacuation;
    PreemptionSettings preemption;
    JobAdmissionSettings admission;
    Millis endedJobRetention{150'000}; // An ended job is forgotten after this time.
    // So is a cancellation of a job that was not known, of which there are no more than this for
    // each queue: a submission of it may be on its way. No pause of an entry lasts as long.
    std::size_t maxEarlyCancellations = 2'000;
    // So is where a job was left to. Until then a repeated submission is sent to the same shard.
    Millis delegationRetention{3'600'000};

    // Stop orders are repeated until the run ends: after this time if the worker confirmed the
    // last one, after the shorter delay if it refused it or did not answer.
    Millis stopResendInterval{1'000};
    Millis stopRetryDelay{250};
    // A worker that refused a start, or left it unanswered, gets no other for the first of these
    // times, which doubles with each such start in a row up to the second.
    Millis startRetryDelay{500};
    Millis maxStartRetryDelay{1'000};
    // It is the last choice for the first of these times, which doubles likewise. So is a worker
    // that left a renewal unanswered, for the first time.
    Millis workerAvoidance{2'000};
    Millis maxWorkerAvoidance{16'000};
    // A task whose start a worker left unanswered waits for that worker, without a run, for the
    // first time since the start was sent, or if its host has closed or refused a connection for
    // the second time since it last answered. Both are shorter than a long-running task may be
    // without a run in a calm fleet, which counts from when the worker crashed.
    Millis maxWaitForSilentWorker{2'500};
    Millis maxWaitForCrashedWorker{5'500};
    // How long such a task's next start there may take to be answered.
    Millis repeatedStartTimeout{250};
    // A worker that still answers is given tasks for this time after it left the platform's list.
    Millis unlistedGracePeriod{2'500};

    // Corrects the callers' estimates by what tasks were found to take, for the order of steps and
    // for the detection of stalled runs.
    DurationEstimatorSettings durations;
    // Starts a second run of a task that takes too long, where the job allows it.
    StragglerSettings stragglers;
    // A run is stopped, and started again, if it has made no progress for this time and for this
    // share of its estimated duration. Best-effort runs are exempt; long-running ones have their
    // own timeout below.
    Millis stallTimeout{2'500};
    int stallEstimatePercent = 60;

    // What tells crashed workers from those that are cut off.
    CrashJudgeSettings crashes;
    // How long a suspected task waits for a worker without other new runs, and any task for one
    // without a suspect, so that a crash tells which run is why.
    Millis maxIsolationWait{500};

    // The time that a worker's measurement of a run covers: a measurement tells about the present
    // load only if the load has not changed within this time.
    Millis measurementWindow{500};
    // All best-effort runs on a worker are throttled once a target has been missed for this time,
    // whatever interference they are estimated to cause.
    Millis maxTargetMiss{1'600};
    // The headroom that a best-effort task must leave to each latency-critical run. The relaxed
    // limit applies once the step has waited for `relaxHeadroomAfter`.
    double minHeadroom = 1.05;
    Millis relaxHeadroomAfter{3'000};
    double relaxedMinHeadroom = 0.8;
    // If nothing of its job runs after this wait, one best-effort task may start at low speed,
    // where it leaves the relaxed headroom at that speed.
    Millis startSlowlyAfter{1'500};
    // After this wait it may also start beside long-running tasks that are expected to miss their
    // targets without it.
    Millis startBesideMissesAfter{5'000};
    // Limits the runs in progress that were started with relaxed headroom or at low speed, so that
    // under overload, when every step waits for long, most workers keep their headroom. Nothing
    // means no limit.
    std::optional<int> relaxedRunsPerHundredWorkers;
    // A best-effort job begins ahead of late ones only while its laxity is at least this share of
    // its relative deadline. Its runs are throttled at times, so that with less it would most
    // likely end late, and keep others from ending in time.
    int minBestEffortLaxityPercent = 0;
    // A step that no worker outside the quarantine could ever run, or a long-running one that none
    // has room for, is tried on one in it after this wait; a long-running one only if the worker
    // has rested for as long.
    Millis tryQuarantinedAfter{2'000};
    // Best-effort runs are throttled if the headroom of a run beside them is below the first value,
    // and as far as is estimated to raise it to the second.
    double throttleBelowHeadroom = 1.05;
    double throttleToHeadroom = 1.2;
    // Below this headroom a worker with best-effort runs is asked for reports more often.
    double monitorBelowHeadroom = 1.6;
    Millis throttleInterval{450}; // The shortest time between two throttlings of a run.
    // The time since the last missed target on the worker, and since the last change of the run's
    // speed, after which a throttled run may be sped up.
    Millis restoreSpeedDelay{900};
    // The time since the last missed target after which a worker is given best-effort tasks again.
    Millis bestEffortDelay{600};
    // Replaces WorkerSessionSettings::maxRenewalWait for workers that are monitored closely.
    Millis monitoredRenewalWait{400};
    // The share of its booked processors that a long-running task is assumed to use. The rest
    // counts as idle for best-effort tasks.
    int longRunningUsagePercent = 35;
    // Limits best-effort work on each worker by what was measured there.
    BestEffortLimitSettings bestEffortLimit;

    // A long-running task that has waited for this time is placed before all others.
    Millis longRunningMaxWait{3'000};
    // A long-running task that is not at work after this time without progress is moved.
    Millis longRunningStartTimeout{6'000};
    int maxStepsPerPass = 2'000; // Bounds the duration of one placement pass.
    // The shortest time from a placement pass that left steps waiting to the next one, so that
    // under overload the time spent on placement does not grow with the number of events.
    Millis placementInterval{20};
    // The longest time from one pass to the next while steps wait: some reasons to pass a worker
    // over end by time alone.
    Millis maxPlacementInterval{250};

    // A step that has waited for this time is noted as waiting, a few steps at this interval.
    Millis minNotedWait{2'000};
    Millis waitNoteInterval{1'000};
};

} // namespace savorywick::steps
