#pragma once

#include "entry/actormessages.h"
#include "entry/topology.h"
#include "worker/workerclient.h"

#include <functional>

namespace savorywick {

// Makes the blocking calls to workers, in the order given. Spawn several detached, and give all
// calls to one worker to the same one.
class WorkerActor final : public caf::event_based_actor
{
public:
    // `mayAct` tells whether this entry may still act as an owner; without it nothing is sent.
    // The references must outlive the actor.
    WorkerActor(caf::actor_config &config, WorkerClient *client, const Topology *topology,
                std::function<bool()> mayAct);

    caf::behavior make_behavior() override;

private:
    WorkerCaller callerFor(const EffectOrder &order, const std::string &worker) const;
    void carryOut(const EffectOrder &order, const RenewLease &effect);
    void carryOut(const EffectOrder &order, const StartTask &effect);
    void carryOut(const EffectOrder &order, const StopTask &effect);
    void carryOut(const EffectOrder &order, const CheckpointTask &effect);
    void carryOut(const EffectOrder &order, const ThrottleTask &effect);

    WorkerClient &m_client;
    const Topology &m_topology;
    std::function<bool()> m_mayAct;
};

} // namespace savorywick
