#pragma once

#include "entry/actormessages.h"
#include "entry/topology.h"
#include "worker/workerclient.h"

#include <functional>

namespace savorywick {

// Performs blocking calls to workers on behalf of the shards' actors.
//
// Requests are handled in the order they arrive. Spawn several of these actors detached, and send
// all calls to one worker to the same actor, which keeps them in order.
class WorkerActor final : public caf::event_based_actor
{
public:
    // Creates the actor. `hasValidLease` returns whether this entry may still act as an owner;
    // while it returns false no call reaches a worker. `client` and `topology` must outlive the
    // actor and must not be null.
    WorkerActor(caf::actor_config &config, WorkerClient *client, const Topology *topology,
                std::function<bool()> hasValidLease);

    caf::behavior make_behavior() override;

private:
    WorkerCallContext contextFor(const WorkerCallRequest &request, const std::string &worker) const;
    void execute(const WorkerCallRequest &request, const RenewLease &call);
    void execute(const WorkerCallRequest &request, const StartTask &call);
    void execute(const WorkerCallRequest &request, const StopTask &call);
    void execute(const WorkerCallRequest &request, const CheckpointTask &call);
    void execute(const WorkerCallRequest &request, const ThrottleTask &call);

    WorkerClient &m_client;
    const Topology &m_topology;
    std::function<bool()> m_hasValidLease;
};

} // namespace savorywick
