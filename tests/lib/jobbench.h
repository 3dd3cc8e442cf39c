#pragma once

#include "fakeworker.h"
#include "savorywick/jobbook.h"

#include <doctest/doctest.h>

#include <memory>
#include <set>

namespace savorywick {

inline HostInfo workerInfo(const std::string &id, int cores = 8)
{
    HostInfo info;
    info.id = id;
    info.role = HostRole::Worker;
    info.cores = cores;
    info.memoryMb = 16'000;
    return info;
}

inline JobSpec spec(const std::string &id, int cores = 1)
{
    JobSpec s;
    s.id = id;
    s.service = "matching";
    s.runClass = "allocation";
    s.team = "derwent";
    s.key = "key-" + id;
    s.bodyHash = "hash";
    s.demand = {cores, 1'000, 0};
    s.expected = Millis{60'000};
    s.checkpointable = true;
    return s;
}

inline std::string nameOf(const SubmitResult &result)
{
    return std::string(toString(result.outcome));
}

inline std::string nameOf(const std::optional<JobState> &state)
{
    return state ? std::string(toString(*state)) : std::string();
}

// A book whose records land at once, and workers that answer at once unless they are cut off.
class Bench
{
public:
    explicit Bench(int workers, const JobBookSettings &settings = {})
        : m_settings(settings)
        , m_book(std::make_unique<JobBook>(settings))
    {
        for (int n = 0; n < workers; ++n) {
            m_infos.push_back(workerInfo("w" + std::to_string(n)));
            m_workers.emplace(m_infos.back().id, FakeWorker(m_infos.back(), 1.0));
        }
        m_book->takeOver(now());
        m_book->setWorkers(m_infos, now());
    }

    JobBook &book() { return *m_book; }
    FakeWorker &worker(const std::string &id) { return m_workers.at(id); }
    Instant now() const { return Instant{m_real.count()}; }
    const Job &job(const std::string &id) const { return *m_book->find(id); }
    std::string state(const std::string &id) const { return std::string(toString(job(id).state)); }
    // Calls to workers that are cut off get no answer.
    void cutOff(const std::string &worker) { m_cutOff.insert(worker); }
    void reconnect(const std::string &worker) { m_cutOff.erase(worker); }
    std::size_t starts() const { return m_starts; }

    SubmitResult submit(const JobSpec &s)
    {
        JobBook::Records records;
        SubmitResult result = m_book->submit(s, now(), records);
        keep(records);
        return result;
    }

    std::optional<JobState> cancel(const std::string &id)
    {
        JobBook::Records records;
        const auto state = m_book->cancel(id, now(), records);
        keep(records);
        return state;
    }

    bool evict(const std::string &id)
    {
        JobBook::Records records;
        const bool begun = m_book->evict(id, now(), records);
        keep(records);
        return begun;
    }

    SubmitResult watch(const WatcherSpec &s)
    {
        JobBook::Records records;
        SubmitResult result = m_book->watch(s, now(), records);
        keep(records);
        return result;
    }

    // Lets time pass in steps of half a second.
    void run(Millis span)
    {
        const Millis end = m_real + span;
        do {
            step();
            m_real = m_real + Millis{500};
        } while (m_real <= end);
    }

    void step()
    {
        for (auto &[id, worker] : m_workers)
            worker.advance(m_real);
        JobBook::Records records;
        m_book->tick(now(), records);
        keep(records);
        for (int n = 0; n < 10; ++n) {
            for (const Effect &effect : m_book->takeEffects()) {
                if (m_book->wanted(effect))
                    std::visit([this](const auto &call) { carryOut(call); }, effect);
            }
        }
    }

    // Lets a new owner take over from the records, and checks that they give the state acted on.
    void replaceOwner(bool complete = true)
    {
        const std::string before = m_book->snapshot();
        m_book = std::make_unique<JobBook>(m_settings);
        for (const std::string &record : m_records)
            m_book->apply(record);
        if (complete)
            CHECK(m_book->snapshot() == before);
        ++m_epoch;
        m_book->takeOver(now());
        m_book->setWorkers(m_infos, now());
    }

    // Forgets the latest records, as if they had not landed.
    void dropRecords(std::size_t count) { m_records.resize(m_records.size() - count); }

private:
    void keep(const JobBook::Records &records)
    {
        m_records.insert(m_records.end(), records.begin(), records.end());
    }

    bool reaches(const std::string &worker) const { return !m_cutOff.contains(worker); }

    void carryOut(const RenewLease &call)
    {
        JobBook::Records records;
        const auto report =
            reaches(call.worker) ? worker(call.worker).renew(call, m_epoch, m_real) : std::nullopt;
        if (report)
            m_book->leaseReply(call.worker, *report, now(), records);
        else
            m_book->leaseFailed(call.worker, now());
        keep(records);
    }

    void carryOut(const StartTask &call)
    {
        JobBook::Records records;
        ++m_starts;
        StartReply reply;
        if (reaches(call.worker))
            reply = worker(call.worker).start(call, m_epoch, m_real);
        m_book->startReply(call.job, call.attempt, reply, now(), records);
        keep(records);
    }

    void carryOut(const StopTask &call)
    {
        JobBook::Records records;
        const bool stopped = reaches(call.worker) && worker(call.worker).stop(call, m_epoch);
        m_book->stopReply(call, stopped, now(), records);
        keep(records);
    }

    void carryOut(const CheckpointTask &call)
    {
        JobBook::Records records;
        std::optional<std::string> checkpoint;
        if (reaches(call.worker))
            checkpoint = worker(call.worker).checkpoint(call, m_epoch, m_real);
        m_book->checkpointReply(call.job, call.attempt, checkpoint, now(), records);
        keep(records);
    }

    void carryOut(const ThrottleTask &) { }

    JobBookSettings m_settings;
    std::unique_ptr<JobBook> m_book;
    std::vector<HostInfo> m_infos;
    std::map<std::string, FakeWorker> m_workers;
    std::set<std::string> m_cutOff;
    JobBook::Records m_records;
    Millis m_real;
    std::uint64_t m_epoch = 1;
    std::size_t m_starts = 0;
};

} // namespace savorywick
