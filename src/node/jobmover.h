#pragma once

#include "node/shardrequest.h"
#include "savorywick/clock.h"
#include "savorywick/journal.h"
#include "savorywick/steps/coordinator.h"
#include "savorywick/steps/shardfit.h"

#include <functional>
#include <map>
#include <string>

namespace savorywick {

struct JobMoverSettings
{
    Millis minWait{1'000}; // How long a job waits for a worker here before it is moved.
    Millis minSilence{3'000}; // Of a worker here that counts for nothing.
    Millis interval{500}; // Between two looks at the jobs that wait.
    Millis retryInterval{500}; // Between two attempts to tell the other shard of a job.
    Millis attemptTimeout{2'000};
    int maxTasks = 20'000; // Of a job; the state of more would not fit in a request to an entry.
    int maxJobsPerLook = 20; // Bounds the time that a look takes, and what is sent at a time.
};

// Moves jobs that wait in a shard to another shard, if only there are workers that suit them.
//
// Use one in the owner of each shard. Call chooseJobs() and sendJobs() whenever the owner acts, the
// latter only with what is durable: the other shard may start the job as soon as it has it. An
// owner that takes the shard over goes on with the jobs that were leaving. Not thread-safe.
//
// Example:
//   mover.chooseJobs(coordinator, now);
//   mover.recordsAppended(journal.append(coordinator.takeRecords()));
//   ...
//   mover.sendJobs(coordinator, journal.durableLsn(), now);
class JobMover
{
public:
    using Send = std::function<void(int shard, const ShardRequest &request, Millis timeout,
                                    ShardReplyCallback onReply)>;
    using Taken = std::function<void(const std::string &job, int handovers)>;

    // `fit` must outlive this object; without one no job is moved. `taken` is called when another
    // shard is known to have taken a job at its hand-over of this number, which may not be the
    // latest, possibly before sendJobs() returns.
    JobMover(int ownShard, const JobMoverSettings &settings, const steps::ShardFit *fit, Send send,
             Taken taken);

    // Lets jobs leave that have waited for long and have no suitable worker here.
    void chooseJobs(steps::Coordinator &coordinator, steps::ClockReading now);
    // Reports the log sequence number of the latest records. Those of chooseJobs() are among them.
    void recordsAppended(LogSequenceNumber lsn);
    // Sends the jobs whose leaving is durable to their new shards, again and again until these have
    // them.
    void sendJobs(const steps::Coordinator &coordinator, LogSequenceNumber durableLsn, Instant now);

private:
    void handleReply(const std::string &job, int handovers, const ShardReply &reply);

    // A job that leaves. Those of an earlier owner are durable and have the number 0.
    struct Leaving
    {
        LogSequenceNumber lsn = 0;
        bool isAppended = true;
        Instant sendAt;
        Instant retryAt; // When to send it again if the attempt fails before its timeout.
    };

    const int m_ownShard;
    const JobMoverSettings m_settings;
    const steps::ShardFit *m_fit;
    const Send m_send;
    const Taken m_taken;
    std::map<std::string, Leaving> m_leaving;
    Instant m_nextLookAt;
    std::string m_lastLookedAt; // The job that the last look ended with, where the next goes on.
};

} // namespace savorywick
