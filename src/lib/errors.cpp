#include "savorywick/errors.h"

namespace savorywick {

std::string_view toString(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidInput:
        return "invalid-input";
    case ErrorKind::NotFound:
        return "not-found";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::Fenced:
        return "fenced";
    case ErrorKind::Unavailable:
        return "unavailable";
    case ErrorKind::UnknownOutcome:
        return "unknown-outcome";
    case ErrorKind::Overloaded:
        return "overloaded";
    }
    return "unnamed";
}

Error::Error(ErrorKind kind, std::string_view problem, std::string_view remedy)
    : std::runtime_error(std::string(problem) + "; " + std::string(remedy))
    , m_kind(kind)
    , m_problem(problem)
    , m_remedy(remedy)
{ }

} // namespace savorywick
