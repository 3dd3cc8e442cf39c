#include "node/shardrunner.h"

#include "core/bootclock.h"
#include "core/log.h"
#include "node/jobrequests.h"
#include "node/schedulerlog.h"
#include "savorywick/errors.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace savorywick {

namespace {

// Sending orders may produce new records, which may release further orders.
constexpr int maxOrderRounds = 4;

// The list of all workers is long, so it is not searched on each event.
constexpr Millis lostLivesInterval{200};

} // namespace

ShardRunner::ShardRunner(const OwnedShard &owned, const ShardRunnerSettings &settings,
                         ShardRunnerDependencies dependencies)
    : m_owned(owned)
    , m_settings(settings)
    , m_dependencies(std::move(dependencies))
    , m_reader(owned)
    , m_journal(owned, settings.journal)
    , m_coordinator(owned.row.epoch, m_dependencies.clock.now(), settings.coordinator)
    , m_dealer(owned.shard, m_dependencies.shardFit)
    , m_mover(
          owned.shard, settings.jobMover,
          m_dependencies.sendToShard ? m_dependencies.shardFit : nullptr,
          [this](int shard, const ShardRequest &request, Millis timeout,
                 const ShardReplyCallback &onReply) {
              m_dependencies.sendToShard(
                  shard, request, timeout,
                  [weak = weak_from_this(), onReply](const ShardReply &reply) {
                      const auto self = weak.lock();
                      if (self && !self->m_ended)
                          onReply(reply);
                  });
          },
          [this](const std::string &job, int handovers) { finishHandover(job, handovers); })
    , m_overloadGate(settings.overload)
    , m_passPacer(settings.passes)
    , m_evacuatedZones(settings.coordinator.zoneEvacuation)
    , m_commitForecast(settings.commitForecast)
{
    m_coordinator.setStoreClock(m_dependencies.table.storeClock());
}

steps::ClockReading ShardRunner::now() const
{
    return {m_dependencies.clock.now(), wallClockMs()};
}

bool ShardRunner::hasValidLease() const
{
    return m_dependencies.clock.now() < m_dependencies.leaseValidUntil();
}

void ShardRunner::open()
{
    readSnapshot();
}

void ShardRunner::retryRestoreLater(std::string_view what, void (ShardRunner::*step)())
{
    logWarning("shard-restore-waits",
               {{"shard", shard()},
                {"what", what},
                {"forMs", (m_dependencies.clock.now() - m_coordinator.ownedSince()).count()}});
    retryLater(step);
}

void ShardRunner::retryLater(void (ShardRunner::*step)())
{
    m_dependencies.loop.runAfter(m_settings.restoreRetryDelay, [weak = weak_from_this(), step] {
        const auto self = weak.lock();
        if (self && !self->m_ended)
            ((*self).*step)();
    });
}

