// The part of Node that follows operators' evacuations of availability zones. Every entry follows
// them, so that one that becomes an owner knows them already.

#include "core/log.h"
#include "core/prometheuswriter.h"
#include "node/node.h"

#include <utility>

namespace savorywick {

void Node::watchEvacuations()
{
    const auto maxAge = m_settings.shardRunner.coordinator.zoneEvacuation.maxAge();
    if (!maxAge)
        return;
    m_platform.feed.watchEvacuations(
        *maxAge, [this](const steps::EvacuationReport &report) { applyEvacuations(report); });
}

void Node::applyEvacuations(const steps::EvacuationReport &report)
{
    const bool capacityChanged = m_evacuatedZones.update(report, m_clock.now());
    noteEvacuationAge();
    for (const auto &[shard, runner] : m_runners) {
        runner->setEvacuatedZones(m_evacuatedZones);
        if (capacityChanged)
            runner->setShardCapacities(shardCapacities());
    }
}

// Logs when owners here stop to start tasks because the evacuations are not known, and when they
// start tasks again.
void Node::noteEvacuationAge()
{
    const Instant now = m_clock.now();
    const bool isCurrent = m_evacuatedZones.isCurrent(now);
    if (std::exchange(m_evacuationsCurrent, isCurrent) == isCurrent)
        return;
    if (isCurrent)
        return logInfo("evacuations-known",
                       {{"zones", std::uint64_t{m_evacuatedZones.zones().size()}}});
    const auto age = m_evacuatedZones.age(now);
    logWarning("evacuations-unknown", {{"ageMs", age ? age->count() : std::int64_t{-1}}});
}

void Node::writeEvacuationMetrics(PrometheusWriter &out) const
{
    if (!m_evacuatedZones.isEnabled())
        return;
    steps::ZoneNames zones = m_evacuatedZones.zones();
    for (const steps::WorkerInfo &it : m_workers)
        zones.insert(it.availabilityZone);
    for (const std::string &it : zones)
        out.writeGauge("zone_evacuated", "zone", it, m_evacuatedZones.isEvacuated(it) ? 1 : 0);
    if (const auto age = m_evacuatedZones.age(m_clock.now()))
        out.writeGauge("evacuations_age_ms", static_cast<std::uint64_t>(age->count()));
}

} // namespace savorywick
