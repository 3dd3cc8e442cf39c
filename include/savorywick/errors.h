#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace savorywick {

// What went wrong, for code that must choose its next step by it.
enum class ErrorKind {
    InvalidInput, // The input is at fault; the message says what to write instead.
    NotFound, // The thing named does not exist.
    Conflict, // Somebody else changed it first; read again and decide anew.
    Fenced, // The caller no longer owns what it tried to change; it must stop acting on it.
    Unavailable, // A peer refused or could not be reached; surely nothing took effect.
    UnknownOutcome, // A peer's reply was lost; the change may or may not have taken effect.
    Overloaded, // A stated limit is reached; come back later.
};

// Returns the kind's name as it appears in logs and answers, such as "conflict".
std::string_view toString(ErrorKind kind);

// The one exception type of the library. Its message states the fault and then the remedy.
//
// Example:
//   throw Error(ErrorKind::NotFound, "service 'quotes' is unknown",
//               "apply its document first with 'savorywick document apply'");
class Error : public std::runtime_error
{
public:
    Error(ErrorKind kind, std::string_view fault, std::string_view remedy);

    ErrorKind kind() const { return m_kind; }
    // Returns what was found, without the remedy.
    const std::string &fault() const { return m_fault; }
    // Returns what the reader can do about it.
    const std::string &remedy() const { return m_remedy; }

private:
    ErrorKind m_kind;
    std::string m_fault;
    std::string m_remedy;
};

} // namespace savorywick
