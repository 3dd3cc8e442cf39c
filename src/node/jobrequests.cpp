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

std::string_view eventFor(steps::SubmitResult result)
{
    switch (result) {
    case steps::SubmitResult::Accepted:
        return "job-accepted";
    case steps::SubmitResult::Repeated:
        return "job-repeated";
    case steps::SubmitResult::Cancelled:
        return "job-accepted-cancelled";
    }
    return "unnamed";
}

bool isCancelledEarly(const steps::Coordinator &coordinator, std::string_view job)
{
    return coordinator.jobTable().earlyCancellations().contains(job);
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
        const bool cancelled = isCancelledEarly(m_coordinator, it.spec.id);
        if (cancelled) // Here as well as elsewhere: it starts nowhere.
            return accept(it);
        if (const auto shard = shardElsewhere(it))
            return delegated(*shard);
        if (const auto refusal = refusalOf(it))
            return *refusal;
        return accept(it);
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
        if (known)
            return {ShardOutcome::Ok, {}, 0};
        if (it.queue.empty() || m_coordinator.rememberCancellation(it.jobId, it.queue, m_now))
            return {ShardOutcome::UnknownJob, {}, 0};
        logWarning("cancel-refused", {{"requestId", it.jobId}, {"queue", it.queue}});
        return {ShardOutcome::Overloaded, {}, 0};
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
    ShardReply accept(const SubmitJob &it) const
    {
        const steps::SubmitResult result = m_coordinator.submit(it.spec, m_now);
        logInfo(eventFor(result),
                {{"requestId", it.spec.id},
                 {"queue", it.spec.policy.queue},
                 {"steps", static_cast<int>(it.spec.steps.size())}});
        return {ShardOutcome::Ok, {}, 0};
    }

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

namespace {

bool changesState(const steps::Coordinator &coordinator, const CancelJob &cancel)
{
    if (const steps::Job *job = coordinator.jobTable().find(cancel.jobId))
        return !isFinal(job->state) && !coordinator.transfers().leavingTo(cancel.jobId);
    return !cancel.queue.empty() && !isCancelledEarly(coordinator, cancel.jobId)
        && !coordinator.transfers().delegatedTo(cancel.jobId);
}

} // namespace

bool changesState(const steps::Coordinator &coordinator, const ShardRequest &request)
{
    if (const auto *submission = std::get_if<SubmitJob>(&request))
        return !coordinator.jobTable().find(submission->spec.id);
    if (const auto *take = std::get_if<TakeJob>(&request))
        return !coordinator.transfers().hasTaken(take->transfer.job, take->transfer.handovers);
    const auto *cancel = std::get_if<CancelJob>(&request);
    return cancel && changesState(coordinator, *cancel);
}

ShardReply applyRequest(steps::Coordinator &coordinator, int shard, JobDealer &dealer,
                        const ShardRequest &request, steps::ClockReading now)
{
    return std::visit(RequestHandler(coordinator, shard, dealer, now), request);
}

bool awaitsCommit(const steps::Coordinator &coordinator, const ShardRequest &request,
                  const ShardReply &reply)
{
    const auto *cancel = std::get_if<CancelJob>(&request);
    const bool rememberedElsewhere = reply.outcome == ShardOutcome::Delegated;
    if (cancel && !cancel->queue.empty()
        && (rememberedElsewhere || reply.outcome == ShardOutcome::UnknownJob))
        return true; // What it rests on may not be durable yet.
    if (reply.outcome != ShardOutcome::Ok)
        return false;
    if (const auto *submission = std::get_if<SubmitJob>(&request))
        return !coordinator.durableState(submission->spec.id);
    if (std::holds_alternative<TakeJob>(request))
        return true; // Its first copy may not be durable yet.
    if (!cancel)
        return false;
    const auto state = coordinator.durableState(cancel->jobId);
    return !state || !isFinal(*state);
}

} // namespace savorywick
