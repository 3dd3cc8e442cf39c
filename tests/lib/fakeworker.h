#pragma once

#include "savorywick/platform.h"
#include "savorywick/workercalls.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <optional>
#include <string>

// A worker that keeps to its lease by a clock of its own, for tests in virtual time. `real` is the
// time of the test; the worker converts it to its own clock, which may run at another rate.
class FakeWorker
{
public:
    struct Task
    {
        int attempt = 0;
        savorywick::TaskState state = savorywick::TaskState::Running;
        savorywick::Instant startedAt;
        savorywick::Millis duration;
        savorywick::Resources demand;
        savorywick::Millis earlierProgress; // Of earlier attempts, up to the checkpoint.
    };

    FakeWorker(savorywick::HostInfo info, double rate)
        : m_info(std::move(info))
        , m_clockRate(rate)
    { }

    const savorywick::HostInfo &info() const { return m_info; }
    const std::map<std::string, Task> &tasks() const { return m_tasks; }
    std::string incarnation() const { return m_info.id + "." + std::to_string(m_incarnation); }
    // Makes every task that completes from now on fail instead of finish.
    void setFailAll(bool failAll) { m_failAll = failAll; }
    // Makes the worker refuse every start from now on with this outcome, but renew its lease.
    void refuseStarts(savorywick::StartOutcome outcome) { m_refusal = outcome; }
    bool isRunning(const std::string &job) const
    {
        const auto it = m_tasks.find(job);
        return it != m_tasks.end() && it->second.state == savorywick::TaskState::Running;
    }

    // Advances the tasks to `real`, and ends them if the lease has lapsed. Must be called before
    // any other function at that time.
    void advance(savorywick::Millis real)
    {
        if (m_leaseUntil && local(real) >= *m_leaseUntil)
            endIncarnation();
        for (auto &[id, task] : m_tasks) {
            if (task.state == savorywick::TaskState::Running
                && local(real) - task.startedAt >= task.duration)
                task.state =
                    m_failAll ? savorywick::TaskState::Failed : savorywick::TaskState::Finished;
        }
    }

    // Restarts the worker process, which forgets its tasks, the stopped attempts and the epoch.
    void restart()
    {
        endIncarnation();
        m_stoppedAttempts.clear();
        m_epoch = 0;
    }

    std::optional<savorywick::LeaseReply> renew(const savorywick::RenewLease &call,
                                                std::uint64_t epoch, savorywick::Millis real)
    {
        if (!acceptsEpoch(epoch))
            return {};
        if (call.incarnation.empty() || call.incarnation == incarnation())
            m_leaseUntil = local(real) + call.term;
        savorywick::LeaseReply report;
        report.incarnation = incarnation();
        for (const auto &[id, task] : m_tasks)
            report.tasks.push_back({id, task.attempt, task.state, {}, resultOf(id), {}});
        return report;
    }

    savorywick::StartReply start(const savorywick::StartTask &call, std::uint64_t epoch,
                                 savorywick::Millis real)
    {
        using savorywick::StartOutcome;
        if (!acceptsEpoch(epoch))
            return {StartOutcome::StaleEpoch, {}};
        if (m_refusal)
            return {*m_refusal, {}};
        if (call.incarnation != incarnation())
            return {StartOutcome::WrongIncarnation, {}};
        if (!m_leaseUntil)
            return {StartOutcome::NoLease, {}};
        const auto known = m_tasks.find(call.job);
        if (known != m_tasks.end() && known->second.attempt == call.attempt)
            return replyOf(call.job);
        if (known != m_tasks.end() || m_stoppedAttempts[call.job] >= call.attempt)
            return {StartOutcome::StaleAttempt, {}};
        if (!(used() + call.demand).fitsIn({m_info.cores, m_info.memoryMb, m_info.accelerators}))
            return {StartOutcome::NoRoom, {}};
        const std::int64_t done = call.checkpoint.empty() ? 0 : std::stoll(call.checkpoint);
        const savorywick::Millis before{done};
        m_tasks[call.job] = {call.attempt, savorywick::TaskState::Running,
                             local(real),  call.expectedDuration - before,
                             call.demand,  before};
        if (onStart)
            onStart(call);
        return {StartOutcome::Running, {}};
    }

    bool stop(const savorywick::StopTask &call, std::uint64_t epoch)
    {
        if (!acceptsEpoch(epoch))
            return false;
        int &stopped = m_stoppedAttempts[call.job];
        stopped = std::max(stopped, call.attempt);
        const auto it = m_tasks.find(call.job);
        if (it != m_tasks.end() && it->second.attempt <= call.attempt)
            m_tasks.erase(it);
        return true;
    }

    // Returns the progress in milliseconds as the checkpoint, or nothing if the task is not
    // running.
    std::optional<std::string> checkpoint(const savorywick::CheckpointTask &call,
                                          std::uint64_t epoch, savorywick::Millis real)
    {
        if (!acceptsEpoch(epoch) || !isRunning(call.job))
            return {};
        const Task &task = m_tasks.at(call.job);
        return std::to_string((task.earlierProgress + (local(real) - task.startedAt)).count());
    }

    // Returns the sum of the demands of the running tasks.
    savorywick::Resources used() const
    {
        savorywick::Resources sum;
        for (const auto &[id, task] : m_tasks) {
            if (task.state == savorywick::TaskState::Running)
                sum = sum + task.demand;
        }
        return sum;
    }

    // Called for every attempt that starts to run.
    std::function<void(const savorywick::StartTask &)> onStart;

private:
    // Converts the time of the test to the worker's own clock.
    savorywick::Instant local(savorywick::Millis real) const
    {
        const double n = static_cast<double>(real.count()) * m_clockRate;
        return savorywick::Instant{7'000'000 + std::llround(n)};
    }

    static std::string resultOf(const std::string &job) { return "result of " + job; }

    savorywick::StartReply replyOf(const std::string &job) const
    {
        using savorywick::StartOutcome;
        switch (m_tasks.at(job).state) {
        case savorywick::TaskState::Finished:
            return {StartOutcome::Finished, resultOf(job)};
        case savorywick::TaskState::Failed:
            return {StartOutcome::Failed, resultOf(job)};
        default:
            return {StartOutcome::Running, {}};
        }
    }

    bool acceptsEpoch(std::uint64_t epoch)
    {
        if (epoch < m_epoch)
            return false;
        m_epoch = epoch;
        return true;
    }

    void endIncarnation()
    {
        m_tasks.clear();
        m_leaseUntil.reset();
        ++m_incarnation;
    }

    savorywick::HostInfo m_info;
    double m_clockRate;
    bool m_failAll = false;
    std::optional<savorywick::StartOutcome> m_refusal;
    int m_incarnation = 1;
    std::uint64_t m_epoch = 0;
    std::optional<savorywick::Instant> m_leaseUntil;
    std::map<std::string, Task> m_tasks;
    std::map<std::string, int> m_stoppedAttempts; // The highest stopped attempt by job.
};
