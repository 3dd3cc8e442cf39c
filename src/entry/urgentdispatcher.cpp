#include "entry/urgentdispatcher.h"

#include <chrono>

namespace savorywick {

namespace {

constexpr Millis noInstanceRetryAfter{1'000};

AttemptOutcome toAttempt(UpstreamOutcome outcome)
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
    case UpstreamOutcome::Failed:
    case UpstreamOutcome::Broken:
    case UpstreamOutcome::WrongAnswer:
        break;
    }
    return AttemptOutcome::Failed;
}

// Returns what is known after all attempts, of which `last` was the latest.
RunStatus runStatusOf(UpstreamOutcome last, bool maybeRunBefore)
{
    if (last == UpstreamOutcome::Failed)
        return RunStatus::Run;
    const bool surelyNot = isKnownNotExecuted(toAttempt(last));
    return surelyNot && !maybeRunBefore ? RunStatus::NotRun : RunStatus::Unknown;
}

} // namespace

// The tries of one request: which instances had it, and what may have happened there.
struct UrgentDispatcher::Tries
{
    std::vector<std::string> instances;
    std::string instance; // Of the present try; its slot is taken.
    int made = 0;
    bool maybeRun = false;
    Instant admittedAt;
};

UrgentDispatcher::UrgentDispatcher(UrgentSettings settings, const Clock &clock,
                                   UpstreamClient &upstreams, const Topology &topology,
                                   Metrics &metrics)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_upstreams(upstreams)
    , m_topology(topology)
    , m_refusals(metrics, "refused", refusalReasons)
    , m_retries(metrics, "retried", retryReasons)
    , m_denials(metrics, "retry-denied", retryDenials)
    , m_latency(metrics.latency("urgent " + m_settings.service))
    , m_late(metrics.counter("late", m_settings.service))
    , m_random(std::random_device{}())
    , m_router(m_settings.router, m_random())
    , m_admission(m_settings.admission, {})
    , m_budget(m_settings.retries, clock.now())
    , m_shares(m_settings.shares)
{ }

UrgentDispatcher::~UrgentDispatcher() = default;

UrgentReply UrgentDispatcher::serve(const UrgentRequest &request, bool mayForward)
{
    const Instant start = m_clock.now();
    Tries tries;
    if (auto reply = enter(request, mayForward, tries))
        return *reply;
    UrgentReply reply = attempt(request, tries);
    const Instant now = m_clock.now();
    const std::lock_guard lock(m_mutex);
    m_admission.recordCompletion(request.team, now - tries.admittedAt, now);
    dispatchQueued(now);
    if (reply.verdict == UrgentVerdict::Answered)
        m_latency.record(now - start);
    if (now > request.deadline)
        m_late.fetch_add(1);
    return reply;
}

std::optional<UrgentReply> UrgentDispatcher::enter(const UrgentRequest &request, bool mayForward,
                                                   Tries &tries)
{
    std::unique_lock lock(m_mutex);
    const Instant now = m_clock.now();
    const int free = m_router.freeSlots(now);
    if (free == 0 && mayForward) {
        if (auto peer = m_shares.pickPeer({}, m_random(), now))
            return UrgentReply{.verdict = UrgentVerdict::Forward, .peer = *peer};
    }
    if (m_shares.usableSlots(now) == 0)
        return refused(RefusalReason::NoInstance, noInstanceRetryAfter);
    const AdmissionRequest offer{m_nextId++, request.team, request.body.size(), request.deadline};
    const AdmissionDecision decision = m_admission.submit(offer, free, now);
    if (decision.verdict == AdmissionVerdict::Refused)
        return refused(decision.reason, decision.retryAfter);
    if (decision.verdict == AdmissionVerdict::Queued)
        return wait(lock, offer, tries);
    tries.admittedAt = now;
    const auto picked = m_router.pick({}, now);
    if (!picked) {
        m_admission.recordCompletion(request.team, Millis{0}, now);
        return refused(RefusalReason::NoInstance, noInstanceRetryAfter);
    }
    tries.instance = *picked;
    return std::nullopt;
}

std::optional<UrgentReply> UrgentDispatcher::wait(std::unique_lock<std::mutex> &lock,
                                                  const AdmissionRequest &offer, Tries &tries)
{
    const auto waiter = std::make_shared<Waiter>();
    m_waiters[offer.id] = waiter;
    waiter->changed.wait(lock, [&] { return waiter->expired || waiter->instance; });
    m_waiters.erase(offer.id);
    if (waiter->expired)
        return refused(RefusalReason::ExpiredInQueue, m_admission.expectedServiceTime());
    tries.admittedAt = m_clock.now();
    tries.instance = *waiter->instance;
    return std::nullopt;
}

