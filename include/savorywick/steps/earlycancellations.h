#pragma once

#include "savorywick/clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace savorywick::steps {

// The jobs that a caller has cancelled although the shard did not know them.
//
// Such a caller was told that there is no such job, so a submission of it that was sent before and
// arrives later must not run. Part of a shard's durable state; not thread-safe.
//
// Example:
//   if (cancellations.countOf(queue) < limit)
//       cancellations.add("5c0e7a21d94b36f8", queue, wallMs);
//   ...
//   if (cancellations.contains(spec.id))
//       acceptAsCancelled(spec);
class EarlyCancellations
{
public:
    struct Cancellation
    {
        std::string queue;
        std::int64_t wallMs = 0; // When the caller cancelled, since the Unix epoch.
    };
    using ByJob = std::map<std::string, Cancellation, std::less<>>;

    // Adds the cancellation of a job of the queue. Does nothing if the job is there already.
    void add(const std::string &job, const std::string &queue, std::int64_t wallMs);
    // Removes the job, if it is there.
    void remove(std::string_view job);

    bool contains(std::string_view job) const { return m_byJob.contains(job); }
    const ByJob &all() const { return m_byJob; }
    // Returns how many jobs of the queue are there.
    std::size_t countOf(std::string_view queue) const;
    // Returns the jobs that were cancelled `retention` ago or earlier, the earliest first.
    std::vector<std::string> expired(Millis retention, std::int64_t wallMs) const;

private:
    ByJob m_byJob;
    std::map<std::string, std::size_t, std::less<>> m_counts; // By queue.
    std::set<std::pair<std::int64_t, std::string>> m_byTime;
};

} // namespace savorywick::steps
