#include "savorywick/steps/evacuatedzones.h"

#include <algorithm>

namespace savorywick::steps {

namespace {

constexpr int fullPercent = 100;

} // namespace

std::optional<Millis> ZoneEvacuationSettings::maxAge() const
{
    return bound ? std::optional(*bound - orderMargin) : std::nullopt;
}

EvacuatedZones::EvacuatedZones(const ZoneEvacuationSettings &settings)
    : m_settings(settings)
{ }

bool EvacuatedZones::update(const EvacuationReport &report, Instant now)
{
    const bool changed = report.zones != m_zones || !m_returnedAt.empty();
    for (const std::string &it : m_zones) {
        if (!report.zones.contains(it))
            m_returnedAt[it] = now;
    }
    m_zones = report.zones;
    if (report.currentAt)
        m_currentAt = std::max(*report.currentAt, m_currentAt.value_or(*report.currentAt));
    std::erase_if(m_returnedAt, [&](const auto &it) {
        return m_zones.contains(it.first) || now - it.second >= m_settings.rampTime;
    });
    return changed;
}

std::optional<Millis> EvacuatedZones::age(Instant now) const
{
    return m_currentAt ? std::optional(now - *m_currentAt) : std::nullopt;
}

bool EvacuatedZones::isCurrent(Instant now) const
{
    return !isEnabled() || (m_currentAt && now - *m_currentAt <= *m_settings.maxAge());
}

bool EvacuatedZones::isEvacuated(std::string_view zone) const
{
    return isEnabled() && m_zones.contains(zone);
}

bool EvacuatedZones::mayStartIn(std::string_view zone, Instant now) const
{
    return isCurrent(now) && !isEvacuated(zone);
}

int EvacuatedZones::offeredPercent(std::string_view zone, Instant now) const
{
    if (isEvacuated(zone))
        return 0;
    const auto it = m_returnedAt.find(zone);
    if (it == m_returnedAt.end() || now - it->second >= m_settings.rampTime)
        return fullPercent;
    const int rest = fullPercent - m_settings.rampFromPercent;
    return m_settings.rampFromPercent
        + static_cast<int>(rest * (now - it->second).count() / m_settings.rampTime.count());
}

std::vector<ZoneChange> EvacuatedZones::changesSince(const EvacuatedZones &earlier) const
{
    std::vector<ZoneChange> changes;
    for (const std::string &it : m_zones) {
        if (!earlier.m_zones.contains(it))
            changes.push_back({it, true});
    }
    for (const std::string &it : earlier.m_zones) {
        if (!m_zones.contains(it))
            changes.push_back({it, false});
    }
    return changes;
}

} // namespace savorywick::steps
