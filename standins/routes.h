#pragma once

#include "server.h"

#include "savorywick/platform.h"

#include <chrono>

namespace savorywick::standin {

// Each function adds the routes of one service to `server`; docs/PROTOCOLS.md lists the routes.
void addTable(Server &server);
void addObjects(Server &server);
void addMembership(Server &server);
// Adds an upstream that serves up to `host.slots` requests at once and takes `serviceTime` for
// each.
void addUpstream(Server &server, const HostInfo &host, std::chrono::milliseconds serviceTime);
// Adds a worker with the resources of `host`. Its tasks are timers that do no work.
void addWorker(Server &server, const HostInfo &host);

} // namespace savorywick::standin
