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

struct UrgentRequest
{
    std::string requestId;
    std::string team;
    std::string body;
    bool repeatable = false;
    Instant deadline;
};

enum class UrgentVerdict {
    Answered, // `status` and `body` are the upstream's.
    Refused, // Surely not run; see `reason`.
    Forward, // Own slots are full and a peer has room: surely not run here.
    Failed, // Run or maybe run, and no answer to give; see `run`.
};

struct UrgentReply
{
    UrgentVerdict verdict = UrgentVerdict::Refused;
    RunStatus run = RunStatus::NotRun;
    int status = 0;
    std::string body;
    RefusalReason reason = RefusalReason::NoInstance;
    Millis retryAfter{0};
    std::string peer; // The session to forward to.
    UpstreamOutcome lastOutcome = UpstreamOutcome::NotSent;
};

struct UrgentSettings
{
    std::string service;
    std::string session;
    RouterSettings router;
    AdmissionSettings admission;
    RetryBudgetSettings retries;
    SlotAssignmentSettings shares;
    Millis longestAttempt{3'000}; // One try at one instance; the request may go on elsewhere.
};

// Carries out the urgent requests of one service in one entry: admission, choice of the instance,
// tries and retries.
//
// The decisions are those of the library's pure classes, under one short lock; no lock is held
// while an instance works. Thread-safe; serve() blocks its caller until the final answer.
class UrgentDispatcher
{
public:
    // All references must outlive this object.
    UrgentDispatcher(UrgentSettings settings, const Clock &clock, UpstreamClient &upstreams,
                     const Topology &topology, Metrics &metrics);
    ~UrgentDispatcher();

    // Returns the final answer of one request, at the latest at its deadline. If `mayForward` and
    // a peer has room where this entry has none, says so instead of queueing.
    UrgentReply serve(const UrgentRequest &request, bool mayForward);

    // Takes in the present entries and instances, read at `takenAt`.
    void refresh(Instant takenAt);
    // Gives up what can't make its deadline and starts what has a slot. Call every few ms.
    void tick();
    // Begins a new session of this entry: its slots are gained anew.
    void setSession(const std::string &session);
    void setTeams(std::span<const TeamLimits> teams);
    // Notes what a peer said of its free slots.
    void notePeer(const std::string &session, int freeSlots);
    int freeSlots();
    // Returns true if and only if this entry may use slots of the service, or it has no instances.
    bool settled();
    std::size_t queued();

private:
    struct Waiter
    {
        std::condition_variable changed;
        bool expired = false;
        std::optional<std::string> instance; // Picked; the request may start.
    };
    struct Tries;

    std::optional<UrgentReply> enter(const UrgentRequest &request, bool mayForward, Tries &tries);
    std::optional<UrgentReply> wait(std::unique_lock<std::mutex> &lock,
                                    const AdmissionRequest &offer, Tries &tries);
    UrgentReply attempt(const UrgentRequest &request, Tries &tries);
    std::optional<UrgentReply> concluded(const UrgentRequest &request, Tries &tries,
                                         const UpstreamAnswer &answer);
    void dispatchQueued(Instant now);
    UrgentReply refused(RefusalReason reason, Millis retryAfter);

    UrgentSettings m_settings;
    const Clock &m_clock;
    UpstreamClient &m_upstreams;
    const Topology &m_topology;
    ReasonCounters<RefusalReason> m_refusals;
    ReasonCounters<RetryReason> m_retries;
    ReasonCounters<RetryDenial> m_denials;
    LatencyRecorder &m_latency;
    Metrics::Counter &m_late; // Answers that came after the deadline.

    std::mutex m_mutex;
    std::mt19937_64 m_random;
    Router m_router;
    AdmissionQueue m_admission;
    RetryBudget m_budget;
    SlotAssignment m_shares;
    std::map<std::uint64_t, std::shared_ptr<Waiter>> m_waiters;
    std::size_t m_listed = 0; // Instances of the service.
    std::uint64_t m_nextId = 1;
};

} // namespace savorywick
