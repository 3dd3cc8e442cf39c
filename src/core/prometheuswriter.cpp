#include "core/prometheuswriter.h"

#include <utility>

namespace savorywick {

namespace {

constexpr std::string_view namePrefix = "savorywick_";

} // namespace

void PrometheusWriter::writeType(std::string_view name, std::string_view type)
{
    if (!m_typedNames.emplace(name).second)
        return;
    m_text.append("# TYPE ").append(namePrefix).append(name).append(" ").append(type).append("\n");
}

void PrometheusWriter::writeSample(std::string_view name, std::string_view label,
                                   std::string_view labelValue, std::uint64_t value)
{
    m_text.append(namePrefix).append(name);
    if (!label.empty())
        m_text.append("{").append(label).append("=\"").append(labelValue).append("\"}");
    m_text.append(" ").append(std::to_string(value)).append("\n");
}

void PrometheusWriter::writeCounter(std::string_view name, std::uint64_t value)
{
    writeType(name, "counter");
    writeSample(name, {}, {}, value);
}

void PrometheusWriter::writeCounter(std::string_view name, std::string_view label,
                                    std::string_view labelValue, std::uint64_t value)
{
    writeType(name, "counter");
    writeSample(name, label, labelValue, value);
}

void PrometheusWriter::writeGauge(std::string_view name, std::uint64_t value)
{
    writeType(name, "gauge");
    writeSample(name, {}, {}, value);
}

void PrometheusWriter::writeGauge(std::string_view name, std::string_view label,
                                  std::string_view labelValue, std::uint64_t value)
{
    writeType(name, "gauge");
    writeSample(name, label, labelValue, value);
}

void PrometheusWriter::writeHistogram(std::string_view name, const LatencyHistogram &histogram)
{
    writeType(name, "histogram");
    const std::string baseName(name);
    for (std::size_t i = 0; i < LatencyHistogram::bucketBoundsMs.size(); ++i)
        writeSample(baseName + "_bucket", "le",
                    std::to_string(LatencyHistogram::bucketBoundsMs.at(i)),
                    histogram.cumulativeCount(i));
    writeSample(baseName + "_bucket", "le", "+Inf", histogram.count());
    writeSample(baseName + "_sum", {}, {}, static_cast<std::uint64_t>(histogram.sum().count()));
    writeSample(baseName + "_count", {}, {}, histogram.count());
}

std::string PrometheusWriter::takeText()
{
    m_typedNames.clear();
    return std::exchange(m_text, {});
}

} // namespace savorywick
