#include "node/shardrunner.h"

#include "core/bootclock.h"
#include "core/log.h"
#include "savorywick/errors.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace savorywick {

namespace {

constexpr int settleRounds = 4; // Durable records may free orders that leave records again.

// Hands a request to the coordinator and says what to answer once its records are durable.
class RequestHandler
{
public:
    RequestHandler(steps::Coordinator &coordinator, steps::ClockReading now)
        : m_coordinator(coordinator)
        , m_now(now)
    { }

    ShardAnswer operator()(const SubmitJob &it) const
    {
        const auto result = m_coordinator.submit(it.spec, m_now);
        logInfo(result == steps::SubmitResult::Accepted ? "job-accepted" : "job-repeated",
                {{"requestId", it.spec.id},
                 {"queue", it.spec.policy.queue},
                 {"steps", static_cast<int>(it.spec.steps.size())}});
        return {ShardOutcome::Ok, {}, 0};
    }
    ShardAnswer operator()(const CancelJob &it) const
    {
        const bool known = m_coordinator.cancel(it.job, m_now);
        logInfo("job-cancelled", {{"requestId", it.job}, {"known", known}});
        return {known ? ShardOutcome::Ok : ShardOutcome::UnknownJob, {}, 0};
    }
    ShardAnswer operator()(const ShowJob &it) const
    {
        const auto state = m_coordinator.durableState(it.job);
        if (!state)
            return {ShardOutcome::UnknownJob, {}, 0};
        return {ShardOutcome::Ok, *state, 0};
    }
    ShardAnswer operator()(const CountPending &it) const
    {
        return {ShardOutcome::Ok, {}, m_coordinator.queuedJobCount(it.queue)};
    }

private:
    steps::Coordinator &m_coordinator;
    steps::ClockReading m_now;
};

void log(const steps::SchedulerEvent &note)
{
    if (note.task.job.empty()) {
        logInfo(toString(note.kind),
                {{"worker", note.worker}, {"why", note.reason}, {"ageMs", note.age.count()}});
        return;
    }
    logInfo(toString(note.kind),
            {{"requestId", note.task.job},
             {"task", steps::toString(note.task)},
             {"run", note.run},
             {"worker", note.worker},
             {"why", note.reason},
             {"ageMs", note.age.count()},
             {"value", note.value}});
}

bool changesState(const ShardRequest &request)
{
    return std::holds_alternative<SubmitJob>(request) || std::holds_alternative<CancelJob>(request);
}

} // namespace

ShardRunner::ShardRunner(const OwnedShard &owned, const ShardRunnerSettings &settings,
                         ShardRunnerParts parts)
    : m_owned(owned)
    , m_settings(settings)
    , m_parts(std::move(parts))
    , m_reader(owned)
    , m_journal(owned, settings.journal)
    , m_coordinator(owned.row.epoch, m_parts.clock.now(), settings.coordinator)
{ }

steps::ClockReading ShardRunner::now() const
{
    return {m_parts.clock.now(), wallClockMs()};
}

void ShardRunner::open()
{
    logInfo("shard-taken", {{"shard", shard()}, {"epoch", m_owned.row.epoch}});
    readSnapshot();
}

void ShardRunner::retryLater(void (ShardRunner::*step)())
{
    m_parts.loop.after(m_settings.restoreRetry, [weak = weak_from_this(), step] {
        const auto self = weak.lock();
        if (self && !self->m_over)
            ((*self).*step)();
    });
}

void ShardRunner::readSnapshot()
{
    if (m_reader.snapshotName().empty())
        return readSegments();
    m_parts.objects.fetch(m_reader.snapshotName(), [weak = weak_from_this()](const auto &bytes) {
        const auto self = weak.lock();
        if (!self || self->m_over)
            return;
        if (!bytes)
            return self->retryLater(&ShardRunner::readSnapshot);
        std::istringstream lines(*bytes);
        for (std::string line; std::getline(lines, line);)
            self->m_coordinator.restore(steps::decodeRecord(line));
        self->readSegments();
    });
}

void ShardRunner::readSegments()
{
    if (m_reader.finished())
        return finishRestore();
    m_parts.table.scan(m_reader.scanPrefix(), m_reader.scanAfter(), m_settings.segmentsPerRead,
                       [weak = weak_from_this()](const auto &rows) {
                           const auto self = weak.lock();
                           if (!self || self->m_over)
                               return;
                           if (!rows)
                               return self->retryLater(&ShardRunner::readSegments);
                           for (const std::string &line : self->m_reader.parseSegments(*rows))
                               self->m_coordinator.restore(steps::decodeRecord(line));
                           self->readSegments();
                       });
}

