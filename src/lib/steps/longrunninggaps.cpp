#include "savorywick/steps/longrunninggaps.h"

#include <algorithm>

namespace savorywick::steps {

void LongRunningGaps::noteAdopted(const TaskRef &task, Instant takenOverAt)
{
    m_open[task] = {.since = takenOverAt, .knownAt = {}, .sinceTakeover = true};
}

void LongRunningGaps::noteSeen(const TaskRef &task)
{
    m_open.erase(task);
}

void LongRunningGaps::noteEnd(const TaskRef &task, RunOutcome outcome, Instant lastAnsweredAt,
                              Instant now)
{
    OpenGap &gap =
        m_open.try_emplace(task, OpenGap{.since = lastAnsweredAt, .knownAt = {}}).first->second;
    if (gap.knownAt) // Its next run never started.
        return;
    gap.knownAt = now;
    gap.outcome = outcome;
}

std::optional<LongRunningGap> LongRunningGaps::noteStart(const TaskRef &task, Instant now)
{
    const auto it = m_open.find(task);
    if (it == m_open.end() || !it->second.knownAt)
        return {};
    const OpenGap &gap = it->second;
    return LongRunningGap{now - gap.since, *gap.knownAt - gap.since, now - *gap.knownAt,
                          gap.outcome,     gap.sinceTakeover,        m_epoch};
}

void LongRunningGaps::forgetJob(const std::string &job)
{
    std::erase_if(m_open, [&](const auto &it) { return it.first.job == job; });
}

Millis LongRunningGaps::longest(Instant now) const
{
    Millis longest{0};
    for (const auto &[task, gap] : m_open)
        longest = std::max(longest, now - gap.since);
    return longest;
}

} // namespace savorywick::steps
