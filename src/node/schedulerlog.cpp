#include "node/schedulerlog.h"

#include "core/log.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

namespace {

using steps::SchedulerEvent;
using steps::SchedulerEventKind;
using Write = void (*)(std::string_view event, std::span<const LogField> fields);

// Returns the function that writes an event of this kind.
Write writerFor(const SchedulerEvent &note)
{
    switch (note.kind) {
    case SchedulerEventKind::JobStarted:
    case SchedulerEventKind::JobEnded:
    case SchedulerEventKind::WorkerLeaseExpired:
    case SchedulerEventKind::WorkerRestarted:
    case SchedulerEventKind::WorkerQuarantined:
    case SchedulerEventKind::WorkerLost:
    case SchedulerEventKind::WorkerCrashed:
    case SchedulerEventKind::WorkerNotCrashed:
    case SchedulerEventKind::WorkerNotBack:
    case SchedulerEventKind::StepWaiting:
    case SchedulerEventKind::ZoneEvacuated:
    case SchedulerEventKind::ZoneReturned:
    case SchedulerEventKind::LongRunningRestarted:
        return logInfoFields;
    case SchedulerEventKind::RunPlaced:
        if (note.run > 1)
            return logNotableFields;
        return logRoutineFields;
    case SchedulerEventKind::RunEnded:
        if (note.reason == steps::toString(steps::RunOutcome::Done))
            return logRoutineFields;
        return logNotableFields;
    case SchedulerEventKind::RunConfirmed:
    case SchedulerEventKind::RunThrottled:
        return logRoutineFields;
    case SchedulerEventKind::RunDuplicated:
    case SchedulerEventKind::StartRefused:
    case SchedulerEventKind::StopRequested:
    case SchedulerEventKind::StopFailed:
    case SchedulerEventKind::RunUnconfirmed:
    case SchedulerEventKind::TaskAwaitsWorker:
    case SchedulerEventKind::TaskReleased:
    case SchedulerEventKind::RunLeaseExpired:
    case SchedulerEventKind::WorkerUnresponsive:
    case SchedulerEventKind::WorkerRecovered:
    case SchedulerEventKind::RunSuspected:
    case SchedulerEventKind::TaskHeld:
    case SchedulerEventKind::RunCleared:
    case SchedulerEventKind::PreemptionPlanned:
    case SchedulerEventKind::ReservationEnded:
        return logNotableFields;
    }
    return logInfoFields;
}

std::vector<LogField> zoneFields(const SchedulerEvent &note)
{
    return {{"zone", note.zone}, {"workers", note.workerCount}, {"runs", note.value}};
}

std::vector<LogField> workerFields(const SchedulerEvent &note)
{
    std::vector<LogField> fields{
        {"worker", note.worker}, {"why", note.reason}, {"ageMs", note.age.count()}};
    if (note.lives) {
        fields.emplace_back("formerLife", note.lives->earlierMs);
        fields.emplace_back("life", note.lives->presentMs);
        fields.emplace_back("otherLeasesMs", note.value);
    }
    return fields;
}

void addGap(std::vector<LogField> &fields, const steps::LongRunningGap &gap)
{
    fields.emplace_back("gapMs", gap.total.count());
    fields.emplace_back("untilKnownMs", gap.untilKnown.count());
    fields.emplace_back("untilPlacedMs", gap.untilPlaced.count());
    fields.emplace_back("sinceTakeover", gap.sinceTakeover);
    fields.emplace_back("epoch", gap.epoch);
}

// `task` is the name of the note's task and must outlive the fields.
std::vector<LogField> runFields(const SchedulerEvent &note, const std::string &task)
{
    std::vector<LogField> fields{{"requestId", note.task.job},
                                 {"task", task},
                                 {"run", note.run},
                                 {"worker", note.worker},
                                 {"why", note.reason}};
    if (note.gap) {
        addGap(fields, *note.gap);
        return fields;
    }
    fields.emplace_back("ageMs", note.age.count());
    if (note.lives) {
        fields.emplace_back("runLife", note.lives->earlierMs);
        fields.emplace_back("life", note.lives->presentMs);
        return fields;
    }
    fields.emplace_back("value", note.value);
    return fields;
}

} // namespace

void log(const SchedulerEvent &note)
{
    const Write write = writerFor(note);
    const std::string_view event = toString(note.kind);
    if (!note.zone.empty())
        return write(event, zoneFields(note));
    if (note.task.job.empty())
        return write(event, workerFields(note));
    write(event, runFields(note, steps::toString(note.task)));
}

} // namespace savorywick
