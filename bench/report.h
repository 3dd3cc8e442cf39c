#pragma once

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

// Shared by the measurements: JSON lines go to stdout, a table to stderr.
namespace savorywick::bench {

struct Metric
{
    std::string name;
    double value = 0;
};

// Prints one case's metrics as JSON lines and as one row of the table.
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

// Prints the table's head: the name of the first column and of each metric.
inline void reportHead(const std::string &first, const std::vector<std::string> &names)
{
    std::string head = "| " + first + " |";
    std::string rule = "|---|";
    for (const std::string &it : names) {
        head += " " + it + " |";
        rule += "---|";
    }
    std::fprintf(stderr, "\n%s\n%s\n", head.c_str(), rule.c_str());
}

// Returns a quantile in [0, 1] of `samples`, which it partly sorts; 0 without samples.
inline double quantile(std::vector<double> &samples, double part)
{
    if (samples.empty())
        return 0;
    const auto rank = static_cast<std::size_t>(part * static_cast<double>(samples.size() - 1));
    const auto it = samples.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(samples.begin(), it, samples.end());
    return *it;
}

} // namespace savorywick::bench
