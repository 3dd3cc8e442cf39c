#include "node/overloadgate.h"

namespace savorywick {

bool OverloadGate::observe(Millis lag, Instant now)
{
    const bool crossed = m_closed ? lag < m_settings.openLag : lag >= m_settings.closeLag;
    if (!crossed) {
        m_crossedSince.reset();
        return false;
    }
    if (!m_crossedSince)
        m_crossedSince = now;
    if (now - *m_crossedSince < (m_closed ? m_settings.openAfter : m_settings.closeAfter))
        return false;
    m_closed = !m_closed;
    m_crossedSince.reset();
    return true;
}

} // namespace savorywick
