#pragma once

#include "entry/actormessages.h"

#include <functional>
#include <memory>
#include <vector>

namespace savorywick {

// Collaborators of a shard's actor.
struct ShardActorContext
{
    const Clock *clock = nullptr;
    caf::actor store; // The shard's StoreActor.
    std::vector<caf::actor> workerActors;
    std::function<bool()> hasValidLease;
    std::function<void(int shard)> onReady; // Called when the shard is restored.
    std::function<void(int shard)> onStopped; // Called when it is lost or released.
    Millis tickInterval{100};
};

// Runs the ShardEngine of one owned shard: passes messages to it and performs the actions that it
// returns.
//
// The actor first restores the shard from the store and defers messages until then. It never
// blocks: a StoreActor and WorkerActors perform the calls to the store and to workers.
class ShardActor final : public caf::event_based_actor
{
public:
    ShardActor(caf::actor_config &config, const OwnedShard &owned,
               const ShardEngineSettings &settings, ShardActorContext context);

    caf::behavior make_behavior() override;

private:
    caf::behavior loading();
    caf::behavior running();
    void shutDown();
    void executeActions();
    void dispatch(const ShardMessage &message);
    void execute(const WorkerCall &call);

    void handle(const OpenClaim &message);
    void handle(const CloseClaim &message);
    void handle(const SubmitRun &message);
    void handle(const SubmitWatcher &message);
    void handle(const CancelJob &message);
    void handle(const QueryJob &message);
    void handle(const QueryReport &message);
    void handle(const QueryLiveWork &message);
    void handle(const WorkersChanged &message);
    void handle(const ReleaseShard &message);

    Instant now() const { return m_context.clock->now(); }

    OwnedShard m_owned;
    ShardEngineSettings m_settings;
    ShardActorContext m_context;
    std::unique_ptr<ShardEngine> m_engine;
    std::vector<ShardMessage> m_deferredMessages; // Received while the shard is restored.
};

// Answers `message` with ShardRefusal::NotOwner if it has a channel for the answer.
void rejectAsNotOwner(const ShardMessage &message);

} // namespace savorywick
