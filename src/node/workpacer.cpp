#include "node/workpacer.h"

#include <algorithm>

namespace savorywick {

void WorkPacer::recordWork(Instant beganAt, Instant endedAt)
{
    const Millis pause = (endedAt - beganAt) * m_settings.pausePerWork;
    m_nextBeginAt = endedAt + std::min(pause, m_settings.maxPause);
}

} // namespace savorywick
