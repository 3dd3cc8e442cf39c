#pragma once

#include <tuple>

namespace savorywick {

// A vector of compute resources: processors, memory and accelerators.
//
// Use it for what a host offers, what a task demands and what is allocated to it.
//
// Example:
//   const Resources demand{.cores = 4, .memoryMb = 8'192};
//   if (demand.fitsIn(allocations.free("worker-7")))
//       allocations.allocate("worker-7", "run-12", demand);
struct Resources
{
    int cores = 0;
    int memoryMb = 0; // In MiB.
    int accelerators = 0;

    constexpr bool operator==(const Resources &) const = default;
    // Orders lexicographically, for use as a map key. It does not tell whether one fits in another;
    // use `fitsIn` for that.
    constexpr bool operator<(const Resources &other) const
    {
        return std::tie(cores, memoryMb, accelerators)
            < std::tie(other.cores, other.memoryMb, other.accelerators);
    }

    constexpr Resources operator+(const Resources &other) const
    {
        return {cores + other.cores, memoryMb + other.memoryMb, accelerators + other.accelerators};
    }
    // Returns the difference of each dimension, which may be negative.
    constexpr Resources operator-(const Resources &other) const
    {
        return {cores - other.cores, memoryMb - other.memoryMb, accelerators - other.accelerators};
    }
    // Returns true if and only if no dimension exceeds that of `available`.
    constexpr bool fitsIn(const Resources &available) const
    {
        return cores <= available.cores && memoryMb <= available.memoryMb
            && accelerators <= available.accelerators;
    }
    // Returns true if and only if no dimension is negative.
    constexpr bool isValid() const { return cores >= 0 && memoryMb >= 0 && accelerators >= 0; }
};

} // namespace savorywick
