#pragma once

#include "savorywick/steps/job.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick::steps {

// A queue that callers hand jobs to, and the paths that lead to it.
struct Queue
{
    std::string host; // The Host header of its callers.
    std::string pathPrefix;
    QueuePolicy policy;
};

// One version of the operator's configuration, as far as it concerns the entries.
struct QueueConfiguration
{
    std::uint64_t version = 0;
    std::vector<Queue> queues;
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 262'144;
    Millis headerTimeout{3'000};
    Millis idleTimeout{15'000};
};

// A queue found by a path, and what follows its prefix there.
struct QueueMatch
{
    const Queue *queue = nullptr;
    std::string_view rest;
};

// The queues of the newest configuration that was taken in.
//
// A lower version never replaces a higher one. Not thread-safe.
//
// Example:
//   table.apply(configuration);
//   const QueueMatch match = table.find("jobs.example", "/fits/5c0e");
class QueueTable
{
public:
    // Takes the configuration in. Returns false, and changes nothing, if it is not newer.
    bool apply(QueueConfiguration configuration);

    // Returns true if and only if a configuration was taken in.
    bool ready() const { return m_configuration.version != 0; }
    const QueueConfiguration &configuration() const { return m_configuration; }

    // Returns the queue of that host with the longest prefix of `path`; no queue if there is none.
    // A port in `host` is ignored. The match holds until the next apply().
    QueueMatch find(std::string_view host, std::string_view path) const;

private:
    QueueConfiguration m_configuration;
};

} // namespace savorywick::steps
