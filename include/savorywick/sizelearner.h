#pragma once

#include "savorywick/resources.h"

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <string_view>

namespace savorywick {

struct SizeLearnerOptions
{
    std::size_t maxClasses = 4'096; // The classes remembered; the one unused for longest goes.
    int windowSamples = 512; // Peaks are those of the last one to two windows of samples.
    int memoryMarginPercent = 10; // Added to the learned memory.
};

// Learns how much the runs of a class really use, because declared sizes are far off.
//
// Use it to size bookings: the declared size or the learned one, whichever is larger in each
// dimension. Old peaks are forgotten as new samples come. Memory use is bounded by `maxClasses`.
// Not thread-safe.
//
// Example:
//   learner.observe("matching", "allocation", usageOfOneTask);
//   ledger.book(host, task, learner.booking("matching", "allocation", declared));
class SizeLearner
{
public:
    explicit SizeLearner(const SizeLearnerOptions &options);

    // Notes what one task was seen to use.
    void observe(std::string_view service, std::string_view runClass, const Resources &used);
    // Returns the size to book for a task that declares `declared`.
    Resources booking(std::string_view service, std::string_view runClass,
                      const Resources &declared) const;
    std::size_t classCount() const { return m_classes.size(); }

private:
    struct Class
    {
        Resources previousPeak;
        Resources peak;
        int samples = 0;
        std::list<std::string>::iterator use;
    };

    static std::string keyOf(std::string_view service, std::string_view runClass);
    Class &classOf(std::string key);

    SizeLearnerOptions m_options;
    std::map<std::string, Class, std::less<>> m_classes;
    std::list<std::string> m_uses; // Class keys, the latest observed first.
};

} // namespace savorywick
