#pragma once

#include "savorywick/journal.h"
#include "savorywick/steps/job.h"
#include "savorywick/steps/runtable.h"

#include <cstdint>
#include <optional>
#include <string>

namespace savorywick::steps {

// What a Coordinator holds back until its records are durable. The log sequence number is 0 until
// they are appended.

// A start order.
struct UncommittedStart
{
    LogSequenceNumber lsn = 0;
    RunKey run;
};

// The acknowledgement of the ends that a worker has told of.
struct UncommittedAck
{
    LogSequenceNumber lsn = 0;
    WorkerIncarnation worker;
    std::int64_t endNumber = 0;
};

// A job's state.
struct UncommittedState
{
    LogSequenceNumber lsn = 0;
    std::string job;
    std::optional<JobState> state; // Nothing if the job is forgotten.
};

// What callers may be told of a job.
struct DurableJob
{
    JobState state = JobState::Queued;
    std::string queue;
    bool startConfirmed = false; // A worker has started a task.
};

} // namespace savorywick::steps
