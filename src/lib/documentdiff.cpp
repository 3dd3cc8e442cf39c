#include "savorywick/servicedocument.h"

#include <algorithm>

namespace savorywick {

namespace {

constexpr std::string_view appliesToNewWork =
    "work that is already accepted keeps the old value; new work gets the new value";
constexpr std::string_view appliesImmediately =
    "takes effect immediately; no unfinished work is stopped";

std::string toDisplayText(int value)
{
    return std::to_string(value);
}
std::string toDisplayText(Millis value)
{
    return std::to_string(value.count());
}
std::string toDisplayText(bool value)
{
    return value ? "true" : "false";
}
std::string toDisplayText(const std::string &value)
{
    return "\"" + value + "\"";
}

std::string joinPath(const std::string &section, const std::string &name)
{
    std::string path = section;
    return path.append(".").append(name);
}

// Collects the differences between two documents, part by part.
class DocumentDiff
{
public:
    explicit DocumentDiff(std::span<const LiveWork> live)
        : m_live(live)
    { }

    template<typename Value>
    void compareValue(const std::string &path, const Value &before, const Value &after,
                      std::string_view effect)
    {
        if (!(before == after))
            add(path, toDisplayText(before) + " becomes " + toDisplayText(after), effect);
    }

    // Compares a name that can't be changed by an edit.
    void compareName(const std::string &path, const std::string &before, const std::string &after)
    {
        if (before != after)
            addRefused(path, toDisplayText(before) + " becomes " + toDisplayText(after),
                       "write " + toDisplayText(before)
                           + " again; to use another name, create a new document");
    }

    void compareRequests(const ServiceDocument &before, const ServiceDocument &after)
    {
        compareClasses(
            "requests", before.requests, after.requests,
            [this](const std::string &path, const RequestClass &a, const RequestClass &b) {
                compareValue(path + ".concurrency", a.concurrency, b.concurrency,
                             appliesImmediately);
                compareValue(path + ".deadlineLimitMs", a.deadlineLimit, b.deadlineLimit,
                             appliesToNewWork);
                compareValue(path + ".repeatable", a.repeatable, b.repeatable, appliesToNewWork);
            });
        for (const auto &[name, c] : before.requests) {
            if (!after.requests.contains(name))
                add("requests." + name, "is removed",
                    "requests in flight are answered; later requests are refused");
        }
    }

    void compareBatchClasses(BatchKind kind, const ServiceDocument::Classes<BatchClass> &before,
                             const ServiceDocument::Classes<BatchClass> &after)
    {
        const std::string section = kind == BatchKind::Run ? "runs" : "watchers";
        compareClasses(section, before, after,
                       [this](const std::string &path, const BatchClass &a, const BatchClass &b) {
                           compareBatchClass(path, a, b);
                       });
        for (const auto &[name, c] : before) {
            if (!after.contains(name))
                addRemovedBatchClass(kind, joinPath(section, name), name);
        }
    }

    void compareQuotas(const ServiceQuotas &before, const ServiceQuotas &after)
    {
        compareValue("quotas.openRuns", before.openRuns, after.openRuns, appliesImmediately);
        compareValue("quotas.openWatchers", before.openWatchers, after.openWatchers,
                     appliesImmediately);
        compareResources("quotas", before.resources, after.resources, appliesImmediately);
        compareValue("quotas.weight", before.weight, after.weight, appliesImmediately);
    }

    std::vector<DocumentChange> takeSorted()
    {
        const auto byPath = [](const DocumentChange &a, const DocumentChange &b) {
            return a.path < b.path;
        };
        std::stable_sort(m_changes.begin(), m_changes.end(), byPath);
        return std::move(m_changes);
    }

private:
    template<typename Class, typename Compare>
    void compareClasses(const std::string &section, const ServiceDocument::Classes<Class> &before,
                        const ServiceDocument::Classes<Class> &after, Compare compare)
    {
        for (const auto &[name, c] : after) {
            const auto it = before.find(name);
            if (it == before.end())
                add(joinPath(section, name), "is added", "this class has no unfinished work");
            else
                compare(joinPath(section, name), it->second, c);
        }
    }

    void compareBatchClass(const std::string &path, const BatchClass &before,
                           const BatchClass &after)
    {
        compareResources(path + ".demand", before.demand, after.demand, appliesToNewWork);
        compareValue(path + ".expectedMs", before.expectedDuration, after.expectedDuration,
                     appliesToNewWork);
        compareValue(path + ".priority", before.priority, after.priority, appliesToNewWork);
        compareValue(path + ".checkpointable", before.checkpointable, after.checkpointable,
                     appliesToNewWork);
    }

    void compareResources(const std::string &path, const Resources &before, const Resources &after,
                          std::string_view effect)
    {
        compareValue(path + ".accelerators", before.accelerators, after.accelerators, effect);
        compareValue(path + ".cores", before.cores, after.cores, effect);
        compareValue(path + ".memoryMb", before.memoryMb, after.memoryMb, effect);
    }

    void addRemovedBatchClass(BatchKind kind, const std::string &path, const std::string &name)
    {
        int unfinished = 0;
        for (const LiveWork &it : m_live)
            unfinished += it.kind == kind && it.className == name ? it.count : 0;
        if (unfinished == 0) {
            add(path, "is removed", "this class has no unfinished work");
            return;
        }
        addRefused(path, "is removed while " + std::to_string(unfinished) + " of it are unfinished",
                   "keep the class until they have finished, or cancel them first");
    }

    void add(const std::string &path, const std::string &change, std::string_view effect)
    {
        m_changes.push_back({path, change, std::string(effect), false});
    }

    void addRefused(const std::string &path, const std::string &change, const std::string &remedy)
    {
        m_changes.push_back({path, change, remedy, true});
    }

    std::span<const LiveWork> m_live;
    std::vector<DocumentChange> m_changes;
};

} // namespace

std::vector<DocumentChange> diffDocuments(const ServiceDocument &before,
                                          const ServiceDocument &after,
                                          std::span<const LiveWork> live)
{
    DocumentDiff diff(live);
    diff.compareName("service", before.service, after.service);
    diff.compareName("team", before.team, after.team);
    diff.compareValue(
        "upstreamService", before.upstreamService, after.upstreamService,
        "requests in flight finish on the old instances; later requests go to the new ones");
    diff.compareValue("latencyTargetMs", before.latencyTarget, after.latencyTarget,
                      appliesImmediately);
    diff.compareRequests(before, after);
    diff.compareBatchClasses(BatchKind::Run, before.runs, after.runs);
    diff.compareBatchClasses(BatchKind::Watcher, before.watchers, after.watchers);
    diff.compareQuotas(before.quotas, after.quotas);
    return diff.takeSorted();
}

bool removesBatchClass(const ServiceDocument &before, const ServiceDocument &after)
{
    const auto missing = [](const auto &classes) {
        return [&classes](const auto &it) { return !classes.contains(it.first); };
    };
    return std::any_of(before.runs.begin(), before.runs.end(), missing(after.runs))
        || std::any_of(before.watchers.begin(), before.watchers.end(), missing(after.watchers));
}

bool anyRefused(std::span<const DocumentChange> changes)
{
    return std::any_of(changes.begin(), changes.end(),
                       [](const DocumentChange &it) { return it.refused; });
}

} // namespace savorywick
