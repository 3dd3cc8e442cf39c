#include "savorywick/steps/drainrate.h"

#include <algorithm>
#include <utility>

namespace savorywick::steps {

namespace {

constexpr int windowInTasks = 4;
constexpr int settlingInTasks = 2;
constexpr int recentInTasks = 2;

} // namespace

void DrainRate::advance(Instant now, bool workWaits, Millis taskDuration)
{
    if (m_measuring && now > m_now)
        m_timeSinceEnd = m_timeSinceEnd + (now - m_now);
    m_now = std::max(m_now, now);
    m_taskDuration = std::min(taskDuration, m_settings.maxWindow / windowInTasks);
    updateSaturation(workWaits);
    dropOldBuckets();
}

void DrainRate::updateSaturation(bool workWaits)
{
    if (workWaits) {
        m_idleSince.reset();
        m_waitsSince = m_waitsSince.value_or(m_now);
    } else if (m_waitsSince) {
        m_idleSince = m_idleSince.value_or(m_now);
        if (m_now - *m_idleSince >= m_settings.idleGrace) {
            m_waitsSince.reset();
            m_idleSince.reset();
            m_buckets.clear();
            m_total = {};
            m_timeSinceEnd = {};
        }
    }
    m_measuring =
        workWaits && m_waitsSince && m_now - *m_waitsSince >= m_taskDuration * settlingInTasks;
}

DrainRate::Bucket &DrainRate::currentBucket()
{
    if (m_buckets.empty() || m_now - m_buckets.back().begin >= m_settings.bucketSpan)
        m_buckets.push_back({m_now, {}, 0, 0});
    return m_buckets.back();
}

void DrainRate::dropOldBuckets()
{
    const Millis window =
        std::clamp(m_taskDuration * windowInTasks, m_settings.minWindow, m_settings.maxWindow);
    while (!m_buckets.empty() && m_now - m_buckets.front().begin > window) {
        const Bucket &oldest = m_buckets.front();
        m_total.measuredTime = m_total.measuredTime - oldest.measuredTime;
        m_total.work -= oldest.work;
        m_total.ends -= oldest.ends;
        m_buckets.pop_front();
    }
}

void DrainRate::recordEnd(std::int64_t work)
{
    m_lastEndAt = m_now;
    if (!m_measuring)
        return;
    const Millis time = std::exchange(m_timeSinceEnd, {});
    for (Bucket *it : {&currentBucket(), &m_total}) {
        it->measuredTime = it->measuredTime + time;
        it->work += work;
        ++it->ends;
    }
}

// Returns how long ago an end still counts as recent.
Millis DrainRate::recentTime() const
{
    return std::max(m_settings.minMeasuredTime, m_taskDuration * recentInTasks);
}

double DrainRate::milliCores() const
{
    Millis time = m_total.measuredTime;
    if (m_timeSinceEnd > recentTime())
        time = time + m_timeSinceEnd;
    if (time <= Millis{0})
        return 0;
    return static_cast<double>(m_total.work) / static_cast<double>(time.count());
}

bool DrainRate::measuredLongEnough() const
{
    return m_total.measuredTime + m_timeSinceEnd
        >= std::max(m_settings.minMeasuredTime, m_taskDuration);
}

bool DrainRate::hasEvidence() const
{
    return measuredLongEnough() && m_total.ends >= m_settings.minEnds && m_total.work > 0
        && age() <= recentTime();
}

Millis DrainRate::age() const
{
    return m_lastEndAt ? m_now - *m_lastEndAt : Millis{0};
}

} // namespace savorywick::steps