void ShardRunner::finishRestore()
{
    m_restored = true;
    m_coordinator.takeOver(now());
    m_coordinator.setWorkers(m_workers, now());
    m_parts.times.restore.record(m_parts.clock.now() - m_coordinator.ownedSince());
    logInfo("shard-restored",
            {{"shard", shard()},
             {"epoch", m_owned.row.epoch},
             {"jobs", static_cast<int>(m_coordinator.jobTable().jobs().size())},
             {"runs", static_cast<int>(m_coordinator.runs().all().size())},
             {"tookMs", (m_parts.clock.now() - m_coordinator.ownedSince()).count()}});
    schedulePump();
}

void ShardRunner::handle(const ShardRequest &request, ShardAnswered answered)
{
    if (!m_restored || m_over || m_journal.releasing())
        return answered({ShardOutcome::NotOwner, {}, 0});
    // An owner that can't prove that it still is one does not reach the store.
    if (!m_parts.mayAct() || (changesState(request) && storeInTrouble()))
        return answered({ShardOutcome::StoreDown, {}, 0});
    const ShardAnswer answer = std::visit(RequestHandler(m_coordinator, now()), request);
    if (!changesState(request))
        return answered(answer);
    appendRecords();
    m_waiting.push_back({m_journal.append({}), m_parts.clock.now(),
                         std::holds_alternative<SubmitJob>(request), answer, std::move(answered)});
    schedulePump();
}

void ShardRunner::setWorkers(std::vector<steps::WorkerInfo> workers)
{
    m_workers = std::move(workers);
    if (!m_restored || m_over)
        return;
    m_coordinator.setWorkers(m_workers, now());
    schedulePump();
}

void ShardRunner::release()
{
    if (m_over)
        return;
    if (!m_restored) // Nothing was begun; the next owner restores from the same rows.
        m_restored = true;
    appendRecords();
    m_journal.release();
    schedulePump();
}

void ShardRunner::drop()
{
    end();
}

// Events of one turn of the loop share a pump, and so a commit.
void ShardRunner::schedulePump()
{
    if (m_pumpPosted || m_over)
        return;
    m_pumpPosted = true;
    m_parts.loop.post([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->pump();
    });
}

void ShardRunner::pump()
{
    m_pumpPosted = false;
    if (m_over || !m_restored)
        return;
    if (!m_journal.releasing())
        m_coordinator.tick(now());
    for (int round = 0; round < settleRounds; ++round) {
        appendRecords();
        m_coordinator.recordsDurable(m_journal.durableLsn());
        sendOrders();
        if (!m_coordinator.hasRecords())
            break;
    }
    for (const steps::SchedulerEvent &it : m_coordinator.takeNotes()) {
        log(it);
        if (it.kind == steps::SchedulerEventKind::JobStarted)
            m_parts.times.submitFirstStart.record(it.age);
    }
    storeSnapshot();
    commitNext();
    scheduleWake();
}

void ShardRunner::appendRecords()
{
    if (m_journal.releasing() || m_journal.fenced())
        return;
    m_coordinator.recordsAppended(m_journal.append(m_coordinator.takeRecords()));
}

void ShardRunner::commitNext()
{
    const auto t = m_journal.nextCommit(m_parts.clock.now());
    if (!t)
        return;
    m_commitSentAt = m_parts.clock.now();
    m_parts.table.commit(*t, [weak = weak_from_this()](const CommitResult &result) {
        const auto self = weak.lock();
        if (!self || self->m_over)
            return;
        self->m_storeRefuses = result.outcome == CommitOutcome::Unavailable;
        if (result.outcome != CommitOutcome::Unknown)
            self->m_commitSentAt.reset();
        self->takeEvent(self->m_journal.handleCommitResult(result, self->m_parts.clock.now()));
    });
}

void ShardRunner::readBack()
{
    if (m_readingBack || !m_journal.needsReadBack())
        return;
    m_readingBack = true;
    m_parts.table.read({m_journal.rowKey()}, [weak = weak_from_this()](const auto &rows) {
        const auto self = weak.lock();
        if (!self || self->m_over)
            return;
        self->m_readingBack = false;
        if (!rows)
            return self->retryLater(&ShardRunner::readBack);
        self->m_commitSentAt.reset();
        self->takeEvent(self->m_journal.handleReadBack(rows->front(), self->m_parts.clock.now()));
    });
}

