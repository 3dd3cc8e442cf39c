#include "savorywick/steps/record.h"

#include "recordfields.h"

#include <algorithm>
#include <cmath>

namespace savorywick::steps {

namespace {

void writeStep(FieldWriter &w, const StepSpec &s)
{
    w.number(s.taskCount).number(s.demand.milliCores).number(s.demand.memoryMb);
    w.number(s.demand.accelerators).number(s.estimatedDuration.count());
    w.number(static_cast<std::int64_t>(s.dependsOn.size()));
    for (const int it : s.dependsOn)
        w.number(it);
    w.number(s.checkpointing).number(s.gang).number(s.preferSameRack).number(s.allowDuplicates);
    w.number(s.longRunning).number(s.bestEffort);
    w.text(s.neededLabel).text(s.preferredRack).text(s.image);
    w.number(s.maxTasksPerWorker).number(s.latencyTarget.count()).number(s.maxUnavailable);
}

StepSpec readStep(FieldReader &r)
{
    StepSpec s;
    s.taskCount = r.number<int>();
    s.demand.milliCores = r.number<int>();
    s.demand.memoryMb = r.number<int>();
    s.demand.accelerators = r.number<int>();
    s.estimatedDuration = r.millis();
    for (std::size_t n = r.listLength(); n > 0; --n)
        s.dependsOn.push_back(r.number<int>());
    s.checkpointing = r.boolean();
    s.gang = r.boolean();
    s.preferSameRack = r.boolean();
    s.allowDuplicates = r.boolean();
    s.longRunning = r.boolean();
    s.bestEffort = r.boolean();
    s.neededLabel = r.text();
    s.preferredRack = r.text();
    s.image = r.text();
    s.maxTasksPerWorker = r.number<int>();
    s.latencyTarget = r.millis();
    s.maxUnavailable = r.number<int>();
    return s;
}

// The slack factor is stored as an integer number of thousandths, so that its text does not depend
// on how floating-point numbers are printed.
constexpr double slackFactorScale = 1'000.0;

struct RecordEncoder
{
    std::string operator()(const JobAccepted &it) const
    {
        FieldWriter w('J');
        const QueuePolicy &p = it.spec.policy;
        w.text(it.spec.id).number(it.wallMs).text(p.queue).text(p.service);
        w.number(p.priority).number(p.maxAttempts);
        w.number(std::llround(p.slackFactor * slackFactorScale));
        w.number(p.targetDuration.count());
        const Schedule &s = it.spec.schedule;
        w.number(s.occurrenceCount).number(s.firstDueWallMs).number(s.interval.count());
        w.number(static_cast<std::int64_t>(it.spec.steps.size()));
        for (const StepSpec &step : it.spec.steps)
            writeStep(w, step);
        return w.text(it.spec.payload).take();
    }
    std::string operator()(const RunStarted &it) const
    {
        return FieldWriter('S').task(it.task).number(it.run).worker(it.worker).take();
    }
    std::string operator()(const RunEnded &it) const
    {
        FieldWriter w('E');
        w.task(it.task).number(it.run).number(static_cast<int>(it.outcome));
        return w.text(it.checkpoint).number(it.wallMs).take();
    }
    std::string operator()(const JobCancelled &it) const
    {
        return FieldWriter('C').text(it.job).number(it.wallMs).take();
    }
    std::string operator()(const UnknownJobCancelled &it) const
    {
        return FieldWriter('P').text(it.job).text(it.queue).number(it.wallMs).take();
    }
    std::string operator()(const CancellationForgotten &it) const
    {
        return FieldWriter('G').text(it.job).take();
    }
    std::string operator()(const JobPurged &it) const
    {
        return FieldWriter('F').text(it.job).take();
    }
    std::string operator()(const JobDelegated &it) const
    {
        FieldWriter w('D');
        w.text(it.job).number(it.shard).number(it.wallMs);
        if (it.handovers > 0) // There are few such jobs.
            w.number(it.handovers);
        return w.take();
    }
    std::string operator()(const JobLeaving &it) const
    {
        return FieldWriter('L').text(it.job).number(it.shard).number(it.handovers).take();
    }
    std::string operator()(const JobArrived &it) const
    {
        return FieldWriter('N').text(it.job).number(it.handovers).take();
    }
    std::string operator()(const TaskSnapshot &it) const
    {
        FieldWriter w('T');
        w.task(it.task).number(it.state.lastRunNumber).number(it.state.failedRuns);
        w.number(it.state.lastFailedRunNumber).number(it.state.done);
        w.text(it.state.checkpoint).number(static_cast<std::int64_t>(it.state.activeRuns.size()));
        for (const ActiveRun &run : it.state.activeRuns)
            w.number(run.number).worker(run.worker);
        const auto confirmed = std::count_if(it.state.activeRuns.begin(), it.state.activeRuns.end(),
                                             [](const ActiveRun &run) { return run.confirmed; });
        if (it.state.crashes > 0 || confirmed > 0) // There are few such tasks.
            w.number(it.state.crashes).number(it.state.causedCrashes);
        if (confirmed > 0)
            w.number(confirmed);
        for (const ActiveRun &run : it.state.activeRuns) {
            if (run.confirmed)
                w.number(run.number);
        }
        for (const ActiveRun &run : it.state.activeRuns) { // Older versions end before these.
            if (run.inheritedLeasesEndMs != 0)
                w.number(run.number).number(run.inheritedLeasesEndMs);
        }
        return w.take();
    }
    std::string operator()(const JobStateSnapshot &it) const
    {
        FieldWriter w('R');
        return w.text(it.job).number(static_cast<int>(it.state)).number(it.endedWallMs).take();
    }
    std::string operator()(const TaskCleared &it) const
    {
        return FieldWriter('K').task(it.task).take();
    }
    std::string operator()(const RunSuspected &it) const
    {
        FieldWriter w('U');
        w.task(it.task).number(it.run.number).worker(it.run.worker).text(it.run.address);
        return w.number(it.run.isCause).number(it.run.lostWallMs).take();
    }
    std::string operator()(const StartUnanswered &it) const
    {
        FieldWriter w('Q');
        w.task(it.task).number(it.start.run).text(it.start.workerId);
        return w.number(it.start.sentMs).take();
    }
    std::string operator()(const LifeSettled &it) const
    {
        FieldWriter w('X');
        return w.worker(it.worker).number(static_cast<int>(it.verdict)).number(it.wallMs).take();
    }
    std::string operator()(const RunConfirmed &it) const
    {
        FieldWriter w('V');
        w.task(it.task).number(it.run);
        if (it.inheritedLeasesEndMs != 0)
            w.number(it.inheritedLeasesEndMs);
        return w.take();
    }
    std::string operator()(const WorkerSilent &it) const
    {
        return FieldWriter('W').text(it.workerId).number(it.leasesEndMs).take();
    }
    std::string operator()(const WorkerHeard &it) const
    {
        return FieldWriter('H').text(it.workerId).take();
    }
    std::string operator()(const WorkerAddress &it) const
    {
        return FieldWriter('A').text(it.workerId).text(it.address).take();
    }
};

JobAccepted readJobAccepted(FieldReader &r)
{
    JobAccepted it;
    QueuePolicy &p = it.spec.policy;
    it.spec.id = r.text();
    it.wallMs = r.number();
    p.queue = r.text();
    p.service = r.text();
    p.priority = r.number<int>();
    p.maxAttempts = r.number<int>();
    p.slackFactor = static_cast<double>(r.number()) / slackFactorScale;
    p.targetDuration = r.millis();
    it.spec.schedule.occurrenceCount = r.number<int>();
    it.spec.schedule.firstDueWallMs = r.number();
    it.spec.schedule.interval = r.millis();
    for (std::size_t n = r.listLength(); n > 0; --n)
        it.spec.steps.push_back(readStep(r));
    it.spec.payload = r.text();
    return it;
}

RunEnded readRunEnded(FieldReader &r)
{
    RunEnded it;
    it.task = r.task();
    it.run = r.number<int>();
    it.outcome = r.enumerator(RunOutcome::CausedCrash);
    it.checkpoint = r.text();
    it.wallMs = r.number();
    return it;
}

TaskSnapshot readTaskSnapshot(FieldReader &r)
{
    TaskSnapshot it;
    it.task = r.task();
    it.state.lastRunNumber = r.number<int>();
    it.state.failedRuns = r.number<int>();
    it.state.lastFailedRunNumber = r.number<int>();
    it.state.done = r.boolean();
    it.state.checkpoint = r.text();
    for (std::size_t n = r.listLength(); n > 0; --n) {
        ActiveRun run;
        run.number = r.number<int>();
        run.worker = r.worker();
        it.state.activeRuns.push_back(run);
    }
    if (r.atEnd())
        return it;
    it.state.crashes = r.number<int>();
    it.state.causedCrashes = r.number<int>();
    if (r.atEnd())
        return it;
    for (std::size_t n = r.listLength(); n > 0; --n) {
        const int number = r.number<int>();
        for (ActiveRun &run : it.state.activeRuns)
            run.confirmed = run.confirmed || run.number == number;
    }
    while (!r.atEnd()) {
        const int number = r.number<int>();
        const std::int64_t endMs = r.number();
        for (ActiveRun &run : it.state.activeRuns) {
            if (run.number == number)
                run.inheritedLeasesEndMs = endMs;
        }
    }
    return it;
}

RunSuspected readRunSuspected(FieldReader &r)
{
    RunSuspected it;
    it.task = r.task();
    it.run.number = r.number<int>();
    it.run.worker = r.worker();
    it.run.address = r.text();
    it.run.isCause = r.boolean();
    it.run.lostWallMs = r.number();
    return it;
}

StartUnanswered readStartUnanswered(FieldReader &r)
{
    StartUnanswered it;
    it.task = r.task();
    it.start.run = r.number<int>();
    it.start.workerId = r.text();
    it.start.sentMs = r.number();
    return it;
}

LifeSettled readLifeSettled(FieldReader &r)
{
    LifeSettled it;
    it.worker = r.worker();
    it.verdict = r.enumerator(LifeVerdict::NotCrashed);
    it.wallMs = r.number();
    return it;
}

Record readRecord(std::string_view line, FieldReader &r)
{
    switch (line.empty() ? '\0' : line.front()) {
    case 'J':
        return readJobAccepted(r);
    case 'S': {
        RunStarted it;
        it.task = r.task();
        it.run = r.number<int>();
        it.worker = r.worker();
        return it;
    }
    case 'E':
        return readRunEnded(r);
    case 'C': {
        JobCancelled it;
        it.job = r.text();
        it.wallMs = r.number();
        return it;
    }
    case 'P': {
        UnknownJobCancelled it;
        it.job = r.text();
        it.queue = r.text();
        it.wallMs = r.number();
        return it;
    }
    case 'G':
        return CancellationForgotten{r.text()};
    case 'F':
        return JobPurged{r.text()};
    case 'D': {
        JobDelegated it;
        it.job = r.text();
        it.shard = r.number<int>();
        it.wallMs = r.number();
        if (!r.atEnd())
            it.handovers = r.number<int>();
        return it;
    }
    case 'L': {
        JobLeaving it;
        it.job = r.text();
        it.shard = r.number<int>();
        it.handovers = r.number<int>();
        return it;
    }
    case 'N': {
        JobArrived it;
        it.job = r.text();
        it.handovers = r.number<int>();
        return it;
    }
    case 'T':
        return readTaskSnapshot(r);
    case 'R': {
        JobStateSnapshot it;
        it.job = r.text();
        it.state = r.enumerator(JobState::Cancelled);
        it.endedWallMs = r.number();
        return it;
    }
    case 'K':
        return TaskCleared{r.task()};
    case 'U':
        return readRunSuspected(r);
    case 'X':
        return readLifeSettled(r);
    case 'Q':
        return readStartUnanswered(r);
    case 'V': {
        RunConfirmed it;
        it.task = r.task();
        it.run = r.number<int>();
        it.inheritedLeasesEndMs = r.atEnd() ? 0 : r.number();
        return it;
    }
    case 'W': {
        WorkerSilent it;
        it.workerId = r.text();
        it.leasesEndMs = r.number();
        return it;
    }
    case 'H':
        return WorkerHeard{r.text()};
    case 'A': {
        WorkerAddress it;
        it.workerId = r.text();
        it.address = r.text();
        return it;
    }
    default:
        throwMalformed(line);
    }
}

} // namespace

std::string encodeRecord(const Record &record)
{
    return std::visit(RecordEncoder{}, record);
}

Record decodeRecord(std::string_view line)
{
    FieldReader r(line);
    Record record = readRecord(line, r);
    r.expectEnd();
    return record;
}

} // namespace savorywick::steps
