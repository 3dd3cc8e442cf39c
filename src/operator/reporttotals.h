#pragma once

#include "operator/report.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace savorywick {

// The latencies of a service's urgent requests. The percentiles are those of the entry with the
// highest 99th percentile.
struct ServiceLatency
{
    std::string service;
    std::uint64_t answered = 0;
    std::int64_t targetMs = 0; // From the newest document; 0 if it has none.
    double p50Ms = 0;
    double p99Ms = 0;
    double p999Ms = 0;
    std::string slowestEntry;
};

// The run or watcher that has waited longest for one reason.
struct LongestWait
{
    std::string reason;
    std::string id;
    std::int64_t waitedMs = 0;
    int shards = 0; // The number of shards whose longest wait has this reason.
};

// An edit of a document that is not in force on every entry.
struct PendingEdit
{
    std::string service;
    std::uint64_t revision = 0; // The highest revision that any entry has in force.
    std::vector<std::string> pendingOn; // The entries that lack it, sorted.
};

// The totals of a report over all entries, as the text page shows them.
struct ReportTotals
{
    std::map<std::string, ReportCounts> counters; // Indexed by group, then by name.
    ReportCounts jobs; // Runs and watchers by state.
    ReportCounts jobCounters; // The counters of all shards.
    ReportClaims claims;
    std::vector<ServiceLatency> latencies; // Sorted by service.
    std::vector<LongestWait> waits; // Sorted from the longest to the shortest.
    std::vector<PendingEdit> edits; // Sorted by service.
    std::set<std::string> invalidDocuments;
};

// Returns the totals of `report`.
ReportTotals computeTotals(const Report &report);

} // namespace savorywick
