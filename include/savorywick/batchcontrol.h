#pragma once

#include "savorywick/interference.h"
#include "savorywick/jobbook.h"
#include "savorywick/sizelearner.h"

#include <map>
#include <span>
#include <string>

namespace savorywick {

struct BatchControlSettings
{
    InterferenceOptions interference;
    SizeLearnerOptions sizes;
};

// Lets what the workers measure steer the batch work of one shard: sizes of bookings, the batch
// allowance of each worker, throttling and eviction.
//
// Use one beside each JobBook, and make the book with its cost() and sizes(). Give it every lease
// report right after JobBook::leaseReply(). Not thread-safe.
//
// Example:
//   BatchControl control({});
//   JobBook book(settings, &placement, &control.cost(), &control.sizes());
//   book.leaseReply(worker, report, now, records);
//   control.observe(worker, report, book, now, records);
class BatchControl
{
public:
    explicit BatchControl(const BatchControlSettings &settings);

    // Takes in the shard's workers; a worker's `service` is the urgent one that it shares with.
    void setWorkers(std::span<const HostInfo> workers);
    // Sets the p99 that each service's document allows.
    void setTargets(std::map<std::string, Millis> targets) { m_targets = std::move(targets); }

    // Takes in a report and acts on the book by it. A task that is seen to hold more memory than
    // is booked gets a larger booking, or is evicted if its host has no room for that.
    void observe(const std::string &worker, const LeaseReport &report, JobBook &book, Instant now,
                 JobBook::Records &records);
    // Notes that an attempt is being started.
    void noteStart(const StartTask &start, const JobBook &book, Instant now);

    const HostCost &cost() const { return m_interference; }
    const SizeLearner &sizes() const { return m_sizes; }
    const InterferenceController &interference() const { return m_interference; }

private:
    // What a worker shares its processors with, and what its last throttles were.
    struct Worker
    {
        std::string service;
        std::map<std::string, int> throttles; // Percent by job; 100 is left out.
    };

    void learnSizes(const std::string &worker, const LeaseReport &report, JobBook &book,
                    Instant now, JobBook::Records &records);
    WorkerSample sampleOf(const std::string &worker, const LeaseReport &report, const JobBook &book,
                          Instant now) const;

    InterferenceController m_interference;
    SizeLearner m_sizes;
    std::map<std::string, Millis> m_targets; // By service.
    std::map<std::string, Worker> m_workers;
};

} // namespace savorywick
