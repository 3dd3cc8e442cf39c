#pragma once

#include "savorywick/steps/job.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace savorywick::steps {

// What the journal of a shard learns. Each record is durable before anything that it permits is
// done: an answer to a caller, an order to a worker, or the acknowledgement of an end.

struct JobAccepted
{
    JobSpec spec;
    std::int64_t wallMs = 0;
};

struct RunStarted
{
    TaskRef task;
    int run = 0;
    WorkerLife worker;
};

struct RunEnded
{
    TaskRef task;
    int run = 0;
    RunEnd how = RunEnd::Done;
    std::string checkpoint; // The latest that the worker had; empty if there was none.
    std::int64_t wallMs = 0;
};

struct JobCancelled
{
    std::string job;
    std::int64_t wallMs = 0;
};

// The job's retention is over.
struct JobForgotten
{
    std::string job;
};

// The state of one task, in snapshots.
struct TaskRestored
{
    TaskRef task;
    Task state;
};

// How a job ended, in snapshots.
struct JobRestored
{
    std::string job;
    JobState state = JobState::Queued;
    std::int64_t endedWallMs = 0;
};

using Record = std::variant<JobAccepted, RunStarted, RunEnded, JobCancelled, JobForgotten,
                            TaskRestored, JobRestored>;

// Returns the record as one line of text without a line end.
std::string encode(const Record &record);
// Returns the record that encode() made the line of. Throws Error(InvalidInput) for other text.
Record decode(std::string_view line);

} // namespace savorywick::steps
