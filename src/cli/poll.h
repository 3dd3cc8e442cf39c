#pragma once

#include "savorywick/clock.h"

#include <functional>

namespace savorywick {

// Calls `condition` at least once, then again at a fixed interval until it returns true or
// `timeout` has elapsed. Blocks the calling thread.
void pollUntil(Millis timeout, const std::function<bool()> &condition);

} // namespace savorywick
