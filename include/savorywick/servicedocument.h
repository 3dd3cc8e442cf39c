#pragma once

#include "savorywick/clock.h"
#include "savorywick/faults.h"
#include "savorywick/resources.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

// A class of urgent requests: callers wait for the answer.
struct RequestClass
{
    Millis deadlineLimit{0}; // The longest deadline that a caller may ask for.
    bool repeatable = false; // May be sent to a second instance if the first one's end is unknown.
    int concurrency = 0; // The most that one entry has upstream at once.

    bool operator==(const RequestClass &) const = default;
};

// A class of batch work: runs, or watchers that stand until their condition is met.
struct BatchClass
{
    Resources demand; // Declared; a watcher that needs no worker demands nothing.
    Millis expected{0}; // Declared run time; 0 if unknown.
    int priority = 0; // 0 to 9; larger goes first within the team.
    bool checkpointable = false; // Can be evicted and resumed without losing its progress.

    bool operator==(const BatchClass &) const = default;
};

// What all open work of a service may hold together.
struct ServiceQuotas
{
    int openRuns = 0;
    int openWatchers = 0;
    Resources resources; // Of started work.
    int weight = 1; // Share of the workers relative to other services.

    bool operator==(const ServiceQuotas &) const = default;
};

// The one document that describes a service, owned by one team.
//
// Example:
//   const ParsedDocument parsed = parseServiceDocument(text);
//   if (!parsed.document)
//       std::cerr << parsed.faults.text("matching.json");
struct ServiceDocument
{
    template<typename Class>
    using Classes = std::map<std::string, Class, std::less<>>;

    std::string service;
    std::string team;
    std::string upstreamService; // The membership list's name of the instances.
    Millis latencyTarget{0}; // At the 99th percentile of urgent requests.
    Classes<RequestClass> requests;
    Classes<BatchClass> runs;
    Classes<BatchClass> watchers;
    ServiceQuotas quotas;

    bool operator==(const ServiceDocument &) const = default;
};

struct ParsedDocument
{
    std::optional<ServiceDocument> document; // Present if and only if there is no fault.
    FaultList faults;
};

// Returns the document that `text` (JSON with comments) holds, or all its faults at once.
ParsedDocument parseServiceDocument(std::string_view text);

enum class BatchKind { Run, Watcher };

// How much unfinished work of a class there is.
struct LiveWork
{
    BatchKind kind = BatchKind::Run;
    std::string className;
    int count = 0;
};

// One difference between two documents and what it means for work that is under way.
struct DocumentChange
{
    std::string path; // Inside the document.
    std::string change; // Such as "5 becomes 7".
    std::string effect; // What happens to running work.
    bool refused = false; // The change would strand running work or take the document over.
};

// Returns every difference, in order of path. `live` is the unfinished work of the service.
std::vector<DocumentChange> explainChange(const ServiceDocument &before,
                                          const ServiceDocument &after,
                                          std::span<const LiveWork> live);

// Returns if and only if a class of runs or watchers of `before` is missing in `after`.
bool removesBatchClass(const ServiceDocument &before, const ServiceDocument &after);

// Returns if and only if one of the changes is refused.
bool anyRefused(std::span<const DocumentChange> changes);

} // namespace savorywick
