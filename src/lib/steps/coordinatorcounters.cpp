#include "savorywick/steps/coordinatorcounters.h"

namespace savorywick::steps {

CoordinatorCounters &CoordinatorCounters::operator+=(const CoordinatorCounters &other)
{
    jobsAccepted += other.jobsAccepted;
    jobsRepeated += other.jobsRepeated;
    jobsHandedOver += other.jobsHandedOver;
    jobsTaken += other.jobsTaken;
    runsStarted += other.runsStarted;
    runsAdopted += other.runsAdopted;
    for (const auto &[outcome, n] : other.runsEnded)
        runsEnded[outcome] += n;
    for (const auto &[outcome, n] : other.startReplies)
        startReplies[outcome] += n;
    lateStartsAdopted += other.lateStartsAdopted;
    partialReports += other.partialReports;
    endsOfUnknownRuns += other.endsOfUnknownRuns;
    runsStalled += other.runsStalled;
    durationsObserved += other.durationsObserved;
    duplicatesStarted += other.duplicatesStarted;
    duplicatesWon += other.duplicatesWon;
    workersQuarantined += other.workersQuarantined;
    workersCrashed += other.workersCrashed;
    workersLost += other.workersLost;
    workersNotCrashed += other.workersNotCrashed;
    runsEvacuated += other.runsEvacuated;
    startsWithheld += other.startsWithheld;
    bestEffortStartsPrevented += other.bestEffortStartsPrevented;
    runsStoppedForInterference += other.runsStoppedForInterference;
    runsPreempted += other.runsPreempted;
    for (const auto &[end, n] : other.reservationsEnded)
        reservationsEnded[end] += n;
    workersExamined += other.workersExamined;
    runsExamined += other.runsExamined;
    return *this;
}

} // namespace savorywick::steps
