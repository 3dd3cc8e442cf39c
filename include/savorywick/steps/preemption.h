#pragma once

#include "savorywick/clock.h"
#include "savorywick/steps/placement.h"
#include "savorywick/steps/preemptionsettings.h"
#include "savorywick/steps/runtable.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace savorywick::steps {

// A checkpointing run that could be stopped to make room.
struct PreemptibleRun
{
    RunKey key;
    int priority = 0; // Of its job's queue.
    ResourceVector allocated;
    Millis lostWork; // Work since its latest checkpoint.
    Millis remainingWork; // By the caller's estimate.
    Millis laxity; // Delay that its job's deadline still allows; negative if it can't be met.
    Millis age; // Since its start.
};

// A worker that may be given tasks, with those of its runs that could be stopped.
struct PreemptionWorker
{
    CandidateWorker *candidate = nullptr; // Must outlive this object.
    std::vector<PreemptibleRun> runs;
};

// Runs to stop on one worker so that a task of a step fits there.
struct PreemptionPlan
{
    std::size_t worker = 0; // Index of the PreemptionWorker.
    // The runs by index. There are none if those that are being stopped already make enough room.
    std::vector<std::size_t> runs;
    Millis loss; // Sum over the runs.
};

// Room on a worker that is kept for one task of a step.
struct Reservation
{
    StepRef step;
    std::string worker;
    ResourceVector demand;
    Instant since;
    Instant until;
};

// How a reservation ended.
enum class ReservationEnd {
    Placed, // A task of the step was started in the room.
    NotNeeded, // The step has no task to start any more.
    Expired, // The room was not free within the reservation term, or in time for the deadline.
};

// Returns the end's name for logs and metrics, such as "not-needed".
std::string_view toString(ReservationEnd end);

// Decides which runs are stopped so that a step of a higher priority completes in time, and
// remembers what was decided: the reserved room, the runs that are being stopped, and the preempted
// tasks that wait for their next run.
//
// Use it in placement passes, for steps that no worker has room for. Only runs of queues with a
// higher priority number are preempted, so queues never preempt each other in turn. On each worker
// the runs with the least loss are selected, and of the workers the one with the least loss. The
// state belongs to the owner of a shard and starts empty after a takeover. Not thread-safe.
//
// Example:
//   if (planner.mayPlan(now) && planner.isUrgent(step)) {
//       if (const auto plan = planner.plan(step, constraints, workers, now)) {
//           stop(*plan);
//           planner.apply(*plan, step, workers, now);
//       }
//   }
class PreemptionPlanner
{
public:
    explicit PreemptionPlanner(const PreemptionSettings &settings)
        : m_settings(settings)
    { }

    // Returns true if and only if preemption is enabled, the interval since the last notePlanning()
    // is over, and a further reservation is allowed.
    bool mayPlan(Instant now) const;
    // Returns true if and only if a further reservation is allowed.
    bool hasFreeReservation() const;
    // Notes that plans were sought, so that mayPlan() is false for the interval.
    void notePlanning(Instant now) { m_nextPlanAt = now + m_settings.interval; }
    // Returns true if and only if the step is of a kind that may preempt runs and its laxity is
    // short, but sufficient to complete in time. Steps that book no processors, long-running steps
    // and gangs may not.
    bool isUrgent(const ReadyStep &step) const;

    // Returns the plan with the least loss that makes room for one task of the step, or nothing if
    // there is none or the step waits for anything but room. Takes time linear in the number of
    // workers and, but for sorting, in that of their runs.
    std::optional<PreemptionPlan> plan(const ReadyStep &step,
                                       const PlacementConstraints &constraints,
                                       std::span<const PreemptionWorker> workers,
                                       Instant now) const;
    // Carries the plan out in this object and in `workers`: reserves the room, and removes the runs
    // from those that could be stopped.
    void apply(const PreemptionPlan &plan, const ReadyStep &step,
               std::span<PreemptionWorker> workers, Instant now);

    const std::vector<Reservation> &reservations() const { return m_reservations; }
    // Removes all reservations and returns them, the earliest first. Call keep() for those that are
    // to stay.
    std::vector<Reservation> takeReservations() { return std::exchange(m_reservations, {}); }
    void keep(const Reservation &reservation) { m_reservations.push_back(reservation); }
    // Returns how many tasks of the step have a reservation.
    int reservationCount(const StepRef &step) const;
    // Subtracts all reservations from the workers, which must be sorted by id.
    void withholdReserved(std::span<CandidateWorker> workers) const;

    // Notes that the run has ended, if it was preempted: its task waits for the next run.
    void noteEnd(const RunKey &key, Instant now);
    // Notes that the task was started.
    void noteStart(const TaskRef &task) { m_waitingTasks.erase(task); }
    // Returns true if and only if some preempted task of the step waits for its next run.
    bool isPreempted(const StepRef &step, Instant now) const;
    // Forgets tasks that have waited for longer than the precedence term.
    void expire(Instant now);

private:
    // A run that was preempted and has not ended.
    struct StoppingRun
    {
        std::string worker;
        ResourceVector allocated;
        Instant since;
    };
    // What is being vacated on a worker.
    struct Vacating
    {
        ResourceVector allocated;
        bool overdue = false; // Some run has not stopped within the reservation term.
    };

    Millis lossOf(const PreemptibleRun &run, Millis occupied) const;
    bool mayBePreempted(const PreemptibleRun &run, const ReadyStep &step) const;
    std::map<std::string, Vacating, std::less<>> vacatingByWorker(Instant now) const;
    std::optional<PreemptionPlan> planOn(const PreemptionWorker &worker, const ReadyStep &step,
                                         ResourceVector room) const;

    PreemptionSettings m_settings;
    Instant m_nextPlanAt;
    std::vector<Reservation> m_reservations; // The earliest first.
    std::map<RunKey, StoppingRun> m_stoppingRuns;
    std::map<TaskRef, Instant> m_waitingTasks; // Preempted tasks, by when their runs ended.
};

// Returns the worker with this id, or nullptr. The workers must be sorted by id.
CandidateWorker *findWorker(std::span<CandidateWorker> workers, std::string_view id);
// Makes room for `demand` unavailable on the worker.
void withhold(CandidateWorker &worker, const ResourceVector &demand);

} // namespace savorywick::steps
