#pragma once

#include "entry/actormessages.h"

namespace savorywick {

// Performs the blocking table and object store calls of one shard, so that the shard's own actor
// never blocks.
//
// Requests are handled in the order they arrive and the result is sent back to the sender. A failed
// load or row read is retried until it succeeds. Spawn the actor detached, which gives it a thread
// of its own. It ends when its shard's actor ends.
class StoreActor final : public caf::event_based_actor
{
public:
    // Creates the actor. `table` and `objects` must outlive it and must not be null.
    StoreActor(caf::actor_config &config, Table *table, ObjectStore *objects);

    caf::behavior make_behavior() override;

private:
    void load(const OwnedShard &owned, const caf::actor &to);

    Table &m_table;
    ObjectStore &m_objects;
};

} // namespace savorywick
