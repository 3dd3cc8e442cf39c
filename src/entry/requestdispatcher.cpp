#include "entry/requestdispatcher.h"

#include <chrono>

namespace savorywick {

namespace {

constexpr Millis noInstanceRetryDelay{1'000};

AttemptOutcome toAttemptOutcome(UpstreamOutcome outcome)
{
    switch (outcome) {
    case UpstreamOutcome::Answered:
        return AttemptOutcome::Answered;
    case UpstreamOutcome::NotSent:
        return AttemptOutcome::ConnectFailed;
    case UpstreamOutcome::Refused:
        return AttemptOutcome::RefusedNotRun;
    case UpstreamOutcome::TimedOut:
        return AttemptOutcome::TimedOut;
    case UpstreamOutcome::ServerError:
    case UpstreamOutcome::ConnectionLost:
    case UpstreamOutcome::ResponseMismatch:
        break;
    }
    return AttemptOutcome::Failed;
}

// Returns whether the request was run, given the outcome of the last attempt and whether an earlier
// attempt may have run it.
RunStatus runStatusOf(UpstreamOutcome last, bool earlierMayHaveRun)
{
    if (last == UpstreamOutcome::ServerError)
        return RunStatus::Run;
    const bool notRun = isKnownNotExecuted(toAttemptOutcome(last));
    return notRun && !earlierMayHaveRun ? RunStatus::NotRun : RunStatus::Unknown;
}

} // namespace

// The state of one request over all its attempts.
struct RequestDispatcher::Attempts
{
    std::vector<std::string> triedInstances;
    std::string currentInstance; // Of the current attempt, which occupies a slot of it.
    int count = 0;
    bool earlierMayHaveRun = false; // An attempt before the last one may have run the request.
    Instant admittedAt;
};

RequestDispatcher::RequestDispatcher(RequestDispatcherSettings settings, const Clock &clock,
                                     UpstreamClient &upstreams, const Topology &topology,
                                     MetricsRegistry &metrics)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_upstreams(upstreams)
    , m_topology(topology)
    , m_refusals(metrics, "refused", refusalReasons)
    , m_retries(metrics, "retried", retryReasons)
    , m_retryDenials(metrics, "retry-denied", retryDenials)
    , m_latency(metrics.latencyRecorder("urgent " + m_settings.upstreamService))
    , m_lateAnswers(metrics.counter("late", m_settings.upstreamService))
    , m_randomEngine(std::random_device{}())
    , m_router(m_settings.router, m_randomEngine())
    , m_admission(m_settings.admission, {})
    , m_retryBudget(m_settings.retryBudget, clock.now())
    , m_shares(m_settings.shares)
{ }

RequestDispatcher::~RequestDispatcher() = default;

DispatchResult RequestDispatcher::serve(const DispatchRequest &request, bool mayForward)
{
    const Instant start = m_clock.now();
    Attempts attempts;
    if (auto reply = admit(request, mayForward, attempts))
        return *reply;
    DispatchResult reply = runAttempts(request, attempts);
    const Instant now = m_clock.now();
    const std::lock_guard lock(m_mutex);
    m_admission.recordCompletion(request.team, now - attempts.admittedAt, now);
    dispatchQueued(now);
    if (reply.verdict == DispatchVerdict::Answered)
        m_latency.record(now - start);
    if (now > request.deadline)
        m_lateAnswers.fetch_add(1);
    return reply;
}

std::optional<DispatchResult> RequestDispatcher::admit(const DispatchRequest &request,
                                                       bool mayForward, Attempts &attempts)
{
    std::unique_lock lock(m_mutex);
    const Instant now = m_clock.now();
    const int free = m_router.freeSlots(now);
    if (free == 0 && mayForward) {
        if (auto peer = m_shares.pickPeer({}, m_randomEngine(), now))
            return DispatchResult{.verdict = DispatchVerdict::Forward, .peerSession = *peer};
    }
    if (m_shares.usableSlots(now) == 0)
        return refuse(RefusalReason::NoInstance, noInstanceRetryDelay);
    const AdmissionRequest offer{m_nextOfferId++, request.team, request.body.size(),
                                 request.deadline};
    const AdmissionDecision decision = m_admission.submit(offer, free, now);
    if (decision.verdict == AdmissionVerdict::Refused)
        return refuse(decision.reason, decision.retryAfter);
    if (decision.verdict == AdmissionVerdict::Queued)
        return waitInQueue(lock, offer, attempts);
    attempts.admittedAt = now;
    const auto picked = m_router.pick({}, now);
    if (!picked) {
        m_admission.recordCompletion(request.team, Millis{0}, now);
        return refuse(RefusalReason::NoInstance, noInstanceRetryDelay);
    }
    attempts.currentInstance = *picked;
    return std::nullopt;
}

std::optional<DispatchResult> RequestDispatcher::waitInQueue(std::unique_lock<std::mutex> &lock,
                                                             const AdmissionRequest &offer,
                                                             Attempts &attempts)
{
    const auto waiter = std::make_shared<Waiter>();
    m_waiters[offer.id] = waiter;
    waiter->changed.wait(lock, [&] { return waiter->expired || waiter->instance; });
    m_waiters.erase(offer.id);
    if (waiter->expired)
        return refuse(RefusalReason::ExpiredInQueue, m_admission.expectedServiceTime());
    attempts.admittedAt = m_clock.now();
    attempts.currentInstance = *waiter->instance;
    return std::nullopt;
}

DispatchResult RequestDispatcher::runAttempts(const DispatchRequest &request, Attempts &attempts)
{
    for (;;) {
        const Instant sentAt = m_clock.now();
        const Millis remaining = std::min(request.deadline - sentAt, m_settings.attemptTimeout);
        const UpstreamResponse answer =
            m_upstreams.send({m_topology.addressOf(attempts.currentInstance), request.requestId,
                              request.body, remaining});
        const Instant now = m_clock.now();
        const std::lock_guard lock(m_mutex);
        m_router.recordCompletion(attempts.currentInstance, toAttemptOutcome(answer.outcome),
                                  now - sentAt, now);
        attempts.triedInstances.push_back(attempts.currentInstance);
        ++attempts.count;
        if (attempts.count == 1)
            m_retryBudget.recordFirstAttempt(now);
        if (auto reply = resultOrRetry(request, attempts, answer))
            return *reply;
    }
}

// Returns the final result after an attempt, or nothing if the request is to be retried; the
// instance of the next attempt is then reserved. Call it with the mutex locked.
std::optional<DispatchResult> RequestDispatcher::resultOrRetry(const DispatchRequest &request,
                                                               Attempts &attempts,
                                                               const UpstreamResponse &answer)
{
    const Instant now = m_clock.now();
    const AttemptOutcome outcome = toAttemptOutcome(answer.outcome);
    const RetryContext question{request.repeatable, attempts.count, request.deadline,
                                m_admission.expectedServiceTime()};
    const RetryDecision decision = m_retryBudget.decideRetry(outcome, question, now);
    if (decision.retry) {
        if (const auto next = m_router.pick(attempts.triedInstances, now)) {
            m_retries.add(decision.reason);
            attempts.earlierMayHaveRun = attempts.earlierMayHaveRun || !isKnownNotExecuted(outcome);
            attempts.currentInstance = *next;
            return std::nullopt;
        }
    } else if (decision.denial != RetryDenial::Answered) {
        m_retryDenials.add(decision.denial);
    }
    DispatchResult reply;
    reply.lastOutcome = answer.outcome;
    if (answer.outcome == UpstreamOutcome::Answered) {
        reply.verdict = DispatchVerdict::Answered;
        reply.runStatus = RunStatus::Run;
        reply.status = answer.status;
        reply.body = answer.body;
        return reply;
    }
    reply.runStatus = runStatusOf(answer.outcome, attempts.earlierMayHaveRun);
    if (reply.runStatus == RunStatus::NotRun)
        return refuse(RefusalReason::NoInstance, noInstanceRetryDelay);
    reply.verdict = DispatchVerdict::Failed;
    reply.retryAfter = noInstanceRetryDelay;
    return reply;
}

void RequestDispatcher::refresh(Instant takenAt)
{
    const std::lock_guard lock(m_mutex);
    std::vector<EntryInfo> entries;
    const Topology::Entries entriesNow = m_topology.entries();
    for (const PeerEntry &it : *entriesNow) {
        if (!it.draining || it.session == m_settings.session)
            entries.push_back({it.session, it.availabilityZone, it.region});
    }
    std::vector<InstanceInfo> instances;
    const Topology::Hosts hostsNow = m_topology.hosts();
    for (const HostInfo &it : *hostsNow) {
        if (it.role == HostRole::Upstream && it.service == m_settings.upstreamService)
            instances.push_back({it.id, it.availabilityZone, it.region, it.rack, it.slots,
                                 it.state == HostState::Leaving});
    }
    const Instant now = m_clock.now();
    m_instanceCount = instances.size();
    m_shares.update(entries, instances, takenAt, now);
    m_router.setInstances(m_shares.usableInstances(now), now);
    dispatchQueued(now);
}

void RequestDispatcher::tick()
{
    const std::lock_guard lock(m_mutex);
    const Instant now = m_clock.now();
    for (const AdmissionRequest &it : m_admission.expire(now)) {
        const auto waiter = m_waiters.find(it.id);
        if (waiter == m_waiters.end())
            continue;
        waiter->second->expired = true;
        waiter->second->changed.notify_one();
    }
    dispatchQueued(now);
}

void RequestDispatcher::dispatchQueued(Instant now)
{
    for (const AdmissionRequest &it : m_admission.dispatch(m_router.freeSlots(now), now)) {
        const auto waiter = m_waiters.find(it.id);
        auto picked = waiter == m_waiters.end() ? std::nullopt : m_router.pick({}, now);
        if (!picked) {
            m_admission.recordCompletion(it.team, Millis{0}, now);
            if (waiter == m_waiters.end())
                continue;
            waiter->second->expired = true;
        }
        waiter->second->instance = picked;
        waiter->second->changed.notify_one();
    }
}

void RequestDispatcher::setSession(const std::string &session)
{
    const std::lock_guard lock(m_mutex);
    m_settings.session = session;
    m_settings.shares.entryId = session;
    m_shares = SlotAssignment(m_settings.shares);
}

void RequestDispatcher::setTeams(std::span<const TeamLimits> teams)
{
    const std::lock_guard lock(m_mutex);
    m_admission.setTeams(teams);
}

void RequestDispatcher::setPeerFreeSlots(const std::string &session, int freeSlots)
{
    const std::lock_guard lock(m_mutex);
    m_shares.recordPeerFreeSlots(session, freeSlots, m_clock.now());
}

int RequestDispatcher::freeSlots()
{
    const std::lock_guard lock(m_mutex);
    return m_router.freeSlots(m_clock.now());
}

bool RequestDispatcher::slotsReady()
{
    const std::lock_guard lock(m_mutex);
    return m_instanceCount == 0 || m_shares.usableSlots(m_clock.now()) > 0;
}

std::size_t RequestDispatcher::queuedRequests()
{
    const std::lock_guard lock(m_mutex);
    return m_admission.queuedRequests();
}

DispatchResult RequestDispatcher::refuse(RefusalReason reason, Millis retryAfter)
{
    m_refusals.add(reason);
    return {.verdict = DispatchVerdict::Refused, .refusalReason = reason, .retryAfter = retryAfter};
}

} // namespace savorywick
