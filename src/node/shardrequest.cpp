#include "node/shardrequest.h"

namespace savorywick {

std::optional<Instant> answerDueAt(const ShardRequest &request)
{
    if (const auto *submission = std::get_if<SubmitJob>(&request))
        return submission->answerDueAt;
    const auto *cancel = std::get_if<CancelJob>(&request);
    return cancel ? cancel->answerDueAt : std::nullopt;
}

void setAnswerDueAt(ShardRequest &request, Instant dueAt)
{
    if (auto *submission = std::get_if<SubmitJob>(&request))
        submission->answerDueAt = dueAt;
    else if (auto *cancel = std::get_if<CancelJob>(&request))
        cancel->answerDueAt = dueAt;
}

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
    case ShardOutcome::NoCapacity:
        return "no-capacity";
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
        || outcome == ShardOutcome::Overloaded || outcome == ShardOutcome::NoCapacity;
}

} // namespace savorywick
