#pragma once

#include "core/settings.h"

namespace savorywick {

// Runs an entry until SIGTERM or SIGINT arrives, then drains it: the readiness check fails,
// requests in flight finish and the shards are released. A second signal ends the process at once.
//
// Prints one line with the bound addresses once both servers listen. Never returns: the process
// exits with status 0 after a drain and with status 4 after a second signal.
// Throws Error(InvalidInput) if an address can't be bound.
[[noreturn]] void runEntry(const Settings &settings);

} // namespace savorywick
