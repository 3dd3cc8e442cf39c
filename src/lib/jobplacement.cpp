// JobScheduler: the placement of waiting runs on workers.

#include "savorywick/jobscheduler.h"

namespace savorywick {

using internal::JobRecord;
using internal::RecordKind;

// Tells the queue which runs fit on the workers that accept new work at a given time.
class JobScheduler::WorkerFitTest final : public FitChecker
{
public:
    // With `reservation`, one host is kept free for a large run that has waited too long.
    WorkerFitTest(const JobScheduler &scheduler, Instant now,
                  HostReservation *reservation = nullptr)
        : m_scheduler(scheduler)
        , m_hostReservation(reservation)
    {
        for (const std::string &host : scheduler.m_allocations.hosts()) {
            if (!scheduler.acceptsNewWork(host, now))
                m_unavailableWorkers.push_back(host);
        }
    }

    FitResult test(const WaitingItem &item) override
    {
        if (chooseWorker(item))
            return FitResult::Fits;
        const Resources demand = m_scheduler.demandOf(*m_scheduler.find(item.id));
        const HostFitStatus verdict = m_scheduler.m_allocations.fitsAnyHost(demand).status;
        return verdict == HostFitStatus::TooLarge ? FitResult::NotOnAnyHost : FitResult::NotNow;
    }

    bool fitsBeside(const WaitingItem &item, const WaitingItem &reserved) override
    {
        if (m_hostReservation == nullptr)
            return false;
        m_reservedItem = reserved.id;
        m_hostReservation->reserveFor(reserved.id,
                                      m_scheduler.demandOf(*m_scheduler.find(reserved.id)),
                                      m_scheduler.m_allocations);
        return chooseWorker(item).has_value();
    }

    // Returns a worker for the item, or nothing if it fits nowhere now. Workers on which the run
    // has failed are chosen only if it fits on no other.
    std::optional<std::string> chooseWorker(const WaitingItem &item) const
    {
        const Job &job = *m_scheduler.find(item.id);
        std::vector<std::string> unavailable = m_unavailableWorkers;
        if (!m_reservedItem.empty() && item.id != m_reservedItem
            && m_hostReservation->reservedHost())
            unavailable.push_back(*m_hostReservation->reservedHost());
        std::vector<std::string> avoid = unavailable;
        for (const AttemptFailure &failure : job.failures)
            avoid.push_back(failure.worker);
        const Resources demand = m_scheduler.demandOf(job);
        PlacementRequest request{job.spec.service, job.spec.runClass, demand, avoid};
        const Placement &placement = *m_scheduler.m_placement;
        auto worker = placement.choose(request, m_scheduler.m_allocations, m_scheduler.m_cost);
        if (worker || job.failures.empty())
            return worker;
        request.excludedHosts = unavailable;
        return placement.choose(request, m_scheduler.m_allocations, m_scheduler.m_cost);
    }

    // Excludes a worker from further choices.
    void exclude(const std::string &worker) { m_unavailableWorkers.push_back(worker); }

private:
    const JobScheduler &m_scheduler;
    HostReservation *m_hostReservation;
    std::string m_reservedItem; // The item that has the host reservation; empty if none.
    std::vector<std::string> m_unavailableWorkers;
};

bool JobScheduler::acceptsNewWork(const std::string &worker, Instant now) const
{
    const auto blocked = m_blockedUntil.find(worker);
    if (!m_leases.isUsable(worker, now)
        || (blocked != m_blockedUntil.end() && now < blocked->second))
        return false;
    const WorkerAvailability standing = m_quarantine.availability(worker, now);
    return standing == WorkerAvailability::Available || standing == WorkerAvailability::ProbeDue;
}

std::vector<LiveWork> JobScheduler::liveWork(std::string_view service) const
{
    std::map<std::string, int> runs;
    std::map<std::string, int> watchers;
    for (const auto &it : m_table.jobs()) {
        const Job &job = it.second;
        if (job.spec.service == service && !isFinal(job.state))
            ++(job.isWatcher ? watchers : runs)[job.spec.runClass];
    }
    std::vector<LiveWork> result;
    result.reserve(runs.size() + watchers.size());
    for (const auto &it : runs)
        result.push_back({BatchKind::Run, it.first, it.second});
    for (const auto &it : watchers)
        result.push_back({BatchKind::Watcher, it.first, it.second});
    return result;
}

OldestWaiting JobScheduler::oldestWaiting(Instant now) const
{
    WorkerFitTest fit(*this, now);
    return m_queue.oldest(fit);
}

// Returns the resources to allocate to a run. A learned size that exceeds the capacity of every
// worker is ignored, since the run could never be placed.
Resources JobScheduler::demandOf(const Job &job) const
{
    const Resources &declared = job.spec.demand;
    if (m_demandEstimator == nullptr)
        return declared;
    const Resources learned =
        m_demandEstimator->estimate(job.spec.service, job.spec.runClass, declared);
    const bool possible = m_allocations.fitsAnyHost(learned).status == HostFitStatus::Fits;
    return possible ? learned : declared;
}

bool JobScheduler::updateReservation(const std::string &id, const Resources &demand)
{
    const Job *job = find(id);
    return job != nullptr && hasActiveAttempt(job->state)
        && m_allocations.resize(job->worker, id, demand);
}

void JobScheduler::placeWaitingRuns(Instant now, Records &records)
{
    if (m_queue.waitingCount() == 0)
        return;
    WorkerFitTest fit(*this, now, &m_hostReservation);
    for (int n = 0; n < m_settings.maxPlacementsPerTick; ++n) {
        const auto item = m_queue.pop(now, fit);
        if (!item)
            return;
        const std::string worker = fit.chooseWorker(*item).value();
        if (m_quarantine.beginProbe(worker, now))
            fit.exclude(worker);
        placeRun(item->id, worker, now, records);
    }
}

void JobScheduler::placeRun(const std::string &id, const std::string &worker, Instant now,
                            Records &records)
{
    const Job &job = *find(id);
    m_allocations.allocate(worker, id, demandOf(job));
    JobRecord r;
    r.kind = RecordKind::Place;
    r.id = id;
    r.attempt = job.attempt + 1;
    r.worker = worker;
    r.incarnation = m_leases.incarnation(worker);
    applyAndRecord(std::move(r), now, records);
    ++m_counters.placed;
    issueCall(id, now);
}

} // namespace savorywick
