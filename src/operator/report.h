#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

// Times and counts below are those of the entry that made the report, since it started, unless a
// comment says otherwise.

// One counter, such as {"refused", "queue-full", 12}. docs/OPERATIONS.md explains each.
struct ReportCounter
{
    std::string group; // "refused", "retried", "run", "evicted" or another group of counters.
    std::string name;
    std::uint64_t count = 0;
};

// The urgent requests of one service.
struct ReportLatency
{
    std::string service;
    std::uint64_t answered = 0;
    std::uint64_t late = 0; // Answered, or given up, after the caller's deadline.
    std::int64_t targetMs = 0; // At the 99th percentile; 0 if the document names none.
    double p50Ms = 0;
    double p99Ms = 0;
    double p999Ms = 0;
};

// Runs or watchers that wait for one and the same reason.
struct ReportWaiting
{
    std::string kind; // "run" or "watcher".
    std::string service;
    std::string className;
    std::string reason; // Such as "no-room"; see docs/OPERATIONS.md.
    std::uint64_t count = 0;
    std::int64_t oldestMs = 0; // How long the oldest has waited.
    std::string oldestId;
};

// A run that was evicted from its worker.
struct ReportEviction
{
    std::string id;
    std::string service;
    std::string worker;
    std::string reason;
    std::string state; // What has become of it since, such as "running".
    std::int64_t agoMs = 0;
};

// A host that gets no new work, or whose state is in doubt.
struct ReportHost
{
    std::string id;
    std::string role; // "worker", "upstream" or "entry".
    std::string reason; // Such as "quarantined"; see docs/OPERATIONS.md.
    std::int64_t sinceMs = 0; // How long it has been so.
};

// An edit that is kept but not yet in force everywhere.
struct ReportEdit
{
    std::string service;
    std::uint64_t revision = 0;
    std::int64_t ageMs = 0;
    std::vector<std::string> pendingOn; // Entries.
};

// What one entry says of itself; GET /v1/report answers it as JSON.
struct Report
{
    std::string entry;
    std::int64_t madeAtMs = 0; // Wall-clock time.
    std::int64_t uptimeMs = 0;
    bool storeUp = true;
    bool membershipUp = true;
    bool mustReread = false; // The entry was frozen and refuses until it has read the documents.
    int shardsHeld = 0;
    std::vector<ReportCounter> counters;
    std::vector<ReportLatency> latencies;
    std::vector<ReportWaiting> waiting;
    std::vector<ReportEviction> evictions; // The latest, newest first.
    std::vector<ReportHost> hosts;
    std::vector<ReportEdit> edits;
    std::vector<std::string> invalidDocuments; // Services whose newest row is invalid.
};

// Returns the report as JSON.
std::string toJson(const Report &report);

// Returns the report in `json`; members that are absent keep their defaults. Throws
// Error(InvalidInput) if it is no report.
Report parseReport(std::string_view json);

// Returns one page of text for an operator who did not watch: first a verdict, then what was
// refused, late, waiting, evicted, suspect and pending, each with what to do about it.
std::string reportPage(const Report &report);

} // namespace savorywick
