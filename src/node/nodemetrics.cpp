// Implements Node::metrics().

#include "core/prometheuswriter.h"
#include "node/admissionmetrics.h"
#include "node/node.h"

#include <algorithm>
#include <span>

namespace savorywick {

namespace {

// What the owned shards have in all.
struct ShardTotals
{
    steps::CoordinatorCounters counters;
    std::size_t readySteps = 0;
    std::size_t activeRuns = 0;
    std::size_t workers = 0;
    Millis longestGap; // That a long-running task has had no run.

    void add(const steps::Coordinator &coordinator, Instant now)
    {
        longestGap = std::max(longestGap, coordinator.longRunningGaps().longest(now));
        counters += coordinator.counters();
        readySteps += coordinator.readyStepCount();
        activeRuns += coordinator.runs().all().size();
        workers += coordinator.workerCount();
    }
};

void addShards(PrometheusWriter &out, const ShardTotals &totals)
{
    const steps::CoordinatorCounters &c = totals.counters;
    out.writeCounter("jobs_accepted_total", c.jobsAccepted);
    out.writeCounter("jobs_repeated_total", c.jobsRepeated);
    out.writeCounter("jobs_handed_over_total", c.jobsHandedOver);
    out.writeCounter("jobs_taken_over_total", c.jobsTaken);
    out.writeCounter("runs_started_total", c.runsStarted);
    out.writeCounter("runs_adopted_total", c.runsAdopted);
    out.writeCounter("partial_reports_total", c.partialReports);
    out.writeCounter("late_starts_adopted_total", c.lateStartsAdopted);
    out.writeCounter("ends_of_unknown_runs_total", c.endsOfUnknownRuns);
    out.writeCounter("runs_stalled_total", c.runsStalled);
    out.writeCounter("durations_observed_total", c.durationsObserved);
    out.writeCounter("duplicates_started_total", c.duplicatesStarted);
    out.writeCounter("duplicates_won_total", c.duplicatesWon);
    out.writeCounter("runs_evacuated_total", c.runsEvacuated);
    out.writeCounter("starts_withheld_total", c.startsWithheld);
    out.writeCounter("runs_preempted_total", c.runsPreempted);
    out.writeCounter("best_effort_starts_prevented_total", c.bestEffortStartsPrevented);
    out.writeCounter("runs_stopped_for_interference_total", c.runsStoppedForInterference);
    out.writeCounter("workers_quarantined_total", c.workersQuarantined);
    out.writeCounter("workers_crashed_total", c.workersCrashed);
    out.writeCounter("workers_lost_total", c.workersLost);
    out.writeCounter("workers_not_crashed_total", c.workersNotCrashed);
    out.writeCounter("workers_examined_total", c.workersExamined);
    out.writeCounter("runs_examined_total", c.runsExamined);
    for (const auto &[how, n] : c.runsEnded)
        out.writeCounter("runs_ended_total", "how", steps::toString(how), n);
    for (const auto &[end, n] : c.reservationsEnded)
        out.writeCounter("reservations_ended_total", "how", steps::toString(end), n);
    for (const auto &[outcome, n] : c.startReplies)
        out.writeCounter("start_replies_total", "outcome", steps::toString(outcome), n);
    out.writeGauge("open_steps", totals.readySteps);
    out.writeGauge("active_runs", totals.activeRuns);
    out.writeGauge("workers", totals.workers);
    out.writeGauge("longest_gap_of_long_running_ms",
                   static_cast<std::uint64_t>(totals.longestGap.count()));
}

// All samples of a metric follow each other, as the format demands.
void addClients(PrometheusWriter &out, std::span<const NamedClient> clients)
{
    for (const NamedClient &it : clients)
        out.writeGauge("client_connections", "to", it.name, it.client.openConnections());
    for (const NamedClient &it : clients)
        out.writeCounter("client_connections_opened_total", "to", it.name,
                         it.client.counters().connectionsOpened);
    for (const NamedClient &it : clients)
        out.writeCounter("client_requests_waited_total", "to", it.name,
                         it.client.counters().waited);
    for (const NamedClient &it : clients)
        out.writeCounter("client_requests_waited_too_long_total", "to", it.name,
                         it.client.counters().waitedTooLong);
}

} // namespace

std::string Node::metrics() const
{
    PrometheusWriter out;
    out.writeCounter("caller_requests_total", m_callerRequestCount);
    out.writeCounter("caller_requests_unanswered_total", m_callerServer.counts().unanswered);
    out.writeCounter("caller_bytes_discarded_total", m_callerServer.counts().discardedBytes);
    out.writeCounter("caller_requests_unreadable_total", m_callerServer.counts().unreadable);
    out.writeCounter("caller_requests_refused_for_memory_total",
                     m_callerServer.counts().refusedForMemory);
    out.writeGauge("owned_shards", m_runners.size());
    out.writeCounter("rejection_handovers_total", m_ownership.rejectionHandovers());
    out.writeGauge("ready", isReady() ? 1 : 0);
    out.writeGauge("configuration_version", m_queues.configuration().version);
    out.writeHistogram("caller_answer_ms", m_callerApi.responseTimes());
    for (const auto &[outcome, n] : m_callerApi.refusals())
        out.writeCounter("caller_refusals_total", "why", toString(outcome), n);
    out.writeHistogram("owner_reply_ms", m_ownerReplies.times);
    for (const auto &[outcome, total] : m_ownerReplies.byOutcome)
        out.writeCounter("owner_replies_total", "outcome", toString(outcome), total.count);
    for (const auto &[outcome, total] : m_ownerReplies.byOutcome)
        out.writeCounter("owner_reply_time_ms_total", "outcome", toString(outcome),
                         static_cast<std::uint64_t>(total.time.count()));
    addClients(out, m_platform.clients);
    m_loadReporter.writeMetrics(out);
    writeEvacuationMetrics(out);
    out.writeHistogram("commit_ms", m_shardLatencies.commit);
    out.writeHistogram("submit_commit_ms", m_shardLatencies.submitCommit);
    out.writeHistogram("submit_first_start_ms", m_shardLatencies.submitFirstStart);
    out.writeHistogram("shard_restore_ms", m_shardLatencies.restore);
    out.writeCounter("jobs_refused_by_digest_total", m_admissionDigest.refusals());
    ShardTotals totals;
    AdmissionMetrics admission;
    for (const auto &[shard, runner] : m_runners) {
        totals.add(runner->coordinator(), m_clock.now());
        admission.add(runner->coordinator().admission());
    }
    if (!m_runners.empty())
        addShards(out, totals);
    admission.write(out);
    return out.takeText();
}

} // namespace savorywick
