#pragma once

#include "savorywick/steps/workercommands.h"

#include <functional>

namespace savorywick {

// Sends a shard's orders to workers without blocking.
//
// Implement it in a platform adapter. Each callback runs exactly once, on the event loop. Not
// thread-safe.
class AsyncWorkerClient
{
public:
    using RenewCallback = std::function<void(const steps::RenewLeaseReply &)>;
    using OrderCallback = std::function<void(const steps::CommandReply &)>;

    virtual ~AsyncWorkerClient() = default;

    // Renews the lease on the worker's runs and passes the worker's report to `done`.
    virtual void renew(const steps::RenewLeaseCommand &order, RenewCallback done) = 0;
    // Starts a run.
    virtual void start(const steps::StartRunCommand &order, OrderCallback done) = 0;
    // Stops a run.
    virtual void stop(const steps::StopRunCommand &order, OrderCallback done) = 0;
    // Limits a run to a percentage of its full speed.
    virtual void throttle(const steps::ThrottleRunCommand &order, OrderCallback done) = 0;
};

} // namespace savorywick
