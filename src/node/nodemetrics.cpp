// Implements Node::metrics().

#include "core/exposition.h"
#include "node/node.h"

namespace savorywick {

namespace {

void addShard(Exposition &out, const steps::Coordinator &coordinator)
{
    const steps::CoordinatorCounters &c = coordinator.counters();
    out.counter("jobs_accepted_total", c.jobsAccepted);
    out.counter("jobs_repeated_total", c.jobsRepeated);
    out.counter("runs_started_total", c.runsStarted);
    out.counter("runs_adopted_total", c.runsAdopted);
    out.counter("runs_stalled_total", c.runsStalled);
    out.counter("runs_evacuated_total", c.runsEvacuated);
    out.counter("workers_quarantined_total", c.workersQuarantined);
    for (const auto &[how, n] : c.runsEnded)
        out.counter("runs_ended_total", "how", steps::toString(how), n);
    for (const auto &[outcome, n] : c.startReplies)
        out.counter("start_replies_total", "outcome", steps::toString(outcome), n);
    out.gauge("open_steps", coordinator.readyStepCount());
    out.gauge("active_runs", coordinator.runs().all().size());
    out.gauge("workers", coordinator.workerCount());
}

} // namespace

std::string Node::metrics() const
{
    Exposition out;
    out.counter("caller_requests_total", m_callerRequestCount);
    out.gauge("owned_shards", m_runners.size());
    out.gauge("ready", isReady() ? 1 : 0);
    out.gauge("configuration_version", m_queues.configuration().version);
    out.histogram("caller_answer_ms", m_callerApi.responseTimes());
    for (const auto &[outcome, n] : m_callerApi.refusals())
        out.counter("caller_refusals_total", "why", toString(outcome), n);
    out.histogram("submit_commit_ms", m_shardLatencies.submitCommit);
    out.histogram("submit_first_start_ms", m_shardLatencies.submitFirstStart);
    out.histogram("shard_restore_ms", m_shardLatencies.restore);
    for (const auto &[shard, runner] : m_runners)
        addShard(out, runner->coordinator());
    return out.take();
}

} // namespace savorywick
