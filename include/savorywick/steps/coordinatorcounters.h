#pragma once

#include "savorywick/steps/job.h"
#include "savorywick/steps/preemption.h"
#include "savorywick/steps/workercommands.h"

#include <cstdint>
#include <map>

namespace savorywick::steps {

// Counts of events since this owner took the shard over.
struct CoordinatorCounters
{
    std::uint64_t jobsAccepted = 0;
    std::uint64_t jobsRepeated = 0;
    std::uint64_t jobsHandedOver = 0; // Jobs that were accepted here and moved to another shard.
    std::uint64_t jobsTaken = 0; // Jobs that were moved here from other shards.
    std::uint64_t runsStarted = 0;
    std::uint64_t runsAdopted = 0; // Runs of an earlier owner that were found running.
    std::map<RunOutcome, std::uint64_t> runsEnded;
    // Reports of workers that may leave out runs that have ended.
    std::uint64_t partialReports = 0;
    // Ends that workers told of runs that had been given up, or that no owner knew.
    std::uint64_t endsOfUnknownRuns = 0;
    std::map<CommandOutcome, std::uint64_t> startReplies;
    // Runs whose start got no answer, that were taken for gone, and that were found running later.
    std::uint64_t lateStartsAdopted = 0;
    std::uint64_t runsStalled = 0;
    std::uint64_t durationsObserved = 0; // Runs that durations were learned from.
    std::uint64_t duplicatesStarted = 0; // Second runs of tasks that took too long.
    std::uint64_t duplicatesWon = 0; // Those that ended done before the first run.
    std::uint64_t workersQuarantined = 0;
    std::uint64_t workersCrashed = 0;
    std::uint64_t workersLost = 0; // That may have crashed because of a run.
    // Those of them, or of earlier owners, that had not crashed.
    std::uint64_t workersNotCrashed = 0;
    std::uint64_t runsEvacuated = 0; // Runs moved off workers that are about to leave.
    // Placed runs that were not started, since their zone was evacuated meanwhile or the zones that
    // are evacuated were no longer known.
    std::uint64_t startsWithheld = 0;
    // Workers that the limit of best-effort work kept from a start, once between two measurements.
    std::uint64_t bestEffortStartsPrevented = 0;
    std::uint64_t runsStoppedForInterference = 0;
    std::uint64_t runsPreempted = 0; // Runs stopped to make room for a higher priority.
    std::map<ReservationEnd, std::uint64_t> reservationsEnded;
    // How often tick(), takeOrders() and takeRenewals() looked at a worker, and at a run: what an
    // event costs beyond the reply that it brought.
    std::uint64_t workersExamined = 0;
    std::uint64_t runsExamined = 0;

    CoordinatorCounters &operator+=(const CoordinatorCounters &other);
};

} // namespace savorywick::steps