void ShardRunner::readSnapshot()
{
    if (m_reader.snapshotName().empty())
        return readSegments();
    m_dependencies.objects.fetch(
        m_reader.snapshotName(), [weak = weak_from_this()](const auto &bytes) {
            const auto self = weak.lock();
            if (!self || self->m_ended)
                return;
            if (!bytes)
                return self->retryRestoreLater("snapshot", &ShardRunner::readSnapshot);
            self->m_restoredSnapshotBytes = bytes->size();
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
    m_dependencies.table.scan(
        m_reader.scanPrefix(), m_reader.scanAfter(), m_settings.segmentsPerScan,
        [weak = weak_from_this()](const auto &rows) {
            const auto self = weak.lock();
            if (!self || self->m_ended)
                return;
            if (!rows)
                return self->retryRestoreLater("segments", &ShardRunner::readSegments);
            for (const std::string &line : self->m_reader.parseSegments(*rows))
                self->m_coordinator.restore(steps::decodeRecord(line));
            self->readSegments();
        });
}

void ShardRunner::finishRestore()
{
    m_restored = true;
    m_journal.setRestoredBytes(m_restoredSnapshotBytes, m_reader.segmentBytes());
    const Millis earlierLeasesLeft = takeInEarlierLeases();
    m_coordinator.takeOver(now());
    m_coordinator.setWorkers(m_workers, now());
    m_coordinator.setEvacuatedZones(m_evacuatedZones, now());
    m_dependencies.latencies.restore.record(m_dependencies.clock.now()
                                            - m_coordinator.ownedSince());
    logInfo("shard-restored",
            {{"shard", shard()},
             {"epoch", m_owned.row.epoch},
             {"jobs", static_cast<int>(m_coordinator.jobTable().jobs().size())},
             {"runs", static_cast<int>(m_coordinator.runs().all().size())},
             {"earlierLeasesMs", earlierLeasesLeft.count()},
             {"tookMs", (m_dependencies.clock.now() - m_coordinator.ownedSince()).count()}});
    scheduleProcessing();
}

void ShardRunner::handle(const ShardRequest &request, ShardReplyCallback onReply)
{
    if (!m_restored || m_ended || m_journal.releasing())
        return onReply({ShardOutcome::NotOwner, {}, 0});
    m_load.countRequest(request);
    // Without a valid lease, this entry's renewals did not reach the store.
    const bool changes = changesState(m_coordinator, request);
    if (!hasValidLease() || (changes && storeUnhealthy(request))) {
        ++m_load.storeRefusals;
        m_load.lateRefusals += hasValidLease() && !m_lastCommitUnavailable ? 1 : 0;
        return onReply({ShardOutcome::StoreDown, {}, 0});
    }
    observeLag();
    const bool takesNoJobs = m_overloadGate.isClosed() || m_coordinator.areAllWorkersEvacuated();
    if (takesNoJobs && changes && std::holds_alternative<SubmitJob>(request)) {
        ++m_load.overloadRefusals;
        return onReply({ShardOutcome::Overloaded, {}, 0});
    }
    const ShardReply reply = applyRequest(m_coordinator, shard(), m_dealer, request, now());
    if (reply.outcome == ShardOutcome::NoCapacity)
        ++m_load.capacityRefusals;
    const bool changed = changes && !hadNoEffect(reply.outcome);
    if (!changed && !awaitsCommit(m_coordinator, request, reply))
        return onReply(reply);
    appendRecords();
    m_pendingReplies.push_back({m_journal.append({}), m_dependencies.clock.now(),
                                std::holds_alternative<SubmitJob>(request), reply,
                                std::move(onReply)});
    sendDurableReplies(m_journal.durableLsn()); // A request that changed nothing awaits no commit.
    scheduleProcessing();
}

void ShardRunner::setWorkers(std::vector<steps::WorkerInfo> workers)
{
    m_workers = std::move(workers);
    if (!m_restored || m_ended)
        return;
    m_coordinator.setWorkers(m_workers, now());
    scheduleProcessing();
}

void ShardRunner::setShardCapacities(std::vector<std::int64_t> milliCores)
{
    m_dealer.setCapacities(std::move(milliCores));
}

void ShardRunner::setEvacuatedZones(const steps::EvacuatedZones &zones)
{
    m_evacuatedZones = zones;
    if (!m_restored || m_ended)
        return;
    m_coordinator.setEvacuatedZones(m_evacuatedZones, now());
    scheduleProcessing();
}

void ShardRunner::release()
{
    if (m_ended)
        return;
    if (!m_restored) // No changes were made, so the next owner restores the same state.
        m_restored = true;
    appendRecords();
    m_journal.release();
    scheduleProcessing();
}

void ShardRunner::drop()
{
    end();
}

// Events of one event loop iteration share one call of process(), and thus one commit.
void ShardRunner::scheduleProcessing()
{
    if (m_processingScheduled || m_ended)
        return;
    m_processingScheduled = true;
    m_dependencies.loop.post([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->process();
    });
}

void ShardRunner::process()
{
    m_processingScheduled = false;
    if (m_ended || !m_restored)
        return;
    const Instant beganAt = m_dependencies.clock.now();
    observeLag();
    tick();
    if (!m_journal.releasing())
        m_mover.chooseJobs(m_coordinator, now());
    for (int round = 0; round < maxOrderRounds; ++round) {
        appendRecords();
        m_coordinator.recordsDurable(m_journal.durableLsn());
        sendOrders();
        if (!m_coordinator.hasRecords())
            break;
    }
    if (hasValidLease() && !m_journal.releasing() && m_dependencies.sendToShard)
        m_mover.sendJobs(m_coordinator, m_journal.durableLsn(), m_dependencies.clock.now());
    logDecisions();
    storeSnapshot();
    raiseLeaseLimit();
    commitNext();
    scheduleWakeUp();
    m_load.countRound(m_dependencies.clock.now() - beganAt);
}

// The pass covers all steps, runs and workers, so it serves all events that came since the last
// one.
void ShardRunner::tick()
{
    const steps::ClockReading beganAt = now();
    m_passDue = !m_journal.releasing() && !m_passPacer.mayBegin(beganAt.monotonic);
    if (m_passDue || m_journal.releasing())
        return;
    ++m_load.passes;
    if (!m_coordinator.jobTable().lostLives().empty())
        settleLostLives(beganAt);
    m_coordinator.tick(beganAt);
    m_passPacer.recordWork(beganAt.monotonic, m_dependencies.clock.now());
}

// Settles what became of lost workers that may have crashed.
void ShardRunner::settleLostLives(steps::ClockReading currentTime)
{
    if (currentTime.monotonic < m_nextSettlingAt || !m_dependencies.allWorkers)
        return;
    m_nextSettlingAt = currentTime.monotonic + lostLivesInterval;
    m_coordinator.settleLostLives(m_dependencies.allWorkers(), currentTime);
}

void ShardRunner::logDecisions()
{
    for (const steps::SchedulerEvent &it : m_coordinator.takeNotes()) {
        log(it);
        if (it.kind == steps::SchedulerEventKind::JobStarted)
            m_dependencies.latencies.submitFirstStart.record(it.age);
    }
}

void ShardRunner::finishHandover(const std::string &job, int handovers)
{
    if (!m_coordinator.confirmHandover(job, handovers, now()))
        return;
    logInfo("job-handed-over", {{"requestId", job}, {"shard", shard()}, {"handovers", handovers}});
    scheduleProcessing();
}

void ShardRunner::appendRecords()
{
    if (m_journal.releasing() || m_journal.fenced())
        return;
    const LogSequenceNumber lsn = m_journal.append(m_coordinator.takeRecords());
    m_coordinator.recordsAppended(lsn);
    m_mover.recordsAppended(lsn);
}

void ShardRunner::commitNext()
{
    const auto t = m_journal.nextCommit(m_dependencies.clock.now());
    if (!t)
        return;
    const Instant sentAt = m_dependencies.clock.now();
    m_commitForecast.commitSent(sentAt);
    m_dependencies.table.commit(*t, [weak = weak_from_this(), sentAt](const CommitResult &result) {
        const auto self = weak.lock();
        if (!self || self->m_ended)
            return;
        self->measureCommit(sentAt, result.outcome);
        self->handleJournalEvent(
            self->m_journal.handleCommitResult(result, self->m_dependencies.clock.now()));
    });
}

void ShardRunner::measureCommit(Instant sentAt, CommitOutcome outcome)
{
    const Instant currentTime = m_dependencies.clock.now();
    m_load.countCommit(currentTime - sentAt, outcome == CommitOutcome::Committed);
    m_lastCommitUnavailable = outcome == CommitOutcome::Unavailable;
    if (outcome == CommitOutcome::Unknown)
        return m_commitForecast.attemptUnanswered();
    if (m_dependencies.commitEnded)
        m_dependencies.commitEnded(shard(), m_lastCommitUnavailable);
    if (outcome != CommitOutcome::Committed)
        return m_commitForecast.commitEnded();
    m_commitForecast.commitSucceeded(currentTime);
    m_dependencies.latencies.commit.record(currentTime - sentAt);
}

void ShardRunner::readBack()
{
    if (m_readingBack || !m_journal.needsReadBack())
        return;
    m_readingBack = true;
    m_dependencies.table.read({m_journal.rowKey()}, [weak = weak_from_this()](const auto &rows) {
        const auto self = weak.lock();
        if (!self || self->m_ended)
            return;
        self->m_readingBack = false;
        if (!rows)
            return self->retryLater(&ShardRunner::readBack);
        self->m_commitForecast.commitEnded();
        self->handleJournalEvent(
            self->m_journal.handleReadBack(rows->front(), self->m_dependencies.clock.now()));
    });
}

void ShardRunner::handleJournalEvent(const JournalStatus &event)
{
    // Whoever gets a reply may ask for the job's state at once.
    m_coordinator.recordsDurable(event.durableLsn);
    sendDurableReplies(event.durableLsn);
    if (event.fenced || event.released) {
        logInfo(event.fenced ? "shard-lost" : "shard-released",
                {{"shard", shard()}, {"epoch", m_owned.row.epoch}});
        return end();
    }
    readBack();
    removeOldSnapshot();
    scheduleProcessing();
}

void ShardRunner::sendDurableReplies(LogSequenceNumber durableLsn)
{
    while (!m_pendingReplies.empty() && m_pendingReplies.front().lsn <= durableLsn) {
        const PendingReply it = std::move(m_pendingReplies.front());
        m_pendingReplies.pop_front();
        if (it.isSubmit)
            m_dependencies.latencies.submitCommit.record(m_dependencies.clock.now()
                                                         - it.receivedAt);
        it.callback(it.reply);
    }
}

void ShardRunner::sendOrders()
{
    const bool mayStart = hasValidLease() && !m_journal.releasing();
    m_coordinator.limitLeases(latestLeaseEnd());
    for (const steps::WorkerCommand &it :
         mayStart ? m_coordinator.takeOrders(now()) : m_coordinator.takeRenewals(now()))
        sendOrder(it);
}

ShardLoad ShardRunner::takeLoad()
{
    ShardLoad load = std::exchange(m_load, {});
    const LogSequenceNumber durable = m_journal.durableLsn();
    load.committedRecords = durable - std::exchange(m_reportedLsn, durable);
    load.pendingReplies = m_pendingReplies.size();
    load.activeRuns = m_coordinator.runs().all().size();
    load.unconfirmedRuns = m_coordinator.runs().unconfirmedCount();
    load.pendingJobs = m_coordinator.pendingJobCount();
    load.readySteps = m_coordinator.readyStepCount();
    load.workers = m_coordinator.workerCount();
    load.loopLag = m_dependencies.loopLag();
    load.expectedCommitTime =
        m_commitForecast.expectedLatency(m_dependencies.clock.now(), ownCommitDelay());
    return load;
}

void ShardRunner::sendOrder(const steps::WorkerCommand &order)
{
    m_load.countOrder(order);
    const auto weak = weak_from_this();
    const auto ifAlive = [weak](auto action) {
        return [weak, action](const auto &reply) {
            const auto self = weak.lock();
            if (!self || self->m_ended)
                return;
            action(*self, reply);
            self->scheduleProcessing();
        };
    };
    if (const auto *renewal = std::get_if<steps::RenewLeaseCommand>(&order)) {
        m_dependencies.workers.renew(*renewal,
                                     ifAlive([o = *renewal](ShardRunner &r, const auto &reply) {
                                         r.m_coordinator.handleRenewReply(o, reply, r.now());
                                     }));
    } else if (const auto *start = std::get_if<steps::StartRunCommand>(&order)) {
        m_dependencies.workers.start(*start,
                                     ifAlive([o = *start](ShardRunner &r, const auto &reply) {
                                         r.m_coordinator.handleStartReply(o, reply, r.now());
                                     }));
    } else if (const auto *stop = std::get_if<steps::StopRunCommand>(&order)) {
        m_dependencies.workers.stop(*stop, ifAlive([o = *stop](ShardRunner &r, const auto &reply) {
            r.m_coordinator.handleStopReply(o, reply, r.now());
        }));
    } else if (const auto *throttling = std::get_if<steps::ThrottleRunCommand>(&order)) {
        m_dependencies.workers.throttle(*throttling, ifAlive([](ShardRunner &, const auto &) {}));
    }
}

void ShardRunner::scheduleWakeUp()
{
    const Instant currentTime = m_dependencies.clock.now();
    const bool mayTick = !m_passDue && !m_journal.releasing();
    Instant wakeUpAt =
        mayTick ? m_coordinator.wakeAt(currentTime) : m_coordinator.ordersDueAt(currentTime);
    if (const auto commitAt = m_journal.nextCommitAt())
        wakeUpAt = std::min(wakeUpAt, *commitAt);
    if (m_passDue)
        wakeUpAt = std::min(wakeUpAt, m_passPacer.nextBeginAt());
    if (needsLeaseLimit())
        wakeUpAt = std::min(wakeUpAt, currentTime + m_settings.journal.leaseLimitStep);
    if (m_wakeUpAt && *m_wakeUpAt <= wakeUpAt && *m_wakeUpAt > currentTime)
        return;
    m_dependencies.loop.cancel(m_wakeUpTimer);
    m_wakeUpAt = wakeUpAt;
    const Millis delay = std::max(Millis{1}, wakeUpAt - currentTime);
    m_wakeUpTimer = m_dependencies.loop.runAfter(delay, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self || self->m_ended)
            return;
        self->m_wakeUpAt.reset();
        self->process();
    });
}

bool ShardRunner::storeUnhealthy(const ShardRequest &request) const
{
    return m_lastCommitUnavailable
        || !m_commitForecast.mayAccept(answerDueAt(request), m_dependencies.clock.now(),
                                       ownCommitDelay());
}

Millis ShardRunner::ownCommitDelay() const
{
    // Sending the commit, reading its result and handling it each wait for the loop.
    constexpr int loopTurnsPerCommit = 3;
    return m_dependencies.loopLag() * loopTurnsPerCommit;
}

void ShardRunner::observeLag()
{
    const Millis lag = m_dependencies.loopLag();
    if (!m_overloadGate.observe(lag, m_dependencies.clock.now()))
        return;
    logWarning(m_overloadGate.isClosed() ? "overload-begins" : "overload-ends",
               {{"shard", shard()}, {"lagMs", lag.count()}});
}

void ShardRunner::end()
{
    if (std::exchange(m_ended, true))
        return;
    m_dependencies.loop.cancel(m_wakeUpTimer);
    for (const PendingReply &it : std::exchange(m_pendingReplies, {}))
        it.callback({ShardOutcome::Undecided, {}, 0});
    m_dependencies.ended(shard());
}

} // namespace savorywick
