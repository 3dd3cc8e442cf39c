#pragma once

#include "savorywick/steps/jobadmission.h"
#include "savorywick/steps/placement.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace savorywick::steps::testing {

// A job of one step that a simulated caller submits.
struct SimulatedJob
{
    std::string queue = "q";
    int priority = 0;
    int tasks = 1;
    Millis duration{1'000}; // Of each task, on one core.
    Millis target{4'000}; // Beyond the duration.
    int retries = 0; // How often the caller retries before it gives up.
    bool longRunning = false;
    Millis actualDuration{}; // If it differs from `duration`.
};

// What became of a job.
struct SimulatedOutcome
{
    SimulatedJob job;
    Instant submittedAt; // The attempt that was accepted, or the last one.
    bool accepted = false;
    Millis retryAfter; // That the caller was told last.
    Millis completedAfter; // Since `submittedAt`; 0 if it has not completed.

    Millis deadline() const { return job.duration + job.target; }
    bool inTime() const { return completedAfter > Millis{0} && completedAfter <= deadline(); }
    bool useful() const { return completedAfter > Millis{0} && completedAfter <= deadline() * 3; }
};

// Runs JobAdmission in virtual time before a scheduler that places tasks on a number of cores in
// the order of comesBefore().
class AdmissionSimulation
{
public:
    explicit AdmissionSimulation(int cores, const JobAdmissionSettings &settings = {})
        : m_settings(settings)
        , m_admission(std::make_unique<JobAdmission>(settings))
        , m_cores(cores)
    { }

    // Submits the job and returns its id.
    std::string submit(const SimulatedJob &job)
    {
        std::string id = "job" + std::to_string(++m_jobCount);
        outcomes[id].job = job;
        attempt(id);
        return id;
    }
    // Returns the decision on a job that is not accepted in any case.
    JobAdmissionDecision decide(const std::string &id, const SimulatedJob &job)
    {
        return m_admission->decide(specOf(id, job), m_now, m_now.count());
    }
    // Returns a job that was refused and whose retry is due, or an empty string.
    std::string dueRetry() const
    {
        for (const auto &[id, it] : outcomes) {
            const Millis overdue = m_now - (it.submittedAt + it.retryAfter);
            if (!it.accepted && overdue >= Millis{0} && overdue < m_settings.retryGrace)
                return id;
        }
        return {};
    }
    // Submits that many jobs a second for the time, and others at the same time.
    void submitAtRate(const SimulatedJob &job, double perSecond, Millis time,
                      const SimulatedJob &other = {}, double othersPerSecond = 0)
    {
        double due = 0;
        double othersDue = 0;
        for (const Instant end = m_now + time; m_now < end; runFor(tickSpan)) {
            const double seconds = static_cast<double>(tickSpan.count()) / 1'000;
            for (due += perSecond * seconds; due >= 1; --due)
                submit(job);
            for (othersDue += othersPerSecond * seconds; othersDue >= 1; --othersDue)
                submit(other);
        }
    }
    void runFor(Millis time)
    {
        for (const Instant end = m_now + time; m_now < end;)
            tick();
    }
    void setCores(int cores) { m_cores = cores; }
    // Replaces the owner: what is not in the journal is lost.
    void replaceOwner()
    {
        m_admission = std::make_unique<JobAdmission>(m_settings);
        m_admission->advance(m_now, m_now.count());
        for (const auto &[id, job] : m_table.jobs())
            m_admission->restore(job);
    }
    PoolBacklog backlog() const
    {
        return m_admission->backlog().backlogBefore({"s", ProcessorClass::Booked},
                                                    {9, m_now.count() + 1'000'000});
    }
    const JobAdmission &admission() const { return *m_admission; }

    std::map<std::string, SimulatedOutcome> outcomes;
    std::vector<Millis> retryTimes; // That callers were told.
    // One of this many refusals is checked by a run without it; 0 means none.
    std::size_t refusalsPerCheck = 0;
    int refusalsChecked = 0;
    int refusedThoughFeasible = 0; // More jobs would have met their deadlines.
    int refusedForAnother = 0; // The job would have met its deadline, and another missed it.

private:
    static constexpr Millis tickSpan{50};

    // A copy without admission, which tells what would become of a job.
    AdmissionSimulation(const AdmissionSimulation &other)
        : m_admission(std::make_unique<JobAdmission>(JobAdmissionSettings{.enabled = false}))
        , m_table(other.m_table)
        , m_specs(other.m_specs)
        , m_waiting(other.m_waiting)
        , m_runs(other.m_runs)
        , m_now(other.m_now)
        , m_cores(other.m_cores)
    { }

    JobSpec specOf(const std::string &id, const SimulatedJob &job) const
    {
        JobSpec spec;
        spec.id = id;
        spec.policy = {job.queue, "s", job.priority, 1, 1.0, job.target};
        StepSpec step;
        step.taskCount = job.tasks;
        step.demand.milliCores = 1'000;
        step.estimatedDuration = job.duration;
        step.longRunning = job.longRunning;
        spec.steps = {step};
        return spec;
    }
    void apply(const Record &record)
    {
        m_table.apply(record);
        m_admission->apply(record, m_table);
    }
    void accept(const std::string &id, const SimulatedOutcome &outcome)
    {
        m_specs[id] = outcome;
        apply(JobAccepted{specOf(id, outcome.job), m_now.count()});
        m_waiting[id] = 0;
    }
    void attempt(const std::string &id)
    {
        SimulatedOutcome &outcome = outcomes[id];
        outcome.submittedAt = m_now;
        const auto decision = m_admission->decide(specOf(id, outcome.job), m_now, m_now.count());
        outcome.accepted = decision.admitted;
        if (decision.admitted)
            return accept(id, outcome);
        retryTimes.push_back(decision.retryAfter);
        outcome.retryAfter = decision.retryAfter;
        if (refusalsPerCheck > 0 && retryTimes.size() % refusalsPerCheck == 1)
            checkRefusal(id, outcome);
        if (outcome.job.retries-- > 0)
            m_retries.emplace(m_now + decision.retryAfter, id);
    }
    // Compares what becomes of the jobs with and without the refusal if no further ones come.
    void checkRefusal(const std::string &id, const SimulatedOutcome &outcome)
    {
        AdmissionSimulation without(*this);
        AdmissionSimulation with(*this);
        with.outcomes[id] = outcome;
        with.accept(id, outcome);
        without.runFor(outcome.deadline());
        with.runFor(outcome.deadline());
        ++refusalsChecked;
        if (!with.outcomes[id].inTime())
            return;
        ++(with.inTimeCount() > without.inTimeCount() ? refusedThoughFeasible : refusedForAnother);
    }
    int inTimeCount() const
    {
        return static_cast<int>(std::count_if(outcomes.begin(), outcomes.end(),
                                              [](const auto &it) { return it.second.inTime(); }));
    }
    void tick()
    {
        m_now = m_now + tickSpan;
        while (!m_runs.empty() && m_runs.begin()->first <= m_now)
            endFirstRun();
        m_admission->advance(m_now, m_now.count());
        for (; !m_retries.empty() && m_retries.begin()->first <= m_now;) {
            const std::string id = m_retries.begin()->second;
            m_retries.erase(m_retries.begin());
            attempt(id);
        }
        place();
    }
    void endFirstRun()
    {
        const TaskRef task = m_runs.begin()->second;
        m_runs.erase(m_runs.begin());
        apply(RunEnded{task, 1, RunOutcome::Done, {}, m_now.count()});
        if (m_table.find(task.job)->state != JobState::Completed)
            return;
        const SimulatedOutcome &accepted = m_specs.at(task.job);
        SimulatedOutcome &outcome = outcomes.try_emplace(task.job, accepted).first->second;
        outcome.completedAfter = m_now - accepted.submittedAt;
    }
    void place()
    {
        std::vector<ReadyStep> ready;
        for (const auto &[id, started] : m_waiting)
            ready.push_back(readyStep(id, started));
        std::sort(ready.begin(), ready.end(), comesBefore);
        for (const ReadyStep &it : ready) {
            int &started = m_waiting.at(it.ref.job);
            for (; started < it.spec->taskCount && static_cast<int>(m_runs.size()) < m_cores;
                 ++started)
                start({it.ref.job, 0, 0, started});
            if (started == it.spec->taskCount)
                m_waiting.erase(it.ref.job);
        }
    }
    ReadyStep readyStep(const std::string &id, int started) const
    {
        ReadyStep step;
        step.ref = {id, 0, 0};
        step.job = m_table.find(id);
        step.spec = &step.job->spec.steps[0];
        step.occurrenceStarted = started > 0;
        step.relativeDeadline = relativeDeadlineOf(step.job->spec);
        step.lateness = Millis{m_now.count() - step.job->acceptedWallMs} - step.relativeDeadline;
        step.laxity = Millis{0} - step.lateness - step.spec->estimatedDuration;
        return step;
    }
    void start(const TaskRef &task)
    {
        const SimulatedJob &job = m_specs.at(task.job).job;
        const Millis actual = job.actualDuration > Millis{0} ? job.actualDuration : job.duration;
        // Durations vary by a fifth, so that tasks don't stay in step.
        const std::size_t percent = 80 + std::hash<std::string>{}(toString(task)) % 41;
        m_runs.emplace(m_now + actual * static_cast<std::int64_t>(percent) / 100, task);
        apply(RunStarted{task, 1, {"w", 1}});
    }

    JobAdmissionSettings m_settings;
    std::unique_ptr<JobAdmission> m_admission;
    JobTable m_table;
    std::map<std::string, SimulatedOutcome> m_specs; // Of accepted jobs.
    std::map<std::string, int> m_waiting; // Jobs with tasks to start, and how many have been.
    std::multimap<Instant, TaskRef> m_runs; // By the time of their end.
    std::multimap<Instant, std::string> m_retries;
    Instant m_now{1'000'000};
    int m_cores = 0;
    int m_jobCount = 0;
};

// Counts of jobs by what became of them.
struct OutcomeCounts
{
    int jobs = 0;
    int accepted = 0;
    int inTime = 0;
    int useful = 0;

    static OutcomeCounts of(const AdmissionSimulation &simulation, const std::string &queue = {},
                            int minTasks = 0)
    {
        OutcomeCounts counts;
        for (const auto &[id, it] : simulation.outcomes) {
            if ((!queue.empty() && it.job.queue != queue) || it.job.tasks < minTasks)
                continue;
            ++counts.jobs;
            counts.accepted += it.accepted ? 1 : 0;
            counts.inTime += it.inTime() ? 1 : 0;
            counts.useful += it.useful() ? 1 : 0;
        }
        return counts;
    }
};

} // namespace savorywick::steps::testing
