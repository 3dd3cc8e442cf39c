#include "savorywick/steps/crashjudge.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <unordered_map>

namespace savorywick::steps {

namespace {

using LostLifeEntry = JobTable::LostLives::value_type;

constexpr std::string_view notBack = "not-back";

// Returns those of the runs that were started within `window` before the worker was lost.
std::vector<RunObservation> startedWithin(std::span<const RunObservation> runs,
                                          const LifeObservation &life, Millis window)
{
    std::vector<RunObservation> started;
    std::copy_if(runs.begin(), runs.end(), std::back_inserter(started),
                 [&](const RunObservation &it) { return life.lostAt() - it.startedAt <= window; });
    return started;
}

// Lost lives by what the list of workers names.
struct LostLifeIndex
{
    std::unordered_multimap<std::string_view, const LostLifeEntry *> byId;
    std::unordered_multimap<std::string_view, const LostLifeEntry *> byAddress;
};

LostLifeIndex indexOf(const JobTable::LostLives &lives)
{
    LostLifeIndex index;
    for (const LostLifeEntry &it : lives) {
        index.byId.emplace(it.first.workerId, &it);
        if (!it.second.address.empty())
            index.byAddress.emplace(it.second.address, &it);
    }
    return index;
}

// Returns true if the worker has started later than the life. Of a life whose start is not known
// that can't be told.
bool startedLater(const WorkerInfo &worker, const WorkerIncarnation &life)
{
    return life.startedWallMs != 0 && worker.incarnation.startedWallMs > life.startedWallMs;
}

// Returns what the worker's entry tells of the life, if anything.
std::optional<LifeSettlement> settleBy(const WorkerInfo &worker, const WorkerIncarnation &life)
{
    if (worker.incarnation == life && worker.draining)
        return LifeSettlement{life, LifeVerdict::NotCrashed, "draining"};
    if (!startedLater(worker, life))
        return {};
    const bool sameId = worker.incarnation.workerId == life.workerId;
    return LifeSettlement{life, LifeVerdict::Crashed, sameId ? "restarted" : "other-life"};
}

} // namespace

CrashJudge::CrashJudge(const CrashJudgeSettings &settings)
    : m_settings(settings)
{ }

bool CrashJudge::hasCrashed(const LifeObservation &life, Instant now) const
{
    const Millis silence = life.closedAt.value_or(now) - life.lastAnswerAt;
    return !life.draining && silence <= m_settings.maxSilenceBeforeCrash;
}

bool CrashJudge::mayHaveCrashed(const LifeObservation &life, Instant now) const
{
    return life.closedAt && hasCrashed(life, now);
}

std::vector<CrashSuspect> CrashJudge::findSuspects(const LifeObservation &life,
                                                   std::span<const RunObservation> runs,
                                                   Instant now)
{
    const std::vector<RunObservation> recent = startedWithin(runs, life, m_settings.crashWindow);
    if (recent.empty())
        m_unexplainedAt = now;
    std::vector<RunObservation> causes = startedWithin(runs, life, m_settings.promptCrashWindow);
    if (causes.empty())
        causes = recent;
    const bool certain = areCertainCause(causes, now);
    std::vector<CrashSuspect> suspects;
    for (const RunObservation &it : recent) {
        const bool isCause = certain
            && std::any_of(causes.begin(), causes.end(),
                           [&](const RunObservation &cause) { return cause.key == it.key; });
        suspects.push_back({it.key, isCause});
    }
    return suspects;
}

// Returns true if it is certain enough that a run of these crashed their worker, and of which job
// it is.
bool CrashJudge::areCertainCause(std::span<const RunObservation> causes, Instant now) const
{
    if (causes.empty())
        return false;
    const RunObservation &first = causes.front();
    const bool ofOneJob = std::all_of(causes.begin(), causes.end(), [&](const RunObservation &it) {
        return it.key.task.job == first.key.task.job;
    });
    const bool confirmed = std::all_of(causes.begin(), causes.end(),
                                       [](const RunObservation &it) { return it.confirmed; });
    const bool othersCrash =
        m_unexplainedAt && now - *m_unexplainedAt < m_settings.unexplainedCrashMemory;
    return ofOneJob && confirmed && (first.onProbation || !othersCrash);
}

std::vector<LifeSettlement> CrashJudge::settle(const JobTable::LostLives &lives,
                                               std::span<const WorkerInfo> workers,
                                               std::int64_t wallMs) const
{
    const LostLifeIndex index = indexOf(lives);
    std::map<WorkerIncarnation, LifeSettlement> settled;
    const auto consider = [&](const WorkerInfo &worker, const auto &range) {
        for (auto it = range.first; it != range.second; ++it) {
            const auto found = settleBy(worker, it->second->first);
            if (!found)
                continue;
            LifeSettlement &known = settled.try_emplace(found->life, *found).first->second;
            if (found->verdict == LifeVerdict::NotCrashed) // It left, whoever is there now.
                known = *found;
        }
    };
    for (const WorkerInfo &it : workers) {
        consider(it, index.byId.equal_range(it.incarnation.workerId));
        consider(it, index.byAddress.equal_range(it.address));
    }
    std::vector<LifeSettlement> result;
    for (const auto &[life, lost] : lives) {
        if (const auto it = settled.find(life); it != settled.end())
            result.push_back(inTime(it->second, lost, wallMs));
        else if (isGivenUp(lost, wallMs))
            result.push_back({life, LifeVerdict::Unknown, notBack});
    }
    return result;
}

LifeSettlement CrashJudge::inTime(const LifeSettlement &found, const LostLife &lost,
                                  std::int64_t wallMs) const
{
    if (found.verdict == LifeVerdict::Crashed && isGivenUp(lost, wallMs))
        return {found.life, LifeVerdict::Unknown, notBack};
    return found;
}

bool CrashJudge::isGivenUp(const LostLife &lost, std::int64_t wallMs) const
{
    return wallMs - lost.lostWallMs > m_settings.maxReturnTime.count();
}

Millis CrashJudge::holdTime(const Task &task, std::int64_t wallMs) const
{
    if (task.suspectedRuns.empty())
        return Millis{0};
    int crashes = task.crashes;
    int causedCrashes = task.causedCrashes;
    std::int64_t latestLossMs = 0;
    for (const SuspectedRun &it : task.suspectedRuns) {
        ++crashes;
        causedCrashes += it.isCause ? 1 : 0;
        latestLossMs = std::max(latestLossMs, it.lostWallMs);
    }
    if (!isOverCrashLimit(crashes, causedCrashes))
        return Millis{0};
    const Millis hold =
        crashes < m_settings.maxUnsettledStarts ? m_settings.maxHold : m_settings.maxReturnTime;
    return std::clamp(Millis{latestLossMs - wallMs} + hold, Millis{0}, hold);
}

} // namespace savorywick::steps
