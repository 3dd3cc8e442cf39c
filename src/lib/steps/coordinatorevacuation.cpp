// The part of Coordinator that keeps starts out of evacuated availability zones. Draining workers,
// whose runs are moved, are a different matter (coordinatorworkers.cpp).

#include "savorywick/steps/coordinator.h"

#include <algorithm>
#include <utility>

namespace savorywick::steps {

namespace {

constexpr std::int64_t fullPercent = 100;

// Takes the part of `capacity` that is not offered, rounded up, off what is available, but not
// below 0, so that a task that demands nothing of it still fits.
int lessWithheld(int available, int capacity, int offeredPercent)
{
    const auto withheld = static_cast<int>(
        (capacity * (fullPercent - offeredPercent) + fullPercent - 1) / fullPercent);
    return std::min(available, std::max(0, available - withheld));
}

} // namespace

void Coordinator::setEvacuatedZones(const EvacuatedZones &zones, ClockReading now)
{
    const std::vector<ZoneChange> changes = zones.changesSince(m_evacuatedZones);
    m_evacuatedZones = zones;
    m_placementNeeded = true;
    for (const ZoneChange &it : changes) {
        noteZoneChange(it);
        if (it.evacuated)
            voidStartsInFlight(it.zone, now.monotonic);
    }
}

void Coordinator::noteZoneChange(const ZoneChange &change)
{
    SchedulerEvent note;
    note.kind =
        change.evacuated ? SchedulerEventKind::ZoneEvacuated : SchedulerEventKind::ZoneReturned;
    note.zone = change.zone;
    for (const auto &[id, worker] : m_workers) {
        if (worker.info.availabilityZone != change.zone)
            continue;
        ++note.workerCount;
        note.value += static_cast<int>(m_runs.onWorker(id).size());
    }
    m_notes.push_back(std::move(note));
}

// Makes workers of the zone refuse start orders that reach them only from now on: the next renewal,
// which is due at once, carries a higher fence. Runs that they have started already go on.
void Coordinator::voidStartsInFlight(std::string_view zone, Instant now)
{
    for (auto &[id, worker] : m_workers) {
        if (worker.info.availabilityZone != zone || worker.startsInFlight == 0)
            continue;
        worker.session.raiseFence(now);
        markStale(worker);
    }
}

// Returns true if and only if the owner may send a start order to the worker, as far as evacuations
// are concerned.
bool Coordinator::mayStartInZoneOf(const Worker &worker, Instant now) const
{
    return m_evacuatedZones.mayStartIn(worker.info.availabilityZone, now);
}

// Reduces what the worker offers while its zone is returning to service. Runs that have gone on
// there take up part of what is offered.
void Coordinator::withholdCapacity(CandidateWorker &candidate, Instant now) const
{
    const int percent = m_evacuatedZones.offeredPercent(candidate.info->availabilityZone, now);
    if (percent == fullPercent)
        return;
    const ResourceVector &capacity = candidate.info->capacity;
    ResourceVector &available = candidate.available;
    available.milliCores = lessWithheld(available.milliCores, capacity.milliCores, percent);
    available.memoryMb = lessWithheld(available.memoryMb, capacity.memoryMb, percent);
    available.accelerators = lessWithheld(available.accelerators, capacity.accelerators, percent);
    candidate.idleMilliCores = lessWithheld(candidate.idleMilliCores, capacity.milliCores, percent);
}

bool Coordinator::areAllWorkersEvacuated() const
{
    bool someEvacuated = false;
    for (const auto &[id, worker] : m_workers) {
        if (worker.unlistedSince || worker.info.draining)
            continue;
        if (!m_evacuatedZones.isEvacuated(worker.info.availabilityZone))
            return false;
        someEvacuated = true;
    }
    return someEvacuated;
}

} // namespace savorywick::steps
