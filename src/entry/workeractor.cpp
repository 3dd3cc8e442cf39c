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
            std::visit([&](const auto &call) { execute(request, call); }, request.call);
        },
    };
}

WorkerCallContext WorkerActor::contextFor(const WorkerCallRequest &request,
                                          const std::string &worker) const
{
    // Without a valid lease no call may reach a worker. An empty address makes the client fail
    // before it connects.
    return {m_hasValidLease() ? m_topology.addressOf(worker) : std::string(), request.shard,
            request.epoch};
}

void WorkerActor::execute(const WorkerCallRequest &request, const RenewLease &call)
{
    const WorkerLeaseReply grant =
        m_client.renewLease(contextFor(request, call.worker), call.incarnation, call.term);
    send(request.replyTo,
         RenewLeaseResponse{call.worker, grant.outcome == WorkerCallOutcome::Done,
                            toLeaseReport(grant)});
}

void WorkerActor::execute(const WorkerCallRequest &request, const StartTask &call)
{
    const StartTaskRequest start{call.job,
                                 call.attempt,
                                 call.incarnation,
                                 call.demand.cores,
                                 call.demand.memoryMb,
                                 call.demand.accelerators,
                                 call.expectedDuration,
                                 call.checkpoint,
                                 call.payload};
    const WorkerReply reply = m_client.start(contextFor(request, call.worker), start);
    send(request.replyTo, StartTaskResponse{call.job, call.attempt, toStartReply(reply)});
}

void WorkerActor::execute(const WorkerCallRequest &request, const StopTask &call)
{
    const WorkerReply reply =
        m_client.stop(contextFor(request, call.worker), call.job, call.attempt);
    send(request.replyTo, StopTaskResponse{call, reply.outcome == WorkerCallOutcome::Done});
}

void WorkerActor::execute(const WorkerCallRequest &request, const CheckpointTask &call)
{
    const WorkerReply reply =
        m_client.checkpoint(contextFor(request, call.worker), call.job, call.attempt);
    CheckpointTaskResponse response{call.job, call.attempt, std::nullopt};
    if (reply.outcome == WorkerCallOutcome::Done)
        response.checkpoint = reply.checkpoint;
    send(request.replyTo, response);
}

void WorkerActor::execute(const WorkerCallRequest &request, const ThrottleTask &call)
{
    m_client.throttle(contextFor(request, call.worker), call.job, call.attempt, call.percent);
}

} // namespace savorywick
