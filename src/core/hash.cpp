#include "core/hash.h"

#include <xxhash.h>

#include <array>
#include <cstdio>
#include <mutex>
#include <random>

namespace savorywick {

std::uint64_t stableHash(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::string hexDigest(std::string_view bytes)
{
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    constexpr std::size_t digits = 32;
    std::array<char, digits + 1> buf{}; // snprintf() appends a terminating zero.
    std::snprintf(buf.data(), buf.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return {buf.data(), digits};
}

int shardOfKey(std::string_view service, std::string_view key, int shards)
{
    // Service names contain no newline, so distinct (service, key) pairs give distinct hash inputs.
    const std::string input = std::string(service) + "\n" + std::string(key);
    return static_cast<int>(stableHash(input) % static_cast<std::uint64_t>(shards));
}

std::string randomHexDigits(int n)
{
    constexpr std::string_view hexDigits = "0123456789abcdef";
    static std::mutex mutex;
    static std::mt19937_64 generator{std::random_device{}()};
    const std::lock_guard lock(mutex);
    std::string digits;
    for (int i = 0; i < n; ++i)
        digits += hexDigits[generator() % hexDigits.size()];
    return digits;
}

} // namespace savorywick
