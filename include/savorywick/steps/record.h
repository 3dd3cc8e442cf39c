#pragma once

#include "savorywick/steps/job.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace savorywick::steps {

// The records of a shard's journal follow.
//
// A record must be durable before its effects leave the process: a reply to a caller, a command to
// a worker, or the acknowledgement of a run's end. Each `wallMs` is the wall-clock time of the
// event in milliseconds since the Unix epoch.

// A queue accepted the job.
struct JobAccepted
{
    JobSpec spec;
    std::int64_t wallMs = 0;
};

// A run of the task was placed on the worker. Its start command is sent afterwards.
struct RunStarted
{
    TaskRef task;
    int run = 0;
    WorkerIncarnation worker;
};

// A worker reported that it has the long-running run, so no later life of it can take the start
// over any more.
struct RunConfirmed
{
    TaskRef task;
    int run = 0;
    // By when the leases are over, on the store's clock in milliseconds, that the worker may have
    // inherited: see WorkerSession::inheritedLeasesEndAt(). 0 if they are over already.
    std::int64_t inheritedLeasesEndMs = 0;
};

// A run of the task ended.
struct RunEnded
{
    TaskRef task;
    int run = 0;
    RunOutcome outcome = RunOutcome::Done;
    // The latest checkpoint that the worker had; empty if there was none.
    std::string checkpoint;
    std::int64_t wallMs = 0;
};

// A worker left the start of a run unanswered, which has ended as far as is known.
struct StartUnanswered
{
    TaskRef task;
    UnansweredStart start;
};

// The worker of the run was lost and may have crashed because of it. LifeSettled tells, if anything
// does.
struct RunSuspected
{
    TaskRef task;
    SuspectedRun run;
};

// It is settled what became of the life of a worker that RunSuspected tells of.
struct LifeSettled
{
    WorkerIncarnation worker;
    LifeVerdict verdict = LifeVerdict::Unknown;
    std::int64_t wallMs = 0;
};

// A run of the task lasted, so that it is no longer suspected of crashing workers.
struct TaskCleared
{
    TaskRef task;
};

// The worker has this address. The record precedes those of the runs on it, so that a later owner
// can ask after them although the platform no longer lists the worker.
struct WorkerAddress
{
    std::string workerId;
    std::string address;
};

// The worker did not answer a new owner. All leases that it has from any owner so far are over by
// this time on the store's clock, in milliseconds.
struct WorkerSilent
{
    std::string workerId;
    std::int64_t leasesEndMs = 0;
};

// The worker answers, so that it may be granted leases again: WorkerSilent no longer holds.
struct WorkerHeard
{
    std::string workerId;
};

// A caller cancelled the job.
struct JobCancelled
{
    std::string job;
    std::int64_t wallMs = 0;
};

// A caller cancelled a job of the queue that is not known here. If it is accepted later, it is
// cancelled.
struct UnknownJobCancelled
{
    std::string job;
    std::string queue;
    std::int64_t wallMs = 0;
};

// UnknownJobCancelled no longer holds, because its retention period is over.
struct CancellationForgotten
{
    std::string job;
};

// The job, or the note of its delegation, was removed, because its retention period is over.
struct JobPurged
{
    std::string job;
};

// The job was left to another shard. One that was handed over is accepted there; one that this
// shard has never accepted, although its id hashes to it, is accepted there or nowhere.
struct JobDelegated
{
    std::string job;
    int shard = 0;
    std::int64_t wallMs = 0;
    int handovers = 0; // How often the job had been handed over, this time included.
};

// The job is being handed over to another shard, and starts nothing here any more. JobDelegated
// follows once the other shard has it.
struct JobLeaving
{
    std::string job;
    int shard = 0;
    int handovers = 0; // How often the job has been handed over, this time included.
};

// The job is taken over from another shard. What was known of it here is void, and the records of
// its state follow, the last of which is a JobStateSnapshot. Until then it isn't taken.
struct JobArrived
{
    std::string job;
    int handovers = 0;
};

// The state of a task when a snapshot was taken.
struct TaskSnapshot
{
    TaskRef task;
    Task state;
};

// The state of a job when a snapshot was taken. It follows the snapshots of the job's tasks.
struct JobStateSnapshot
{
    std::string job;
    JobState state = JobState::Queued;
    std::int64_t endedWallMs = 0;
};

using Record =
    std::variant<JobAccepted, RunStarted, RunEnded, JobCancelled, JobPurged, JobDelegated,
                 TaskSnapshot, JobStateSnapshot, TaskCleared, WorkerAddress, JobLeaving, JobArrived,
                 RunConfirmed, WorkerSilent, WorkerHeard, RunSuspected, LifeSettled,
                 StartUnanswered, UnknownJobCancelled, CancellationForgotten>;

// Returns the record as one line of text without a line end.
std::string encodeRecord(const Record &record);
// Returns the record that encodeRecord() encoded as `line`. Throws Error(InvalidInput) if `line` is
// anything else.
Record decodeRecord(std::string_view line);

} // namespace savorywick::steps
