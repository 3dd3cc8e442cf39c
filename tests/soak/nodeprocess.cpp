#include "nodeprocess.h"

#include <csignal>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace savorywick::testing {

NodeProcess::NodeProcess(std::string program, std::string settingsPath, std::string logPath)
    : m_program(std::move(program))
    , m_settingsPath(std::move(settingsPath))
    , m_logPath(std::move(logPath))
{ }

NodeProcess::~NodeProcess()
{
    if (!isRunning())
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
}

void NodeProcess::start()
{
    if (isRunning())
        return;
    const char *arguments[] = {m_program.c_str(), "node", "--settings", m_settingsPath.c_str(),
                               nullptr};
    // The test's handlers must not answer a signal that is meant for the program.
    sigset_t all;
    sigset_t before;
    ::sigfillset(&all);
    ::sigprocmask(SIG_SETMASK, &all, &before);
    const pid_t pid = ::fork();
    if (pid != 0)
        ::sigprocmask(SIG_SETMASK, &before, nullptr);
    if (pid < 0)
        throw std::runtime_error("can't start " + m_program);
    if (pid > 0) {
        m_pid = pid;
        return;
    }
    // Only async-signal-safe functions from here on.
    ::signal(SIGTERM, SIG_DFL);
    ::sigprocmask(SIG_SETMASK, &before, nullptr);
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open(m_logPath.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    // The sockets of the soak must not stay open in the child.
    constexpr int maxInherited = 4'096;
    for (int fd = STDERR_FILENO + 1; fd < maxInherited; ++fd)
        ::close(fd);
    ::execv(arguments[0], const_cast<char *const *>(arguments));
    ::_exit(127);
}

void NodeProcess::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

bool NodeProcess::isRunning()
{
    if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid)
        m_pid = 0;
    return m_pid > 0;
}

} // namespace savorywick::testing
