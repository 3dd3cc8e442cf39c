#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

// One thing that is wrong with a document, and what to do about it.
struct Fault
{
    std::string path; // Inside the document, such as "runs.allocation.demand.cores".
    std::string found; // What was found there.
    std::string remedy; // What to write instead.

    bool operator==(const Fault &) const = default;
};

// Gathers every fault of a document, so that its author can mend them all in one go.
//
// Not thread-safe.
//
// Example:
//   FaultList faults;
//   faults.add("shardCount", "0 is below 1", "write a whole number from 1 to 9999");
//   if (!faults.empty())
//       std::cerr << faults.text("entry.json");
class FaultList
{
public:
    void add(std::string_view path, std::string_view found, std::string_view remedy);

    bool empty() const { return m_faults.empty(); }
    // Returns the faults in the order in which they were found.
    std::span<const Fault> list() const { return m_faults; }
    // Returns one line a fault, each "FILE: PATH: FOUND; REMEDY".
    std::string text(std::string_view file) const;

private:
    std::vector<Fault> m_faults;
};

} // namespace savorywick
