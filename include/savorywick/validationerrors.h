#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

// One error in a document, with what to write instead.
struct ValidationError
{
    std::string path; // Inside the document, such as "runs.allocation.demand.cores"; may be empty.
    std::string problem; // What is wrong with the value at the path.
    std::string remedy; // What to write instead.

    bool operator==(const ValidationError &) const = default;
};

// Collects all errors in a document, so that its author can correct them all at once.
//
// Use it in a parser that goes on after an error instead of throwing at the first one.
//
// Not thread-safe.
//
// Example:
//   ValidationErrors errors;
//   errors.add("shardCount", "0 is below 1", "write a whole number from 1 to 9999");
//   if (!errors.empty())
//       std::cerr << errors.format("entry.json");
class ValidationErrors
{
public:
    // Adds an error. `path` is empty if the error is not at a place inside the document.
    void add(std::string_view path, std::string_view problem, std::string_view remedy);

    bool empty() const { return m_errors.empty(); }
    // Returns the errors in the order in which they were added.
    std::span<const ValidationError> errors() const { return m_errors; }
    // Returns one line for each error, "FILE: PATH: PROBLEM; REMEDY", without "PATH: " if the path
    // is empty.
    std::string format(std::string_view file) const;

private:
    std::vector<ValidationError> m_errors;
};

} // namespace savorywick
