#pragma once

#include "server.h"

#include "savorywick/platform.h"

#include <chrono>

namespace savorywick::standin {

// Each adds the routes of one peer to `server`, as docs/PROTOCOLS.md lists them.
void addTable(Server &server);
void addObjects(Server &server);
void addMembership(Server &server);
// Serves `host.slots` requests at once, and takes `serviceTime` for each.
void addUpstream(Server &server, const HostInfo &host, std::chrono::milliseconds serviceTime);
// Runs tasks, which are timers, in the sizes of `host`.
void addWorker(Server &server, const HostInfo &host);

} // namespace savorywick::standin
