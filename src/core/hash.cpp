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

std::string digest(std::string_view bytes)
{
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    std::array<char, 33> buf{};
    std::snprintf(buf.data(), buf.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return {buf.data(), 32};
}

int shardOfKey(std::string_view service, std::string_view key, int shards)
{
    // A service's name holds no line end, so no two names and keys run into one another.
    const std::string text = std::string(service) + "\n" + std::string(key);
    return static_cast<int>(stableHash(text) % static_cast<std::uint64_t>(shards));
}

std::string randomDigits(int n)
{
    static std::mutex mutex;
    static std::mt19937_64 random{std::random_device{}()};
    const std::lock_guard lock(mutex);
    std::string digits;
    for (int i = 0; i < n; ++i)
        digits += "0123456789abcdef"[random() % 16];
    return digits;
}

} // namespace savorywick
