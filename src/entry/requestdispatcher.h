#pragma once

#include "caller/problem.h"
#include "core/metrics.h"
#include "entry/topology.h"
#include "savorywick/admission.h"
#include "savorywick/retrybudget.h"
#include "savorywick/router.h"
#include "savorywick/slotassignment.h"
#include "upstream/upstreamclient.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace savorywick {

// A request that is ready to be sent to an upstream instance.
struct DispatchRequest
{
    std::string requestId;
    std::string team; // For the quotas of admission.
    std::string body;
    bool repeatable = false; // May be sent again although it may have run already.
    Instant deadline;
};

enum class DispatchVerdict {
    Answered, // The upstream's answer is in `status` and `body`.
    Refused, // The request was not run; `refusalReason` says why.
    Forward, // No slot is free here and a peer has free ones; the request was not run here.
    Failed, // There is no answer, and the request has or may have run; see `runStatus`.
};

// The outcome of a dispatched request. Which fields are set depends on `verdict`.
struct DispatchResult
{
    DispatchVerdict verdict = DispatchVerdict::Refused;
    RunStatus runStatus = RunStatus::NotRun;
    int status = 0;
    std::string body;
    RefusalReason refusalReason = RefusalReason::NoInstance;
    Millis retryAfter{0};
    std::string peerSession; // The session of the entry to forward to.
    UpstreamOutcome lastOutcome = UpstreamOutcome::NotSent;
};

struct RequestDispatcherSettings
{
    std::string upstreamService; // The service name under which the upstream instances are listed.
    std::string session; // The current session of this entry.
    RouterSettings router;
    AdmissionSettings admission;
    RetryBudgetSettings retryBudget;
    SlotAssignmentSettings shares;
    Millis attemptTimeout{3'000}; // For one attempt; another instance may be tried afterwards.
};

// Runs the latency-critical requests of one service in one entry: admission control, selection of
// an instance, attempts and retries.
//
// The library's pure classes decide, under one mutex; it is not held while an upstream instance
// processes a request. Thread-safe; serve() blocks its caller until the result is final.
class RequestDispatcher
{
public:
    // All references must outlive this object.
    RequestDispatcher(RequestDispatcherSettings settings, const Clock &clock,
                      UpstreamClient &upstreams, const Topology &topology,
                      MetricsRegistry &metrics);
    ~RequestDispatcher();

    // Returns the result of one request, at its deadline at the latest. If `mayForward` is true,
    // no slot is free here and a peer has free slots, returns Forward instead of queueing.
    DispatchResult serve(const DispatchRequest &request, bool mayForward);

    // Updates the entries and instances from the topology, which was read at `takenAt`.
    void refresh(Instant takenAt);
    // Expires queued requests that can't meet their deadline and starts queued requests for which a
    // slot is free. Call it every few milliseconds.
    void tick();
    // Begins a new session of this entry. The session gains slots only after the next refresh() and
    // the handover time of SlotAssignment.
    void setSession(const std::string &session);
    // Sets the limits that admission applies to each team.
    void setTeams(std::span<const TeamLimits> teams);
    // Records the number of free slots that the peer with this session reported.
    void setPeerFreeSlots(const std::string &session, int freeSlots);
    // Returns the number of slots that a request could use here now.
    int freeSlots();
    // Returns true if and only if this entry may use slots of the service, or it has no instances.
    bool slotsReady();
    // Returns the number of requests in the admission queue.
    std::size_t queuedRequests();

private:
    struct Waiter
    {
        std::condition_variable changed;
        bool expired = false;
        std::optional<std::string> instance; // Set once the request may start there.
    };
    struct Attempts;

    std::optional<DispatchResult> admit(const DispatchRequest &request, bool mayForward,
                                        Attempts &attempts);
    std::optional<DispatchResult> waitInQueue(std::unique_lock<std::mutex> &lock,
                                              const AdmissionRequest &offer, Attempts &attempts);
    DispatchResult runAttempts(const DispatchRequest &request, Attempts &attempts);
    std::optional<DispatchResult> resultOrRetry(const DispatchRequest &request, Attempts &attempts,
                                                const UpstreamResponse &answer);
    void dispatchQueued(Instant now);
    DispatchResult refuse(RefusalReason reason, Millis retryAfter);

    RequestDispatcherSettings m_settings;
    const Clock &m_clock;
    UpstreamClient &m_upstreams;
    const Topology &m_topology;
    ReasonCounters<RefusalReason> m_refusals;
    ReasonCounters<RetryReason> m_retries;
    ReasonCounters<RetryDenial> m_retryDenials;
    LatencyRecorder &m_latency;
    MetricsRegistry::Counter &m_lateAnswers; // Requests that finished after their deadline.

    std::mutex m_mutex;
    std::mt19937_64 m_randomEngine;
    Router m_router;
    AdmissionQueue m_admission;
    RetryBudget m_retryBudget;
    SlotAssignment m_shares;
    std::map<std::uint64_t, std::shared_ptr<Waiter>> m_waiters;
    std::size_t m_instanceCount = 0; // As listed, including those that this entry may not use.
    std::uint64_t m_nextOfferId = 1;
};

} // namespace savorywick
