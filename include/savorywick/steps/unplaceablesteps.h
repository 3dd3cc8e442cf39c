#pragma once

#include "savorywick/steps/job.h"

#include <string>
#include <string_view>
#include <vector>

namespace savorywick::steps {

// Remembers, for one placement pass, which steps no worker could take a further task of, so that
// like steps are not tried in vain. While steps wait by the hundreds, most are like a few of them.
//
// It holds that a pass only ever takes room and headroom away. Not thread-safe.
//
// Example:
//   if (!unplaceable.covers(step, service, minHeadroom) && !chooser.choose())
//       unplaceable.add(step, service, minHeadroom);
class UnplaceableSteps
{
public:
    // Notes that no worker of the service can take a task of the step that leaves each
    // latency-critical run `minHeadroom`. Does nothing for a step that limits its tasks per worker,
    // as that may be the reason, or if many steps are remembered already. `step` must outlive this
    // object.
    void add(const StepSpec &step, std::string_view service, double minHeadroom);
    // Returns true if it is certain that no worker can take a task of the step.
    bool covers(const StepSpec &step, std::string_view service, double minHeadroom) const;

private:
    struct Entry
    {
        const StepSpec *step = nullptr;
        std::string service;
        double minHeadroom = 0;
    };

    std::vector<Entry> m_entries;
};

} // namespace savorywick::steps
