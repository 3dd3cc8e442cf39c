#pragma once

#include "savorywick/steps/job.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace savorywick::testing {

// A job that a soak has submitted, and what became of it as its callers see it.
struct SoakJob
{
    steps::JobSpec spec;
    bool crashesWorkers = false; // Its first task crashes each worker that starts it.
    bool accepted = false;
    bool mayBeAccepted = false; // Some attempt to submit it has no known outcome.
    bool refused = false; // All attempts were refused.
    bool cancelled = false;
    bool ended = false; // It was shown as completed or failed.
};

// Returns a job of tasks that run until they are cancelled, four of which fill a worker.
SoakJob longRunningJob(int number, int taskCount);

// Collects what callers and workers see of the runs in a soak, and the promises that were broken.
//
// Workers report the starts, the ends and the acknowledgements of runs; callers register jobs and
// report their states. Not thread-safe.
//
// Example:
//   ledger.noteStart(task);
//   ledger.noteEnd(task, steps::RunOutcome::Done);
//   CHECK(ledger.violations().empty());
class RunLedger
{
public:
    // Adds a job before it is submitted. The reference holds as long as the ledger.
    SoakJob &addJob(SoakJob job);
    SoakJob &job(const std::string &id) { return m_jobs.at(id); }
    std::map<std::string, SoakJob> &jobs() { return m_jobs; }
    // Returns the step of the task, or nullptr if no caller sent such a task.
    const steps::StepSpec *findStep(const steps::TaskRef &task) const;

    // Notes that a worker starts a run of the task.
    void noteStart(const steps::TaskRef &task);
    // Notes that a run ended on its worker.
    void noteEnd(const steps::TaskRef &task, steps::RunOutcome outcome);
    // Notes that the worker of a run crashed.
    void noteLostRun(const steps::TaskRef &task);
    // Notes that an end as done was acknowledged, which stands for good.
    void noteDoneAcknowledged(const steps::TaskRef &task);
    // Notes that the job was shown in this state.
    void noteShown(const std::string &id, const std::string &state);
    // Notes a broken promise.
    void violate(const std::string &what) { m_violations.push_back(what); }

    // Returns true if and only if as many runs as it has tasks are there of each job, which has one
    // step.
    bool allTasksRun() const;
    // Returns how many runs of the job are on workers that are up.
    int liveRuns(const std::string &job) const;
    const std::vector<std::string> &violations() const { return m_violations; }
    int startCount() const { return m_startCount; }
    int lostRunCount() const { return m_lostRunCount; }
    // Returns how many runs ended with their lease.
    int lapsedRunCount() const { return m_lapsedRunCount; }

private:
    struct TaskTruth
    {
        int liveRuns = 0;
        bool done = false;
        bool doneAcknowledged = false;
        int failures = 0;
        int crashes = 0;
        int startsAfterThreeCrashes = 0;
    };

    void checkStart(const steps::TaskRef &task, const SoakJob &job, TaskTruth &truth);
    bool allTasksDone(const SoakJob &job) const;
    bool hasCauseOfFailure(const SoakJob &job) const;

    std::map<std::string, SoakJob> m_jobs;
    std::map<steps::TaskRef, TaskTruth> m_tasks;
    std::vector<std::string> m_violations;
    int m_startCount = 0;
    int m_lostRunCount = 0;
    int m_lapsedRunCount = 0;
};

} // namespace savorywick::testing
