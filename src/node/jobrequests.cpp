#include "node/jobrequests.h"

#include "core/log.h"

#include <variant>

namespace savorywick {

namespace {

class RequestHandler
{
public:
    RequestHandler(steps::Coordinator &coordinator, steps::ClockReading now)
        : m_coordinator(coordinator)
        , m_now(now)
    { }

    ShardReply operator()(const SubmitJob &it) const
    {
        const auto result = m_coordinator.submit(it.spec, m_now);
        logInfo(result == steps::SubmitResult::Accepted ? "job-accepted" : "job-repeated",
                {{"requestId", it.spec.id},
                 {"queue", it.spec.policy.queue},
                 {"steps", static_cast<int>(it.spec.steps.size())}});
        return {ShardOutcome::Ok, {}, 0};
    }
    ShardReply operator()(const CancelJob &it) const
    {
        const bool known = m_coordinator.cancel(it.jobId, m_now);
        logInfo("job-cancelled", {{"requestId", it.jobId}, {"known", known}});
        return {known ? ShardOutcome::Ok : ShardOutcome::UnknownJob, {}, 0};
    }
    ShardReply operator()(const GetJobState &it) const
    {
        const auto state = m_coordinator.durableState(it.jobId);
        if (!state)
            return {ShardOutcome::UnknownJob, {}, 0};
        return {ShardOutcome::Ok, *state, 0};
    }
    ShardReply operator()(const CountPendingJobs &it) const
    {
        return {ShardOutcome::Ok, {}, m_coordinator.pendingJobCount(it.queue)};
    }

private:
    steps::Coordinator &m_coordinator;
    steps::ClockReading m_now;
};

} // namespace

bool changesState(const steps::Coordinator &coordinator, const ShardRequest &request)
{
    if (const auto *submission = std::get_if<SubmitJob>(&request))
        return !coordinator.jobTable().find(submission->spec.id);
    const auto *cancel = std::get_if<CancelJob>(&request);
    const steps::Job *job = cancel ? coordinator.jobTable().find(cancel->jobId) : nullptr;
    return job && !isFinal(job->state);
}

ShardReply applyRequest(steps::Coordinator &coordinator, const ShardRequest &request,
                        steps::ClockReading now)
{
    return std::visit(RequestHandler(coordinator, now), request);
}

bool awaitsCommit(const steps::Coordinator &coordinator, const ShardRequest &request,
                  const ShardReply &reply)
{
    if (reply.outcome != ShardOutcome::Ok)
        return false;
    if (const auto *submission = std::get_if<SubmitJob>(&request))
        return !coordinator.durableState(submission->spec.id);
    const auto *cancel = std::get_if<CancelJob>(&request);
    if (!cancel)
        return false;
    const auto state = coordinator.durableState(cancel->jobId);
    return !state || !isFinal(*state);
}

} // namespace savorywick
