#include "savorywick/steps/relaxedstarts.h"

#include <algorithm>

namespace savorywick::steps {

bool RelaxedStarts::allowsMore(std::size_t workerCount) const
{
    if (!m_runsPerHundredWorkers)
        return true;
    constexpr std::size_t hundred = 100;
    const auto limit = static_cast<std::size_t>(*m_runsPerHundredWorkers) * workerCount / hundred;
    return m_runs.size() < std::max<std::size_t>(limit, 1);
}

} // namespace savorywick::steps
