#include "entry/workeractor.h"

namespace savorywick {

namespace {

TaskReport toTaskReport(const WorkerTaskStatus &task)
{
    TaskReport report;
    report.job = task.taskId;
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

LeaseReply toLeaseReport(const WorkerLeaseReply &grant)
{
    LeaseReply report;
    report.incarnation = grant.incarnation;
    for (const WorkerTaskStatus &it : grant.tasks)
        report.tasks.push_back(toTaskReport(it));
    report.usage = {grant.usage.cores, grant.usage.memoryMb, grant.usage.accelerators};
    report.urgentP99 = grant.usage.urgentLatencyP99;
    return report;
}

StartReply toStartReply(const WorkerReply &reply)
{
    if (reply.outcome == WorkerCallOutcome::Done)
        return {StartOutcome::Running, {}};
    if (reply.outcome != WorkerCallOutcome::Refused)
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
                         std::function<bool()> hasValidLease)
    : caf::event_based_actor(config)
    , m_client(*client)
    , m_topology(*topology)
    , m_hasValidLease(std::move(hasValidLease))
{ }

caf::behavior WorkerActor::make_behavior()
{
    return {
        [this](const WorkerCallRequest &request) {
            std::visit([&](const auto &effect) { execute(request, effect); }, request.effect);
        },
    };
}

WorkerCallContext WorkerActor::callerFor(const WorkerCallRequest &request,
                                         const std::string &worker) const
{
    // Without a valid lease no call may reach a worker. An empty address makes the client fail
    // before it connects.
    return {m_hasValidLease() ? m_topology.addressOf(worker) : std::string(), request.shard,
            request.epoch};
}

void WorkerActor::execute(const WorkerCallRequest &request, const RenewLease &effect)
{
    const WorkerLeaseReply grant =
        m_client.renewLease(callerFor(request, effect.worker), effect.incarnation, effect.term);
    send(request.replyTo,
         RenewLeaseResponse{effect.worker, grant.outcome == WorkerCallOutcome::Done,
                            toLeaseReport(grant)});
}

void WorkerActor::execute(const WorkerCallRequest &request, const StartTask &effect)
{
    const StartTaskRequest start{effect.job,
                                 effect.attempt,
                                 effect.incarnation,
                                 effect.demand.cores,
                                 effect.demand.memoryMb,
                                 effect.demand.accelerators,
                                 effect.expectedDuration,
                                 effect.checkpoint,
                                 effect.payload};
    const WorkerReply reply = m_client.start(callerFor(request, effect.worker), start);
    send(request.replyTo, StartTaskResponse{effect.job, effect.attempt, toStartReply(reply)});
}

void WorkerActor::execute(const WorkerCallRequest &request, const StopTask &effect)
{
    const WorkerReply reply =
        m_client.stop(callerFor(request, effect.worker), effect.job, effect.attempt);
    send(request.replyTo, StopTaskResponse{effect, reply.outcome == WorkerCallOutcome::Done});
}

void WorkerActor::execute(const WorkerCallRequest &request, const CheckpointTask &effect)
{
    const WorkerReply reply =
        m_client.checkpoint(callerFor(request, effect.worker), effect.job, effect.attempt);
    CheckpointTaskResponse response{effect.job, effect.attempt, std::nullopt};
    if (reply.outcome == WorkerCallOutcome::Done)
        response.checkpoint = reply.checkpoint;
    send(request.replyTo, response);
}

void WorkerActor::execute(const WorkerCallRequest &request, const ThrottleTask &effect)
{
    m_client.throttle(callerFor(request, effect.worker), effect.job, effect.attempt,
                      effect.percent);
}

} // namespace savorywick
