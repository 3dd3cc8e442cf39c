#include "entry/reportservice.h"

#include "store/json.h"

#include <thread>

namespace savorywick {

namespace {

constexpr Millis shardReportTimeout{500};
constexpr Millis peerReportTimeout{2'000};

Json::Value toJson(const Resources &resources)
{
    Json::Value value;
    value["cores"] = resources.cores;
    value["memoryMb"] = resources.memoryMb;
    value["accelerators"] = resources.accelerators;
    return value;
}

Json::Value toJson(const JobCounters &counters)
{
    Json::Value value;
    value["accepted"] = Json::UInt64(counters.accepted);
    value["repeated"] = Json::UInt64(counters.repeated);
    value["refused"] = Json::UInt64(counters.refused);
    value["placed"] = Json::UInt64(counters.placed);
    value["finished"] = Json::UInt64(counters.finished);
    value["failedAttempts"] = Json::UInt64(counters.failedAttempts);
    value["givenUp"] = Json::UInt64(counters.givenUp);
    value["evictions"] = Json::UInt64(counters.evictions);
    value["abandonedEvictions"] = Json::UInt64(counters.abandonedEvictions);
    value["cancelled"] = Json::UInt64(counters.cancelled);
    value["lapsed"] = Json::UInt64(counters.lapsed);
    value["vanished"] = Json::UInt64(counters.vanished);
    value["quarantines"] = Json::UInt64(counters.quarantines);
    value["restarts"] = Json::UInt64(counters.restarts);
    return value;
}

Json::Value oldestWaitingJson(const ShardReport &report)
{
    Json::Value value;
    value["id"] = report.oldestWaiting.item ? report.oldestWaiting.item->id : std::string();
    value["waitedMs"] = Json::Int64(report.oldestWaitTime.count());
    value["why"] = std::string(toString(report.oldestWaiting.reason));
    return value;
}

Json::Value toJson(const ShardReport &report)
{
    Json::Value value;
    value["shard"] = report.shard;
    value["epoch"] = Json::UInt64(report.epoch);
    for (const auto &it : report.jobsByState)
        value["jobs"][std::string(toString(it.first))] = Json::UInt64(it.second);
    value["counters"] = toJson(report.counters);
    value["claims"]["open"] = Json::UInt64(report.claims.open);
    value["claims"]["finished"] = Json::UInt64(report.claims.finished);
    value["claims"]["unknown"] = Json::UInt64(report.claims.unknown);
    value["oldest"] = oldestWaitingJson(report);
    value["pendingRecords"] = Json::UInt64(report.pendingRecords);
    value["storeDown"] = report.storeUnavailable;
    value["hosts"] = Json::arrayValue;
    for (const ShardReport::HostUsage &it : report.hosts) {
        Json::Value host;
        host["host"] = it.host;
        host["capacity"] = toJson(it.capacity);
        host["booked"] = toJson(it.allocated);
        value["hosts"].append(std::move(host));
    }
    return value;
}

Json::Value countersJson(const MetricsSnapshot &snapshot)
{
    Json::Value list = Json::arrayValue;
    for (const CounterValue &it : snapshot.counters) {
        Json::Value value;
        value["group"] = it.group;
        value["name"] = it.name;
        value["count"] = Json::UInt64(it.count);
        list.append(std::move(value));
    }
    return list;
}

Json::Value latenciesJson(const MetricsSnapshot &snapshot)
{
    Json::Value list = Json::arrayValue;
    for (const LatencySummary &it : snapshot.latencies) {
        Json::Value value;
        value["name"] = it.name;
        value["count"] = Json::UInt64(it.count);
        value["p50Ms"] = it.p50Ms;
        value["p99Ms"] = it.p99Ms;
        value["p999Ms"] = it.p999Ms;
        value["maxMs"] = it.maxMs;
        list.append(std::move(value));
    }
    return list;
}

Json::Value documentsJson(const DocumentService &documents)
{
    Json::Value list = Json::arrayValue;
    for (const std::string &it : documents.services()) {
        const auto document = documents.find(it);
        Json::Value value;
        value["service"] = it;
        value["revision"] = Json::UInt64(document ? document->stored.revision : 0);
        value["latencyTargetMs"] =
            Json::Int64(document ? document->document.latencyTarget.count() : 0);
        list.append(std::move(value));
    }
    return list;
}

// Returns the reports of all shards of this entry that answer in time.
std::vector<ShardReport> shardReports(ShardSupervisor &supervisor)
{
    std::vector<ReplyChannelPtr<ShardReport>> channels;
    for (const int it : supervisor.shards()) {
        channels.push_back(std::make_shared<ReplyChannel<ShardReport>>());
        supervisor.send(it, QueryReport{channels.back()});
    }
    std::vector<ShardReport> reports;
    for (const auto &it : channels) {
        if (auto report = it->receive(shardReportTimeout))
            reports.push_back(std::move(*report));
    }
    return reports;
}

void addShards(Json::Value &value, const std::vector<ShardReport> &reports)
{
    value["shards"] = Json::arrayValue;
    value["suspects"] = Json::arrayValue;
    for (const ShardReport &report : reports) {
        value["shards"].append(toJson(report));
        for (const ShardReport::SuspectedHost &it : report.suspects) {
            Json::Value suspect;
            suspect["id"] = it.host;
            suspect["role"] = "worker";
            suspect["reason"] = it.reason;
            suspect["sinceMs"] = Json::Int64(it.suspectedFor.count());
            value["suspects"].append(std::move(suspect));
        }
    }
}

} // namespace

ReportService::ReportService(Dependencies dependencies)
    : m_dependencies(std::move(dependencies))
{ }

std::string ReportService::entryReport() const
{
    const MetricsSnapshot snapshot = m_dependencies.metrics->snapshot();
    Json::Value value;
    value["entry"] = m_dependencies.entry;
    value["session"] = m_dependencies.leases->session();
    value["availabilityZone"] = m_dependencies.availabilityZone;
    value["region"] = m_dependencies.region;
    value["ready"] = m_dependencies.ready();
    value["storeUp"] = m_dependencies.leases->isStoreAvailable();
    value["uptimeMs"] = Json::Int64(m_dependencies.clock->now().count());
    value["shardCount"] = m_dependencies.shardCount;
    value["documentsSeen"] = Json::UInt64(m_dependencies.documents->sequence());
    value["counters"] = countersJson(snapshot);
    value["latencies"] = latenciesJson(snapshot);
    value["documents"] = documentsJson(*m_dependencies.documents);
    value["invalidDocuments"] = Json::arrayValue;
    for (const std::string &it : m_dependencies.documents->invalidServices())
        value["invalidDocuments"].append(it);
    addShards(value, shardReports(*m_dependencies.host));
    return store::toJsonText(value);
}

std::string ReportService::clusterReport() const
{
    const auto entries = m_dependencies.topology->entries();
    std::vector<Json::Value> reports(entries->size());
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < entries->size(); ++i) {
        const PeerEntry &peer = (*entries)[i];
        threads.emplace_back([&, i, peer] {
            std::string text = peer.session == m_dependencies.leases->session()
                ? entryReport()
                : m_dependencies.peers->call(peer.peerAddress, "report", "{}", peerReportTimeout)
                      .result;
            reports[i] = store::parseJsonText(text);
            if (!reports[i].isObject()) {
                reports[i] = Json::objectValue;
                reports[i]["entry"] = peer.name;
                reports[i]["session"] = peer.session;
                reports[i]["unreachable"] = true;
            }
        });
    }
    for (std::thread &it : threads)
        it.join();
    Json::Value value;
    value["entries"] = Json::arrayValue;
    for (Json::Value &it : reports)
        value["entries"].append(std::move(it));
    return store::toJsonText(value);
}

} // namespace savorywick
