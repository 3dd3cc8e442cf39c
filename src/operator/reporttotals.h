#pragma once

#include "operator/report.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace savorywick {

// The urgent latencies of one service over all entries.
struct ServiceLatency
{
    std::string service;
    std::uint64_t answered = 0;
    std::int64_t targetMs = 0; // Of the newest document; 0 if it names none.
    double p50Ms = 0; // Of the slowest entry, as the next two.
    double p99Ms = 0;
    double p999Ms = 0;
    std::string slowestEntry;
};

// The longest wait for one reason.
struct LongestWait
{
    std::string reason;
    std::string id;
    std::int64_t waitedMs = 0;
    int shards = 0; // Shards whose oldest waits for this reason.
};

// An edit that some entry does not have in force.
struct PendingEdit
{
    std::string service;
    std::uint64_t revision = 0; // The highest that any entry has in force.
    std::vector<std::string> pendingOn; // Entries, sorted.
};

// A report added up over its entries.
struct ReportTotals
{
    std::map<std::string, ReportCounts> counters; // By group and name.
    ReportCounts jobs; // By state.
    ReportCounts jobCounters;
    ReportClaims claims;
    std::vector<ServiceLatency> latencies; // By service.
    std::vector<LongestWait> waits; // The longest first.
    std::vector<PendingEdit> edits; // By service.
    std::set<std::string> invalidDocuments;
};

ReportTotals addUp(const Report &report);

} // namespace savorywick
