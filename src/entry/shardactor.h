#pragma once

#include "entry/actormessages.h"

#include <functional>
#include <memory>
#include <vector>

namespace savorywick {

// What a shard's actor needs from the process around it.
struct ShardSurroundings
{
    const Clock *clock = nullptr;
    caf::actor store; // Makes this shard's calls to the store.
    std::vector<caf::actor> workerCallers;
    std::function<bool()> mayAct;
    std::function<void(int shard)> ready; // Told once the shard is restored.
    std::function<void(int shard)> over; // Told once it is lost or released.
    Millis tickEvery{100};
};

// Owns the engine of one shard: feeds it and carries out what it decides. It never blocks.
class ShardActor final : public caf::event_based_actor
{
public:
    ShardActor(caf::actor_config &config, const OwnedShard &owned,
               const ShardEngineSettings &settings, ShardSurroundings surroundings);

    caf::behavior make_behavior() override;

private:
    caf::behavior loading();
    caf::behavior running();
    void finish();
    void pump();
    void take(const ShardMessage &message);
    void carryOut(const WorkerCall &effect);

    void handle(const OpenClaim &message);
    void handle(const CloseClaim &message);
    void handle(const SubmitRun &message);
    void handle(const SubmitWatcher &message);
    void handle(const CancelJob &message);
    void handle(const QueryJob &message);
    void handle(const AskReport &message);
    void handle(const AskLiveWork &message);
    void handle(const WorkersChanged &message);
    void handle(const ReleaseShard &message);

    Instant now() const { return m_around.clock->now(); }

    OwnedShard m_owned;
    ShardEngineSettings m_settings;
    ShardSurroundings m_around;
    std::unique_ptr<ShardEngine> m_engine;
    std::vector<ShardMessage> m_early; // Came while the shard was being restored.
};

// Answers a message that no shard will take: its slot says NotOwner.
void refuse(const ShardMessage &message);

} // namespace savorywick
