#pragma once

#include "shardsimulation.h"

// The member functions of ShardSimulation that carry calls between the owner and the workers.
namespace savorywick::steps::testing {

inline SimulatedWorker *ShardSimulation::findWorkerAt(const std::string &address)
{
    const auto it =
        std::find_if(m_workers.begin(), m_workers.end(),
                     [&](const SimulatedWorker &worker) { return worker.info.address == address; });
    return it == m_workers.end() ? nullptr : &*it;
}

// Delivers an order to its worker and the reply to the owner. Some orders get no reply; of these
// some are executed late and the others never.
inline void ShardSimulation::send(const WorkerCommand &order)
{
    std::visit([this](const auto &it) { transmit(it); }, order);
}

template<typename OrderType>
void ShardSimulation::transmit(const OrderType &order)
{
    SimulatedWorker *target = findWorkerAt(order.target.address);
    const bool refusesConnections = target
        && (refuses(*target)
            || (!target->up && (target->closesConnections || randomBelow(2) == 0)));
    if (!target || refusesConnections)
        return scheduleReply(Millis{2}, m_epoch, [this, order, refusesConnections] {
            deliver(order, {CommandOutcome::NotSent, {}, refusesConnections});
        });
    const bool lost = !target->up || target->partitioned || faultOccurs(12)
        || randomBelow(100) < target->lostCallsPercent;
    if (lost)
        return loseCall(order, *target);
    const Millis latency{2 + randomBelow(10)};
    schedule(latency, false, [this, order, latency, epoch = m_epoch] {
        SimulatedWorker &worker = *findWorkerAt(order.target.address);
        if (worker.up && !worker.partitioned)
            return receive(order, worker, epoch);
        const bool closes = refuses(worker) || (!worker.up && worker.closesConnections);
        scheduleReply(closes ? latency : timeoutOf(order), epoch, [this, order, closes] {
            deliver(order, {CommandOutcome::Unknown, {}, closes});
        });
    });
}

// Gives the order no reply. What executes it late is the life that it was sent to, or also the next
// one.
template<typename OrderType>
void ShardSimulation::loseCall(const OrderType &order, SimulatedWorker &target)
{
    if ((target.up || m_lateOrdersReachNextLives) && randomBelow(3) == 0) {
        const Millis lateness{randomBelow(12'000)};
        schedule(lateness, false, [this, order, life = target.startedAt] {
            SimulatedWorker &worker = *findWorkerAt(order.target.address);
            if (worker.up && (worker.startedAt == life || m_lateOrdersReachNextLives))
                execute(order, worker);
        });
    }
    scheduleReply(timeoutOf(order), m_epoch, [this, order] { deliver(order, {}); });
}

template<typename OrderType>
void ShardSimulation::receive(const OrderType &order, SimulatedWorker &worker, std::uint64_t epoch)
{
    const auto reply = execute(order, worker);
    const bool replyLost =
        std::is_same_v<
            OrderType,
            StartRunCommand> && (worker.startBehaviour == StartBehaviour::Ignores || worker.startBehaviour == StartBehaviour::StartsSilently);
    if (replyLost)
        return scheduleReply(timeoutOf(order), epoch, [this, order] { deliver(order, {}); });
    const Millis latency{faultOccurs(20) ? randomBelow(400) : 2 + randomBelow(10)};
    scheduleReply(latency, epoch, [this, order, reply] { deliver(order, reply); });
}

// A worker holds a renewal that may wait until there is an end to report.
inline void ShardSimulation::receive(const RenewLeaseCommand &order, SimulatedWorker &worker,
                                     std::uint64_t epoch)
{
    const RenewLeaseReply reply = execute(order, worker);
    const bool holds = reply.outcome == CommandOutcome::Done && reply.report.ended.empty()
        && order.maxWait > Millis{0};
    if (holds)
        return worker.heldRenewals.push_back({order, epoch, m_now + order.maxWait});
    scheduleReply(Millis{2 + randomBelow(10)}, epoch,
                  [this, order, reply] { deliver(order, reply); });
}

inline void ShardSimulation::answerHeldRenewals(SimulatedWorker &worker)
{
    std::erase_if(worker.heldRenewals, [&](const HeldRenewal &it) {
        const bool due = m_now >= it.until || !worker.unacknowledgedEnds.empty() || !worker.up
            || refuses(worker);
        if (!due)
            return false;
        const bool answers = worker.up && !worker.partitioned;
        const bool closes = refuses(worker) || (!worker.up && worker.closesConnections);
        const RenewLeaseReply reply =
            answers ? reportOf(worker) : RenewLeaseReply{CommandOutcome::Unknown, {}, closes};
        const Millis delay = answers || closes ? Millis{2 + randomBelow(10)} : replyTimeout;
        scheduleReply(delay, it.epoch, [this, order = it.order, reply] { deliver(order, reply); });
        return true;
    });
}

// Replies to the owner of `epoch` after `delay`, unless it has been replaced: its connections are
// gone.
inline void ShardSimulation::scheduleReply(Millis delay, std::uint64_t epoch,
                                           std::function<void()> action)
{
    if (epoch == m_epoch)
        schedule(delay, true, std::move(action));
}

inline void ShardSimulation::deliver(const RenewLeaseCommand &order, const RenewLeaseReply &reply)
{
    m_owner->handleRenewReply(order, reply, now());
}

inline void ShardSimulation::deliver(const StartRunCommand &order, const CommandReply &reply)
{
    m_owner->handleStartReply(order, reply, now());
}

inline void ShardSimulation::deliver(const StopRunCommand &order, const CommandReply &reply)
{
    m_owner->handleStopReply(order, reply, now());
}

inline void ShardSimulation::deliver(const ThrottleRunCommand &, const CommandReply &) { }

inline Millis ShardSimulation::timeoutOf(const WorkerCommand &order)
{
    const auto *renewal = std::get_if<RenewLeaseCommand>(&order);
    if (const auto *start = std::get_if<StartRunCommand>(&order))
        return std::min(replyTimeout, start->answerTimeout.value_or(replyTimeout));
    return replyTimeout + (renewal ? renewal->maxWait : Millis{0});
}

} // namespace savorywick::steps::testing
