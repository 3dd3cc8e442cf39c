#include "savorywick/steps/job.h"

namespace savorywick::steps {

ResourceVector &ResourceVector::operator+=(const ResourceVector &other)
{
    milliCores += other.milliCores;
    memoryMb += other.memoryMb;
    accelerators += other.accelerators;
    return *this;
}

ResourceVector &ResourceVector::operator-=(const ResourceVector &other)
{
    milliCores -= other.milliCores;
    memoryMb -= other.memoryMb;
    accelerators -= other.accelerators;
    return *this;
}

bool ResourceVector::fitsIn(const ResourceVector &available) const
{
    return milliCores <= available.milliCores && memoryMb <= available.memoryMb
        && accelerators <= available.accelerators;
}

std::string toString(const TaskRef &task)
{
    return task.job + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step) + "."
        + std::to_string(task.index);
}

std::string_view toString(RunOutcome outcome)
{
    switch (outcome) {
    case RunOutcome::Done:
        return "done";
    case RunOutcome::Failed:
        return "failed";
    case RunOutcome::Stopped:
        return "stopped";
    case RunOutcome::LeaseExpired:
        return "lapsed";
    case RunOutcome::GangBroken:
        return "broken";
    case RunOutcome::GangIncomplete:
        return "alone";
    case RunOutcome::NeverStarted:
        return "never-started";
    case RunOutcome::WorkerCrashed:
        return "worker-crashed";
    case RunOutcome::CausedCrash:
        return "caused-crash";
    }
    return "unnamed";
}

bool isFoundGone(RunOutcome outcome)
{
    switch (outcome) {
    case RunOutcome::LeaseExpired:
    case RunOutcome::NeverStarted:
    case RunOutcome::WorkerCrashed:
    case RunOutcome::CausedCrash:
        return true;
    case RunOutcome::Done:
    case RunOutcome::Failed:
    case RunOutcome::Stopped:
    case RunOutcome::GangBroken:
    case RunOutcome::GangIncomplete:
        return false;
    }
    return false;
}

bool isOverCrashLimit(int crashes, int causedCrashes)
{
    // A job is given up once one of its tasks has caused this many crashes in a row: one may be
    // chance.
    constexpr int maxCausedCrashes = 2;
    // Or once this many workers in a row have crashed under one of its tasks, whatever else may be
    // why.
    constexpr int maxCrashes = 4;
    return causedCrashes >= maxCausedCrashes || crashes >= maxCrashes;
}

std::string_view toString(JobState state)
{
    switch (state) {
    case JobState::Queued:
        return "queued";
    case JobState::Running:
        return "running";
    case JobState::Completed:
        return "completed";
    case JobState::Failed:
        return "failed";
    case JobState::Cancelled:
        return "cancelled";
    }
    return "unnamed";
}

bool isFinal(JobState state)
{
    return state == JobState::Completed || state == JobState::Failed
        || state == JobState::Cancelled;
}

std::int64_t Job::dueWallMs(int occurrence) const
{
    if (spec.schedule.occurrenceCount == 0)
        return acceptedWallMs;
    return spec.schedule.firstDueWallMs + spec.schedule.interval.count() * occurrence;
}

const Task *Job::findTask(const TaskRef &task) const
{
    const auto it = occurrences.find(task.occurrence);
    if (it == occurrences.end() || task.step < 0 || task.index < 0)
        return nullptr;
    const std::vector<Step> &steps = it->second.steps;
    if (task.step >= static_cast<int>(steps.size()))
        return nullptr;
    const std::vector<Task> &tasks = steps[task.step].tasks;
    return task.index < static_cast<int>(tasks.size()) ? &tasks[task.index] : nullptr;
}

Step initialStep(const StepSpec &spec)
{
    Step step;
    step.tasks.resize(static_cast<std::size_t>(spec.taskCount));
    return step;
}

Occurrence initialOccurrence(const JobSpec &spec)
{
    Occurrence occurrence;
    for (const StepSpec &it : spec.steps)
        occurrence.steps.push_back(initialStep(it));
    return occurrence;
}

} // namespace savorywick::steps
