// The part of Coordinator that starts gangs: all of their tasks at once, or none.

#include "savorywick/steps/coordinator.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace savorywick::steps {

namespace {

void addIfMissing(std::vector<CandidateWorker> &workers, const CandidateWorker &added)
{
    const std::string &id = added.info->incarnation.workerId;
    const bool known = std::any_of(workers.begin(), workers.end(), [&](const CandidateWorker &it) {
        return it.info->incarnation.workerId == id;
    });
    if (!known)
        workers.push_back(added);
}

} // namespace

// Adds the workers to the pass that members of the gang must go to, and that are blocked for other
// tasks. Returns how many it had before: the others are to be closed to other tasks.
std::size_t Coordinator::addWorkersOfGang(const ReadyStep &step, PlacementPass &pass, Instant now)
{
    const std::size_t before = pass.workers.size();
    for (int i = 0; i < step.spec->taskCount; ++i) {
        const TaskRef task{step.ref.job, step.ref.occurrence, step.ref.step, i};
        const std::string *id = m_unansweredStarts.workerFor(task);
        const auto worker = id ? m_workers.find(*id) : m_workers.end();
        if (worker != m_workers.end() && mayRetryOn(worker->second, task, now))
            addIfMissing(pass.workers, candidateOf(worker->second, {}, now));
    }
    return before;
}

// Returns the indexes of workers for all tasks of the gang, by task, or nothing if there are none.
// Tasks that must go to their workers come first.
std::vector<std::size_t> Coordinator::chooseForGang(const ReadyStep &step,
                                                    PlacementConstraints constraints,
                                                    std::vector<CandidateWorker> workers) const
{
    const auto taskAt = [&](int index) {
        return TaskRef{step.ref.job, step.ref.occurrence, step.ref.step, index};
    };
    std::vector<int> order(step.spec->taskCount);
    std::iota(order.begin(), order.end(), 0);
    std::stable_partition(order.begin(), order.end(),
                          [&](int it) { return m_unansweredStarts.workerFor(taskAt(it)); });
    WorkerChooser chooser(*step.spec, constraints, workers);
    std::vector<std::size_t> chosen(step.spec->taskCount);
    for (const int index : order) {
        const std::string *required = m_unansweredStarts.workerFor(taskAt(index));
        const auto it = required ? chooser.chooseOnly(*required) : chooser.choose();
        if (!it)
            return {};
        chosen[index] = *it;
        workers[*it].available -= allocationFor(*step.spec);
        ++constraints.tasksPerWorker[workers[*it].info->incarnation.workerId];
        constraints.currentRack = workers[*it].info->rack;
        chooser.noteTask(*it);
    }
    return chosen;
}

// Starts all tasks of the gang under one run number, or none. Returns true if and only if it did.
bool Coordinator::placeGang(const ReadyStep &step, PlacementPass &pass, ClockReading now)
{
    PlacementConstraints constraints = constraintsFor(step.ref, now.monotonic);
    if (!constraints.tasksPerWorker.empty())
        return false; // Members of the previous run have not ended yet.
    const std::vector<int> members = tasksToStart(step.ref);
    constraints.onProbation = std::any_of(members.begin(), members.end(), [&](int index) {
        return isSuspected({step.ref.job, step.ref.occurrence, step.ref.step, index});
    });
    const std::size_t usableWorkers = addWorkersOfGang(step, pass, now.monotonic);
    const std::vector<std::size_t> chosen =
        chooseForGang(step, std::move(constraints), pass.workers);
    for (std::size_t i = usableWorkers; i < pass.workers.size(); ++i)
        pass.workers[i].closeToTasks();
    if (chosen.empty())
        return false;
    int run = 0;
    for (int i = 0; i < step.spec->taskCount; ++i) {
        const Task *known =
            step.job->findTask({step.ref.job, step.ref.occurrence, step.ref.step, i});
        run = std::max(run, known ? known->lastRunNumber : 0);
    }
    for (int i = 0; i < step.spec->taskCount; ++i)
        startRun({step.ref.job, step.ref.occurrence, step.ref.step, i}, run + 1, *step.spec,
                 pass.workers[chosen[i]], now);
    return true;
}

} // namespace savorywick::steps
