#pragma once

#include "savorywick/clock.h"
#include "savorywick/steps/backlogestimator.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace savorywick::steps {

// A job that was refused and told when to retry.
struct RefusedJob
{
    std::string service;
    int priority = 0;
    WorkByClass work{};
    Instant retryAt;
};

// The jobs that were refused lately, and the work that comes back with their retries.
//
// Use it to tell further jobs to retry after those, and to keep the capacity of those that are due
// from new jobs. It is bounded: of too many jobs, those that were told to retry first are
// forgotten. A job that has not come back some time after it was due counts no more, since its
// caller may have given up. It is pure and not thread-safe.
//
// Example:
//   refused.add(id, {service, priority, work, now + retryAfter});
//   const bool returns = refused.remove(id);
class RefusedJobs
{
public:
    RefusedJobs(std::size_t maxJobs, Millis grace)
        : m_maxJobs(maxJobs)
        , m_grace(grace)
    { }

    // Adds the job, or replaces what is known of it.
    void add(const std::string &id, const RefusedJob &job);
    // Removes the job. Returns true if and only if it was known.
    bool remove(const std::string &id);
    // Sets the present time.
    void advance(Instant now);

    // Returns the work of the pool's jobs that precedes a job of this priority, in thousandths of a
    // core times milliseconds: that of all, and that of those that are due.
    std::int64_t expectedWork(const ProcessorPool &pool, int priority) const;
    std::int64_t dueWork(const ProcessorPool &pool, int priority) const;
    std::size_t count() const { return m_jobs.size(); }

private:
    struct Entry
    {
        RefusedJob job;
        bool due = false;
    };
    struct Work
    {
        std::int64_t expected = 0;
        std::int64_t due = 0;
    };
    using ByPriority = std::map<int, Work>;

    void account(const Entry &entry, int sign);
    Work workOf(const ProcessorPool &pool, int priority) const;

    const std::size_t m_maxJobs;
    const Millis m_grace;
    std::map<std::string, Entry> m_jobs;
    std::set<std::pair<Instant, std::string>> m_notDue; // By the time of the retry.
    std::set<std::pair<Instant, std::string>> m_byRetry; // All jobs.
    std::map<ProcessorPool, ByPriority> m_work;
};

} // namespace savorywick::steps
