#pragma once

#include "savorywick/clock.h"
#include "savorywick/resources.h"

#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

// What a caller asks for when it submits a long run.
struct JobSpec
{
    std::string id; // Unique for ever; chosen by whoever submits.
    std::string service;
    std::string runClass;
    std::string team;
    std::string key; // Idempotency key, unique within the service.
    std::string bodyHash; // Tells whether a repeated key comes with the same body.
    Resources demand;
    Millis expected; // Declared run time.
    int priority = 0;
    bool checkpointable = false;
    std::string payload; // What the worker is given.
};

// What a standing watcher waits for: the end of a run, or a span of time since its submission.
struct WatcherSpec
{
    std::string id;
    std::string service;
    std::string runClass;
    std::string team;
    std::string key;
    std::string bodyHash;
    std::string untilRun; // Empty if the watcher waits for time.
    Millis after; // Used if `untilRun` is empty.
    std::string payload;
};

enum class JobState {
    Waiting, // For a worker.
    Placed, // An attempt was given to a worker; it may be running.
    Evicting, // The attempt's checkpoint is recorded; it is being stopped to go on elsewhere.
    Cancelling, // The attempt is being stopped for good.
    Watching, // A watcher whose condition does not hold yet.
    Finished,
    Failed, // Given up; its failures tell why.
    Cancelled,
};

// Returns the state's name as it appears in answers, such as "waiting".
std::string_view toString(JobState state);
// Returns true if and only if nothing can happen to the job any more.
bool isFinal(JobState state);
// Returns true if and only if a worker may be running an attempt of the job.
bool isOnWorker(JobState state);

// A failed attempt.
struct TaskFailure
{
    std::string worker;
    std::string cause;
};

// A run or a watcher, as recorded in the journal.
struct Job
{
    JobSpec spec; // Watchers use it without demand.
    bool watcher = false;
    std::string untilRun; // Watchers only.
    Millis after; // Watchers only.
    JobState state = JobState::Waiting;
    int attempt = 0; // The latest attempt; 0 before the first.
    std::string worker; // Of the latest attempt.
    std::string incarnation; // Of the worker when the latest attempt was placed.
    std::string checkpoint; // The next attempt resumes from it; empty to start anew.
    std::string result;
    std::vector<TaskFailure> failures;
    Millis submittedAt; // In the shard's own time.
    Millis changedAt; // When the state last changed, in the shard's own time.
};

} // namespace savorywick
