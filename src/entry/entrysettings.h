#pragma once

#include "core/httpserver.h"
#include "core/settings.h"
#include "entry/leasecontroller.h"
#include "entry/requestservice.h"
#include "entry/shardsupervisor.h"

namespace savorywick {

// Returns the limits of the HTTP server for callers.
HttpServerLimits callerServerLimits(const Settings &settings);
// Returns the limits of the HTTP server for other entries.
HttpServerLimits peerServerLimits(const Settings &settings);
// Returns the settings of the request service and of its dispatchers.
RequestServiceSettings requestServiceSettings(const Settings &settings);
// Returns the settings of the shards, their journals, claims and jobs.
ShardSupervisorSettings shardHostSettings(const Settings &settings);
// Returns the settings of the loop that renews this entry's leases.
LeaseControllerSettings leaseLoopSettings(const Settings &settings);

} // namespace savorywick
