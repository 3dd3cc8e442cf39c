#include "node/jobrequests.h"

#include "core/log.h"

#include <optional>
#include <variant>

namespace savorywick {

namespace {

void logRefusal(const steps::JobSpec &spec, const steps::JobAdmissionDecision &decision)
{
    constexpr std::int64_t milliPerCore = 1'000;
    const steps::CompletionForecast &forecast = decision.forecast;
    const steps::PoolBacklog &backlog = forecast.backlog;
    logInfo("job-refused",
            {{"requestId", spec.id},
             {"queue", spec.policy.queue},
             {"processors", toString(forecast.processors)},
             {"backlogCoreMs", backlog.work / milliPerCore},
             {"aheadCoreMs", (backlog.inTimeAhead + backlog.lateAhead) / milliPerCore},
             {"rateMilliCores", static_cast<std::int64_t>(backlog.rate)},
             {"rateAgeMs", backlog.rateAge.count()},
             {"completesAfterMs", forecast.completesAfter.count()},
             {"usefulForMs", forecast.usefulFor.count()},
             {"retryAfterMs", decision.retryAfter.count()}});
}

class RequestHandler
{
public:
    RequestHandler(steps::Coordinator &coordinator, int shard, JobDealer &dealer,
                   steps::ClockReading now)
        : m_coordinator(coordinator)
        , m_shard(shard)
        , m_dealer(dealer)
        , m_now(now)
    { }

    ShardReply operator()(const SubmitJob &it) const
    {
        if (const auto shard = shardElsewhere(it))
            return delegated(*shard);
        if (const auto refusal = refusalOf(it))
            return *refusal;
        const auto result = m_coordinator.submit(it.spec, m_now);
        logInfo(result == steps::SubmitResult::Accepted ? "job-accepted" : "job-repeated",
                {{"requestId", it.spec.id},
                 {"queue", it.spec.policy.queue},
                 {"steps", static_cast<int>(it.spec.steps.size())}});
        return {ShardOutcome::Ok, {}, 0};
    }
    ShardReply operator()(const CancelJob &it) const
    {
        if (const auto shard = m_coordinator.transfers().delegatedTo(it.jobId))
            return delegated(*shard);
        // The receiver may run it already, and can be told once the sender knows that it has it.
        if (m_coordinator.transfers().leavingTo(it.jobId))
            return {ShardOutcome::NotOwner, {}, 0};
        const bool known = m_coordinator.cancel(it.jobId, m_now);
        logInfo("job-cancelled", {{"requestId", it.jobId}, {"known", known}});
        return {known ? ShardOutcome::Ok : ShardOutcome::UnknownJob, {}, 0};
    }
    ShardReply operator()(const GetJobState &it) const
    {
        if (const auto shard = m_coordinator.transfers().delegatedTo(it.jobId))
            return delegated(*shard);
        const auto state = m_coordinator.durableState(it.jobId);
        if (!state)
            return {ShardOutcome::UnknownJob, {}, 0};
        return {ShardOutcome::Ok, *state, 0};
    }
    ShardReply operator()(const CountPendingJobs &it) const
    {
        return {ShardOutcome::Ok, {}, m_coordinator.pendingJobCount(it.queue)};
    }
    ShardReply operator()(const TakeJob &it) const
    {
        const steps::JobTransfer &transfer = it.transfer;
        const bool isNew = !m_coordinator.transfers().hasTaken(transfer.job, transfer.handovers);
        m_coordinator.takeJob(transfer, m_now);
        logInfo("job-taken-over",
                {{"requestId", transfer.job},
                 {"shard", m_shard},
                 {"handovers", transfer.handovers},
                 {"repeated", !isNew}});
        return {ShardOutcome::Ok, {}, 0};
    }

private:
    static ShardReply delegated(int shard) { return {ShardOutcome::Delegated, {}, 0, shard}; }

    // Returns the refusal of a job that could not complete while it is useful; nothing for others
    // and for known jobs.
    std::optional<ShardReply> refusalOf(const SubmitJob &it) const
    {
        if (m_coordinator.jobTable().find(it.spec.id))
            return {};
        const steps::JobAdmissionDecision decision = m_coordinator.decideAdmission(it.spec, m_now);
        if (decision.admitted)
            return {};
        logRefusal(it.spec, decision);
        ShardReply reply{ShardOutcome::NoCapacity, {}, 0};
        reply.retryAfter = decision.retryAfter;
        return reply;
    }

    // Returns the other shard that the job is left to, or nothing if it belongs here.
    std::optional<int> shardElsewhere(const SubmitJob &it) const
    {
        if (const auto shard = m_coordinator.transfers().delegatedTo(it.spec.id))
            return shard;
        if (it.delegated || m_coordinator.jobTable().find(it.spec.id))
            return {};
        const int shard = m_dealer.choose(it.spec);
        if (shard == m_shard)
            return {};
        m_coordinator.transfers().delegate(it.spec.id, shard, m_now.wallMs);
        logInfo("job-delegated", {{"requestId", it.spec.id}, {"shard", shard}});
        return shard;
    }

    steps::Coordinator &m_coordinator;
    const int m_shard;
    JobDealer &m_dealer;
    steps::ClockReading m_now;
};

} // namespace

bool changesState(const steps::Coordinator &coordinator, const ShardRequest &request)
{
    if (const auto *submission = std::get_if<SubmitJob>(&request))
        return !coordinator.jobTable().find(submission->spec.id);
    if (const auto *take = std::get_if<TakeJob>(&request))
        return !coordinator.transfers().hasTaken(take->transfer.job, take->transfer.handovers);
    const auto *cancel = std::get_if<CancelJob>(&request);
    const steps::Job *job = cancel ? coordinator.jobTable().find(cancel->jobId) : nullptr;
    return job && !isFinal(job->state) && !coordinator.transfers().leavingTo(cancel->jobId);
}

ShardReply applyRequest(steps::Coordinator &coordinator, int shard, JobDealer &dealer,
                        const ShardRequest &request, steps::ClockReading now)
{
    return std::visit(RequestHandler(coordinator, shard, dealer, now), request);
}

bool awaitsCommit(const steps::Coordinator &coordinator, const ShardRequest &request,
                  const ShardReply &reply)
{
    if (reply.outcome != ShardOutcome::Ok)
        return false;
    if (const auto *submission = std::get_if<SubmitJob>(&request))
        return !coordinator.durableState(submission->spec.id);
    if (std::holds_alternative<TakeJob>(request))
        return true; // Its first copy may not be durable yet.
    const auto *cancel = std::get_if<CancelJob>(&request);
    if (!cancel)
        return false;
    const auto state = coordinator.durableState(cancel->jobId);
    return !state || !isFinal(*state);
}

} // namespace savorywick
