#include "savorywick/steps/backlogestimator.h"

#include "savorywick/steps/placement.h"

#include <algorithm>
#include <limits>

namespace savorywick::steps {

namespace {

// Jobs whose latest starts fall into one slot count as equal, which bounds the work of a sum.
constexpr std::int64_t slotMs = 250;
constexpr int fullPercent = 100;

std::size_t indexOf(ProcessorClass processors)
{
    return static_cast<std::size_t>(processors);
}

} // namespace

Millis DurationPredictor::predict(const JobSpec &job, int step) const
{
    return job.steps[static_cast<std::size_t>(step)].estimatedDuration;
}

std::string_view toString(ProcessorClass processors)
{
    return processors == ProcessorClass::Booked ? "booked" : "best-effort";
}

BacklogEstimator::BacklogEstimator(const BacklogSettings &settings)
    : m_settings(settings)
{ }

bool BacklogEstimator::counts(const JobSpec &spec)
{
    const bool longRunning = std::any_of(spec.steps.begin(), spec.steps.end(),
                                         [](const StepSpec &it) { return it.longRunning; });
    return !longRunning && spec.schedule.occurrenceCount == 0
        && relativeDeadlineOf(spec) > Millis{0};
}

std::vector<BacklogEstimator::StepState> BacklogEstimator::stepsOf(const JobSpec &spec) const
{
    std::vector<StepState> steps(spec.steps.size());
    for (std::size_t i = steps.size(); i-- > 0;) {
        const StepSpec &step = spec.steps[i];
        StepState &state = steps[i];
        state.duration = m_durations->predict(spec, static_cast<int>(i));
        state.taskWork = state.duration.count() * step.demand.milliCores;
        state.processors = step.bestEffort ? ProcessorClass::BestEffort : ProcessorClass::Booked;
        state.tasks = step.taskCount;
        state.dependsOn = step.dependsOn;
        state.pathLength = state.pathLength + state.duration;
        for (const int predecessor : step.dependsOn) {
            Millis &length = steps[static_cast<std::size_t>(predecessor)].pathLength;
            length = std::max(length, state.pathLength);
        }
    }
    return steps;
}

JobDemand BacklogEstimator::demandOf(const JobSpec &spec) const
{
    JobDemand demand;
    demand.relativeDeadline = relativeDeadlineOf(spec);
    for (const StepState &it : stepsOf(spec)) {
        demand.work[indexOf(it.processors)] += it.taskWork * it.tasks;
        demand.criticalPath = std::max(demand.criticalPath, it.pathLength);
    }
    return demand;
}

void BacklogEstimator::addJob(const Job &job)
{
    const JobSpec &spec = job.spec;
    if (isFinal(job.state) || !counts(spec) || m_jobs.contains(spec.id))
        return;
    Entry entry;
    entry.service = spec.policy.service;
    entry.priority = spec.policy.priority;
    const std::int64_t relativeMs = relativeDeadlineOf(spec).count();
    entry.deadlineWallMs = job.acceptedWallMs + relativeMs;
    entry.uselessWallMs = job.acceptedWallMs + relativeMs * m_settings.usefulDeadlines;
    entry.steps = stepsOf(spec);
    if (const auto it = job.occurrences.find(0); it != job.occurrences.end()) {
        entry.started = true;
        for (std::size_t s = 0; s < entry.steps.size(); ++s) {
            entry.steps[s].done = it->second.steps[s].doneTasks;
            for (const Task &task : it->second.steps[s].tasks)
                entry.steps[s].running += static_cast<int>(task.activeRuns.size());
        }
    }
    refresh(spec.id, m_jobs.emplace(spec.id, std::move(entry)).first->second);
}

void BacklogEstimator::recordStart(const TaskRef &task)
{
    const auto it = m_jobs.find(task.job);
    if (it == m_jobs.end())
        return;
    it->second.started = true;
    ++it->second.steps[static_cast<std::size_t>(task.step)].running;
    refresh(task.job, it->second);
}

void BacklogEstimator::recordEnd(const Job &job, const TaskRef &task)
{
    const auto it = m_jobs.find(task.job);
    if (it == m_jobs.end())
        return;
    Entry &entry = it->second;
    StepState &step = entry.steps[static_cast<std::size_t>(task.step)];
    step.running = std::max(0, step.running - 1);
    const auto occurrence = job.occurrences.find(task.occurrence);
    if (occurrence != job.occurrences.end()) {
        const int done = occurrence->second.steps[static_cast<std::size_t>(task.step)].doneTasks;
        recordDone(entry, step, done - step.done);
        step.done = done;
    }
    if (isFinal(job.state))
        removeJob(task.job);
    else
        refresh(task.job, entry);
}

void BacklogEstimator::recordDone(const Entry &entry, const StepState &step, int tasks)
{
    Pool &pool = findOrAddPool({entry.service, step.processors});
    const Group group = entry.contribution.group;
    for (int i = 0; i < tasks; ++i) {
        pool.rate.recordEnd(step.taskWork);
        if (group == Group::Late || group == Group::Useless)
            pool.lateRate.recordEnd(step.taskWork);
    }
}

void BacklogEstimator::removeJob(const std::string &id)
{
    const auto it = m_jobs.find(id);
    if (it == m_jobs.end())
        return;
    detach(id, it->second);
    m_jobs.erase(it);
}

void BacklogEstimator::advance(Instant now, std::int64_t wallMs)
{
    m_now = now;
    m_wallMs = wallMs;
    while (!m_changes.empty() && m_changes.begin()->first <= wallMs) {
        const std::string id = m_changes.begin()->second;
        refresh(id, m_jobs.at(id));
    }
    for (auto &[key, pool] : m_pools)
        advancePool(pool);
}

void BacklogEstimator::advancePool(Pool &pool) const
{
    const Millis taskDuration{pool.running > 0 ? pool.runningTimesDuration / pool.running : 0};
    const bool workWaits = pool.waitingJobs >= m_settings.minWaitingJobs && pool.running > 0
        && pool.waiting * fullPercent >= pool.running * m_settings.minWaitingPercent;
    const bool lateWorkWaits = workWaits && pool.lateWaitingJobs >= m_settings.minWaitingJobs;
    pool.rate.advance(m_now, workWaits, taskDuration);
    pool.lateRate.advance(m_now, lateWorkWaits, taskDuration);
}

bool BacklogEstimator::isReady(const Entry &entry, const StepState &step)
{
    return std::all_of(step.dependsOn.begin(), step.dependsOn.end(), [&](int predecessor) {
        const StepState &before = entry.steps[static_cast<std::size_t>(predecessor)];
        return before.done >= before.tasks;
    });
}

// Returns the latest time at which the tasks that wait can start and the job still meets its
// deadline; the deadline if none waits.
std::int64_t BacklogEstimator::latestStartOf(const Entry &entry)
{
    Millis longest;
    for (const StepState &it : entry.steps) {
        if (it.done + it.running < it.tasks && isReady(entry, it))
            longest = std::max(longest, it.pathLength);
    }
    return entry.deadlineWallMs - longest.count();
}

// Returns what the job adds to the sums now, and sets when that changes with time alone.
BacklogEstimator::Contribution BacklogEstimator::contributionOf(Entry &entry) const
{
    Contribution c;
    const std::int64_t latestStart = latestStartOf(entry);
    c.slot = latestStart / slotMs;
    entry.nextChangeWallMs = 0;
    if (m_wallMs >= entry.uselessWallMs)
        return c;
    const bool late = m_wallMs > latestStart;
    entry.nextChangeWallMs = late ? entry.uselessWallMs : latestStart + 1;
    c.group = entry.started ? Group::Started : Group::Waiting;
    if (late)
        c.group = Group::Late;
    for (const StepState &it : entry.steps) {
        const std::size_t i = indexOf(it.processors);
        const int open = std::max(0, it.tasks - it.done);
        const int running = std::min(it.running, open);
        const std::int64_t runningWork = it.taskWork * running;
        c.work[i] += it.taskWork * open - runningWork / 2;
        c.running[i] += runningWork;
        c.runningTimesDuration[i] += runningWork * it.duration.count();
        if (isReady(entry, it))
            c.waiting[i] += it.taskWork * (open - running);
    }
    return c;
}

BacklogEstimator::Pool &BacklogEstimator::findOrAddPool(const ProcessorPool &pool)
{
    const auto it = m_pools.find(pool);
    if (it != m_pools.end())
        return it->second;
    Pool added{.rate = DrainRate(m_settings.rate), .lateRate = DrainRate(m_settings.rate)};
    return m_pools.emplace(pool, std::move(added)).first->second;
}

void BacklogEstimator::addContribution(const Entry &entry, int sign)
{
    const Contribution &c = entry.contribution;
    if (c.group == Group::Useless)
        return;
    for (const ProcessorClass processors : processorClasses) {
        const std::size_t i = indexOf(processors);
        if (c.work[i] == 0)
            continue;
        Pool &pool = findOrAddPool({entry.service, processors});
        Level &level = pool.levels[{entry.priority, c.group}];
        level.total += sign * c.work[i];
        std::int64_t &slot = level.bySlot[c.slot];
        slot += sign * c.work[i];
        if (slot == 0)
            level.bySlot.erase(c.slot);
        pool.work += sign * c.work[i];
        pool.waiting += sign * c.waiting[i];
        pool.running += sign * c.running[i];
        pool.runningTimesDuration += sign * c.runningTimesDuration[i];
        const int jobs = c.waiting[i] > 0 ? sign : 0;
        pool.waitingJobs += jobs;
        pool.lateWaitingJobs += c.group == Group::Late ? jobs : 0;
    }
}

void BacklogEstimator::detach(const std::string &id, Entry &entry)
{
    addContribution(entry, -1);
    m_changes.erase({entry.nextChangeWallMs, id});
}

// Updates the sums after a change of the job or of the time.
void BacklogEstimator::refresh(const std::string &id, Entry &entry)
{
    detach(id, entry);
    entry.contribution = contributionOf(entry);
    addContribution(entry, 1);
    if (entry.nextChangeWallMs != 0)
        m_changes.emplace(entry.nextChangeWallMs, id);
}

// Adds the work up to the slot. What can't be completed until its latest start, by the rate, will
// be late and then yields.
void BacklogEstimator::addInTime(const Level &level, std::int64_t lastSlot,
                                 PoolBacklog &backlog) const
{
    for (const auto &[slot, work] : level.bySlot) {
        if (slot > lastSlot)
            return;
        std::int64_t completed = work;
        if (backlog.hasRate) {
            const auto timeLeft = static_cast<double>((slot + 1) * slotMs - m_wallMs);
            const auto possible = static_cast<std::int64_t>(backlog.assumedRate * timeLeft);
            completed = std::clamp<std::int64_t>(possible - backlog.inTimeAhead, 0, work);
        }
        backlog.inTimeAhead += completed;
        backlog.lateAhead += work - completed;
    }
}

PoolBacklog BacklogEstimator::backlogBefore(const ProcessorPool &key, const BacklogRank &rank) const
{
    constexpr std::int64_t anySlot = std::numeric_limits<std::int64_t>::max();
    PoolBacklog backlog;
    const auto it = m_pools.find(key);
    if (it == m_pools.end())
        return backlog;
    const Pool &pool = it->second;
    const double factor = static_cast<double>(m_settings.ratePercent) / fullPercent;
    backlog.work = pool.work;
    backlog.hasRate = pool.rate.hasEvidence();
    backlog.rate = pool.rate.milliCores();
    backlog.assumedRate = backlog.rate * factor;
    backlog.hasLateRate = backlog.hasRate && pool.lateRate.measuredLongEnough();
    backlog.assumedLateRate = pool.lateRate.milliCores() * factor;
    backlog.rateAge = pool.rate.age();
    for (const auto &[place, level] : pool.levels) {
        if (place.priority > rank.priority)
            break;
        const bool comesAfterSome =
            place.priority == rank.priority && place.group == Group::Waiting;
        if (place.group == Group::Late)
            backlog.lateAhead += level.total;
        else
            addInTime(level, comesAfterSome ? rank.latestStartWallMs / slotMs : anySlot, backlog);
    }
    return backlog;
}

std::vector<ProcessorPool> BacklogEstimator::pools() const
{
    std::vector<ProcessorPool> keys;
    for (const auto &[key, pool] : m_pools)
        keys.push_back(key);
    return keys;
}

} // namespace savorywick::steps
