#include "operator/reporttotals.h"

#include <algorithm>
#include <string_view>

namespace savorywick {

namespace {

constexpr std::string_view urgentPrefix = "urgent ";

void addCounts(ReportCounts &sum, const ReportCounts &counts)
{
    for (const auto &[name, count] : counts)
        sum[name] += count;
}

void addShard(ReportTotals &totals, std::map<std::string, LongestWait> &waits,
              const ReportShard &shard)
{
    addCounts(totals.jobs, shard.jobs);
    addCounts(totals.jobCounters, shard.counters);
    totals.claims.open += shard.claims.open;
    totals.claims.finished += shard.claims.finished;
    totals.claims.unknown += shard.claims.unknown;
    if (shard.oldest.id.empty())
        return;
    LongestWait &wait = waits[shard.oldest.why];
    wait.reason = shard.oldest.why;
    ++wait.shards;
    if (wait.id.empty() || shard.oldest.waitedMs > wait.waitedMs) {
        wait.id = shard.oldest.id;
        wait.waitedMs = shard.oldest.waitedMs;
    }
}

void addLatency(std::map<std::string, ServiceLatency> &services, const ReportLatency &latency,
                const std::string &entry)
{
    if (!latency.name.starts_with(urgentPrefix) || latency.count == 0)
        return;
    const std::string name = latency.name.substr(urgentPrefix.size());
    ServiceLatency &service = services[name];
    service.service = name;
    service.answered += latency.count;
    if (!service.slowestEntry.empty() && latency.p99Ms <= service.p99Ms)
        return;
    service.p50Ms = latency.p50Ms;
    service.p99Ms = latency.p99Ms;
    service.p999Ms = latency.p999Ms;
    service.slowestEntry = entry;
}

// Returns the newest revision of each service's document that any entry has in force.
std::map<std::string, ReportDocument> newestDocuments(const Report &report)
{
    std::map<std::string, ReportDocument> newest;
    for (const ReportEntry &entry : report.entries) {
        for (const ReportDocument &it : entry.documents) {
            ReportDocument &document = newest[it.service];
            if (it.revision >= document.revision)
                document = it;
        }
    }
    return newest;
}

std::uint64_t revisionIn(const ReportEntry &entry, const std::string &service)
{
    for (const ReportDocument &it : entry.documents) {
        if (it.service == service)
            return it.revision;
    }
    return 0;
}

std::vector<PendingEdit> pendingEdits(const Report &report,
                                      const std::map<std::string, ReportDocument> &newest)
{
    std::vector<PendingEdit> edits;
    for (const auto &[service, document] : newest) {
        PendingEdit edit{service, document.revision, {}};
        for (const ReportEntry &it : report.entries) {
            if (revisionIn(it, service) < document.revision)
                edit.pendingOn.push_back(it.entry);
        }
        std::sort(edit.pendingOn.begin(), edit.pendingOn.end());
        if (!edit.pendingOn.empty())
            edits.push_back(std::move(edit));
    }
    return edits;
}

} // namespace

ReportTotals computeTotals(const Report &report)
{
    ReportTotals totals;
    std::map<std::string, LongestWait> waits;
    std::map<std::string, ServiceLatency> services;
    for (const ReportEntry &entry : report.entries) {
        for (const ReportCounter &it : entry.counters)
            totals.counters[it.group][it.name] += it.count;
        for (const ReportLatency &it : entry.latencies)
            addLatency(services, it, entry.entry);
        for (const ReportShard &it : entry.shards)
            addShard(totals, waits, it);
        totals.invalidDocuments.insert(entry.invalidDocuments.begin(),
                                       entry.invalidDocuments.end());
    }
    const auto newest = newestDocuments(report);
    for (auto &[name, service] : services) {
        const auto it = newest.find(name);
        service.targetMs = it == newest.end() ? 0 : it->second.latencyTargetMs;
        totals.latencies.push_back(service);
    }
    for (const auto &[reason, wait] : waits)
        totals.waits.push_back(wait);
    std::stable_sort(totals.waits.begin(), totals.waits.end(),
                     [](const auto &a, const auto &b) { return a.waitedMs > b.waitedMs; });
    totals.edits = pendingEdits(report, newest);
    return totals;
}

} // namespace savorywick
