#include "node/admissiondigest.h"

#include "core/hash.h"

#include <algorithm>
#include <variant>

namespace savorywick {

namespace {

constexpr std::int64_t msPerSecond = 1'000;
constexpr Millis maxRetryAfter{30'000};

// Returns the time with up to a quarter of it added, in whole seconds, so that callers that are
// refused by one reply don't retry simultaneously.
Millis withJitter(Millis retryAfter, const std::string &id)
{
    constexpr std::int64_t jitterParts = 4;
    constexpr std::uint64_t steps = 1'024;
    const auto fraction = static_cast<std::int64_t>(stableHash(id) % steps);
    const Millis jitter = retryAfter * fraction / (jitterParts * static_cast<std::int64_t>(steps));
    const std::int64_t ms = (retryAfter + jitter).count();
    const Millis rounded{(ms + msPerSecond - 1) / msPerSecond * msPerSecond};
    return std::min(rounded, maxRetryAfter);
}

} // namespace

AdmissionDigest::AdmissionDigest(const AdmissionDigestSettings &settings)
    : m_settings(settings)
    , m_demands({})
{ }

// Returns true if and only if the job is new to this entry.
bool AdmissionDigest::noteJob(const std::string &id)
{
    if (!m_jobs.insert(id).second)
        return false;
    m_jobOrder.push_back(id);
    if (m_jobOrder.size() > m_settings.maxJobs) {
        m_jobs.erase(m_jobOrder.front());
        m_jobOrder.pop_front();
    }
    return true;
}

bool AdmissionDigest::covers(const Refusal &refusal, const steps::JobSpec &spec) const
{
    if (!steps::JobAdmission::mayRefuse(spec) || spec.policy.priority < refusal.priority)
        return false;
    const steps::JobDemand demand = m_demands.demandOf(spec);
    const steps::JobDemand &refused = refusal.demand;
    const bool hasMoreSlack = demand.relativeDeadline - demand.criticalPath
        > refused.relativeDeadline - refused.criticalPath;
    if (hasMoreSlack || demand.relativeDeadline > refused.relativeDeadline)
        return false;
    return std::equal(demand.work.begin(), demand.work.end(), refused.work.begin(),
                      [](std::int64_t work, std::int64_t least) { return work >= least; });
}

std::optional<ShardReply> AdmissionDigest::refusalOf(const std::string &owner, int shard,
                                                     const ShardRequest &request, Instant now)
{
    const auto *submission = std::get_if<SubmitJob>(&request);
    if (!m_settings.enabled || !submission || submission->delegated)
        return {};
    const steps::JobSpec &spec = submission->spec;
    const bool isNew = noteJob(spec.id);
    const auto it = m_refusalsByPlace.find({shard, spec.policy.queue});
    if (!isNew || it == m_refusalsByPlace.end())
        return {};
    const Refusal &refusal = it->second;
    const bool current = refusal.owner == owner && now - refusal.at < m_settings.maxAge;
    if (!current || !covers(refusal, spec))
        return {};
    ++m_refusals;
    ShardReply reply{ShardOutcome::NoCapacity, {}, 0};
    reply.retryAfter = withJitter(refusal.retryAfter, spec.id);
    return reply;
}

void AdmissionDigest::observe(const std::string &owner, int shard, const ShardRequest &request,
                              const ShardReply &reply, Instant now)
{
    const auto *submission = std::get_if<SubmitJob>(&request);
    if (!m_settings.enabled || !submission)
        return;
    const steps::JobSpec &spec = submission->spec;
    const Place place{shard, spec.policy.queue};
    if (reply.outcome == ShardOutcome::Ok)
        m_refusalsByPlace.erase(place);
    if (reply.outcome == ShardOutcome::NoCapacity)
        m_refusalsByPlace[place] = {owner, now, spec.policy.priority, m_demands.demandOf(spec),
                                    reply.retryAfter};
}

} // namespace savorywick
