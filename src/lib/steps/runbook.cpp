#include "savorywick/steps/runbook.h"

#include <limits>

namespace savorywick::steps {

Demand bookingOf(const StepSpec &spec)
{
    Demand allocation = spec.demand;
    if (spec.fillIn)
        allocation.milliCores = 0;
    return allocation;
}

Run newRun(const RunKey &key, const StepSpec &spec, const WorkerLife &worker, Instant now)
{
    Run run;
    run.key = key;
    run.worker = worker.id;
    run.life = worker;
    run.startedAt = now;
    run.progressAt = now;
    run.booked = bookingOf(spec);
    run.declared = spec.demand;
    run.standing = spec.standing;
    run.fillIn = spec.fillIn;
    run.estimate = spec.estimate;
    run.latencyTarget = spec.latencyTarget;
    run.image = spec.image;
    return run;
}

Run &RunBook::add(Run run)
{
    const RunKey key = run.key;
    Run &added = m_runs.insert_or_assign(key, std::move(run)).first->second;
    m_workerLoads[added.worker].runs.insert(key);
    addToLoad(added, 1);
    return added;
}

void RunBook::remove(const RunKey &key)
{
    const auto it = m_runs.find(key);
    if (it == m_runs.end())
        return;
    addToLoad(it->second, -1);
    const auto load = m_workerLoads.find(it->second.worker);
    load->second.runs.erase(key);
    if (load->second.runs.empty())
        m_workerLoads.erase(load);
    m_runsToStop.erase(key);
    m_runs.erase(it);
}

// Adds the run to the load of its worker if `sign` is 1, and subtracts it if `sign` is -1.
void RunBook::addToLoad(const Run &run, int sign)
{
    WorkerLoad &load = m_workerLoads[run.worker];
    if (sign > 0)
        load.allocated += run.booked;
    else
        load.allocated -= run.booked;
    if (run.fillIn)
        load.bestEffortMilliCores += sign * run.declared.milliCores;
    if (run.standing)
        load.longRunningMilliCores += sign * run.declared.milliCores;
}

Run *RunBook::find(const RunKey &key)
{
    const auto it = m_runs.find(key);
    return it == m_runs.end() ? nullptr : &it->second;
}

const Run *RunBook::find(const RunKey &key) const
{
    const auto it = m_runs.find(key);
    return it == m_runs.end() ? nullptr : &it->second;
}

std::vector<RunKey> RunBook::onWorker(std::string_view worker) const
{
    const auto it = m_workerLoads.find(worker);
    if (it == m_workerLoads.end())
        return {};
    return {it->second.runs.begin(), it->second.runs.end()};
}

std::vector<RunKey> RunBook::ofTask(const TaskRef &task) const
{
    std::vector<RunKey> keys;
    for (auto it = m_runs.lower_bound({task, 0}); it != m_runs.end() && it->first.task == task;
         ++it)
        keys.push_back(it->first);
    return keys;
}

std::vector<RunKey> RunBook::ofJob(const std::string &job) const
{
    std::vector<RunKey> keys;
    for (auto it = m_runs.lower_bound({{job, 0, 0, 0}, 0});
         it != m_runs.end() && it->first.task.job == job; ++it)
        keys.push_back(it->first);
    return keys;
}

std::vector<RunKey> RunBook::ofStep(const StepRef &step) const
{
    std::vector<RunKey> keys;
    const TaskRef first{step.job, step.occurrence, step.step, 0};
    for (auto it = m_runs.lower_bound({first, 0});
         it != m_runs.end() && it->first.task.stepRef() == step; ++it)
        keys.push_back(it->first);
    return keys;
}

bool RunBook::hasRuns(std::string_view worker) const
{
    return m_workerLoads.find(worker) != m_workerLoads.end();
}

void RunBook::setLife(const RunKey &key, const WorkerLife &incarnation)
{
    m_runs.at(key).life = incarnation;
}

Demand RunBook::booked(std::string_view worker) const
{
    const auto it = m_workerLoads.find(worker);
    return it == m_workerLoads.end() ? Demand{} : it->second.allocated;
}

int RunBook::fillInCores(std::string_view worker) const
{
    const auto it = m_workerLoads.find(worker);
    return it == m_workerLoads.end() ? 0 : it->second.bestEffortMilliCores;
}

int RunBook::standingCores(std::string_view worker) const
{
    const auto it = m_workerLoads.find(worker);
    return it == m_workerLoads.end() ? 0 : it->second.longRunningMilliCores;
}

void RunBook::stop(const RunKey &key)
{
    Run *run = find(key);
    if (!run || run->stopping)
        return;
    run->stopping = true;
    m_runsToStop.insert(key);
}

} // namespace savorywick::steps
