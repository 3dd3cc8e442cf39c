#include "savorywick/internal/jobtable.h"

#include "jobjson.h"
#include "jsontext.h"
#include "savorywick/errors.h"

#include <algorithm>
#include <vector>

namespace savorywick::internal {

namespace {

std::string uniqueKey(const std::string &service, const std::string &key)
{
    return service + '\n' + key;
}

[[noreturn]] void throwInvalidRecord(const JobRecord &record)
{
    throw Error(ErrorKind::InvalidInput,
                "journal record '" + encode(record) + "' does not fit the state of its job",
                "replay the journal from its snapshot, in order and without gaps");
}

// Returns true if and only if the record may be applied to the job in its present state.
bool isValidTransition(const Job &job, const JobRecord &record)
{
    switch (record.kind) {
    case RecordKind::Place:
        return job.state == JobState::Waiting && record.attempt == job.attempt + 1;
    case RecordKind::End:
    case RecordKind::Fail:
    case RecordKind::Free:
        return hasActiveAttempt(job.state) && record.attempt == job.attempt;
    case RecordKind::Evict:
        return job.state == JobState::Placed && record.attempt == job.attempt;
    case RecordKind::Cancel:
        return !isFinal(job.state);
    case RecordKind::GiveUp:
        return job.state == JobState::Waiting;
    case RecordKind::Fire:
        return job.state == JobState::Watching;
    default:
        return false;
    }
}

} // namespace

void JobTable::apply(const JobRecord &record)
{
    if (record.kind == RecordKind::Submit || record.kind == RecordKind::Watch) {
        if (m_jobs.contains(record.spec.id))
            throwInvalidRecord(record);
        Job job;
        job.spec = record.spec;
        job.isWatcher = record.kind == RecordKind::Watch;
        job.untilRun = record.untilRun;
        job.delay = record.delay;
        job.state = job.isWatcher ? JobState::Watching : JobState::Waiting;
        job.submittedAt = record.at;
        job.stateChangedAt = record.at;
        insert(std::move(job));
    } else if (record.kind == RecordKind::Forget) {
        erase(record);
    } else if (record.kind != RecordKind::Mark) {
        const auto it = m_jobs.find(record.id);
        if (it == m_jobs.end() || !isValidTransition(it->second, record))
            throwInvalidRecord(record);
        applyTransition(it->second, record);
    }
    m_lastRecordTime = std::max(m_lastRecordTime, record.at);
}

void JobTable::insert(Job job)
{
    ++m_countsByState[job.state];
    m_idsByKey[uniqueKey(job.spec.service, job.spec.idempotencyKey)] = job.spec.id;
    std::string id = job.spec.id;
    m_jobs.emplace(std::move(id), std::move(job));
}

void JobTable::erase(const JobRecord &record)
{
    const auto it = m_jobs.find(record.id);
    if (it == m_jobs.end() || !isFinal(it->second.state))
        throwInvalidRecord(record);
    --m_countsByState[it->second.state];
    m_idsByKey.erase(uniqueKey(it->second.spec.service, it->second.spec.idempotencyKey));
    m_jobs.erase(it);
}

void JobTable::applyTransition(Job &job, const JobRecord &record)
{
    switch (record.kind) {
    case RecordKind::Place:
        job.attempt = record.attempt;
        job.worker = record.worker;
        job.incarnation = record.incarnation;
        setState(job, JobState::Placed, record.at);
        break;
    case RecordKind::End:
    case RecordKind::Fire:
        job.result = record.text;
        setState(job, JobState::Finished, record.at);
        break;
    case RecordKind::Fail: {
        const bool cancelled = job.state == JobState::Cancelling;
        job.failures.push_back({record.worker, record.text});
        setState(job, cancelled ? JobState::Cancelled : JobState::Waiting, record.at);
        break;
    }
    case RecordKind::Evict:
        job.checkpoint = record.checkpoint;
        setState(job, JobState::Evicting, record.at);
        break;
    case RecordKind::Free: {
        const bool cancelled = job.state == JobState::Cancelling;
        setState(job, cancelled ? JobState::Cancelled : JobState::Waiting, record.at);
        break;
    }
    case RecordKind::Cancel:
        setState(job, hasActiveAttempt(job.state) ? JobState::Cancelling : JobState::Cancelled,
                 record.at);
        break;
    case RecordKind::GiveUp:
        job.result = record.text;
        setState(job, JobState::Failed, record.at);
        break;
    default:
        break;
    }
}

void JobTable::setState(Job &job, JobState state, Millis at)
{
    --m_countsByState[job.state];
    ++m_countsByState[state];
    job.state = state;
    job.stateChangedAt = at;
}

const Job *JobTable::find(const std::string &id) const
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : &it->second;
}

const Job *JobTable::findByKey(const std::string &service, const std::string &key) const
{
    const auto it = m_idsByKey.find(uniqueKey(service, key));
    return it == m_idsByKey.end() ? nullptr : find(it->second);
}

std::size_t JobTable::count(JobState state) const
{
    const auto it = m_countsByState.find(state);
    return it == m_countsByState.end() ? 0 : it->second;
}

std::string JobTable::snapshot() const
{
    // Each job is a line of its own: restore() parses one line at a time, which bounds the memory
    // that parsing needs.
    std::vector<const Job *> sorted;
    sorted.reserve(m_jobs.size());
    for (const auto &[id, job] : m_jobs)
        sorted.push_back(&job);
    std::ranges::sort(sorted, {}, [](const Job *job) { return job->spec.id; });
    Json::Value head;
    head["at"] = Json::Int64(m_lastRecordTime.count());
    head["jobs"] = Json::UInt64(sorted.size());
    std::string text = toJsonText(head) + '\n';
    for (const Job *job : sorted)
        text += toJsonText(toJson(*job)) + '\n';
    return text;
}

void JobTable::restore(const std::string &text)
{
    *this = {};
    std::size_t n = text.find('\n');
    const Json::Value head = parseObject(text.substr(0, n));
    m_lastRecordTime = Millis{head["at"].asInt64()};
    while (n + 1 < text.size()) {
        const std::size_t end = text.find('\n', n + 1);
        insert(jobFromJson(parseObject(text.substr(n + 1, end - n - 1))));
        n = end;
    }
    if (m_jobs.size() != head["jobs"].asUInt64())
        throw Error(ErrorKind::InvalidInput,
                    "the snapshot is truncated: its count of jobs differs from its header",
                    "fetch the object again");
}

} // namespace savorywick::internal
