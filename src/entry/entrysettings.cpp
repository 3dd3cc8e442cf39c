#include "entry/entrysettings.h"

#include <algorithm>

namespace savorywick {

HttpServerLimits callerLimits(const Settings &settings)
{
    return {.connections = static_cast<std::size_t>(settings.limits.callerConnections),
            .bodyBytes = static_cast<std::size_t>(settings.limits.bodyBytes),
            .readTimeout = settings.limits.headerRead,
            .idleTimeout = settings.limits.idleConnection};
}

HttpServerLimits peerLimits(const Settings &settings)
{
    // A forwarded body travels as hexadecimal digits within JSON.
    return {.connections = static_cast<std::size_t>(settings.limits.peerConnections),
            .bodyBytes = static_cast<std::size_t>(settings.limits.bodyBytes) * 2 + (1U << 16U)};
}

RequestServiceSettings requestSettings(const Settings &settings)
{
    RequestServiceSettings result;
    result.shards = settings.shardCount;
    result.longestDeadline = settings.limits.requestDeadline;
    UrgentSettings &urgent = result.urgent;
    urgent.router.availabilityZone = settings.availabilityZone;
    urgent.router.region = settings.region;
    urgent.admission.maxQueuedRequests = static_cast<std::size_t>(settings.limits.queueRequests);
    urgent.admission.maxQueuedBytes = static_cast<std::size_t>(settings.limits.queueBytes);
    urgent.longestAttempt = settings.limits.attempt;
    urgent.router.slotHoldAfterTimeout = settings.limits.slotHold;
    urgent.shares.maxListAge = settings.polls.entryListAge;
    urgent.shares.maxAttemptTime = urgent.longestAttempt + urgent.router.slotHoldAfterTimeout;
    return result;
}

ShardHostSettings hostSettings(const Settings &settings)
{
    ShardHostSettings result;
    result.engine.journal.commitInterval = settings.limits.commitEvery;
    result.engine.journal.snapshotMinSegments =
        static_cast<std::uint64_t>(settings.limits.snapshotSegments);
    result.engine.claims.retention = settings.limits.claimRetention;
    result.engine.jobs.workerLeases.term = settings.leases.workerTerm;
    result.engine.jobs.workerLeases.clockDriftMargin = settings.leases.workerMargin;
    result.engine.jobs.workerLeases.renewalInterval = settings.leases.workerRenewal;
    result.engine.jobs.retention = settings.limits.runRetention;
    return result;
}

LeaseLoopSettings leaseSettings(const Settings &settings)
{
    LeaseLoopSettings result;
    result.lease.shardCount = settings.shardCount;
    result.lease.term = settings.leases.entryTerm;
    result.lease.clockDriftMargin = settings.leases.entryMargin;
    result.lease.renewalInterval = settings.leases.entryRenewal;
    // The keeper starts its watch anew after a gap of two renewals, so it must look more often.
    result.observeEvery = std::min(result.observeEvery, settings.leases.entryRenewal);
    result.longestListAge = settings.polls.entryListAge;
    return result;
}

} // namespace savorywick
