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

// The limits of one shard's idempotency registry.
struct IdempotencySettings
{
    // How long a key is kept after its claim was resolved as finished or unknown.
    Millis retention{86'400'000};
    std::size_t maxClaims = 200'000;
    std::size_t maxBytes = 256U << 20U; // Of keys and stored responses together.
};

// A request with an idempotency key, which must be sent to its service at most once.
struct KeyedRequest
{
    std::string service;
    std::string key; // The idempotency key that the caller chose.
    std::string bodyHash; // Tells a repeat from another request under the same key.
    std::string requestId;
};

// The response of a finished request, kept for the repeats of it.
struct StoredResponse
{
    int status = 0;
    std::string body; // Arbitrary bytes.
};

// What a request may do under its idempotency key.
enum class IdempotencyOutcome {
    Granted, // The request may be sent once the records are committed; no other one may.
    Finished, // An earlier request has finished; its response is in the result.
    InFlight, // An earlier request holds the key and its outcome is not known yet; wait for it.
    Unknown, // An earlier request may or may not have run; none will be sent again.
    KeyReused, // The key belongs to a request with another body.
    Full, // The registry is at one of its limits; the request was not run.
};

// Returns the outcome's name as it appears in logs and counters, such as "key-reused".
std::string_view toString(IdempotencyOutcome verdict);

// The result of IdempotencyRegistry::open().
struct IdempotencyResult
{
    IdempotencyOutcome outcome = IdempotencyOutcome::Unknown;
    std::string holderRequestId; // Id of the request that the key was granted to; empty if Full.
    StoredResponse response; // Set only if Finished.
};

// The state of a key that was granted.
enum class IdempotencyState : std::uint8_t { Open, Finished, Unknown };

// An idempotency key. Keys of different services are independent of each other.
struct IdempotencyKey
{
    std::string service;
    std::string key;
    bool operator==(const IdempotencyKey &other) const = default;
    bool operator<(const IdempotencyKey &other) const
    {
        return std::tie(service, key) < std::tie(other.service, other.key);
    }
};

// What the registry keeps of one granted key: its request and that request's outcome.
struct IdempotencyClaim
{
    IdempotencyState state = IdempotencyState::Open;
    std::string bodyHash;
    std::string requestId;
    StoredResponse response; // Set only if Finished.
    Millis resolvedAt; // In the registry's logical time; not set while Open.
};

// One change as the journal keeps it; defined in the library's sources.
struct IdempotencyRecord;
enum class IdempotencyRecordKind : std::uint8_t;

// The number of claims in each state, and the bytes of all of them.
struct IdempotencyCounts
{
    std::size_t open = 0;
    std::size_t finished = 0;
    std::size_t unknown = 0;
    std::size_t bytes = 0;
};

// Maps the idempotency keys of one shard to their requests and responses, so that each request is
// sent at most once.
//
// Use it in the shard's owner for every request that must not be repeated. Each change takes effect
// here at once and is appended to `records`. The caller commits these records in order, holds back
// the send or the reply that depends on a change until its record is committed, and discards the
// registry if a commit fails for good. A new owner restores the last snapshot, applies the records
// after it and calls takeOver().
//
// Retention is measured in the registry's logical time, which each owner continues from the last
// recorded value and which stands still while the shard has no owner. A key is therefore kept for
// at least the retention.
//
// Not thread-safe.
//
// Example:
//   IdempotencyRegistry registry({}, now);
//   std::vector<std::string> records;
//   if (registry.open({"offers", "key-1", hash, requestId}, now, records).outcome
//       == IdempotencyOutcome::Granted)
//       commit(records, [] { send(); });
class IdempotencyRegistry
{
public:
    // Creates an empty registry whose logical time starts at zero.
    IdempotencyRegistry(IdempotencySettings settings, Instant now);

    // Decides whether a request may be sent. A key is granted once, until release() or expire()
    // frees it.
    IdempotencyResult open(const KeyedRequest &request, Instant now,
                           std::vector<std::string> &records);

    // Stores the response of a request whose claim is open or unknown. Returns false and changes
    // nothing if there is no such claim.
    bool finish(std::string_view service, std::string_view key, const StoredResponse &response,
                Instant now, std::vector<std::string> &records);
    // Frees the key of a request that certainly did not run. Returns false and changes nothing if
    // its claim is not open.
    bool release(std::string_view service, std::string_view key, Instant now,
                 std::vector<std::string> &records);
    // Marks the outcome of a request that may or may not have run as unknown. Returns false and
    // changes nothing if its claim is not open.
    bool markUnknown(std::string_view service, std::string_view key, Instant now,
                     std::vector<std::string> &records);

    // Repeats a change from its record. Throws Error(InvalidInput) if the record can't be parsed.
    void apply(std::string_view record, Instant now);
    // Marks every open claim as unknown. A new owner calls it after apply(), since the former owner
    // may have sent the requests.
    void takeOver(Instant now, std::vector<std::string> &records);

    // Removes at most `limit` claims whose retention is over and returns how many it removed. Also
    // records the logical time from time to time, so that a new owner continues it even if the
    // shard has had no other changes.
    std::size_t expire(Instant now, std::size_t limit, std::vector<std::string> &records);

    // Returns the whole state as one line; equal states give equal lines. The state includes
    // changes that are not committed yet: refer to the snapshot only once every record so far is.
    std::string snapshot(Instant now) const;
    // Returns the registry of a snapshot. Throws Error(InvalidInput) if it can't be parsed.
    static IdempotencyRegistry restore(std::string_view snapshot, IdempotencySettings settings,
                                       Instant now);

    // Returns the number of claims by state, and their bytes.
    IdempotencyCounts counts() const { return m_counts; }

private:
    using Claims = std::map<IdempotencyKey, IdempotencyClaim>;

    // Orders the resolved claims by the end of their retention.
    struct ResolvedClaim
    {
        Millis at; // Logical time from which the retention counts.
        IdempotencyKey key;
        bool operator<(const ResolvedClaim &other) const
        {
            return at < other.at || (at == other.at && key < other.key);
        }
    };

    Millis logicalTime(Instant now) const;
    void advanceLogicalTime(Millis time, Instant now);
    void appendRecord(IdempotencyRecord record, Instant now, std::vector<std::string> &records);
    static IdempotencyRecord makeRecord(IdempotencyRecordKind kind, const IdempotencyKey &key);
    void insertOpen(const KeyedRequest &request);
    void resolve(Claims::iterator it, IdempotencyState state, StoredResponse response, Millis time);
    void erase(Claims::iterator it);
    void addToIndexes(const Claims::value_type &entry);
    void removeFromIndexes(const Claims::value_type &entry);
    std::size_t &counter(IdempotencyState state);
    static std::size_t bytesOf(const Claims::value_type &entry);
    Claims::iterator find(std::string_view service, std::string_view key);

    IdempotencySettings m_settings;
    Claims m_claims;
    std::set<ResolvedClaim> m_resolved; // Every claim that is not open.
    IdempotencyCounts m_counts;
    Millis m_logicalTime; // As of m_logicalTimeAsOf.
    Instant m_logicalTimeAsOf;
    Millis m_recordedTime; // The latest logical time that a record holds.
};

} // namespace savorywick
