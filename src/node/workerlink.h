#pragma once

#include "savorywick/steps/workercommands.h"

#include <functional>

namespace savorywick {

// Carries a shard's orders to workers. Callbacks run on the event loop, each exactly once.
class WorkerLink
{
public:
    using RenewDone = std::function<void(const steps::RenewLeaseReply &)>;
    using OrderDone = std::function<void(const steps::CommandReply &)>;

    virtual ~WorkerLink() = default;

    virtual void renew(const steps::RenewLeaseCommand &order, RenewDone done) = 0;
    virtual void start(const steps::StartRunCommand &order, OrderDone done) = 0;
    virtual void stop(const steps::StopRunCommand &order, OrderDone done) = 0;
    virtual void pace(const steps::ThrottleRunCommand &order, OrderDone done) = 0;
};

} // namespace savorywick
