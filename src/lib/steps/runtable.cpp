#include "savorywick/steps/runtable.h"

#include <algorithm>
#include <limits>

namespace savorywick::steps {

ResourceVector allocationFor(const StepSpec &spec)
{
    ResourceVector allocation = spec.demand;
    if (spec.bestEffort)
        allocation.milliCores = 0;
    return allocation;
}

Run makeRun(const RunKey &key, const StepSpec &spec, const WorkerIncarnation &worker, Instant now)
{
    Run run;
    run.key = key;
    run.workerId = worker.workerId;
    run.incarnation = worker;
    run.startedAt = now;
    run.lastProgressAt = now;
    run.stepReadySince = now;
    run.allocated = allocationFor(spec);
    run.requested = spec.demand;
    run.longRunning = spec.longRunning;
    run.bestEffort = spec.bestEffort;
    run.estimatedDuration = spec.estimatedDuration;
    run.longDuration = spec.estimatedDuration;
    run.latencyTarget = spec.latencyTarget;
    run.image = spec.image;
    return run;
}

Run &RunTable::add(Run run)
{
    const RunKey key = run.key;
    Run &added = m_runs.insert_or_assign(key, std::move(run)).first->second;
    m_workerLoads[added.workerId].runs.insert(key);
    addToLoad(added, 1);
    return added;
}

void RunTable::remove(const RunKey &key)
{
    const auto it = m_runs.find(key);
    if (it == m_runs.end())
        return;
    addToLoad(it->second, -1);
    const auto load = m_workerLoads.find(it->second.workerId);
    load->second.runs.erase(key);
    if (load->second.runs.empty())
        m_workerLoads.erase(load);
    m_runsToStop.erase(key);
    m_runs.erase(it);
}

// Adds the run to the load of its worker if `sign` is 1, and subtracts it if `sign` is -1.
void RunTable::addToLoad(const Run &run, int sign)
{
    WorkerLoad &load = m_workerLoads[run.workerId];
    if (sign > 0)
        load.allocated += run.allocated;
    else
        load.allocated -= run.allocated;
    if (run.bestEffort)
        load.bestEffortMilliCores += sign * run.requested.milliCores;
    if (run.longRunning)
        load.longRunningMilliCores += sign * run.requested.milliCores;
}

Run *RunTable::find(const RunKey &key)
{
    const auto it = m_runs.find(key);
    return it == m_runs.end() ? nullptr : &it->second;
}

const Run *RunTable::find(const RunKey &key) const
{
    const auto it = m_runs.find(key);
    return it == m_runs.end() ? nullptr : &it->second;
}

std::vector<RunKey> RunTable::onWorker(std::string_view worker) const
{
    const auto it = m_workerLoads.find(worker);
    if (it == m_workerLoads.end())
        return {};
    return {it->second.runs.begin(), it->second.runs.end()};
}

std::vector<RunKey> RunTable::ofTask(const TaskRef &task) const
{
    std::vector<RunKey> keys;
    for (auto it = m_runs.lower_bound({task, 0}); it != m_runs.end() && it->first.task == task;
         ++it)
        keys.push_back(it->first);
    return keys;
}

std::vector<RunKey> RunTable::ofJob(const std::string &job) const
{
    std::vector<RunKey> keys;
    for (auto it = m_runs.lower_bound({{job, 0, 0, 0}, 0});
         it != m_runs.end() && it->first.task.job == job; ++it)
        keys.push_back(it->first);
    return keys;
}

std::vector<RunKey> RunTable::ofStep(const StepRef &step) const
{
    std::vector<RunKey> keys;
    const TaskRef first{step.job, step.occurrence, step.step, 0};
    for (auto it = m_runs.lower_bound({first, 0});
         it != m_runs.end() && it->first.task.stepRef() == step; ++it)
        keys.push_back(it->first);
    return keys;
}

bool RunTable::hasRunsOn(std::string_view worker) const
{
    return m_workerLoads.find(worker) != m_workerLoads.end();
}

std::size_t RunTable::unconfirmedCount() const
{
    return std::count_if(m_runs.begin(), m_runs.end(),
                         [](const auto &it) { return it.second.phase != RunPhase::Running; });
}

void RunTable::setIncarnation(const RunKey &key, const WorkerIncarnation &incarnation)
{
    m_runs.at(key).incarnation = incarnation;
}

ResourceVector RunTable::allocated(std::string_view worker) const
{
    const auto it = m_workerLoads.find(worker);
    return it == m_workerLoads.end() ? ResourceVector{} : it->second.allocated;
}

int RunTable::bestEffortMilliCores(std::string_view worker) const
{
    const auto it = m_workerLoads.find(worker);
    return it == m_workerLoads.end() ? 0 : it->second.bestEffortMilliCores;
}

int RunTable::longRunningMilliCores(std::string_view worker) const
{
    const auto it = m_workerLoads.find(worker);
    return it == m_workerLoads.end() ? 0 : it->second.longRunningMilliCores;
}

void RunTable::requestStop(const RunKey &key)
{
    Run *run = find(key);
    if (!run || run->stopRequested)
        return;
    run->stopRequested = true;
    m_runsToStop.insert(key);
}

} // namespace savorywick::steps
