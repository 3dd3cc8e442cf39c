#pragma once

#include "savorywick/steps/orders.h"

#include <functional>

namespace savorywick {

// Sends a shard's orders to workers without blocking.
//
// Implement it in a platform adapter. Each callback runs exactly once, on the event loop. Not
// thread-safe.
class WorkerLink
{
public:
    using RenewDone = std::function<void(const steps::RenewReply &)>;
    using OrderDone = std::function<void(const steps::OrderReply &)>;

    virtual ~WorkerLink() = default;

    // Renews the lease on the worker's runs and passes the worker's report to `done`.
    virtual void renew(const steps::RenewOrder &order, RenewDone done) = 0;
    // Starts a run.
    virtual void start(const steps::StartOrder &order, OrderDone done) = 0;
    // Stops a run.
    virtual void stop(const steps::StopOrder &order, OrderDone done) = 0;
    // Limits a run to a percentage of its full speed.
    virtual void pace(const steps::PaceOrder &order, OrderDone done) = 0;
};

} // namespace savorywick
