#include "savorywick/steps/preemption.h"

#include <algorithm>
#include <tuple>

namespace savorywick::steps {

namespace {

// A run that may be preempted for a step.
struct Choice
{
    std::size_t index = 0; // Of the PreemptibleRun.
    ResourceVector allocated;
    Millis loss;
};

// Returns true if and only if the run holds some of what `demand` lacks.
bool holdsMissing(const ResourceVector &allocated, const ResourceVector &demand,
                  const ResourceVector &room)
{
    return (demand.milliCores > room.milliCores && allocated.milliCores > 0)
        || (demand.memoryMb > room.memoryMb && allocated.memoryMb > 0)
        || (demand.accelerators > room.accelerators && allocated.accelerators > 0);
}

bool fitsWith(const ResourceVector &demand, ResourceVector room, const ResourceVector &freed)
{
    room += freed;
    return demand.fitsIn(room);
}

// Returns a set of the choices, which are sorted by loss, that makes room for `demand`; empty if
// there is none. Takes those with the least loss, then leaves out those that proved unnecessary,
// the costliest first.
std::vector<Choice> smallestLossFirst(std::span<const Choice> choices, const ResourceVector &demand,
                                      ResourceVector room)
{
    std::vector<Choice> selected;
    for (const Choice &it : choices) {
        if (demand.fitsIn(room))
            break;
        if (!holdsMissing(it.allocated, demand, room))
            continue;
        room += it.allocated;
        selected.push_back(it);
    }
    if (!demand.fitsIn(room))
        return {};
    for (std::size_t i = selected.size(); i-- > 0;) {
        ResourceVector without = room;
        without -= selected[i].allocated;
        if (!demand.fitsIn(without))
            continue;
        room = without;
        selected.erase(selected.begin() + static_cast<std::ptrdiff_t>(i));
    }
    return selected;
}

PreemptionPlan planFor(std::span<const Choice> selected)
{
    PreemptionPlan plan;
    for (const Choice &it : selected) {
        plan.runs.push_back(it.index);
        plan.loss = plan.loss + it.loss;
    }
    return plan;
}

bool isCheaper(const PreemptionPlan &a, const PreemptionPlan &b)
{
    return std::make_tuple(a.loss, a.runs.size()) < std::make_tuple(b.loss, b.runs.size());
}

// Returns the plan of the two that is cheaper; nothing if there is neither.
std::optional<PreemptionPlan> cheaperOf(std::optional<PreemptionPlan> a,
                                        std::optional<PreemptionPlan> b)
{
    if (!a || !b)
        return a ? a : b;
    return isCheaper(*b, *a) ? b : a;
}

bool hasFailedOn(const PlacementConstraints &constraints, const std::string &worker)
{
    const std::vector<std::string> &failed = constraints.avoidedWorkers;
    return std::find(failed.begin(), failed.end(), worker) != failed.end();
}

} // namespace

std::string_view toString(ReservationEnd end)
{
    switch (end) {
    case ReservationEnd::Placed:
        return "placed";
    case ReservationEnd::NotNeeded:
        return "not-needed";
    case ReservationEnd::Expired:
        return "expired";
    }
    return "unnamed";
}

bool PreemptionPlanner::mayPlan(Instant now) const
{
    return m_settings.enabled && now >= m_nextPlanAt && hasFreeReservation();
}

bool PreemptionPlanner::hasFreeReservation() const
{
    return static_cast<int>(m_reservations.size()) < m_settings.maxReservations;
}

bool PreemptionPlanner::isUrgent(const ReadyStep &step) const
{
    const StepSpec &spec = *step.spec;
    return !spec.longRunning && !spec.bestEffort && !spec.gang
        && step.laxity >= m_settings.minLaxity && step.laxity <= m_settings.maxLaxity;
}

// Returns what the preemption of the run costs if its room is then occupied for some time: the work
// to do again, the time to restore it, and by how much later than its deadline its job becomes.
Millis PreemptionPlanner::lossOf(const PreemptibleRun &run, Millis occupied) const
{
    const Millis repeated = run.lostWork + m_settings.restoreTime;
    const Millis allowedDelay = std::max(run.laxity, Millis{0});
    const Millis addedLateness = std::max(repeated + occupied - allowedDelay, Millis{0});
    return repeated + addedLateness;
}

bool PreemptionPlanner::mayBePreempted(const PreemptibleRun &run, const ReadyStep &step) const
{
    const bool isFirstRun = run.key.number <= 1;
    return run.priority > step.job->spec.policy.priority
        && run.remainingWork >= m_settings.minRemainingWork
        && (isFirstRun || run.age >= m_settings.protection);
}

std::map<std::string, PreemptionPlanner::Vacating, std::less<>>
PreemptionPlanner::vacatingByWorker(Instant now) const
{
    std::map<std::string, Vacating, std::less<>> vacating;
    for (const auto &[key, run] : m_stoppingRuns) {
        Vacating &it = vacating[run.worker];
        it.allocated += run.allocated;
        it.overdue = it.overdue || now - run.since >= m_settings.reservationTerm;
    }
    return vacating;
}

// Returns the cheapest plan for the worker, where `room` is what will be free there anyway. Several
// runs with little loss are compared with the single run that suffices.
std::optional<PreemptionPlan> PreemptionPlanner::planOn(const PreemptionWorker &worker,
                                                        const ReadyStep &step,
                                                        ResourceVector room) const
{
    const ResourceVector demand = allocationFor(*step.spec);
    if (demand.fitsIn(room))
        return PreemptionPlan{};
    std::vector<Choice> choices;
    for (std::size_t i = 0; i < worker.runs.size(); ++i) {
        const PreemptibleRun &run = worker.runs[i];
        if (mayBePreempted(run, step))
            choices.push_back({i, run.allocated, lossOf(run, step.spec->estimatedDuration)});
    }
    std::stable_sort(choices.begin(), choices.end(),
                     [](const Choice &a, const Choice &b) { return a.loss < b.loss; });
    std::optional<PreemptionPlan> several;
    const std::vector<Choice> selected = smallestLossFirst(choices, demand, room);
    if (!selected.empty() && static_cast<int>(selected.size()) <= m_settings.maxRunsPerPlan)
        several = planFor(selected);
    std::optional<PreemptionPlan> single;
    const auto sufficient = std::find_if(choices.begin(), choices.end(), [&](const Choice &it) {
        return fitsWith(demand, room, it.allocated);
    });
    if (sufficient != choices.end())
        single = planFor({&*sufficient, 1});
    return cheaperOf(several, single);
}

std::optional<PreemptionPlan> PreemptionPlanner::plan(const ReadyStep &step,
                                                      const PlacementConstraints &constraints,
                                                      std::span<const PreemptionWorker> workers,
                                                      Instant now) const
{
    const auto vacating = vacatingByWorker(now);
    std::optional<PreemptionPlan> best;
    for (std::size_t i = 0; i < workers.size(); ++i) {
        const CandidateWorker &candidate = *workers[i].candidate;
        const WaitReason reason = waitReasonOf(*step.spec, constraints, {&candidate, 1});
        if (reason == WaitReason::Room)
            return {};
        const std::string &id = candidate.info->incarnation.workerId;
        const auto leaving = vacating.find(id);
        const bool overdue = leaving != vacating.end() && leaving->second.overdue;
        if (reason != WaitReason::NoRoom || overdue || candidate.avoided || candidate.hasProbation
            || hasFailedOn(constraints, id))
            continue;
        ResourceVector room = candidate.available;
        if (leaving != vacating.end())
            room += leaving->second.allocated;
        std::optional<PreemptionPlan> found = planOn(workers[i], step, room);
        if (found)
            found->worker = i;
        best = cheaperOf(best, found);
    }
    return best;
}

void PreemptionPlanner::apply(const PreemptionPlan &plan, const ReadyStep &step,
                              std::span<PreemptionWorker> workers, Instant now)
{
    PreemptionWorker &worker = workers[plan.worker];
    const std::string &id = worker.candidate->info->incarnation.workerId;
    const ResourceVector demand = allocationFor(*step.spec);
    const Millis term = std::min(m_settings.reservationTerm, step.laxity);
    m_reservations.push_back({step.ref, id, demand, now, now + term});
    withhold(*worker.candidate, demand);
    std::vector<std::size_t> indexes = plan.runs;
    std::sort(indexes.rbegin(), indexes.rend());
    for (const std::size_t index : indexes) {
        const PreemptibleRun &run = worker.runs[index];
        m_stoppingRuns[run.key] = {id, run.allocated, now};
        worker.runs.erase(worker.runs.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

int PreemptionPlanner::reservationCount(const StepRef &step) const
{
    return static_cast<int>(std::count_if(m_reservations.begin(), m_reservations.end(),
                                          [&](const Reservation &it) { return it.step == step; }));
}

void PreemptionPlanner::withholdReserved(std::span<CandidateWorker> workers) const
{
    for (const Reservation &it : m_reservations) {
        if (CandidateWorker *worker = findWorker(workers, it.worker))
            withhold(*worker, it.demand);
    }
}

void PreemptionPlanner::noteEnd(const RunKey &key, Instant now)
{
    if (m_stoppingRuns.erase(key) > 0)
        m_waitingTasks[key.task] = now;
}

bool PreemptionPlanner::isPreempted(const StepRef &step, Instant now) const
{
    const TaskRef first{step.job, step.occurrence, step.step, 0};
    for (auto it = m_waitingTasks.lower_bound(first);
         it != m_waitingTasks.end() && it->first.stepRef() == step; ++it) {
        if (now - it->second < m_settings.precedenceTerm)
            return true;
    }
    return false;
}

void PreemptionPlanner::expire(Instant now)
{
    std::erase_if(m_waitingTasks,
                  [&](const auto &it) { return now - it.second >= m_settings.precedenceTerm; });
}

CandidateWorker *findWorker(std::span<CandidateWorker> workers, std::string_view id)
{
    const auto it = std::lower_bound(workers.begin(), workers.end(), id,
                                     [](const CandidateWorker &worker, std::string_view wanted) {
                                         return worker.info->incarnation.workerId < wanted;
                                     });
    const bool found = it != workers.end() && it->info->incarnation.workerId == id;
    return found ? &*it : nullptr;
}

void withhold(CandidateWorker &worker, const ResourceVector &demand)
{
    worker.available -= demand;
    worker.idleMilliCores -= demand.milliCores;
}

} // namespace savorywick::steps
