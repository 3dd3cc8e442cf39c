#include "savorywick/servicedocument.h"

#include <algorithm>

namespace savorywick {

namespace {

constexpr std::string_view newWorkOnly =
    "work that is under way keeps the old value; work that is taken from now on gets the new one";
constexpr std::string_view atOnce = "holds at once; nothing that is under way is stopped";

std::string shown(int value)
{
    return std::to_string(value);
}
std::string shown(Millis value)
{
    return std::to_string(value.count());
}
std::string shown(bool value)
{
    return value ? "true" : "false";
}
std::string shown(const std::string &value)
{
    return "\"" + value + "\"";
}

std::string joined(const std::string &section, const std::string &name)
{
    std::string path = section;
    return path.append(".").append(name);
}

// Gathers the differences between two documents.
class Comparison
{
public:
    explicit Comparison(std::span<const LiveWork> live)
        : m_live(live)
    { }

    template<typename Value>
    void value(const std::string &path, const Value &before, const Value &after,
               std::string_view effect)
    {
        if (!(before == after))
            add(path, shown(before) + " becomes " + shown(after), effect);
    }

    // Compares a name that must not change.
    void identity(const std::string &path, const std::string &before, const std::string &after)
    {
        if (before != after)
            refuse(path, shown(before) + " becomes " + shown(after),
                   "write " + shown(before) + " again; use a new document for another one");
    }

    void requests(const ServiceDocument &before, const ServiceDocument &after)
    {
        eachClass("requests", before.requests, after.requests,
                  [this](const std::string &path, const RequestClass &a, const RequestClass &b) {
                      value(path + ".concurrency", a.concurrency, b.concurrency, atOnce);
                      value(path + ".deadlineLimitMs", a.deadlineLimit, b.deadlineLimit,
                            newWorkOnly);
                      value(path + ".repeatable", a.repeatable, b.repeatable, newWorkOnly);
                  });
        for (const auto &[name, c] : before.requests) {
            if (!after.requests.contains(name))
                add("requests." + name, "is removed",
                    "requests in flight are answered; later ones are refused");
        }
    }

    void batch(BatchKind kind, const ServiceDocument::Classes<BatchClass> &before,
               const ServiceDocument::Classes<BatchClass> &after)
    {
        const std::string section = kind == BatchKind::Run ? "runs" : "watchers";
        eachClass(section, before, after,
                  [this](const std::string &path, const BatchClass &a, const BatchClass &b) {
                      batchClass(path, a, b);
                  });
        for (const auto &[name, c] : before) {
            if (!after.contains(name))
                removed(kind, joined(section, name), name);
        }
    }

    void quotas(const ServiceQuotas &before, const ServiceQuotas &after)
    {
        value("quotas.openRuns", before.openRuns, after.openRuns, atOnce);
        value("quotas.openWatchers", before.openWatchers, after.openWatchers, atOnce);
        resources("quotas", before.resources, after.resources, atOnce);
        value("quotas.weight", before.weight, after.weight, atOnce);
    }

    std::vector<DocumentChange> sorted()
    {
        const auto byPath = [](const DocumentChange &a, const DocumentChange &b) {
            return a.path < b.path;
        };
        std::stable_sort(m_changes.begin(), m_changes.end(), byPath);
        return std::move(m_changes);
    }

private:
    template<typename Class, typename Compare>
    void eachClass(const std::string &section, const ServiceDocument::Classes<Class> &before,
                   const ServiceDocument::Classes<Class> &after, Compare compare)
    {
        for (const auto &[name, c] : after) {
            const auto it = before.find(name);
            if (it == before.end())
                add(joined(section, name), "is added", "no work of it is under way");
            else
                compare(joined(section, name), it->second, c);
        }
    }

    void batchClass(const std::string &path, const BatchClass &before, const BatchClass &after)
    {
        resources(path + ".demand", before.demand, after.demand, newWorkOnly);
        value(path + ".expectedMs", before.expected, after.expected, newWorkOnly);
        value(path + ".priority", before.priority, after.priority, newWorkOnly);
        value(path + ".checkpointable", before.checkpointable, after.checkpointable, newWorkOnly);
    }

    void resources(const std::string &path, const Resources &before, const Resources &after,
                   std::string_view effect)
    {
        value(path + ".accelerators", before.accelerators, after.accelerators, effect);
        value(path + ".cores", before.cores, after.cores, effect);
        value(path + ".memoryMb", before.memoryMb, after.memoryMb, effect);
    }

    void removed(BatchKind kind, const std::string &path, const std::string &name)
    {
        int count = 0;
        for (const LiveWork &it : m_live)
            count += it.kind == kind && it.className == name ? it.count : 0;
        if (count == 0) {
            add(path, "is removed", "no work of it is under way");
            return;
        }
        refuse(path, "is removed while " + std::to_string(count) + " of it are unfinished",
               "keep the class until they have finished, or cancel them first");
    }

    void add(const std::string &path, const std::string &change, std::string_view effect)
    {
        m_changes.push_back({path, change, std::string(effect), false});
    }

    void refuse(const std::string &path, const std::string &change, const std::string &remedy)
    {
        m_changes.push_back({path, change, remedy, true});
    }

    std::span<const LiveWork> m_live;
    std::vector<DocumentChange> m_changes;
};

} // namespace

std::vector<DocumentChange> explainChange(const ServiceDocument &before,
                                          const ServiceDocument &after,
                                          std::span<const LiveWork> live)
{
    Comparison comparison(live);
    comparison.identity("service", before.service, after.service);
    comparison.identity("team", before.team, after.team);
    comparison.value(
        "upstreamService", before.upstreamService, after.upstreamService,
        "requests in flight finish where they are; later ones go to the new instances");
    comparison.value("latencyTargetMs", before.latencyTarget, after.latencyTarget, atOnce);
    comparison.requests(before, after);
    comparison.batch(BatchKind::Run, before.runs, after.runs);
    comparison.batch(BatchKind::Watcher, before.watchers, after.watchers);
    comparison.quotas(before.quotas, after.quotas);
    return comparison.sorted();
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
