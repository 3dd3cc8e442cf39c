#include "savorywick/steps/stragglerdetector.h"

#include <algorithm>

namespace savorywick::steps {

namespace {

RetryBudgetSettings budgetSettings(const StragglerSettings &settings)
{
    RetryBudgetSettings budget;
    budget.retryRatio = settings.shareOfRuns;
    budget.minRetriesPerSecond = 0;
    budget.maxBalance = settings.maxBalance;
    budget.maxAttempts = 2;
    return budget;
}

bool isMoreUrgent(const RunningTask &a, const RunningTask &b)
{
    if (a.unfinishedTasks != b.unfinishedTasks)
        return a.unfinishedTasks < b.unfinishedTasks;
    if (a.elapsed != b.elapsed)
        return a.elapsed > b.elapsed;
    return a.run < b.run;
}

} // namespace

StragglerDetector::StragglerDetector(const StragglerSettings &settings,
                                     const DurationEstimator &durations, Instant now)
    : m_settings(settings)
    , m_durations(durations)
    , m_budget(budgetSettings(settings), now)
{ }

void StragglerDetector::addRun(const RunKey &key, Instant now)
{
    m_runs.insert(key);
    m_budget.recordFirstAttempt(now);
}

void StragglerDetector::addDuplicate(const RunKey &key, Instant now)
{
    m_runs.insert(key);
    const RetryContext context{.repeatable = true, .attempts = 1, .deadline = now + Millis{1}};
    m_budget.decideHedge(context, now);
}

bool StragglerDetector::isDue(Instant now)
{
    return !m_runs.empty() && now >= m_nextCheckAt && m_budget.balance(now) >= 1;
}

std::vector<RunningTask> StragglerDetector::select(std::span<const RunningTask> running,
                                                   Instant now)
{
    m_nextCheckAt = now + m_settings.checkInterval;
    std::vector<RunningTask> selected;
    for (const RunningTask &it : running) {
        const RunAge age{it.elapsed, it.progressPercent, m_settings.startDelay};
        const double chance = m_durations.chanceToOvertake(*it.job, it.run.task.step, age, now);
        if (chance >= m_settings.minChance)
            selected.push_back(it);
    }
    std::sort(selected.begin(), selected.end(), isMoreUrgent);
    const auto allowed = static_cast<std::size_t>(m_budget.balance(now));
    if (selected.size() > allowed)
        selected.resize(allowed);
    return selected;
}

} // namespace savorywick::steps
