#pragma once

#include "savorywick/clock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace savorywick {

struct WorkerLeaseSettings
{
    Millis term{15'000}; // What each renewal grants.
    Millis margin{1'000}; // Covers the difference of two clocks' rates over two terms.
    Millis renewEvery{5'000};
};

// Tells when a worker's tasks have surely stopped because its lease ran out.
//
// A worker's incarnation changes when its lease lapses, since its tasks are gone then, and it
// refuses renewals and starts that name another one. A renewal that got no answer may still sit in
// a paused worker's socket. It takes effect only while the lease before it holds, thus less than a
// term after it was sent; and it then grants a term. So the lease has surely lapsed two terms and
// the margin after the last renewal was sent.
// A worker that stays silent for a term is sent no more renewals, so that this moment comes.
// One call a worker is in flight at a time; an answer that comes after a failure is dropped.
//
// Use one object for the workers of one shard. Not thread-safe.
//
// Example:
//   if (leases.due(worker, now))
//       leases.sent(worker, now);
//   ...
//   leases.confirmed(worker, reply.incarnation, now);
class WorkerLeases
{
public:
    explicit WorkerLeases(WorkerLeaseSettings settings)
        : m_settings(settings)
    { }

    // Assumes that another owner may have renewed the worker's lease up to `now`.
    void assumeRenewed(const std::string &worker, Instant now);

    // Returns true if and only if a renewal should be sent now.
    bool due(const std::string &worker, Instant now) const;
    // Records that a renewal leaves.
    void sent(const std::string &worker, Instant now);
    // Takes in the answer to the renewal in flight. Returns false if none is. An incarnation other
    // than the one that the renewal named says that nothing was granted; the next is due at once.
    bool confirmed(const std::string &worker, const std::string &incarnation);
    // Records that the renewal in flight got no answer.
    void failed(const std::string &worker);

    // Returns true if and only if the worker is silent and its lease has surely lapsed.
    bool lapsed(const std::string &worker, Instant now) const;
    // Forgets what was granted, after lapsed(), so that the worker is asked again.
    void forget(const std::string &worker) { m_leases.erase(worker); }

    // Returns true if and only if the worker answered a renewal that was sent within the term.
    bool usable(const std::string &worker, Instant now) const;
    // Returns the incarnation that the worker last told, or an empty string.
    std::string incarnation(const std::string &worker) const;
    // Returns when the renewal was sent that the worker answered last.
    std::optional<Instant> provedAt(const std::string &worker) const;

private:
    struct Lease
    {
        std::optional<Instant> lastSent;
        std::optional<Instant> silentSince; // When the first unanswered renewal was sent.
        std::optional<Instant> provedAt;
        std::string incarnation; // As last told, and as named by the renewal in flight.
        bool inFlight = false;
    };

    const Lease *find(const std::string &worker) const;

    WorkerLeaseSettings m_settings;
    std::map<std::string, Lease> m_leases;
};

} // namespace savorywick
