#include "node/shardrequest.h"

namespace savorywick {

std::string_view toString(ShardOutcome outcome)
{
    switch (outcome) {
    case ShardOutcome::Ok:
        return "ok";
    case ShardOutcome::UnknownJob:
        return "unknown-job";
    case ShardOutcome::NotOwner:
        return "not-owner";
    case ShardOutcome::StoreDown:
        return "store-down";
    case ShardOutcome::Overloaded:
        return "overloaded";
    case ShardOutcome::Delegated:
        return "delegated";
    case ShardOutcome::Undecided:
        return "undecided";
    }
    return "unnamed";
}

bool hadNoEffect(ShardOutcome outcome)
{
    return outcome == ShardOutcome::NotOwner || outcome == ShardOutcome::StoreDown
        || outcome == ShardOutcome::Overloaded;
}

} // namespace savorywick
