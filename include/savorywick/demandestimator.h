#pragma once

#include "savorywick/resources.h"

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <string_view>

namespace savorywick {

struct DemandEstimatorOptions
{
    std::size_t maxClasses = 4'096; // Beyond this, the least recently observed class is evicted.
    int windowSamples = 512; // Peaks cover the last one to two windows of this many samples.
    int memoryMarginPercent = 10; // Added to the observed peak of memory.
};

// Estimates the resources that tasks of a class use from what earlier tasks of it used, since
// declared demands are often far off.
//
// Use it to size allocations. Its estimate is the larger of the declared demand and the recent peak
// use, in each dimension; memory gets a margin on top of the peak. Old peaks expire as new samples
// arrive. The estimator's own memory is bounded by `maxClasses`. Not thread-safe.
//
// Example:
//   estimator.observe("matching", "allocation", usageOfOneTask);
//   allocations.allocate(host, task, estimator.estimate("matching", "allocation", declared));
class DemandEstimator
{
public:
    explicit DemandEstimator(const DemandEstimatorOptions &options);

    // Records the resources that one task was measured to use.
    void observe(std::string_view service, std::string_view runClass, const Resources &used);
    // Returns the resources to allocate to a task of the class that declares `declared`. Returns
    // `declared` for classes that were never observed.
    Resources estimate(std::string_view service, std::string_view runClass,
                       const Resources &declared) const;
    // Returns the number of classes remembered.
    std::size_t classCount() const { return m_classes.size(); }

private:
    struct ClassUsage
    {
        Resources previousPeak;
        Resources peak;
        int samples = 0;
        std::list<std::string>::iterator recency; // Its place in m_recentKeys.
    };

    static std::string keyOf(std::string_view service, std::string_view runClass);
    ClassUsage &findOrAddClass(std::string key);

    DemandEstimatorOptions m_options;
    std::map<std::string, ClassUsage, std::less<>> m_classes;
    std::list<std::string> m_recentKeys; // Keys of m_classes, the most recently observed first.
};

} // namespace savorywick
