#include "core/latencyhistogram.h"

namespace savorywick {

void LatencyHistogram::record(Millis latency)
{
    ++m_count;
    m_sum = m_sum + latency;
    for (std::size_t i = 0; i < bucketBoundsMs.size(); ++i)
        m_cumulativeCounts.at(i) += latency.count() <= bucketBoundsMs.at(i) ? 1 : 0;
}

} // namespace savorywick
