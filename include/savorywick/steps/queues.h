#pragma once

#include "savorywick/steps/job.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick::steps {

// A queue that callers submit jobs to, and the URL prefix that selects it.
struct Queue
{
    std::string host; // The value of the Host header, without a port.
    std::string pathPrefix;
    QueuePolicy policy;
};

// One version of the operator's configuration: the queues, and the limits on callers' HTTP
// requests.
struct QueueConfiguration
{
    std::uint64_t version = 0; // Published versions start at 1; 0 means that there is none yet.
    std::vector<Queue> queues;
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 262'144;
    Millis headerTimeout{3'000};
    Millis idleTimeout{15'000};
};

// The result of a lookup in a QueueTable.
struct QueueMatch
{
    const Queue *queue = nullptr; // Null if no queue matches.
    std::string_view pathSuffix; // The part of the path after the queue's prefix.
};

// Routes a caller's request to a queue by host and path, using the newest configuration received.
//
// Use one per entry. Configurations may arrive out of order: a version that is not higher than the
// current one is ignored. Not thread-safe.
//
// Example:
//   table.apply(configuration);
//   const QueueMatch match = table.find("jobs.example", "/fits/5c0e");
class QueueTable
{
public:
    // Replaces the configuration. Returns false, and changes nothing, if `configuration` is not
    // newer than the current one.
    bool apply(QueueConfiguration configuration);

    // Returns true if and only if a configuration has been applied.
    bool hasConfiguration() const { return m_configuration.version != 0; }
    // Returns the current configuration; its version is 0 if none has been applied.
    const QueueConfiguration &configuration() const { return m_configuration; }

    // Returns the queue of `host` with the longest prefix of `path`, or a match without a queue if
    // there is none. A port in `host` is ignored. The match refers to `path` and to the current
    // configuration: it is valid while `path` is and until the next successful apply().
    QueueMatch find(std::string_view host, std::string_view path) const;

private:
    QueueConfiguration m_configuration;
};

} // namespace savorywick::steps
