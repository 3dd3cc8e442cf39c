#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

// Counts and times are those of one entry since it started, unless a comment says otherwise.
// docs/OPERATIONS.md explains every name and reason.

using ReportCounts = std::map<std::string, std::uint64_t>;

// One counter, such as {"refused", "queue-full", 12}.
struct ReportCounter
{
    std::string group;
    std::string name;
    std::uint64_t count = 0;
};

// The latencies recorded under one name, such as "urgent matching".
struct ReportLatency
{
    std::string name;
    std::uint64_t count = 0;
    double p50Ms = 0;
    double p99Ms = 0;
    double p999Ms = 0;
    double maxMs = 0;
};

// A service document in force in the entry.
struct ReportDocument
{
    std::string service;
    std::uint64_t revision = 0;
    std::int64_t latencyTargetMs = 0; // At the 99th percentile; 0 if the document names none.
};

// The run or watcher of a shard that has waited longest.
struct ReportOldest
{
    std::string id; // Empty if nothing waits.
    std::int64_t waitedMs = 0;
    std::string why; // Such as "no-room".
};

struct ReportClaims
{
    std::uint64_t open = 0;
    std::uint64_t finished = 0;
    std::uint64_t unknown = 0; // Requests that may or may not have run.
};

// A shard that the entry holds.
struct ReportShard
{
    int shard = 0;
    ReportCounts jobs; // Runs and watchers by state.
    ReportCounts counters; // Since this entry took the shard.
    ReportClaims claims;
    ReportOldest oldest;
    bool storeDown = false;
};

// A run that was evicted from its worker.
struct ReportEviction
{
    std::string id;
    std::string service;
    std::string worker;
    std::string reason;
    std::string state; // What has become of it since, such as "placed".
    std::int64_t agoMs = 0;
};

// A host that gets no new work, or whose state is in doubt.
struct ReportHost
{
    std::string id;
    std::string role; // "worker" or "upstream".
    std::string reason; // Such as "quarantined".
    std::int64_t sinceMs = 0; // How long it has been so.
};

// What one entry says of itself.
struct ReportEntry
{
    std::string entry;
    std::string availabilityZone;
    std::string region;
    bool unreachable = false; // It is listed but did not answer; all else is empty.
    bool ready = true;
    bool storeUp = true;
    std::int64_t uptimeMs = 0;
    std::uint64_t documentsSeen = 0; // Every edit up to this one is in force there.
    std::vector<ReportCounter> counters;
    std::vector<ReportLatency> latencies;
    std::vector<ReportDocument> documents;
    std::vector<std::string> invalidDocuments; // Services whose newest row is invalid.
    std::vector<ReportShard> shards;
    std::vector<ReportEviction> evictions; // The latest, newest first.
    std::vector<ReportHost> suspects;
};

// What all listed entries say of themselves; GET /v1/report answers it as JSON.
struct Report
{
    std::vector<ReportEntry> entries;
};

// Returns the report as JSON.
std::string toJson(const Report &report);

// Returns the report in `json`; members that are absent keep their defaults. Throws
// Error(InvalidInput) if it is no report.
Report parseReport(std::string_view json);

// Returns one page of text for an operator who did not watch: first what to look at, then the
// entries and what was refused, late, waiting, evicted, suspect and pending.
std::string reportPage(const Report &report);

} // namespace savorywick
