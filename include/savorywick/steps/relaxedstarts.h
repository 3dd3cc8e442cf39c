#pragma once

#include "savorywick/steps/runtable.h"

#include <cstddef>
#include <optional>
#include <set>

namespace savorywick::steps {

// Limits how many best-effort runs are in progress that were started although they leave
// latency-critical runs less than the usual headroom.
//
// A step that has found no worker for long may start below the usual headroom, so that a job which
// suits no worker is not starved. Under overload all steps wait for long, and if all of them did so
// every worker would be harmed. The limit keeps the exception to a few workers at a time; which
// steps use it is decided by their order. Not thread-safe.
//
// Example:
//   RelaxedStarts relaxed(5);
//   if (relaxed.allowsMore(workers.size()))
//       relaxed.add(start(step, relaxedMinHeadroom));
class RelaxedStarts
{
public:
    // `runsPerHundredWorkers` is the limit, of which one run is always allowed; nothing means that
    // there is no limit.
    explicit RelaxedStarts(std::optional<int> runsPerHundredWorkers)
        : m_runsPerHundredWorkers(runsPerHundredWorkers)
    { }

    bool isLimited() const { return m_runsPerHundredWorkers.has_value(); }
    // Returns true if and only if a further such run may be started among `workerCount` workers.
    bool allowsMore(std::size_t workerCount) const;
    // Notes that the run was started below the usual headroom. Has no effect without a limit.
    void add(const RunKey &run)
    {
        if (isLimited())
            m_runs.insert(run);
    }
    // Notes that the run has ended. It need not have been added.
    void remove(const RunKey &run) { m_runs.erase(run); }

    // Returns how many of the runs that were added have not ended.
    std::size_t count() const { return m_runs.size(); }

private:
    std::optional<int> m_runsPerHundredWorkers;
    std::set<RunKey> m_runs;
};

} // namespace savorywick::steps
