#pragma once

#include "core/httpserver.h"
#include "core/settings.h"
#include "entry/leaseloop.h"
#include "entry/requestservice.h"
#include "entry/shardhost.h"

namespace savorywick {

// Return what the settings file says to each part of the entry.
HttpServerLimits callerLimits(const Settings &settings);
HttpServerLimits peerLimits(const Settings &settings);
RequestServiceSettings requestSettings(const Settings &settings);
ShardHostSettings hostSettings(const Settings &settings);
LeaseLoopSettings leaseSettings(const Settings &settings);

} // namespace savorywick
