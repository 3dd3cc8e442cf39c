#pragma once

#include "savorywick/clock.h"

namespace savorywick::steps {

// When runs are preempted, and how many.
struct PreemptionSettings
{
    bool enabled = false;
    // A step may preempt runs while its laxity is within these bounds. Below the first it could not
    // complete in time: a stop, the report of the end, and two commits take about that long. Above
    // the second, runs that end by themselves may still make room soon enough.
    Millis minLaxity{250};
    Millis maxLaxity{2'000};
    // Plans are made at this interval, so that their cost does not grow with the number of
    // placement passes.
    Millis interval{250};
    int maxPlansPerInterval = 4; // Each makes room for one task.
    int maxRunsPerPlan = 4;
    int maxReservations = 16; // At a time.
    // How long room is reserved at most on a worker whose runs are being stopped. It is never
    // reserved for longer than the step can wait and still meet its deadline.
    Millis reservationTerm{2'000};
    // A run that is not the first of its task is not preempted for this time after its start, so
    // that a preempted task makes progress before it is preempted again.
    Millis protection{10'000};
    // A preempted task comes before others of its class for this time after the end of its run.
    Millis precedenceTerm{30'000};
    // Runs with less work left than this are not preempted: they soon end by themselves.
    Millis minRemainingWork{1'000};
    // What resuming a run from its checkpoint is assumed to take.
    Millis restoreTime{500};
};

} // namespace savorywick::steps
