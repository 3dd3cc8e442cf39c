#pragma once

#include "net/connectionallocator.h"

#include <cstddef>

namespace savorywick {

// How many connections each part of an entry may hold open.
struct ConnectionShares
{
    std::size_t callers = 0; // Accepted from callers.
    std::size_t entries = 0; // Accepted from other entries.
    std::size_t rejections = 0; // Accepted beyond that by each server, to be refused.
    ConnectionLimits toEntries; // To other entries.
    ConnectionLimits toWorkers;
    ConnectionLimits toStore;
};

// Returns the shares of a process that may hold `descriptors` file descriptors. Together with a
// reserve for files, listening sockets and connections that are refused, they are no more than
// that, so that neither accepting nor connecting ever fails for want of a descriptor.
//
// Example:
//   const ConnectionShares shares = shareConnections(descriptorLimit());
ConnectionShares shareConnections(std::size_t descriptors);

// Returns how many file descriptors this process may hold.
std::size_t descriptorLimit();

} // namespace savorywick
