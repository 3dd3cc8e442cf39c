#pragma once

#include "savorywick/clock.h"
#include "savorywick/resources.h"

#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

// A long run as a client submits it.
struct JobSpec
{
    std::string id; // Chosen by the submitter; must be unique among all jobs ever submitted.
    std::string service;
    std::string runClass;
    std::string team;
    std::string idempotencyKey; // The idempotency key; unique within the service.
    std::string bodyHash; // Distinguishes a repeated submission from a reused key.
    Resources demand;
    Millis expectedDuration; // The declared run time.
    int priority = 0;
    bool checkpointable = false;
    std::string payload; // Passed to the worker unchanged.
};

// A watcher as a client submits it. It fires when a run ends or when a delay has passed since the
// watcher was submitted.
struct WatcherSpec
{
    std::string id;
    std::string service;
    std::string runClass;
    std::string team;
    std::string idempotencyKey; // The idempotency key; unique within the service.
    std::string bodyHash; // Distinguishes a repeated submission from a reused key.
    std::string untilRun; // The id of the awaited run; empty if the watcher waits for a delay.
    Millis delay; // The delay; used if and only if `untilRun` is empty.
    std::string payload;
};

// Snapshots store the values as numbers, so the enumerators must keep their order.
enum class JobState {
    Waiting, // The run waits for a worker.
    Placed, // An attempt is assigned to a worker and may be running.
    Evicting, // The attempt's checkpoint is recorded; the attempt is being stopped, to be resumed.
    Cancelling, // The attempt is being stopped; no other will follow.
    Watching, // The job is a watcher whose condition does not hold yet.
    Finished,
    Failed, // The run was given up; Job::failures has the causes.
    Cancelled,
};

// Returns the state's name as it appears in answers, such as "waiting".
std::string_view toString(JobState state);
// Returns true if and only if the state can no longer change.
bool isFinal(JobState state);
// Returns true if and only if a worker may be running an attempt of a job in this state.
bool hasActiveAttempt(JobState state);

// The failure of one attempt.
struct AttemptFailure
{
    std::string worker;
    std::string cause;
};

// A run or a watcher, with everything about it that the journal records.
struct Job
{
    JobSpec spec; // For a watcher, the fields that WatcherSpec has as well; the rest is default.
    bool isWatcher = false; // False for a run.
    std::string untilRun; // See WatcherSpec.
    Millis delay; // See WatcherSpec.
    JobState state = JobState::Waiting;
    int attempt = 0; // The number of the latest attempt; 0 before the first.
    std::string worker; // The worker of the latest attempt.
    std::string incarnation; // The worker's incarnation when the latest attempt was placed.
    std::string checkpoint; // The next attempt resumes from it; empty to start from the beginning.
    std::string result; // The result, the causes of a failure, or what made a watcher fire.
    std::vector<AttemptFailure> failures;
    Millis submittedAt; // In shard time, see JobScheduler.
    Millis stateChangedAt; // When `state` last changed, in shard time.
};

} // namespace savorywick
