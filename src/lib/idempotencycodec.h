#pragma once

#include "savorywick/idempotency.h"

#include <map>
#include <string>
#include <string_view>

namespace savorywick {

// The kinds of changes that a journal record can hold. Time records only the logical time.
enum class IdempotencyRecordKind : std::uint8_t { Open, Finish, Release, Unknown, Expire, Time };

// One change of an IdempotencyRegistry, as the shard's journal keeps it.
struct IdempotencyRecord
{
    IdempotencyRecordKind kind = IdempotencyRecordKind::Time;
    Millis time; // The registry's logical time of the change.
    KeyedRequest request; // Service and key except for Time; the other fields only for Open.
    StoredResponse response; // Set only for Finish.
};

// The whole state of an IdempotencyRegistry.
struct IdempotencySnapshot
{
    Millis time; // The registry's logical time.
    std::map<IdempotencyKey, IdempotencyClaim> claims;
};

// Return one line of ASCII JSON, whatever bytes the strings hold.
std::string serializeIdempotencyRecord(const IdempotencyRecord &record);
std::string serializeIdempotencySnapshot(const IdempotencySnapshot &snapshot);

// Return the record or the snapshot in a line that the functions above returned.
// Throw Error(InvalidInput) for any other text.
IdempotencyRecord parseIdempotencyRecord(std::string_view text);
IdempotencySnapshot parseIdempotencySnapshot(std::string_view text);

} // namespace savorywick
