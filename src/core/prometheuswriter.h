#pragma once

#include "core/latencyhistogram.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace savorywick {

// Writes metrics in the Prometheus text exposition format, version 0.0.4.
//
// Use it to answer a scrape. Each metric name gets the prefix `savorywick_`, and a `# TYPE` line
// before its first sample. All samples of one name must be written one after another, as the format
// demands. Label values are not escaped: they must contain no quote, backslash or newline. Not
// thread-safe.
//
// Example:
//   PrometheusWriter writer;
//   writer.writeCounter("runs_ended_total", "how", "done", 12);
//   respond(writer.takeText());
class PrometheusWriter
{
public:
    // Writes a sample of a counter, a value that only grows.
    void writeCounter(std::string_view name, std::uint64_t value);
    // Writes a sample of a counter with one label.
    void writeCounter(std::string_view name, std::string_view label, std::string_view labelValue,
                      std::uint64_t value);
    // Writes a sample of a gauge, a value that can go up and down.
    void writeGauge(std::string_view name, std::uint64_t value);
    // Writes a sample of a gauge with one label.
    void writeGauge(std::string_view name, std::string_view label, std::string_view labelValue,
                    std::uint64_t value);
    // Writes a histogram with its buckets, sum and count in milliseconds; `name` must end in `_ms`.
    void writeHistogram(std::string_view name, const LatencyHistogram &histogram);

    // Returns the text written so far and clears the writer for the next scrape.
    std::string takeText();

private:
    void writeType(std::string_view name, std::string_view type);
    void writeSample(std::string_view name, std::string_view label, std::string_view labelValue,
                     std::uint64_t value);

    std::string m_text;
    std::set<std::string, std::less<>> m_typedNames;
};

} // namespace savorywick
