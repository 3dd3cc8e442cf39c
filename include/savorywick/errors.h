#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace savorywick {

// The category of an Error. Use it to decide how to react, such as whether to retry.
enum class ErrorKind {
    InvalidInput, // The input is invalid; the remedy says what to write instead.
    NotFound, // The named object does not exist.
    Conflict, // The object was changed concurrently; read it again before a retry.
    Fenced, // The caller no longer owns the object; it must stop changing it.
    Unavailable, // A peer refused or was unreachable; the change did not take effect.
    UnknownOutcome, // A peer's reply was lost; the change may or may not have taken effect.
    Overloaded, // A configured limit is reached; retry later.
};

// Returns the name of the kind in logs and responses, such as "conflict".
std::string_view toString(ErrorKind kind);

// The only exception type of the library.
//
// Catch it to report a failure or to react to its kind. what() returns "PROBLEM; REMEDY".
//
// Example:
//   throw Error(ErrorKind::NotFound, "service 'quotes' is unknown",
//               "apply its document first with 'savorywick document apply'");
class Error : public std::runtime_error
{
public:
    Error(ErrorKind kind, std::string_view problem, std::string_view remedy);

    ErrorKind kind() const { return m_kind; }
    // Returns the description of what is wrong, without the remedy.
    const std::string &problem() const { return m_problem; }
    // Returns what the user or operator can do about the problem.
    const std::string &remedy() const { return m_remedy; }

private:
    ErrorKind m_kind;
    std::string m_problem;
    std::string m_remedy;
};

} // namespace savorywick
