#pragma once

#include "savorywick/clock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace savorywick {

// The terms of the workers' leases.
struct WorkerLeaseSettings
{
    Millis term{15'000}; // How long a renewal keeps the worker's lease valid.
    Millis clockDriftMargin{1'000}; // Covers the relative drift of two clocks over two terms.
    Millis renewalInterval{5'000}; // Interval from one renewal to the next.
};

// Decides when workers' leases are renewed, and when a silent worker's tasks have certainly stopped
// because its lease has lapsed.
//
// Use one object for the workers of one shard.
//
// A worker stops its tasks and takes a new incarnation when its lease lapses. It refuses renewals
// and starts that name another incarnation. A renewal without a reply may still wait in the socket
// of a paused worker. It takes effect only while the lease before it is valid, so less than a term
// after it was sent, and then it grants a further term. The lease has therefore certainly lapsed
// two terms and the margin after the last renewal was sent. A worker that has been silent for a
// term is sent no more renewals, so that this time is reached.
//
// Each worker has at most one renewal in flight. The caller sends the renewals. Not thread-safe.
//
// Example:
//   if (leases.isRenewalDue(worker, now))
//       leases.recordRenewalSent(worker, now);
//   ...
//   leases.recordRenewalReply(worker, reply.incarnation);
class WorkerLeases
{
public:
    explicit WorkerLeases(WorkerLeaseSettings settings)
        : m_settings(settings)
    { }

    // Assumes that another owner of the shard renewed the worker's lease up to `now` and that the
    // worker is silent from now on. A renewal is due at once.
    void assumeRenewed(const std::string &worker, Instant now);

    // Returns true if and only if a renewal should be sent now.
    bool isRenewalDue(const std::string &worker, Instant now) const;
    // Records that a renewal is sent now. It names the worker's incarnation() unless that is empty.
    void recordRenewalSent(const std::string &worker, Instant now);
    // Records the reply to the renewal in flight and returns true. Returns false and changes
    // nothing if none is in flight: a reply that comes after a failure does not count. If the
    // incarnation differs from the one that the renewal named, the worker granted nothing, and the
    // next renewal is due at once.
    bool recordRenewalReply(const std::string &worker, const std::string &incarnation);
    // Records that the renewal in flight failed without a reply.
    void recordRenewalFailure(const std::string &worker);

    // Records that another incarnation has answered a call. The worker is not usable until it has
    // granted a further renewal.
    void recordRestart(const std::string &worker);

    // Returns true if and only if the worker is silent and its lease has certainly lapsed.
    bool hasLapsed(const std::string &worker, Instant now) const;
    // Forgets the worker's lease and incarnation, so that a renewal is due at once.
    // Precondition: hasLapsed().
    void forget(const std::string &worker) { m_leases.erase(worker); }

    // Returns true if and only if the worker has granted a renewal that was sent less than a term
    // ago.
    bool isUsable(const std::string &worker, Instant now) const;
    // Returns the incarnation in the worker's last reply, or an empty string if there was none.
    std::string incarnation(const std::string &worker) const;
    // Returns when the renewal that the worker granted by its last reply was sent, or nothing if
    // there was no reply or it granted nothing.
    std::optional<Instant> grantedRenewalSentAt(const std::string &worker) const;

private:
    struct Lease
    {
        std::optional<Instant> lastSentAt;
        std::optional<Instant> silentSince; // When the first renewal without a reply was sent.
        std::optional<Instant> grantedRenewalSentAt;
        std::string incarnation; // As last reported, and as named by the renewal in flight.
        bool inFlight = false;
    };

    const Lease *find(const std::string &worker) const;

    WorkerLeaseSettings m_settings;
    std::map<std::string, Lease> m_leases;
};

} // namespace savorywick