void ShardRunner::takeEvent(const JournalStatus &event)
{
    answerDurable(event.durableLsn);
    if (event.fenced || event.released) {
        logInfo(event.fenced ? "shard-lost" : "shard-released",
                {{"shard", shard()}, {"epoch", m_owned.row.epoch}});
        return end();
    }
    readBack();
    removeOldSnapshot();
    schedulePump();
}

void ShardRunner::answerDurable(LogSequenceNumber landed)
{
    while (!m_waiting.empty() && m_waiting.front().ticket <= landed) {
        const Waiting it = std::move(m_waiting.front());
        m_waiting.pop_front();
        if (it.submits)
            m_parts.times.submitCommit.record(m_parts.clock.now() - it.since);
        it.answered(it.answer);
    }
}

void ShardRunner::sendOrders()
{
    const bool mayStart = m_parts.mayAct() && !m_journal.releasing();
    for (const steps::WorkerCommand &it :
         mayStart ? m_coordinator.takeOrders(now()) : m_coordinator.takeRenewals(now()))
        send(it);
}

void ShardRunner::send(const steps::WorkerCommand &order)
{
    const auto weak = weak_from_this();
    const auto whenAlive = [weak](auto action) {
        return [weak, action](const auto &reply) {
            const auto self = weak.lock();
            if (!self || self->m_over)
                return;
            action(*self, reply);
            self->schedulePump();
        };
    };
    if (const auto *renewal = std::get_if<steps::RenewLeaseCommand>(&order)) {
        m_parts.workers.renew(*renewal,
                              whenAlive([o = *renewal](ShardRunner &r, const auto &reply) {
                                  r.m_coordinator.handleRenewReply(o, reply, r.now());
                              }));
    } else if (const auto *start = std::get_if<steps::StartRunCommand>(&order)) {
        m_parts.workers.start(*start, whenAlive([o = *start](ShardRunner &r, const auto &reply) {
            r.m_coordinator.handleStartReply(o, reply, r.now());
        }));
    } else if (const auto *stop = std::get_if<steps::StopRunCommand>(&order)) {
        m_parts.workers.stop(*stop, whenAlive([o = *stop](ShardRunner &r, const auto &reply) {
            r.m_coordinator.handleStopReply(o, reply, r.now());
        }));
    } else if (const auto *pace = std::get_if<steps::ThrottleRunCommand>(&order)) {
        m_parts.workers.pace(*pace, whenAlive([](ShardRunner &, const auto &) {}));
    }
}

void ShardRunner::storeSnapshot()
{
    if (m_journal.snapshotDue() && !m_journal.releasing()) {
        std::string state;
        for (const std::string &line : m_coordinator.snapshot())
            state += line + "\n";
        m_journal.beginSnapshot(std::move(state));
    }
    const auto object = m_journal.snapshotToStore();
    if (!object || m_putting)
        return;
    m_putting = true;
    m_parts.objects.put(object->name, object->bytes, [weak = weak_from_this()](bool stored) {
        const auto self = weak.lock();
        if (!self || self->m_over)
            return;
        self->m_putting = false;
        if (stored)
            self->m_journal.markSnapshotStored();
        self->schedulePump();
    });
}

void ShardRunner::removeOldSnapshot()
{
    if (const auto name = m_journal.takeObsoleteObject())
        m_parts.objects.remove(*name);
}

void ShardRunner::scheduleWake()
{
    const Instant present = m_parts.clock.now();
    Instant at = m_coordinator.wakeAt(present);
    if (const auto commitAt = m_journal.nextCommitAt())
        at = std::min(at, *commitAt);
    if (m_wakeAt && *m_wakeAt <= at && *m_wakeAt > present)
        return;
    m_parts.loop.cancel(m_wakeTimer);
    m_wakeAt = at;
    const Millis delay = std::max(Millis{1}, at - present);
    m_wakeTimer = m_parts.loop.after(delay, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self || self->m_over)
            return;
        self->m_wakeAt.reset();
        self->pump();
    });
}

bool ShardRunner::storeInTrouble() const
{
    const bool slow =
        m_commitSentAt && m_parts.clock.now() - *m_commitSentAt > m_settings.slowCommit;
    return m_storeRefuses || slow;
}

void ShardRunner::end()
{
    if (std::exchange(m_over, true))
        return;
    m_parts.loop.cancel(m_wakeTimer);
    for (const Waiting &it : std::exchange(m_waiting, {}))
        it.answered({ShardOutcome::Undecided, {}, 0});
    m_parts.over(shard());
}

} // namespace savorywick
