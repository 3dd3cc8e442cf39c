#include "savorywick/batchcontroller.h"

#include <algorithm>

namespace savorywick {

namespace {

constexpr int millisPerSecond = 1'000;
constexpr int fullSpeedPercent = 100;

// Returns the core seconds that are lost if the task is evicted: all its progress, or about one
// second's worth if it can be checkpointed.
double evictionCost(const Job &job, const TaskReport &task)
{
    const double seconds = static_cast<double>(task.progress.count()) / millisPerSecond;
    const double cores = std::max(1, task.usage.cores);
    return job.spec.checkpointable ? cores : cores * seconds;
}

} // namespace

BatchController::BatchController(const BatchControllerSettings &settings)
    : m_interference(settings.interference)
    , m_demandEstimator(settings.demandEstimator)
{ }

void BatchController::setWorkers(std::span<const HostInfo> workers)
{
    std::map<std::string, Worker> known;
    for (const HostInfo &it : workers) {
        m_interference.setWorker(it.id, it.cores);
        Worker worker;
        if (const auto old = m_workers.find(it.id); old != m_workers.end())
            worker = std::move(old->second);
        worker.service = it.service;
        known[it.id] = std::move(worker);
    }
    for (const auto &it : m_workers) {
        if (!known.contains(it.first))
            m_interference.removeWorker(it.first);
    }
    m_workers = std::move(known);
}

void BatchController::observe(const std::string &worker, const LeaseReply &report,
                              JobScheduler &scheduler, Instant now, JobScheduler::Records &records)
{
    resizeAllocations(worker, report, scheduler, now, records);
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || report.urgentP99 <= Millis{0})
        return; // No urgent work runs there that could be slowed down.
    const WorkerSample sample = toSample(worker, report, scheduler, now);
    const InterferenceDecision decision = m_interference.observe(worker, sample, now);
    scheduler.setCoreLimit(worker, decision.batchCoreLimit);
    for (const TaskThrottle &it : decision.throttles) {
        if (!scheduler.throttle(it.task, it.speedPercent))
            continue;
        if (it.speedPercent == fullSpeedPercent)
            found->second.speedPercent.erase(it.task);
        else
            found->second.speedPercent[it.task] = it.speedPercent;
    }
    for (const std::string &it : decision.evictions)
        scheduler.evict(it, now, records);
}

void BatchController::recordStart(const StartTask &start, const JobScheduler &scheduler,
                                  Instant now)
{
    if (const Job *job = scheduler.find(start.job))
        m_interference.recordStart(start.worker, job->spec.runClass, start.demand.cores, now);
}

void BatchController::resizeAllocations(const std::string &worker, const LeaseReply &report,
                                        JobScheduler &scheduler, Instant now,
                                        JobScheduler::Records &records)
{
    for (const TaskReport &it : report.tasks) {
        const Job *job = scheduler.find(it.job);
        if (job == nullptr || it.state != TaskState::Running || job->worker != worker)
            continue;
        m_demandEstimator.observe(job->spec.service, job->spec.runClass, it.usage);
        const Resources allocated = scheduler.ledger().allocatedTo(worker, it.job);
        if (it.usage.memoryMb <= allocated.memoryMb)
            continue;
        Resources demand = allocated;
        demand.memoryMb = it.usage.memoryMb;
        if (!scheduler.updateReservation(it.job, demand))
            scheduler.evict(it.job, now, records);
    }
}

WorkerSample BatchController::toSample(const std::string &worker, const LeaseReply &report,
                                       const JobScheduler &scheduler, Instant now) const
{
    const Worker &known = m_workers.at(worker);
    WorkerSample sample;
    sample.measuredAt = now;
    sample.service = known.service;
    sample.urgentP99Ms = static_cast<double>(report.urgentP99.count());
    if (const auto it = m_targetP99s.find(known.service); it != m_targetP99s.end())
        sample.targetP99Ms = static_cast<double>(it->second.count());
    int batchCores = 0;
    for (const TaskReport &it : report.tasks) {
        const Job *job = scheduler.find(it.job);
        if (job == nullptr || it.state != TaskState::Running)
            continue;
        batchCores += it.usage.cores;
        BatchTaskSample task;
        task.id = it.job;
        task.runClass = job->spec.runClass;
        if (const auto t = known.speedPercent.find(it.job); t != known.speedPercent.end())
            task.speedPercent = t->second;
        task.cores = static_cast<double>(it.usage.cores) * fullSpeedPercent / task.speedPercent;
        task.allocatedCores = scheduler.ledger().allocatedTo(worker, it.job).cores;
        task.evictionCost = evictionCost(*job, it);
        sample.tasks.push_back(std::move(task));
    }
    sample.urgentCores = std::max(0, report.usage.cores - batchCores);
    return sample;
}

} // namespace savorywick
