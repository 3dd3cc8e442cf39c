// The part of Node that tells its counters.

#include "node/node.h"

namespace savorywick {

namespace {

// Builds text in the common exposition format.
class Exposition
{
public:
    void counter(std::string_view name, std::uint64_t value) { line(name, "", "", value); }
    void counter(std::string_view name, std::string_view label, std::string_view is,
                 std::uint64_t value)
    {
        line(name, label, is, value);
    }
    std::string take() { return std::move(m_text); }

private:
    void line(std::string_view name, std::string_view label, std::string_view is,
              std::uint64_t value)
    {
        m_text.append("savorywick_").append(name);
        if (!label.empty())
            m_text.append("{").append(label).append("=\"").append(is).append("\"}");
        m_text.append(" ").append(std::to_string(value)).append("\n");
    }

    std::string m_text;
};

void addShard(Exposition &out, const steps::Coordinator &coordinator)
{
    const steps::CoordinatorCounters &c = coordinator.counters();
    out.counter("jobs_accepted_total", c.accepted);
    out.counter("jobs_repeated_total", c.repeated);
    out.counter("runs_started_total", c.started);
    out.counter("runs_adopted_total", c.adopted);
    out.counter("runs_stalled_total", c.stalled);
    out.counter("runs_evacuated_total", c.evacuated);
    out.counter("workers_quarantined_total", c.quarantined);
    for (const auto &[how, n] : c.ends)
        out.counter("runs_ended_total", "how", steps::toString(how), n);
    for (const auto &[outcome, n] : c.startReplies)
        out.counter("start_replies_total", "outcome", steps::toString(outcome), n);
    out.counter("open_steps", coordinator.openSteps());
    out.counter("active_runs", coordinator.runs().all().size());
    out.counter("workers", coordinator.workerCount());
}

} // namespace

std::string Node::metrics() const
{
    Exposition out;
    out.counter("caller_requests_total", m_callerRequests);
    out.counter("owned_shards", m_runners.size());
    out.counter("ready", ready() ? 1 : 0);
    out.counter("configuration_version", m_queues.configuration().version);
    for (const auto &[shard, runner] : m_runners)
        addShard(out, runner->coordinator());
    return out.take();
}

} // namespace savorywick
