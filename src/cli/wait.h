#pragma once

#include "savorywick/clock.h"

#include <functional>

namespace savorywick {

// Calls `done` now, and then again after short pauses, until it returns true or `limit` is over.
void waitUntil(Millis limit, const std::function<bool()> &done);

} // namespace savorywick
