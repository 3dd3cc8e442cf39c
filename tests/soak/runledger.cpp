#include "runledger.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace savorywick::testing {

namespace {

// After this many crashes under a task it may be started so many times more.
constexpr int maxCrashes = 3;
constexpr int maxFurtherStarts = 2;

// A job may be given up once this many workers have crashed under one of its tasks.
constexpr int crashesToGiveUp = 2;

} // namespace

SoakJob longRunningJob(int number, int taskCount)
{
    SoakJob job;
    char id[17];
    std::snprintf(id, sizeof id, "%016x", static_cast<unsigned>(number));
    job.spec.id = id;
    job.spec.payload = "service";
    steps::StepSpec step;
    step.taskCount = taskCount;
    step.demand = {2'000, 1'000, 0};
    step.estimatedDuration = Millis{500};
    step.longRunning = true;
    job.spec.steps = {step};
    return job;
}

SoakJob &RunLedger::addJob(SoakJob job)
{
    const std::string id = job.spec.id;
    return m_jobs.insert_or_assign(id, std::move(job)).first->second;
}

const steps::StepSpec *RunLedger::findStep(const steps::TaskRef &task) const
{
    const auto it = m_jobs.find(task.job);
    if (it == m_jobs.end() || task.step >= static_cast<int>(it->second.spec.steps.size()))
        return nullptr;
    return &it->second.spec.steps[task.step];
}

void RunLedger::noteStart(const steps::TaskRef &task)
{
    ++m_startCount;
    const auto job = m_jobs.find(task.job);
    if (job == m_jobs.end())
        return violate(toString(task) + " starts, and no caller sent it");
    TaskTruth &truth = m_tasks[task];
    checkStart(task, job->second, truth);
    ++truth.liveRuns;
}

void RunLedger::checkStart(const steps::TaskRef &task, const SoakJob &job, TaskTruth &truth)
{
    const steps::StepSpec &step = job.spec.steps[task.step];
    const std::string name = toString(task);
    if (truth.liveRuns > 0)
        violate(name + " starts beside another run of it");
    if (truth.doneAcknowledged && !step.longRunning)
        violate(name + " starts after its end was acknowledged");
    if (job.refused)
        violate(name + " starts although its job was refused");
    const bool budgetSpent = job.crashesWorkers && task.index == 0 && truth.crashes >= maxCrashes;
    if (budgetSpent && ++truth.startsAfterThreeCrashes > maxFurtherStarts)
        violate(name + " starts once more although it crashes its workers");
    for (const int predecessor : step.dependsOn) {
        for (int i = 0; i < job.spec.steps[predecessor].taskCount; ++i) {
            if (!m_tasks[{task.job, task.occurrence, predecessor, i}].done)
                violate(name + " starts before the steps that it depends on are done");
        }
    }
}

void RunLedger::noteEnd(const steps::TaskRef &task, steps::RunOutcome outcome)
{
    TaskTruth &truth = m_tasks[task];
    --truth.liveRuns;
    truth.done = truth.done || outcome == steps::RunOutcome::Done;
    truth.failures += outcome == steps::RunOutcome::Failed ? 1 : 0;
    m_lapsedRunCount += outcome == steps::RunOutcome::LeaseExpired ? 1 : 0;
}

void RunLedger::noteLostRun(const steps::TaskRef &task)
{
    TaskTruth &truth = m_tasks[task];
    --truth.liveRuns;
    ++truth.crashes;
    ++m_lostRunCount;
}

void RunLedger::noteDoneAcknowledged(const steps::TaskRef &task)
{
    m_tasks[task].doneAcknowledged = true;
}

void RunLedger::noteShown(const std::string &id, const std::string &state)
{
    SoakJob &known = m_jobs.at(id);
    if (state == "completed" && !allTasksDone(known))
        violate(id + " is shown as completed and has tasks that are not done");
    if (state == "failed" && !hasCauseOfFailure(known))
        violate(id + " is shown as failed without a cause");
    if (state == "cancelled" && !known.cancelled)
        violate(id + " is shown as cancelled and nobody cancelled it");
    known.ended = known.ended || state == "completed" || state == "failed";
}

bool RunLedger::allTasksDone(const SoakJob &job) const
{
    for (int s = 0; s < static_cast<int>(job.spec.steps.size()); ++s) {
        for (int i = 0; i < job.spec.steps[s].taskCount; ++i) {
            const auto it = m_tasks.find({job.spec.id, 0, s, i});
            if (it == m_tasks.end() || !it->second.done)
                return false;
        }
    }
    return true;
}

bool RunLedger::hasCauseOfFailure(const SoakJob &job) const
{
    return std::any_of(m_tasks.begin(), m_tasks.end(), [&](const auto &it) {
        return it.first.job == job.spec.id
            && (it.second.failures >= job.spec.policy.maxAttempts
                || it.second.crashes >= crashesToGiveUp);
    });
}

bool RunLedger::allTasksRun() const
{
    return std::all_of(m_jobs.begin(), m_jobs.end(), [this](const auto &it) {
        return liveRuns(it.first) == it.second.spec.steps.front().taskCount;
    });
}

int RunLedger::liveRuns(const std::string &job) const
{
    int count = 0;
    for (const auto &[task, truth] : m_tasks)
        count += task.job == job ? truth.liveRuns : 0;
    return count;
}

} // namespace savorywick::testing
