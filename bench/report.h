#pragma once

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

// Reporting shared by the benchmarks: JSON lines go to stdout, a Markdown table to stderr.
namespace savorywick::bench {

struct Metric
{
    std::string name;
    double value = 0;
};

// Prints the metrics of one case as JSON lines and as one table row.
inline void report(const std::string &bench, const std::string &caseName,
                   const std::vector<Metric> &metrics)
{
    for (const Metric &it : metrics) {
        std::printf(R"({"bench":"%s","case":"%s","metric":"%s","value":%.6g})"
                    "\n",
                    bench.c_str(), caseName.c_str(), it.name.c_str(), it.value);
    }
    std::fprintf(stderr, "| %s |", caseName.c_str());
    for (const Metric &it : metrics)
        std::fprintf(stderr, " %.4g |", it.value);
    std::fprintf(stderr, "\n");
}

// Prints the table header: the name of the first column followed by the metric columns.
inline void reportTableHeader(const std::string &firstColumn, const std::vector<std::string> &names)
{
    std::string header = "| " + firstColumn + " |";
    std::string separator = "|---|";
    for (const std::string &it : names) {
        header += " " + it + " |";
        separator += "---|";
    }
    std::fprintf(stderr, "\n%s\n%s\n", header.c_str(), separator.c_str());
}

// Returns the quantile `fraction`, in [0, 1], of `samples`, or 0 if there are none. Reorders
// `samples`.
inline double quantile(std::vector<double> &samples, double fraction)
{
    if (samples.empty())
        return 0;
    const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(samples.size() - 1));
    const auto it = samples.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(samples.begin(), it, samples.end());
    return *it;
}

} // namespace savorywick::bench
