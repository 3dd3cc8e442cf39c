#pragma once

#include "savorywick/fairqueue.h"
#include "savorywick/job.h"

namespace savorywick::internal {

// Returns how a job waits in the queue.
inline WaitingItem waitingItem(const Job &job, Instant since)
{
    return {job.spec.id, job.spec.team, job.spec.priority, job.spec.demand, since};
}

} // namespace savorywick::internal
