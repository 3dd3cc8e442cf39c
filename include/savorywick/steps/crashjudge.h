#pragma once

#include "savorywick/clock.h"
#include "savorywick/steps/jobtable.h"
#include "savorywick/steps/runtable.h"
#include "savorywick/steps/workercommands.h"

#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace savorywick::steps {

// The thresholds of CrashJudge.
struct CrashJudgeSettings
{
    // A worker that crashes may do so because of any run that it started within this time before.
    Millis crashWindow{1'500};
    // If just runs of one job were started within this time before, they are taken for the cause.
    Millis promptCrashWindow{250};
    // A worker that has not answered for longer is silent or cut off. What becomes of it after that
    // is no crash.
    Millis maxSilenceBeforeCrash{2'000};
    // After the loss of a worker that no run explains, workers may be failing by themselves. For
    // this time a task is not found to be the cause when a worker crashes under it for the first
    // time.
    Millis unexplainedCrashMemory{10'000};
    // A task that would end its job if all workers lost under it had crashed is not started again
    // for this time, unless what became of them is settled before.
    Millis maxHold{10'000};
    // It is held for `maxReturnTime` once this many workers may have crashed under it: no more
    // starts are allowed of a task that crashes its workers.
    int maxUnsettledStarts = 5;
    // What became of a worker is not looked for any more when it has been lost for so long.
    Millis maxReturnTime{60'000};
};

// What an owner has seen of the life of a worker that no longer answers.
struct LifeObservation
{
    Instant lastAnswerAt;
    // When its host first closed or refused a connection since then.
    std::optional<Instant> closedAt;
    bool draining = false;

    // Returns when the worker was lost, as far as is known.
    Instant lostAt() const { return closedAt.value_or(lastAnswerAt); }
};

// What an owner knows of a run on such a worker.
struct RunObservation
{
    RunKey key;
    Instant startedAt;
    bool confirmed = false; // Otherwise it may never have started there.
    bool onProbation = false; // Its task was suspected when it was started.
};

// A run that may be why its worker crashed, if it did.
struct CrashSuspect
{
    RunKey run;
    bool isCause = false; // Nothing else can be why, with enough certainty.
};

// What became of a life that was lost.
struct LifeSettlement
{
    WorkerIncarnation life;
    LifeVerdict verdict = LifeVerdict::Unknown;
    std::string_view why; // One of a fixed set of words, such as "other-life".
};

// Tells crashed workers from those that are cut off, and finds the runs that may be why one
// crashed. Use one in the owner of a shard.
//
// A host that closes or refuses connections proves nothing: the path to it may be cut, and the
// worker runs on. Another life of the worker, or another worker at its address, proves that the
// life before is over. Until then it is only suspected of a crash. It is pure and not thread-safe.
//
// Example:
//   CrashJudge judge(settings);
//   if (judge.mayHaveCrashed(life, now))
//       for (const CrashSuspect &it : judge.findSuspects(life, runs, now))
//           suspect(it);
class CrashJudge
{
public:
    explicit CrashJudge(const CrashJudgeSettings &settings);

    // Returns true if and only if the life, which is known to be over, has crashed: it had answered
    // until shortly before and was not about to leave.
    bool hasCrashed(const LifeObservation &life, Instant now) const;
    // Returns true if and only if the life, of which nothing proves that it is over, may have
    // crashed.
    bool mayHaveCrashed(const LifeObservation &life, Instant now) const;

    // Returns those of the runs on the worker that may be why it crashed. What was started at the
    // last moment is the likely cause; where that is not certain, all that were started lately may
    // be. If there are none, workers are taken to fail by themselves for a while.
    std::vector<CrashSuspect> findSuspects(const LifeObservation &life,
                                           std::span<const RunObservation> runs, Instant now);

    // Returns which of the lives are settled by the list of all workers, or by the time that has
    // passed. A worker at a life's address has taken its place if it started later.
    std::vector<LifeSettlement> settle(const JobTable::LostLives &lives,
                                       std::span<const WorkerInfo> workers,
                                       std::int64_t wallMs) const;

    // Returns what to record of a lost life once `found` tells what became of it. A crash that is
    // proved only after the life was given up doesn't count: the table restores such lives from a
    // snapshot, and with jobs that are handed over.
    LifeSettlement inTime(const LifeSettlement &found, const LostLife &lost,
                          std::int64_t wallMs) const;

    // Returns for how long the task is not to be started yet.
    Millis holdTime(const Task &task, std::int64_t wallMs) const;

private:
    bool isGivenUp(const LostLife &lost, std::int64_t wallMs) const;
    bool areCertainCause(std::span<const RunObservation> causes, Instant now) const;

    CrashJudgeSettings m_settings;
    std::optional<Instant> m_unexplainedAt; // The latest loss of a worker that no run explains.
};

} // namespace savorywick::steps
