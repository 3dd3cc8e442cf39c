#pragma once

#include <string>

#include <sys/types.h>

namespace savorywick::testing {

// A process of `savorywick node` that a soak starts, signals and starts again. Its output is
// appended to a log file. The destructor kills the process, and the kernel does so if the soak's
// thread ends before.
//
// Example:
//   NodeProcess entry(program, "/tmp/soak/entry-1.json", "/tmp/soak/entry-1.log");
//   entry.start();
//   entry.signal(SIGTERM);
class NodeProcess
{
public:
    NodeProcess(std::string program, std::string settingsPath, std::string logPath);
    ~NodeProcess();
    NodeProcess(const NodeProcess &) = delete;
    NodeProcess &operator=(const NodeProcess &) = delete;

    // Starts the process unless it runs.
    void start();
    // Sends the signal if the process runs.
    void signal(int number) const;
    // Returns whether the process runs, stopped by a signal or not. Reaps it if it has ended.
    bool isRunning();
    // Returns the id of the process, or 0 if it was not started or is known to have ended.
    pid_t pid() const { return m_pid; }

private:
    std::string m_program;
    std::string m_settingsPath;
    std::string m_logPath;
    pid_t m_pid = 0; // 0 while it does not run.
};

} // namespace savorywick::testing
