#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace savorywick {

// Returns the 64-bit XXH3 hash of `bytes`. The value is the same in every process and release, so
// it may be stored and compared between entries. Not cryptographic.
std::uint64_t stableHash(std::string_view bytes);

// Returns the 128-bit XXH3 hash of `bytes` as 32 lower-case hexadecimal digits. Use it to compare
// bodies or keys without keeping them. Not cryptographic.
std::string hexDigest(std::string_view bytes);

// Returns the index, from 0 to `shards` - 1, of the shard that owns the idempotency key `key` of
// `service`. All entries that share a table must pass the same `shards`, which must be positive.
int shardOfKey(std::string_view service, std::string_view key, int shards);

// Returns `n` random lower-case hexadecimal digits, for ids that must be unique across processes.
// Not cryptographically secure. Thread-safe.
std::string randomHexDigits(int n);

} // namespace savorywick
