#include "savorywick/steps/unplaceablesteps.h"

#include <algorithm>

namespace savorywick::steps {

namespace {

constexpr std::size_t maxEntries = 64; // Bounds the time that covers() takes.

} // namespace

void UnplaceableSteps::add(const StepSpec &step, std::string_view service, double minHeadroom)
{
    if (step.maxTasksPerWorker == 0 && m_entries.size() < maxEntries)
        m_entries.push_back({&step, std::string(service), minHeadroom});
}

bool UnplaceableSteps::covers(const StepSpec &step, std::string_view service,
                              double minHeadroom) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const Entry &it) {
        const StepSpec &known = *it.step;
        // The image and the headroom matter to best-effort steps only.
        return it.service == service && known.bestEffort == step.bestEffort
            && known.demand.fitsIn(step.demand)
            && (known.neededLabel.empty() || known.neededLabel == step.neededLabel)
            && (!step.bestEffort || (known.image == step.image && it.minHeadroom <= minHeadroom));
    });
}

} // namespace savorywick::steps
