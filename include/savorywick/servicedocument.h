#pragma once

#include "savorywick/clock.h"
#include "savorywick/resources.h"
#include "savorywick/validationerrors.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

// The settings of one class of urgent requests, whose callers wait for the reply.
struct RequestClass
{
    Millis deadlineLimit{0}; // The longest deadline that a caller may request.
    bool repeatable = false; // May be retried on another instance if its outcome is unknown.
    int concurrency = 0; // The most requests that one entry has in flight upstream.

    bool operator==(const RequestClass &) const = default;
};

// The settings of one class of batch work: runs, or watchers, which stay open until their condition
// is met.
struct BatchClass
{
    Resources demand; // Declared by the team; zero for a watcher that needs no worker.
    Millis expectedDuration{0}; // Declared run time; 0 if unknown.
    int priority = 0; // From 0 to 9; higher priorities start first within a team.
    bool checkpointable = false; // Can be evicted and resumed without losing progress.

    bool operator==(const BatchClass &) const = default;
};

// Limits on all open work of a service together.
struct ServiceQuotas
{
    int openRuns = 0; // The most unfinished runs.
    int openWatchers = 0; // The most unfinished watchers.
    Resources resources; // The most that started work may hold.
    int weight = 1; // The service's share of the workers, relative to other services.

    bool operator==(const ServiceQuotas &) const = default;
};

// The configuration of a service: its classes of work, its latency target and its quotas. Each
// service has one document, which one team owns. Use parseServiceDocument() to read its JSON text.
//
// Example:
//   const ParsedDocument parsed = parseServiceDocument(text);
//   if (!parsed.document)
//       std::cerr << parsed.faults.format("matching.json");
struct ServiceDocument
{
    template<typename Class>
    using Classes = std::map<std::string, Class, std::less<>>;

    std::string service;
    std::string team; // The owner; another team can't edit the document.
    std::string upstreamService; // The name of the service's instances in the membership list.
    Millis latencyTarget{0}; // For the 99th percentile of urgent requests; 0 if there is none.
    Classes<RequestClass> requests;
    Classes<BatchClass> runs;
    Classes<BatchClass> watchers;
    ServiceQuotas quotas;

    bool operator==(const ServiceDocument &) const = default;
};

// The result of parseServiceDocument().
struct ParsedDocument
{
    std::optional<ServiceDocument> document; // Set if and only if there are no faults.
    ValidationErrors faults;
};

// Parses and validates `text`, which is JSON with comments. Returns the document, or all faults
// that were found in it.
ParsedDocument parseServiceDocument(std::string_view text);

enum class BatchKind { Run, Watcher };

// The number of unfinished runs or watchers of one class.
struct LiveWork
{
    BatchKind kind = BatchKind::Run;
    std::string className;
    int count = 0;
};

// One difference between two documents, and its effect on unfinished work.
struct DocumentChange
{
    std::string path; // Inside the document, such as "quotas.weight".
    std::string change; // Such as "5 becomes 7".
    std::string effect; // The effect on unfinished work, or the remedy if `refused`.
    bool refused = false; // Orphans unfinished work, or renames the service or team.
};

// Returns every difference, sorted by path. `live` is the unfinished work of the service.
std::vector<DocumentChange> diffDocuments(const ServiceDocument &before,
                                          const ServiceDocument &after,
                                          std::span<const LiveWork> live);

// Returns true if and only if `before` has a class of runs or watchers that `after` lacks.
bool removesBatchClass(const ServiceDocument &before, const ServiceDocument &after);

// Returns true if and only if at least one of `changes` is refused.
bool anyRefused(std::span<const DocumentChange> changes);

} // namespace savorywick
