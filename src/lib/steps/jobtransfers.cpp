#include "savorywick/steps/jobtransfers.h"

#include <algorithm>
#include <utility>

namespace savorywick::steps {

namespace {

// Returns true if and only if the record is part of the state of this job and of no run.
bool isStateOf(const std::string &job, const Record &record)
{
    if (const auto *accepted = std::get_if<JobAccepted>(&record))
        return accepted->spec.id == job;
    if (const auto *task = std::get_if<TaskSnapshot>(&record))
        return task->task.job == job && task->state.activeRuns.empty();
    if (const auto *suspected = std::get_if<RunSuspected>(&record))
        return suspected->task.job == job;
    const auto *state = std::get_if<JobStateSnapshot>(&record);
    return state && state->job == job && !isFinal(state->state);
}

} // namespace

std::string faultOf(const JobTransfer &transfer)
{
    if (transfer.job.empty() || transfer.handovers <= 0)
        return "it has no job or no number of hand-overs";
    const std::vector<Record> &state = transfer.state;
    const bool framed = state.size() >= 2 && std::holds_alternative<JobAccepted>(state.front())
        && std::holds_alternative<JobStateSnapshot>(state.back());
    if (!framed)
        return "it is not a job's state from begin to end";
    const bool ofJob = std::all_of(state.begin(), state.end(),
                                   [&](const Record &it) { return isStateOf(transfer.job, it); });
    return ofJob ? "" : "it has a record of another job, of a run or of an ended job";
}

JobTransfers::JobTransfers(const JobTable &table, RecordSink sink)
    : m_table(table)
    , m_sink(std::move(sink))
{ }

void JobTransfers::takeOver(std::int64_t wallMs)
{
    for (const auto &[job, delegation] : m_table.delegations())
        forgetLater(job, delegation.wallMs);
    std::vector<std::string> incomplete;
    for (const auto &[job, handover] : m_table.handovers()) {
        if (handover.to)
            m_leaving.insert(job);
        if (!handover.complete && m_table.find(job))
            incomplete.push_back(job);
        else if (!m_table.find(job))
            forgetLater(job, wallMs);
    }
    for (const std::string &job : incomplete) {
        m_sink(JobPurged{job});
        forgetLater(job, wallMs);
    }
}

void JobTransfers::delegate(const std::string &job, int shard, std::int64_t wallMs)
{
    m_sink(JobDelegated{job, shard, wallMs});
    forgetLater(job, wallMs);
}

std::optional<int> JobTransfers::delegatedTo(std::string_view job) const
{
    const auto it = m_table.delegations().find(job);
    return it == m_table.delegations().end() ? std::nullopt : std::optional(it->second.shard);
}

void JobTransfers::begin(const std::string &job, int shard)
{
    const auto known = m_table.handovers().find(job);
    const int earlier = known == m_table.handovers().end() ? 0 : known->second.count;
    m_sink(JobLeaving{job, shard, earlier + 1});
    m_leaving.insert(job);
}

std::optional<int> JobTransfers::leavingTo(std::string_view job) const
{
    const auto it = m_table.handovers().find(job);
    return it == m_table.handovers().end() ? std::nullopt : it->second.to;
}

int JobTransfers::patienceFactor(std::string_view job) const
{
    constexpr int patientFrom = 4; // Each step of a job may have a need of its own.
    constexpr int maxDoublings = 6;
    const auto it = m_table.handovers().find(job);
    const int count = it == m_table.handovers().end() ? 0 : it->second.count;
    return 1 << std::clamp(count - patientFrom, 0, maxDoublings);
}

JobTransfer JobTransfers::transferOf(const std::string &job) const
{
    return {job, m_table.handovers().find(job)->second.count,
            m_table.snapshotOf(*m_table.find(job))};
}

void JobTransfers::confirm(const std::string &job, std::int64_t wallMs)
{
    const JobHandover &handover = m_table.handovers().find(job)->second;
    m_sink(JobDelegated{job, *handover.to, wallMs, handover.count});
    m_leaving.erase(job);
    forgetLater(job, wallMs);
}

bool JobTransfers::hasTaken(std::string_view job, int handovers) const
{
    const auto left = m_table.delegations().find(job);
    if (left != m_table.delegations().end() && left->second.handovers >= handovers)
        return true;
    const auto known = m_table.handovers().find(job);
    if (known == m_table.handovers().end())
        return false;
    // Of the latest hand-over, only a part may have arrived.
    return known->second.count > handovers
        || (known->second.count == handovers && known->second.complete);
}

void JobTransfers::take(const JobTransfer &transfer)
{
    cancelForgetting(transfer.job);
    m_leaving.erase(transfer.job); // One that comes back had arrived where it was sent to.
    m_sink(JobArrived{transfer.job, transfer.handovers});
    for (const Record &it : transfer.state)
        m_sink(it);
}

void JobTransfers::notePurged(const std::string &job, std::int64_t wallMs)
{
    if (m_table.handovers().contains(job))
        forgetLater(job, wallMs);
}

void JobTransfers::forgetExpired(Millis retention, std::int64_t wallMs)
{
    while (!m_forgettable.empty() && m_forgettable.begin()->first + retention.count() <= wallMs) {
        m_sink(JobPurged{m_forgettable.begin()->second});
        m_forgettable.erase(m_forgettable.begin());
    }
}

void JobTransfers::forgetLater(const std::string &job, std::int64_t wallMs)
{
    m_forgettable.emplace(wallMs, job);
}

// Arrivals are rare, so a search of all is cheap enough.
void JobTransfers::cancelForgetting(std::string_view job)
{
    std::erase_if(m_forgettable, [job](const auto &it) { return it.second == job; });
}

} // namespace savorywick::steps
