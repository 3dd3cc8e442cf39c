#include "entry/workeractor.h"

namespace savorywick {

namespace {

TaskReport reportOf(const WorkerTask &task)
{
    TaskReport report;
    report.job = task.task;
    report.attempt = task.attempt;
    if (task.state == "finished")
        report.state = TaskState::Finished;
    else if (task.state == "failed")
        report.state = TaskState::Failed;
    report.progress = task.progress;
    report.result = task.result;
    report.usage = {.cores = task.cores, .memoryMb = task.memoryMb};
    return report;
}

LeaseReply reportOf(const LeaseGrant &grant)
{
    LeaseReply report;
    report.incarnation = grant.incarnation;
    for (const WorkerTask &it : grant.tasks)
        report.tasks.push_back(reportOf(it));
    report.usage = {grant.usage.cores, grant.usage.memoryMb, grant.usage.accelerators};
    report.urgentP99 = grant.usage.urgentP99;
    return report;
}

StartReply startReplyOf(const WorkerReply &reply)
{
    if (reply.outcome == WorkerOutcome::Done)
        return {StartOutcome::Running, {}};
    if (reply.outcome != WorkerOutcome::Refused)
        return {StartOutcome::Unknown, {}};
    if (reply.reason == "no-room")
        return {StartOutcome::NoRoom, {}};
    if (reply.reason == "no-lease")
        return {StartOutcome::NoLease, {}};
    if (reply.reason == "stale-epoch")
        return {StartOutcome::StaleEpoch, {}};
    if (reply.reason == "stale-attempt")
        return {StartOutcome::StaleAttempt, {}};
    if (reply.reason == "wrong-incarnation")
        return {StartOutcome::WrongIncarnation, {}};
    return {StartOutcome::Unknown, {}};
}

} // namespace

WorkerActor::WorkerActor(caf::actor_config &config, WorkerClient *client, const Topology *topology,
                         std::function<bool()> mayAct)
    : caf::event_based_actor(config)
    , m_client(*client)
    , m_topology(*topology)
    , m_mayAct(std::move(mayAct))
{ }

caf::behavior WorkerActor::make_behavior()
{
    return {
        [this](const EffectOrder &order) {
            std::visit([&](const auto &effect) { carryOut(order, effect); }, order.effect);
        },
    };
}

WorkerCaller WorkerActor::callerFor(const EffectOrder &order, const std::string &worker) const
{
    // Without the right to act nothing is sent: an empty address can't be connected to.
    return {m_mayAct() ? m_topology.addressOf(worker) : std::string(), order.shard, order.epoch};
}

void WorkerActor::carryOut(const EffectOrder &order, const RenewLease &effect)
{
    const LeaseGrant grant =
        m_client.lease(callerFor(order, effect.worker), effect.incarnation, effect.term);
    send(order.replyTo,
         LeaseAnswer{effect.worker, grant.outcome == WorkerOutcome::Done, reportOf(grant)});
}

void WorkerActor::carryOut(const EffectOrder &order, const StartTask &effect)
{
    const StartOrder start{effect.job,
                           effect.attempt,
                           effect.incarnation,
                           effect.demand.cores,
                           effect.demand.memoryMb,
                           effect.demand.accelerators,
                           effect.expectedDuration,
                           effect.checkpoint,
                           effect.payload};
    const WorkerReply reply = m_client.start(callerFor(order, effect.worker), start);
    send(order.replyTo, StartAnswer{effect.job, effect.attempt, startReplyOf(reply)});
}

void WorkerActor::carryOut(const EffectOrder &order, const StopTask &effect)
{
    const WorkerReply reply =
        m_client.stop(callerFor(order, effect.worker), effect.job, effect.attempt);
    send(order.replyTo, StopAnswer{effect, reply.outcome == WorkerOutcome::Done});
}

void WorkerActor::carryOut(const EffectOrder &order, const CheckpointTask &effect)
{
    const WorkerReply reply =
        m_client.checkpoint(callerFor(order, effect.worker), effect.job, effect.attempt);
    CheckpointAnswer answer{effect.job, effect.attempt, std::nullopt};
    if (reply.outcome == WorkerOutcome::Done)
        answer.checkpoint = reply.checkpoint;
    send(order.replyTo, answer);
}

void WorkerActor::carryOut(const EffectOrder &order, const ThrottleTask &effect)
{
    m_client.throttle(callerFor(order, effect.worker), effect.job, effect.attempt, effect.percent);
}

} // namespace savorywick
