#pragma once

#include "savorywick/steps/workercommands.h"

#include <functional>

namespace savorywick {

// Sends a shard's orders to workers without blocking.
//
// Implement it in a platform adapter. Each callback runs exactly once, on the event loop. Not
// thread-safe.
class WorkerLink
{
public:
    using RenewDone = std::function<void(const steps::RenewLeaseReply &)>;
    using OrderDone = std::function<void(const steps::CommandReply &)>;

    virtual ~WorkerLink() = default;

    // Renews the lease on the worker's runs and passes the worker's report to `done`.
    virtual void renew(const steps::RenewLeaseCommand &order, RenewDone done) = 0;
    // Starts a run.
    virtual void start(const steps::StartRunCommand &order, OrderDone done) = 0;
    // Stops a run.
    virtual void stop(const steps::StopRunCommand &order, OrderDone done) = 0;
    // Limits a run to a percentage of its full speed.
    virtual void pace(const steps::ThrottleRunCommand &order, OrderDone done) = 0;
};

} // namespace savorywick
