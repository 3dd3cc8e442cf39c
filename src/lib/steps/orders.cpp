#include "savorywick/steps/orders.h"

namespace savorywick::steps {

std::string_view toString(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Done:
        return "done";
    case OrderOutcome::NoRoom:
        return "no-room";
    case OrderOutcome::TooLate:
        return "too-late";
    case OrderOutcome::OldRun:
        return "old-run";
    case OrderOutcome::Fenced:
        return "fenced";
    case OrderOutcome::OtherLife:
        return "other-life";
    case OrderOutcome::Rejected:
        return "rejected";
    case OrderOutcome::NotSent:
        return "not-sent";
    case OrderOutcome::Unknown:
        return "unknown";
    }
    return "unnamed";
}

} // namespace savorywick::steps
