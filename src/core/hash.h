#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace savorywick {

// Returns a hash of `bytes` that is the same in every process and release.
std::uint64_t stableHash(std::string_view bytes);

// Returns a 128-bit hash of `bytes` as 32 hexadecimal digits, to tell bodies and keys apart.
std::string digest(std::string_view bytes);

// Returns the shard, out of `shards`, that a service's idempotency key belongs to.
int shardOfKey(std::string_view service, std::string_view key, int shards);

// Returns `n` random hexadecimal digits, for ids that must never be used twice.
std::string randomDigits(int n);

} // namespace savorywick
