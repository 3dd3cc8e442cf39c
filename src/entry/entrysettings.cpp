#include "entry/entrysettings.h"

#include <algorithm>

namespace savorywick {

HttpServerLimits callerServerLimits(const Settings &settings)
{
    return {.maxConnections = static_cast<std::size_t>(settings.limits.callerConnections),
            .maxBodyBytes = static_cast<std::size_t>(settings.limits.bodyBytes),
            .readTimeout = settings.limits.headerRead,
            .idleTimeout = settings.limits.idleConnection};
}

HttpServerLimits peerServerLimits(const Settings &settings)
{
    // A forwarded body is encoded as hexadecimal digits, which doubles its size, within a JSON
    // object that also holds the headers.
    return {.maxConnections = static_cast<std::size_t>(settings.limits.peerConnections),
            .maxBodyBytes = static_cast<std::size_t>(settings.limits.bodyBytes) * 2 + (1U << 16U)};
}

RequestServiceSettings requestServiceSettings(const Settings &settings)
{
    RequestServiceSettings result;
    result.shardCount = settings.shardCount;
    result.maxDeadline = settings.limits.requestDeadline;
    RequestDispatcherSettings &dispatcher = result.dispatcher;
    dispatcher.router.availabilityZone = settings.availabilityZone;
    dispatcher.router.region = settings.region;
    dispatcher.admission.maxQueuedRequests =
        static_cast<std::size_t>(settings.limits.queueRequests);
    dispatcher.admission.maxQueuedBytes = static_cast<std::size_t>(settings.limits.queueBytes);
    dispatcher.attemptTimeout = settings.limits.attempt;
    dispatcher.router.slotHoldAfterTimeout = settings.limits.slotHold;
    dispatcher.shares.maxListAge = settings.polls.entryListAge;
    dispatcher.shares.maxAttemptTime =
        dispatcher.attemptTimeout + dispatcher.router.slotHoldAfterTimeout;
    return result;
}

ShardSupervisorSettings shardHostSettings(const Settings &settings)
{
    ShardSupervisorSettings result;
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

LeaseControllerSettings leaseLoopSettings(const Settings &settings)
{
    LeaseControllerSettings result;
    result.lease.shardCount = settings.shardCount;
    result.lease.term = settings.leases.entryTerm;
    result.lease.clockDriftMargin = settings.leases.entryMargin;
    result.lease.renewalInterval = settings.leases.entryRenewal;
    // ShardLeaseManager restarts its observation of other entries after a gap of two renewal
    // periods, so it must observe them more often than that.
    result.observeInterval = std::min(result.observeInterval, settings.leases.entryRenewal);
    result.maxListAge = settings.polls.entryListAge;
    return result;
}

} // namespace savorywick
