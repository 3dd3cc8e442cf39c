// The part of JobBook that gives waiting runs to workers.

#include "savorywick/jobbook.h"

namespace savorywick {

using internal::JobRecord;
using internal::RecordKind;

// Tells the queue what fits on the workers that can be used now.
class JobBook::BookFit final : public FitTest
{
public:
    // With `room`, wide work that has waited long is given the room that it needs.
    BookFit(const JobBook &book, Instant now, HeldRoom *room = nullptr)
        : m_book(book)
        , m_room(room)
    {
        for (const std::string &host : book.m_ledger.hosts()) {
            if (!book.takesWork(host, now))
                m_unusable.push_back(host);
        }
    }

    Fit test(const WaitingItem &item) override
    {
        if (choose(item))
            return Fit::Fits;
        const Resources need = m_book.needOf(*m_book.find(item.id));
        const FitVerdict verdict = m_book.m_ledger.fitsAnyHost(need).verdict;
        return verdict == FitVerdict::TooLarge ? Fit::NotOnAnyHost : Fit::NotNow;
    }

    bool fitsBeside(const WaitingItem &item, const WaitingItem &reserved) override
    {
        if (m_room == nullptr)
            return false;
        m_reserved = reserved.id;
        m_room->holdFor(reserved.id, m_book.needOf(*m_book.find(reserved.id)), m_book.m_ledger);
        return choose(item).has_value();
    }

    // Returns the worker for an item, one on which it has not failed if there is any.
    std::optional<std::string> choose(const WaitingItem &item) const
    {
        const Job &job = *m_book.find(item.id);
        std::vector<std::string> unusable = m_unusable;
        if (!m_reserved.empty() && item.id != m_reserved && m_room->held())
            unusable.push_back(*m_room->held());
        std::vector<std::string> avoid = unusable;
        for (const TaskFailure &failure : job.failures)
            avoid.push_back(failure.worker);
        const Resources need = m_book.needOf(job);
        PlacementRequest request{job.spec.service, job.spec.runClass, need, avoid};
        const Placement &placement = *m_book.m_placement;
        auto worker = placement.choose(request, m_book.m_ledger, m_book.m_cost);
        if (worker || job.failures.empty())
            return worker;
        request.avoid = unusable;
        return placement.choose(request, m_book.m_ledger, m_book.m_cost);
    }

    // Keeps further items off a worker.
    void exclude(const std::string &worker) { m_unusable.push_back(worker); }

private:
    const JobBook &m_book;
    HeldRoom *m_room;
    std::string m_reserved; // The item that room is held for in this pass; empty if none.
    std::vector<std::string> m_unusable;
};

bool JobBook::takesWork(const std::string &worker, Instant now) const
{
    if (!m_leases.usable(worker, now))
        return false;
    const WorkerStanding standing = m_quarantine.standing(worker, now);
    return standing == WorkerStanding::Open || standing == WorkerStanding::ProbeDue;
}

std::vector<LiveWork> JobBook::liveWork(std::string_view service) const
{
    std::map<std::string, int> runs;
    std::map<std::string, int> watchers;
    for (const auto &it : m_table.jobs()) {
        const Job &job = it.second;
        if (job.spec.service == service && !isFinal(job.state))
            ++(job.watcher ? watchers : runs)[job.spec.runClass];
    }
    std::vector<LiveWork> result;
    result.reserve(runs.size() + watchers.size());
    for (const auto &it : runs)
        result.push_back({BatchKind::Run, it.first, it.second});
    for (const auto &it : watchers)
        result.push_back({BatchKind::Watcher, it.first, it.second});
    return result;
}

OldestWaiting JobBook::oldestWaiting(Instant now) const
{
    BookFit fit(*this, now);
    return m_queue.oldest(fit);
}

// Returns what to book for a run. A learned size that no worker holds is not believed.
Resources JobBook::needOf(const Job &job) const
{
    const Resources &declared = job.spec.demand;
    if (m_sizes == nullptr)
        return declared;
    const Resources learned = m_sizes->booking(job.spec.service, job.spec.runClass, declared);
    const bool possible = m_ledger.fitsAnyHost(learned).verdict == FitVerdict::Fits;
    return possible ? learned : declared;
}

bool JobBook::rebook(const std::string &id, const Resources &need)
{
    const Job *job = find(id);
    return job != nullptr && isOnWorker(job->state) && m_ledger.rebook(job->worker, id, need);
}

void JobBook::placeWaiting(Instant now, Records &records)
{
    if (m_queue.waitingCount() == 0)
        return;
    BookFit fit(*this, now, &m_room);
    for (int n = 0; n < m_settings.startsPerTick; ++n) {
        const auto item = m_queue.pop(now, fit);
        if (!item)
            return;
        const std::string worker = fit.choose(*item).value();
        if (m_quarantine.beginProbe(worker, now))
            fit.exclude(worker);
        place(item->id, worker, now, records);
    }
}

void JobBook::place(const std::string &id, const std::string &worker, Instant now, Records &records)
{
    const Job &job = *find(id);
    m_ledger.book(worker, id, needOf(job));
    JobRecord r;
    r.kind = RecordKind::Place;
    r.id = id;
    r.attempt = job.attempt + 1;
    r.worker = worker;
    r.incarnation = m_leases.incarnation(worker);
    record(std::move(r), now, records);
    ++m_counters.placed;
    call(id, now);
}

} // namespace savorywick
