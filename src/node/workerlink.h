#pragma once

#include "savorywick/steps/orders.h"

#include <functional>

namespace savorywick {

// Carries a shard's orders to workers. Callbacks run on the event loop, each exactly once.
class WorkerLink
{
public:
    using RenewDone = std::function<void(const steps::RenewReply &)>;
    using OrderDone = std::function<void(const steps::OrderReply &)>;

    virtual ~WorkerLink() = default;

    virtual void renew(const steps::RenewOrder &order, RenewDone done) = 0;
    virtual void start(const steps::StartOrder &order, OrderDone done) = 0;
    virtual void stop(const steps::StopOrder &order, OrderDone done) = 0;
    virtual void pace(const steps::PaceOrder &order, OrderDone done) = 0;
};

} // namespace savorywick
