#pragma once

#include "savorywick/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace savorywick {

struct ClaimSettings
{
    // How long the answer to a key is kept after it is known, or known to be unknown.
    Millis retention{86'400'000};
    std::size_t maxClaims = 200'000;
    std::size_t maxBytes = 256U << 20U; // Of keys and kept answers together.
};

// Asks to run a request that may not be repeated.
struct ClaimRequest
{
    std::string service;
    std::string key; // The caller's idempotency key.
    std::string bodyHash;
    std::string requestId;
};

struct ClaimAnswer
{
    int status = 0;
    std::string body; // Any bytes.
};

enum class ClaimVerdict {
    Granted, // Send it, once the records are committed; nobody else may.
    Finished, // It has run; here is its answer.
    InFlight, // It is granted to another request whose end is not known yet; wait for that.
    Unknown, // It may or may not have run and will not be sent again.
    KeyReused, // The key stands for a request with another body.
    Full, // The ledger holds as many claims as it may; surely not run.
};

// Returns the verdict's name as it appears in logs and counters, such as "key-reused".
std::string_view toString(ClaimVerdict verdict);

struct ClaimDecision
{
    ClaimVerdict verdict = ClaimVerdict::Unknown;
    std::string holder; // The id of the request that the key was granted to; empty if Full.
    ClaimAnswer answer; // Set only if Finished.
};

enum class ClaimState : std::uint8_t { Open, Finished, Unknown };

struct ClaimKey
{
    std::string service;
    std::string key;
    bool operator==(const ClaimKey &other) const = default;
    bool operator<(const ClaimKey &other) const
    {
        return std::tie(service, key) < std::tie(other.service, other.key);
    }
};

// What is kept of one key.
struct Claim
{
    ClaimState state = ClaimState::Open;
    std::string bodyHash;
    std::string requestId;
    ClaimAnswer answer;
    Millis resolvedAt; // On the ledger's time; not set while open.
};

struct ClaimRecord; // One journal record, in src/lib/claimcodec.h.
enum class ClaimRecordKind : std::uint8_t;

struct ClaimCounts
{
    std::size_t open = 0;
    std::size_t finished = 0;
    std::size_t unknown = 0;
    std::size_t bytes = 0;
};

// The at-most-once state of one shard: which request holds which idempotency key, and the answers.
//
// Use it in the shard's owner for every request that may not be repeated. Each change is applied
// here at once and appended to `records`; the caller holds back the send or the reply that rests
// on it until these records are committed, in order, and drops the whole ledger if they never are.
// A new owner restores the snapshot, applies the records behind it and calls takeOver().
//
// Retention is counted on the ledger's own time, which goes on from owner to owner and stands still
// between them; so a key is kept for at least the retention.
//
// Not thread-safe.
//
// Example:
//   ClaimLedger ledger({}, now);
//   std::vector<std::string> records;
//   if (ledger.open({"offers", "key-1", hash, requestId}, now, records).verdict
//       == ClaimVerdict::Granted)
//       commit(records, [] { send(); });
class ClaimLedger
{
public:
    ClaimLedger(ClaimSettings settings, Instant now);

    // Decides on a request. Granted at most once for a key until release() or retention.
    ClaimDecision open(const ClaimRequest &request, Instant now, std::vector<std::string> &records);

    // Each of the three returns false and changes nothing if the key's claim is not open; a late
    // answer also turns an unknown claim into a finished one.
    bool finish(std::string_view service, std::string_view key, const ClaimAnswer &answer,
                Instant now, std::vector<std::string> &records);
    // Frees the key. Precondition: the request surely did not run.
    bool release(std::string_view service, std::string_view key, Instant now,
                 std::vector<std::string> &records);
    bool markUnknown(std::string_view service, std::string_view key, Instant now,
                     std::vector<std::string> &records);

    // Repeats a change from its record. Throws Error(InvalidInput) for one that it can't read.
    void apply(std::string_view record, Instant now);
    // Turns every open claim into an unknown one. A new owner calls it after the replay: the former
    // one may have sent them.
    void takeOver(Instant now, std::vector<std::string> &records);

    // Forgets at most `limit` claims whose retention is over; returns how many. Also notes the
    // ledger's time now and then, so that it does not stand still in a quiet shard.
    std::size_t expire(Instant now, std::size_t limit, std::vector<std::string> &records);

    // Returns the whole state as one line; equal states give equal lines. It holds what is not yet
    // committed too: keep it only under a journal sequence that covers every record so far.
    std::string snapshot(Instant now) const;
    // Returns the ledger of a snapshot. Throws Error(InvalidInput) for one that it can't read.
    static ClaimLedger restore(std::string_view snapshot, ClaimSettings settings, Instant now);

    ClaimCounts counts() const { return m_counts; }

private:
    using Claims = std::map<ClaimKey, Claim>;

    struct ResolvedClaim
    {
        Millis at; // The ledger's time from which the retention counts.
        ClaimKey key;
        bool operator<(const ResolvedClaim &other) const
        {
            return at < other.at || (at == other.at && key < other.key);
        }
    };

    Millis ledgerTime(Instant now) const;
    void catchUp(Millis time, Instant now);
    void append(ClaimRecord record, Instant now, std::vector<std::string> &records);
    static ClaimRecord recordFor(ClaimRecordKind kind, const ClaimKey &key);
    void setOpen(const ClaimRequest &request);
    void resolve(Claims::iterator it, ClaimState state, ClaimAnswer answer, Millis time);
    void erase(Claims::iterator it);
    void enter(const Claims::value_type &entry);
    void leave(const Claims::value_type &entry);
    std::size_t &counter(ClaimState state);
    static std::size_t bytesOf(const Claims::value_type &entry);
    Claims::iterator find(std::string_view service, std::string_view key);

    ClaimSettings m_settings;
    Claims m_claims;
    std::set<ResolvedClaim> m_resolved; // All but the open ones.
    ClaimCounts m_counts;
    Millis m_time; // The ledger's time at m_timeAt.
    Instant m_timeAt;
    Millis m_notedTime; // The latest that a record holds.
};

} // namespace savorywick
