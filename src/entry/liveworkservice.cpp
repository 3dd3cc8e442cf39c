#include "entry/liveworkservice.h"

#include "store/json.h"

#include <algorithm>
#include <set>
#include <thread>

namespace savorywick {

namespace {

constexpr Millis shardsLimit{1'500};
constexpr Millis peerLimit{2'000};

struct Question
{
    int shard = 0;
    ReplySlotPtr<LiveWorkReply> slot;
};

Json::Value toJson(const LiveWork &work)
{
    Json::Value value;
    value["kind"] = work.kind == BatchKind::Run ? "run" : "watcher";
    value["class"] = work.className;
    value["count"] = work.count;
    return value;
}

LiveWork workFrom(const Json::Value &value)
{
    const bool run = value["kind"].asString() == "run";
    return {run ? BatchKind::Run : BatchKind::Watcher, value["class"].asString(),
            value["count"].asInt()};
}

} // namespace

LiveWorkService::LiveWorkService(int shards, const Clock &clock, ShardHost &host,
                                 const Topology &topology, PeerClient &peers)
    : m_shards(shards)
    , m_clock(clock)
    , m_host(host)
    , m_topology(topology)
    , m_peers(peers)
{ }

std::string LiveWorkService::own(const std::string &service) const
{
    std::vector<Question> questions;
    for (const int it : m_host.shards()) {
        questions.push_back({it, std::make_shared<ReplySlot<LiveWorkReply>>()});
        m_host.send(it, AskLiveWork{service, questions.back().slot});
    }
    const Instant limit = m_clock.now() + shardsLimit;
    Json::Value result;
    result["shards"] = Json::arrayValue;
    result["work"] = Json::arrayValue;
    for (const Question &it : questions) {
        const auto reply = it.slot->await(std::max(limit - m_clock.now(), Millis{0}));
        if (!reply || reply->refusal != ShardRefusal::None)
            continue;
        result["shards"].append(it.shard);
        for (const LiveWork &work : reply->work)
            result["work"].append(toJson(work));
    }
    return store::toJsonText(result);
}

std::optional<std::vector<LiveWork>> LiveWorkService::everywhere(const std::string &service) const
{
    Json::Value parameters;
    parameters["service"] = service;
    const std::string text = store::toJsonText(parameters);
    const auto entries = m_topology.entries();
    std::vector<PeerReply> replies(entries->size());
    std::vector<std::thread> threads;
    // This entry is asked as a peer too: a shard counts wherever its owner is.
    for (std::size_t i = 0; i < entries->size(); ++i) {
        threads.emplace_back([&, i, address = (*entries)[i].peers] {
            replies[i] = m_peers.call(address, "liveWork", text, peerLimit);
        });
    }
    for (std::thread &it : threads)
        it.join();
    std::set<int> counted;
    std::vector<LiveWork> live;
    for (const PeerReply &it : replies) {
        if (it.outcome != PeerOutcome::Answered)
            return std::nullopt;
        const Json::Value said = store::parseJsonText(it.result);
        for (const Json::Value &shard : said["shards"])
            counted.insert(shard.asInt());
        for (const Json::Value &work : said["work"])
            live.push_back(workFrom(work));
    }
    if (counted.size() != static_cast<std::size_t>(m_shards))
        return std::nullopt;
    return live;
}

} // namespace savorywick
