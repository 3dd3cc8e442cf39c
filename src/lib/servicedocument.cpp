#include "savorywick/servicedocument.h"

#include "savorywick/internal/objectreader.h"

#include <algorithm>
#include <cctype>
#include <limits>

namespace savorywick {

namespace {

using internal::IntegerRange;
using internal::ObjectReader;

constexpr IntegerRange deadlineRangeMs{1, 600'000};
constexpr IntegerRange concurrencyRange{1, 100'000};
constexpr std::int64_t millisPerDay = 86'400'000;
constexpr IntegerRange expectedRangeMs{0, 365 * millisPerDay};
constexpr IntegerRange priorityRange{0, 9};
constexpr IntegerRange coresRange{0, 100'000};
constexpr IntegerRange memoryRangeMb{0, 100'000'000};
constexpr IntegerRange acceleratorsRange{0, 100'000};
constexpr IntegerRange openWorkRange{0, 10'000'000};
constexpr IntegerRange weightRange{1, 1'000};
constexpr std::size_t maxNameBytes = 64;

constexpr std::int64_t defaultConcurrency = 1'000;
constexpr std::int64_t defaultPriority = 5;
constexpr std::int64_t defaultOpenWorkQuota = 1'000;
constexpr std::int64_t defaultWeight = 1;

bool isValidName(std::string_view name)
{
    const auto allowed = [](unsigned char c) { return std::isalnum(c) || c == '-'; };
    return !name.empty() && name.size() <= maxNameBytes
        && std::all_of(name.begin(), name.end(), allowed);
}

void validateName(ObjectReader &reader, std::string_view key, std::string_view name)
{
    if (!name.empty() && !isValidName(name))
        reader.addFault(key, "\"" + std::string(name) + "\" is not a valid name",
                        "write at most 64 letters, digits and hyphens");
}

std::string readName(ObjectReader &reader, std::string_view key)
{
    std::string name = reader.string(key);
    validateName(reader, key, name);
    return name;
}

Resources readResources(ObjectReader &reader, const Resources &fallback)
{
    Resources resources;
    resources.cores = static_cast<int>(reader.integer("cores", coresRange, fallback.cores));
    resources.memoryMb =
        static_cast<int>(reader.integer("memoryMb", memoryRangeMb, fallback.memoryMb));
    resources.accelerators =
        static_cast<int>(reader.integer("accelerators", acceleratorsRange, fallback.accelerators));
    return resources;
}

RequestClass readRequestClass(ObjectReader &reader)
{
    RequestClass c;
    c.deadlineLimit = Millis{reader.integer("deadlineLimitMs", deadlineRangeMs)};
    c.repeatable = reader.boolean("repeatable");
    c.concurrency =
        static_cast<int>(reader.integer("concurrency", concurrencyRange, defaultConcurrency));
    reader.rejectUnknownKeys();
    return c;
}

BatchClass readBatchClass(ObjectReader &reader, BatchKind kind)
{
    BatchClass c;
    const bool isRun = kind == BatchKind::Run;
    ObjectReader demand = isRun ? reader.object("demand") : reader.optionalObject("demand");
    const bool hasDemand = reader.has("demand");
    if (hasDemand && !demand.has("cores") && !demand.has("accelerators"))
        demand.addFault("cores", "this is missing",
                        "write the number of cores or accelerators that it needs");
    c.demand = readResources(demand, {});
    demand.rejectUnknownKeys();
    c.expectedDuration = Millis{isRun ? reader.integer("expectedMs", expectedRangeMs)
                                      : reader.integer("expectedMs", expectedRangeMs, 0)};
    c.priority = static_cast<int>(reader.integer("priority", priorityRange, defaultPriority));
    c.checkpointable = reader.boolean("checkpointable", false);
    reader.rejectUnknownKeys();
    return c;
}

std::map<std::string, BatchClass, std::less<>>
readBatchClasses(ObjectReader &root, std::string_view key, BatchKind kind)
{
    std::map<std::string, BatchClass, std::less<>> classes;
    ObjectReader reader = root.optionalObject(key);
    for (const std::string &it : reader.keys()) {
        validateName(reader, it, it);
        ObjectReader item = reader.object(it);
        classes.emplace(it, readBatchClass(item, kind));
    }
    return classes;
}

void readRequestClasses(ObjectReader &root, ServiceDocument &document)
{
    ObjectReader reader = root.optionalObject("requests");
    for (const std::string &it : reader.keys()) {
        validateName(reader, it, it);
        ObjectReader item = reader.object(it);
        document.requests.emplace(it, readRequestClass(item));
    }
}

ServiceQuotas readQuotas(ObjectReader &root)
{
    constexpr Resources unlimited{coresRange.max, memoryRangeMb.max, acceleratorsRange.max};
    ObjectReader reader = root.optionalObject("quotas");
    ServiceQuotas quotas;
    quotas.openRuns =
        static_cast<int>(reader.integer("openRuns", openWorkRange, defaultOpenWorkQuota));
    quotas.openWatchers =
        static_cast<int>(reader.integer("openWatchers", openWorkRange, defaultOpenWorkQuota));
    quotas.resources = readResources(reader, unlimited);
    quotas.weight = static_cast<int>(reader.integer("weight", weightRange, defaultWeight));
    reader.rejectUnknownKeys();
    return quotas;
}

void checkResourceQuota(std::string_view section,
                        const ServiceDocument::Classes<BatchClass> &classes,
                        const ServiceQuotas &quotas, ValidationErrors &faults)
{
    const Resources &quota = quotas.resources;
    for (const auto &[name, c] : classes) {
        const std::string path = std::string(section) + "." + name + ".demand";
        const auto check = [&](std::string_view resource, int demand, int limit) {
            if (demand > limit)
                faults.add(path + "." + std::string(resource),
                           std::to_string(demand) + " is above quotas." + std::string(resource)
                               + ", " + std::to_string(limit)
                               + ", so that work of this class could never start",
                           "write at most " + std::to_string(limit) + ", or raise the quota");
        };
        check("cores", c.demand.cores, quota.cores);
        check("memoryMb", c.demand.memoryMb, quota.memoryMb);
        check("accelerators", c.demand.accelerators, quota.accelerators);
    }
}

void checkOpenWorkQuota(std::string_view section, std::size_t classCount, int limit,
                        std::string_view quota, ValidationErrors &faults)
{
    if (classCount > 0 && limit == 0)
        faults.add("quotas." + std::string(quota),
                   "0 permits no work of the classes under " + std::string(section),
                   "write at least 1, or remove " + std::string(section));
}

void checkConsistency(const ServiceDocument &document, ValidationErrors &faults)
{
    if (document.requests.empty() && document.runs.empty() && document.watchers.empty())
        faults.add("", "the document declares no class of work",
                   "add a class under \"requests\", \"runs\" or \"watchers\"");
    for (const auto &[name, c] : document.requests) {
        if (c.deadlineLimit < document.latencyTarget)
            faults.add("requests." + name + ".deadlineLimitMs",
                       std::to_string(c.deadlineLimit.count()) + " is below latencyTargetMs, "
                           + std::to_string(document.latencyTarget.count()),
                       "write at least " + std::to_string(document.latencyTarget.count())
                           + ", or lower the target");
    }
    checkResourceQuota("runs", document.runs, document.quotas, faults);
    checkResourceQuota("watchers", document.watchers, document.quotas, faults);
    checkOpenWorkQuota("runs", document.runs.size(), document.quotas.openRuns, "openRuns", faults);
    checkOpenWorkQuota("watchers", document.watchers.size(), document.quotas.openWatchers,
                       "openWatchers", faults);
}

ServiceDocument readDocument(ObjectReader &reader)
{
    ServiceDocument document;
    document.service = readName(reader, "service");
    document.team = readName(reader, "team");
    readRequestClasses(reader, document);
    if (!document.requests.empty() || reader.has("upstreamService"))
        document.upstreamService = readName(reader, "upstreamService");
    document.latencyTarget = Millis{reader.integer("latencyTargetMs", deadlineRangeMs, 0)};
    document.runs = readBatchClasses(reader, "runs", BatchKind::Run);
    document.watchers = readBatchClasses(reader, "watchers", BatchKind::Watcher);
    document.quotas = readQuotas(reader);
    reader.rejectUnknownKeys();
    return document;
}

} // namespace

ParsedDocument parseServiceDocument(std::string_view text)
{
    ParsedDocument parsed;
    const internal::JsonValuePointer root = internal::parseJsonObject(text, parsed.faults);
    if (!root)
        return parsed;
    ObjectReader reader(*root, "", parsed.faults);
    ServiceDocument document = readDocument(reader);
    if (parsed.faults.empty())
        checkConsistency(document, parsed.faults);
    if (parsed.faults.empty())
        parsed.document = std::move(document);
    return parsed;
}

} // namespace savorywick
