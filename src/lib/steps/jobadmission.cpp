#include "savorywick/steps/jobadmission.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <variant>

namespace savorywick::steps {

namespace {

constexpr std::int64_t msPerSecond = 1'000;
constexpr Millis never{1'000'000'000'000}; // Beyond any deadline, and safe to add to.
// Of the retry time; it spreads the retries of callers that are refused at the same time.
constexpr double jitterShare = 0.25;
// A job waits longer by this share for each level of its priority, up to the second, so that those
// of a higher priority return first.
constexpr double delayPerPriority = 0.25;
constexpr double maxPriorityDelay = 1.0;

Millis timeFor(std::int64_t work, double milliCores)
{
    if (work <= 0)
        return Millis{0};
    const double ms = milliCores > 0 ? std::ceil(static_cast<double>(work) / milliCores) : 0;
    if (milliCores <= 0 || ms > static_cast<double>(never.count()))
        return never;
    return Millis{static_cast<std::int64_t>(ms)};
}

// Returns a number in [0, 1) that depends on the id alone.
double fractionOf(const std::string &id)
{
    constexpr std::size_t steps = 1'024;
    return static_cast<double>(std::hash<std::string>{}(id) % steps) / steps;
}

} // namespace

// A job that asks to be admitted.
struct JobAdmission::Candidate
{
    const JobSpec &spec;
    JobDemand demand;
    bool returns = false; // It was refused before and retries.
    std::int64_t wallMs = 0;