UrgentReply UrgentDispatcher::attempt(const UrgentRequest &request, Tries &tries)
{
    for (;;) {
        const Instant sentAt = m_clock.now();
        const Millis remaining = std::min(request.deadline - sentAt, m_settings.longestAttempt);
        const UpstreamAnswer answer = m_upstreams.serve(
            {m_topology.addressOf(tries.instance), request.requestId, request.body, remaining});
        const Instant now = m_clock.now();
        const std::lock_guard lock(m_mutex);
        m_router.recordCompletion(tries.instance, toAttempt(answer.outcome), now - sentAt, now);
        tries.instances.push_back(tries.instance);
        ++tries.made;
        if (tries.made == 1)
            m_budget.recordFirstAttempt(now);
        if (auto reply = concluded(request, tries, answer))
            return *reply;
    }
}

// Returns the final answer, or nothing after it has picked the instance of another try.
std::optional<UrgentReply> UrgentDispatcher::concluded(const UrgentRequest &request, Tries &tries,
                                                       const UpstreamAnswer &answer)
{
    const Instant now = m_clock.now();
    const AttemptOutcome outcome = toAttempt(answer.outcome);
    const RetryContext question{request.repeatable, tries.made, request.deadline,
                                m_admission.expectedServiceTime()};
    const RetryDecision decision = m_budget.decideRetry(outcome, question, now);
    if (decision.retry) {
        if (const auto next = m_router.pick(tries.instances, now)) {
            m_retries.add(decision.reason);
            tries.maybeRun = tries.maybeRun || !isKnownNotExecuted(outcome);
            tries.instance = *next;
            return std::nullopt;
        }
    } else if (decision.denial != RetryDenial::Answered) {
        m_denials.add(decision.denial);
    }
    UrgentReply reply;
    reply.lastOutcome = answer.outcome;
    if (answer.outcome == UpstreamOutcome::Answered) {
        reply.verdict = UrgentVerdict::Answered;
        reply.run = RunStatus::Run;
        reply.status = answer.status;
        reply.body = answer.body;
        return reply;
    }
    reply.run = runStatusOf(answer.outcome, tries.maybeRun);
    if (reply.run == RunStatus::NotRun)
        return refused(RefusalReason::NoInstance, noInstanceRetryAfter);
    reply.verdict = UrgentVerdict::Failed;
    reply.retryAfter = noInstanceRetryAfter;
    return reply;
}

void UrgentDispatcher::refresh(Instant takenAt)
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
        if (it.role == HostRole::Upstream && it.service == m_settings.service)
            instances.push_back({it.id, it.availabilityZone, it.region, it.rack, it.slots,
                                 it.state == HostState::Leaving});
    }
    const Instant now = m_clock.now();
    m_listed = instances.size();
    m_shares.update(entries, instances, takenAt, now);
    m_router.setInstances(m_shares.usableInstances(now), now);
    dispatchQueued(now);
}

void UrgentDispatcher::tick()
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

void UrgentDispatcher::dispatchQueued(Instant now)
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

void UrgentDispatcher::setSession(const std::string &session)
{
    const std::lock_guard lock(m_mutex);
    m_settings.session = session;
    m_settings.shares.entryId = session;
    m_shares = SlotAssignment(m_settings.shares);
}

void UrgentDispatcher::setTeams(std::span<const TeamLimits> teams)
{
    const std::lock_guard lock(m_mutex);
    m_admission.setTeams(teams);
}

void UrgentDispatcher::notePeer(const std::string &session, int freeSlots)
{
    const std::lock_guard lock(m_mutex);
    m_shares.recordPeerFreeSlots(session, freeSlots, m_clock.now());
}

int UrgentDispatcher::freeSlots()
{
    const std::lock_guard lock(m_mutex);
    return m_router.freeSlots(m_clock.now());
}

bool UrgentDispatcher::settled()
{
    const std::lock_guard lock(m_mutex);
    return m_listed == 0 || m_shares.usableSlots(m_clock.now()) > 0;
}

std::size_t UrgentDispatcher::queued()
{
    const std::lock_guard lock(m_mutex);
    return m_admission.queuedRequests();
}

UrgentReply UrgentDispatcher::refused(RefusalReason reason, Millis retryAfter)
{
    m_refusals.add(reason);
    return {.verdict = UrgentVerdict::Refused, .reason = reason, .retryAfter = retryAfter};
}

} // namespace savorywick
