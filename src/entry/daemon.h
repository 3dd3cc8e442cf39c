#pragma once

#include "core/settings.h"

namespace savorywick {

// Runs an entry until SIGTERM or SIGINT, then drains it: readiness goes off, requests in flight
// finish, the shards are released. A second signal ends it at once.
//
// Prints one line with the bound addresses once it listens. Does not return but ends the process,
// with status 0 if it was drained and 4 if a second signal ended it.
// Throws Error(InvalidInput) if an address can't be bound.
[[noreturn]] void runEntry(const Settings &settings);

} // namespace savorywick