    std::int64_t workOf(ProcessorClass processors) const
    {
        return demand.work[static_cast<std::size_t>(processors)];
    }
    ProcessorPool poolOf(ProcessorClass processors) const
    {
        return {spec.policy.service, processors};
    }
};

JobAdmission::JobAdmission(const JobAdmissionSettings &settings)
    : m_settings(settings)
    , m_backlog(settings.backlog)
    , m_refused(settings.maxRefusedJobs, settings.retryGrace)
{ }

bool JobAdmission::mayRefuse(const JobSpec &spec)
{
    const QueuePolicy defaults;
    const bool hasDeadline = spec.policy.slackFactor != defaults.slackFactor
        || spec.policy.targetDuration != defaults.targetDuration;
    return hasDeadline && BacklogEstimator::counts(spec);
}

void JobAdmission::apply(const Record &record, const JobTable &table)
{
    if (const auto *accepted = std::get_if<JobAccepted>(&record)) {
        m_backlog.addJob(*table.find(accepted->spec.id));
    } else if (const auto *started = std::get_if<RunStarted>(&record)) {
        m_backlog.recordStart(started->task);
    } else if (const auto *ended = std::get_if<RunEnded>(&record)) {
        if (const Job *job = table.find(ended->task.job))
            m_backlog.recordEnd(*job, ended->task);
    } else if (const auto *cancelled = std::get_if<JobCancelled>(&record)) {
        m_backlog.removeJob(cancelled->job);
    } else if (const auto *purged = std::get_if<JobPurged>(&record)) {
        m_backlog.removeJob(purged->job);
    } else if (const auto *leaving = std::get_if<JobLeaving>(&record)) {
        m_backlog.removeJob(leaving->job);
    } else if (const auto *state = std::get_if<JobStateSnapshot>(&record)) {
        m_backlog.removeJob(state->job); // It was added before its state had arrived.
        m_backlog.addJob(*table.find(state->job));
    }
}

void JobAdmission::advance(Instant now, std::int64_t wallMs)
{
    m_backlog.advance(now, wallMs);
    m_refused.advance(now);
}

// Returns when the job would complete on these processors. Late work yields to work that can meet
// its deadline, so the job is delayed by less of the backlog if it starts in time.
CompletionForecast JobAdmission::forecastFor(const Candidate &candidate,
                                             ProcessorClass processors) const
{
    const JobDemand &demand = candidate.demand;
    const ProcessorPool pool = candidate.poolOf(processors);
    const int priority = candidate.spec.policy.priority;
    const std::int64_t latestStart =
        candidate.wallMs + (demand.relativeDeadline - demand.criticalPath).count();
    CompletionForecast f;
    f.processors = processors;
    f.backlog = m_backlog.backlogBefore(pool, {priority, latestStart});
    f.usefulFor = demand.relativeDeadline * m_settings.backlog.usefulDeadlines;
    if (!f.backlog.hasRate)
        return f;
    const PoolBacklog &b = f.backlog;
    const double rate = b.assumedRate;
    const Millis ownTime =
        std::max(demand.criticalPath, timeFor(candidate.workOf(processors), rate));
    f.completesAfter = timeFor(b.inTimeAhead, rate) + ownTime;
    f.inTime = f.completesAfter <= demand.relativeDeadline;
    if (f.inTime)
        return f;
    const std::int64_t due = candidate.returns ? 0 : m_refused.dueWork(pool, priority);
    f.completesAfter = timeFor(b.inTimeAhead + b.lateAhead + due, rate) + ownTime;
    if (b.hasLateRate)
        f.completesAfter =
            std::max(f.completesAfter,
                     timeFor(b.lateAhead + candidate.workOf(processors), b.assumedLateRate));
    return f;
}

bool JobAdmission::isUseful(const CompletionForecast &forecast) const
{
    return forecast.inTime || forecast.completesAfter <= forecast.usefulFor;
}

JobAdmissionDecision JobAdmission::decide(const JobSpec &spec, Instant now, std::int64_t wallMs)
{
    advance(now, wallMs);
    QueueAdmissionCounts &counts = m_counts[spec.policy.queue];
    JobAdmissionDecision decision;
    if (!m_settings.enabled || !mayRefuse(spec)) {
        ++counts.admitted;
        return decision;
    }
    const bool returns = m_refused.remove(spec.id);
    const Candidate candidate{spec, m_backlog.demandOf(spec), returns, wallMs};
    for (const ProcessorClass it : processorClasses) {
        if (candidate.workOf(it) == 0)
            continue;
        const CompletionForecast forecast = forecastFor(candidate, it);
        if (decision.admitted)
            decision.forecast = forecast;
        if (isUseful(forecast))
            continue;
        decision.admitted = false;
        decision.retryAfter = std::max(decision.retryAfter, retryAfter(candidate, forecast));
    }
    ++(decision.admitted ? counts.admitted : counts.refused);
    if (!decision.admitted)
        m_refused.add(spec.id,
                      {spec.policy.service, spec.policy.priority, candidate.demand.work,
                       now + decision.retryAfter});
    return decision;
}

// Returns the time until such a job could complete in time, after all that were told to retry
// before it.
Millis JobAdmission::retryAfter(const Candidate &candidate,
                                const CompletionForecast &forecast) const
{
    const int priority = candidate.spec.policy.priority;
    const ProcessorPool pool = candidate.poolOf(forecast.processors);
    const std::int64_t ahead = forecast.backlog.inTimeAhead + candidate.workOf(forecast.processors)
        + m_refused.expectedWork(pool, priority);
    const Millis slack = candidate.demand.relativeDeadline - candidate.demand.criticalPath;
    const Millis delay = std::max(timeFor(ahead, forecast.backlog.rate) - slack, Millis{0});
    const double factor = 1 + std::min(delayPerPriority * priority, maxPriorityDelay);
    const double maxMs = static_cast<double>(m_settings.maxRetryAfter.count()) / (1 + jitterShare);
    const double ms = std::clamp(static_cast<double>(delay.count()) * factor,
                                 static_cast<double>(m_settings.minRetryAfter.count()), maxMs)
        * (1 + jitterShare * fractionOf(candidate.spec.id));
    return Millis{static_cast<std::int64_t>(std::ceil(ms / msPerSecond)) * msPerSecond};
}

} // namespace savorywick::steps
