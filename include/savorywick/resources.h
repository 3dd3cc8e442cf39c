#pragma once

#include <tuple>

namespace savorywick {

// An amount of what a worker offers: processors, memory and accelerators.
//
// Example:
//   const Resources need{.cores = 4, .memoryMb = 8'192};
//   if (need.fitsIn(ledger.free("worker-7")))
//       ledger.book("worker-7", "run-12", need);
struct Resources
{
    int cores = 0;
    int memoryMb = 0; // Memory in MiB.
    int accelerators = 0;

    constexpr bool operator==(const Resources &) const = default;
    // Orders by cores, then memory, then accelerators; says nothing about what fits.
    constexpr bool operator<(const Resources &other) const
    {
        return std::tie(cores, memoryMb, accelerators)
            < std::tie(other.cores, other.memoryMb, other.accelerators);
    }

    constexpr Resources operator+(const Resources &other) const
    {
        return {cores + other.cores, memoryMb + other.memoryMb, accelerators + other.accelerators};
    }
    constexpr Resources operator-(const Resources &other) const
    {
        return {cores - other.cores, memoryMb - other.memoryMb, accelerators - other.accelerators};
    }
    // Returns true if and only if no dimension is larger than that of `room`.
    constexpr bool fitsIn(const Resources &room) const
    {
        return cores <= room.cores && memoryMb <= room.memoryMb
            && accelerators <= room.accelerators;
    }
    // Returns true if and only if no dimension is negative.
    constexpr bool isValid() const { return cores >= 0 && memoryMb >= 0 && accelerators >= 0; }
};

} // namespace savorywick
