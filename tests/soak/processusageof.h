#pragma once

#include <cstddef>
#include <filesystem>
#include <fstream>
#include <string>

#include <sys/types.h>

namespace savorywick::testing {

// Reads what another process holds, from the kernel's files about it. Figures are 0 once the
// process has ended.
//
// Example:
//   const ProcessUsageOf usage(entry.pid());
//   CHECK(usage.openDescriptors() < 100);
class ProcessUsageOf
{
public:
    explicit ProcessUsageOf(pid_t pid)
        : m_directory("/proc/" + std::to_string(pid))
    { }

    std::size_t residentBytes() const { return memoryFigure("VmRSS:"); }
    // Returns the most resident memory since the start of the process.
    std::size_t peakResidentBytes() const { return memoryFigure("VmHWM:"); }

    std::size_t openDescriptors() const
    {
        std::error_code ec;
        std::size_t n = 0;
        for (std::filesystem::directory_iterator it(m_directory + "/fd", ec), end; it != end; ++it)
            ++n;
        return n;
    }

private:
    std::size_t memoryFigure(const std::string &name) const
    {
        constexpr std::size_t bytesPerKilobyte = 1'024;
        std::ifstream status(m_directory + "/status");
        std::size_t kilobytes = 0;
        for (std::string word; status >> word;) {
            if (word == name)
                status >> kilobytes;
        }
        return kilobytes * bytesPerKilobyte;
    }

    const std::string m_directory;
};

} // namespace savorywick::testing
