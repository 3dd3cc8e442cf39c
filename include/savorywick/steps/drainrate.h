#pragma once

#include "savorywick/clock.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace savorywick::steps {

// The windows of a DrainRate, and the evidence that it requires.
struct DrainRateSettings
{
    Millis bucketSpan{500};
    // The rate is that of the last four task durations, within these limits: over a shorter time,
    // tasks that were started together would make it jump.
    Millis minWindow{10'000};
    Millis maxWindow{60'000};
    Millis minMeasuredTime{2'000};
    int minEnds = 8;
    // Evidence is discarded once no work has waited for this time. The rate at which work ended
    // before is then that at which it arrived, and says nothing about the capacity.
    Millis idleGrace{1'000};
};

// Measures how fast waiting work is completed, from the work that ended.
//
// Use one for each pool of processors. It measures only while work waits. Measurement begins two
// task durations after that, when the tasks that were started together at the beginning have ended
// even if they take twice as long as estimated; before, the rate would be too low. It is pure and
// not thread-safe.
//
// Example:
//   rate.advance(now, backlog.waits(), meanTaskDuration);
//   rate.recordEnd(task.work);
//   if (rate.hasEvidence())
//       wait = backlog.work() / rate.milliCores();
class DrainRate
{
public:
    explicit DrainRate(const DrainRateSettings &settings)
        : m_settings(settings)
    { }

    // Sets the present time, whether work waits, and the mean duration of the running tasks. Call
    // it at least every few hundred milliseconds.
    void advance(Instant now, bool workWaits, Millis taskDuration);
    // Records that a task has ended whose work was `work`, in thousandths of a core times
    // milliseconds.
    void recordEnd(std::int64_t work);

    // Returns the rate in thousandths of a core until the last end of a task; 0 if nothing has been
    // measured. The time since that end counts only once it is long: tasks that were started
    // together end together, and between two such ends the rate would be too low.
    double milliCores() const;
    // Returns true if and only if enough tasks have ended, some of them recently, to rely on the
    // rate.
    bool hasEvidence() const;
    // Returns true if and only if it was measured for long enough to rely on the rate even if
    // nothing has ended.
    bool measuredLongEnough() const;
    // Returns the time since a task has last ended; 0 if none has.
    Millis age() const;

private:
    struct Bucket
    {
        Instant begin;
        Millis measuredTime;
        std::int64_t work = 0;
        int ends = 0;
    };

    Bucket &currentBucket();
    Millis recentTime() const;
    void dropOldBuckets();
    void updateSaturation(bool workWaits);

    const DrainRateSettings m_settings;
    Instant m_now;
    Millis m_taskDuration;
    bool m_measuring = false;
    std::optional<Instant> m_waitsSince;
    std::optional<Instant> m_idleSince; // Set while `m_waitsSince` is set and no work waits.
    std::optional<Instant> m_lastEndAt;
    std::deque<Bucket> m_buckets; // The oldest first.
    Bucket m_total; // Of all buckets.
    Millis m_timeSinceEnd; // Measured since the last end, and not in a bucket yet.
};

} // namespace savorywick::steps
