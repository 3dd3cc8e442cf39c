#include "entry/liveworkservice.h"

#include "store/json.h"

#include <algorithm>
#include <set>
#include <thread>

namespace savorywick {

namespace {

constexpr Millis shardReplyTimeout{1'500};
constexpr Millis peerTimeout{2'000};

struct PendingQuery
{
    int shard = 0;
    ReplyChannelPtr<LiveWorkReply> channel;
};

Json::Value toJson(const LiveWork &work)
{
    Json::Value value;
    value["kind"] = work.kind == BatchKind::Run ? "run" : "watcher";
    value["class"] = work.className;
    value["count"] = work.count;
    return value;
}

LiveWork toLiveWork(const Json::Value &value)
{
    const bool run = value["kind"].asString() == "run";
    return {run ? BatchKind::Run : BatchKind::Watcher, value["class"].asString(),
            value["count"].asInt()};
}

} // namespace

LiveWorkService::LiveWorkService(int shardCount, const Clock &clock, ShardSupervisor &supervisor,
                                 const Topology &topology, PeerClient &peers)
    : m_shardCount(shardCount)
    , m_clock(clock)
    , m_shardSupervisor(supervisor)
    , m_topology(topology)
    , m_peers(peers)
{ }

std::string LiveWorkService::countLocal(const std::string &service) const
{
    std::vector<PendingQuery> queries;
    for (const int it : m_shardSupervisor.shards()) {
        queries.push_back({it, std::make_shared<ReplyChannel<LiveWorkReply>>()});
        m_shardSupervisor.send(it, QueryLiveWork{service, queries.back().channel});
    }
    const Instant deadline = m_clock.now() + shardReplyTimeout;
    Json::Value result;
    result["shards"] = Json::arrayValue;
    result["work"] = Json::arrayValue;
    for (const PendingQuery &it : queries) {
        const auto reply = it.channel->receive(std::max(deadline - m_clock.now(), Millis{0}));
        if (!reply || reply->refusal != ShardRefusal::None)
            continue;
        result["shards"].append(it.shard);
        for (const LiveWork &work : reply->work)
            result["work"].append(toJson(work));
    }
    return store::toJsonText(result);
}

std::optional<std::vector<LiveWork>> LiveWorkService::countAll(const std::string &service) const
{
    Json::Value parameters;
    parameters["service"] = service;
    const std::string text = store::toJsonText(parameters);
    const auto entries = m_topology.entries();
    std::vector<PeerReply> replies(entries->size());
    std::vector<std::thread> threads;
    // The list includes this entry, so its own shards are counted through the same call.
    for (std::size_t i = 0; i < entries->size(); ++i) {
        threads.emplace_back([&, i, address = (*entries)[i].peerAddress] {
            replies[i] = m_peers.call(address, "liveWork", text, peerTimeout);
        });
    }
    for (std::thread &it : threads)
        it.join();
    std::set<int> countedShards;
    std::vector<LiveWork> live;
    for (const PeerReply &it : replies) {
        if (it.outcome != PeerOutcome::Answered)
            return std::nullopt;
        const Json::Value counts = store::parseJsonText(it.result);
        for (const Json::Value &shard : counts["shards"])
            countedShards.insert(shard.asInt());
        for (const Json::Value &work : counts["work"])
            live.push_back(toLiveWork(work));
    }
    if (countedShards.size() != static_cast<std::size_t>(m_shardCount))
        return std::nullopt;
    return live;
}

} // namespace savorywick
