#pragma once

#include "savorywick/fairqueue.h"
#include "savorywick/job.h"

namespace savorywick::internal {

// Returns the queue item for a waiting job. `since` is the instant of its submission.
inline WaitingItem toQueueItem(const Job &job, Instant since)
{
    return {job.spec.id, job.spec.team, job.spec.priority, job.spec.demand, since};
}

} // namespace savorywick::internal
