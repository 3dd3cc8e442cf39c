#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

// Counts and latencies cover one entry since its start, unless a comment says otherwise.
// docs/OPERATIONS.md documents every name and reason.

// Counts by name.
using ReportCounts = std::map<std::string, std::uint64_t>;

// One counter, such as {"refused", "queue-full", 12}.
struct ReportCounter
{
    std::string group;
    std::string name;
    std::uint64_t count = 0;
};

// The latency percentiles recorded under one name, such as "urgent matching".
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
    std::int64_t latencyTargetMs = 0; // For the 99th percentile; 0 if there is none.
};

// The run or watcher that has waited longest in a shard.
struct ReportOldestJob
{
    std::string id; // Empty if nothing is waiting.
    std::int64_t waitedMs = 0;
    std::string why; // The reason, such as "no-room".
};

// The claims on idempotency keys that a shard keeps, by outcome.
struct ReportClaims
{
    std::uint64_t open = 0;
    std::uint64_t finished = 0;
    std::uint64_t unknown = 0; // Claims of requests that may or may not have run.
};

// A shard that the entry holds.
struct ReportShard
{
    int shard = 0;
    ReportCounts jobs; // Runs and watchers by state.
    ReportCounts counters; // Since this entry acquired the shard.
    ReportClaims claims;
    ReportOldestJob oldest;
    bool storeDown = false; // The table service does not answer this shard.
};

// A run that was evicted from its worker.
struct ReportEviction
{
    std::string id;
    std::string service;
    std::string worker;
    std::string reason;
    std::string state; // The run's current state, such as "placed".
    std::int64_t agoMs = 0;
};

// A host that gets no new work or whose state is uncertain.
struct ReportSuspectHost
{
    std::string id;
    std::string role; // "worker" or "upstream".
    std::string reason; // The cause, such as "quarantined".
    std::int64_t sinceMs = 0; // The time since the host became suspect.
};

// The state of one entry, as reported by the entry itself.
struct ReportEntry
{
    std::string entry;
    std::string availabilityZone;
    std::string region;
    bool unreachable = false; // The entry is listed but did not answer; only its name is set.
    bool ready = true;
    bool storeUp = true; // The entry reaches the table service.
    std::int64_t uptimeMs = 0;
    // Sequence number of a document edit; this and all earlier edits are in force in the entry.
    std::uint64_t documentsSeen = 0;
    std::vector<ReportCounter> counters;
    std::vector<ReportLatency> latencies;
    std::vector<ReportDocument> documents;
    std::vector<std::string> invalidDocuments; // Services whose newest document is invalid.
    std::vector<ReportShard> shards;
    std::vector<ReportEviction> evictions; // The most recent ones, newest first.
    std::vector<ReportSuspectHost> suspects;
};

// The state of all listed entries, for the operator. GET /v1/report returns it as JSON.
//
// Example:
//   std::cout << formatReport(parseReport(body));
struct Report
{
    std::vector<ReportEntry> entries;
};

// Returns the report as JSON on one line.
std::string toJson(const Report &report);

// Returns the report in `json`. Absent members keep their default values. Throws
// Error(InvalidInput) if `json` is not a report.
Report parseReport(std::string_view json);

// Returns the report as one page of text: first the findings that need attention, then the entries,
// refusals, retries, latencies, waiting jobs, evictions, suspect hosts and pending edits.
std::string formatReport(const Report &report);

} // namespace savorywick
