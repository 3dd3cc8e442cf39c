#pragma once

#include "entry/actormessages.h"

namespace savorywick {

// Makes one shard's blocking calls to the table and the object store, in the order given, and
// answers the sender. Spawn it detached. It stops when its shard's actor ends.
class StoreActor final : public caf::event_based_actor
{
public:
    // The table and the store must outlive the actor.
    StoreActor(caf::actor_config &config, Table *table, ObjectStore *objects);

    caf::behavior make_behavior() override;

private:
    void load(const OwnedShard &owned, const caf::actor &to);

    Table &m_table;
    ObjectStore &m_objects;
};

} // namespace savorywick
