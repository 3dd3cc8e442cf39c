#pragma once

#include "savorywick/steps/jobtable.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace savorywick::steps {

// A job that waits, and its steps that wait for a worker.
struct WaitingJob
{
    std::string job;
    std::vector<int> steps; // Sorted; each once, whatever its occurrences.
};

// A job without runs, as one shard hands it over to another.
struct JobTransfer
{
    std::string job;
    int handovers = 0; // How often the job has been handed over, this time included.
    // JobAccepted, the TaskSnapshots, and JobStateSnapshot last. All are of the job.
    std::vector<Record> state;
};

// Returns why the transfer can't be of a job that runs nowhere, or an empty string if it can.
std::string faultOf(const JobTransfer &transfer);

// Which jobs a shard has left to other shards, hands over to them, or has taken over from them.
//
// A hand-over has three steps, each durable before the next: the sender notes that the job leaves
// and starts nothing of it any more; the receiver takes the job with all its state; the sender
// forgets the state and sends the job's callers to the receiver. The receiver may not refuse, so
// that the sender can repeat the second step until it knows the outcome. A repetition that is late
// is known by the number of hand-overs of the job, which only grows.
//
// Use one for each shard. It reads the shard's JobTable and changes it by the records that it
// passes to the sink, which must apply them at once. Not thread-safe.
//
// Example:
//   transfers.begin("5c0e7a21d94b36f8", shard);
//   ... // Once that is durable:
//   send(shard, transfers.transferOf("5c0e7a21d94b36f8"));
//   ... // Once the receiver has it:
//   transfers.confirm("5c0e7a21d94b36f8", wallMs);
class JobTransfers
{
public:
    using RecordSink = std::function<void(const Record &)>;

    // `table` must outlive this object.
    JobTransfers(const JobTable &table, RecordSink sink);

    // Begins with the restored table, and forgets jobs that have not arrived as a whole. Call it
    // once, before all functions below.
    void takeOver(std::int64_t wallMs);

    // Leaves the job, which is unknown here, to another shard.
    void delegate(const std::string &job, int shard, std::int64_t wallMs);
    // Returns the shard that the job was left or handed over to, or nothing if it was not.
    std::optional<int> delegatedTo(std::string_view job) const;

    // Notes that the job, which is known and has no runs, is being handed over.
    void begin(const std::string &job, int shard);
    // Returns the shard that the job is being handed over to, or nothing if it is not.
    std::optional<int> leavingTo(std::string_view job) const;
    // Returns the jobs that are being handed over.
    const std::set<std::string> &leaving() const { return m_leaving; }
    // Returns by what factor the job waits longer than others before it is handed over again, so
    // that none goes round and round.
    int patienceFactor(std::string_view job) const;
    // Returns what the receiver must be told of a job that is being handed over.
    JobTransfer transferOf(const std::string &job) const;
    // Notes that the receiver has the job.
    void confirm(const std::string &job, std::int64_t wallMs);

    // Returns true if and only if this hand-over of the job, or a later one, was taken here.
    bool hasTaken(std::string_view job, int handovers) const;
    // Takes the job over, which hasTaken() does not know.
    void take(const JobTransfer &transfer);

    // Keeps in mind, until the retention is over, that the job was here, if it was handed over.
    // Call it when the job is purged.
    void notePurged(const std::string &job, std::int64_t wallMs);
    // Forgets what is older than the retention.
    void forgetExpired(Millis retention, std::int64_t wallMs);

private:
    void forgetLater(const std::string &job, std::int64_t wallMs);
    void cancelForgetting(std::string_view job);

    const JobTable &m_table;
    RecordSink m_sink;
    std::set<std::string> m_leaving;
    // What is to be purged: the time from which its retention counts, in ms, and the job.
    std::set<std::pair<std::int64_t, std::string>> m_forgettable;
};

} // namespace savorywick::steps
