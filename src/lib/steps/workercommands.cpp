#include "savorywick/steps/workercommands.h"

namespace savorywick::steps {

std::string_view toString(CommandOutcome outcome)
{
    switch (outcome) {
    case CommandOutcome::Done:
        return "done";
    case CommandOutcome::NoRoom:
        return "no-room";
    case CommandOutcome::TooLate:
        return "too-late";
    case CommandOutcome::StaleRun:
        return "old-run";
    case CommandOutcome::Fenced:
        return "fenced";
    case CommandOutcome::WrongIncarnation:
        return "other-life";
    case CommandOutcome::Rejected:
        return "rejected";
    case CommandOutcome::NotSent:
        return "not-sent";
    case CommandOutcome::Unknown:
        return "unknown";
    }
    return "unnamed";
}

} // namespace savorywick::steps
