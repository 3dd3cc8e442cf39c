#include "childprocess.h"

#include <json/reader.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <arpa/inet.h>

namespace savorywick::testing {

namespace {

using SteadyTime = std::chrono::steady_clock;

constexpr std::chrono::milliseconds pollInterval{10};
constexpr Millis startTimeout{30'000};
constexpr const char *outputFileName = "output";

sockaddr_in socketAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    sockaddr_in it{};
    it.sin_family = AF_INET;
    it.sin_port = htons(std::uint16_t(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &it.sin_addr);
    return it;
}

// Replaces the forked child by the program. Calls only async-signal-safe functions.
[[noreturn]] void execProgram(char *const *arguments, const char *output)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = ::open(output, O_CREAT | O_WRONLY | O_APPEND, 0600);
    ::dup2(fd, STDOUT_FILENO);
    ::dup2(fd, STDERR_FILENO);
    ::execv(arguments[0], arguments);
    ::_exit(127);
}

// Returns the line of `output` with the event `listening`, or null if there is none.
Json::Value findListeningEvent(const std::string &output)
{
    std::istringstream lines{output};
    for (std::string it; std::getline(lines, it);) {
        Json::Value value = parseJson(it);
        if (value.isObject() && value["event"] == "listening")
            return value;
    }
    return {};
}

} // namespace

bool eventually(Millis timeout, const std::function<bool()> &condition)
{
    const auto end = SteadyTime::now() + std::chrono::milliseconds{timeout.count()};
    while (!condition()) {
        if (SteadyTime::now() >= end)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

void sleepFor(Millis span)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{span.count()});
}

Json::Value parseJson(const std::string &text)
{
    const std::unique_ptr<Json::CharReader> reader{Json::CharReaderBuilder{}.newCharReader()};
    Json::Value value;
    const bool ok = reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
    return ok ? value : Json::Value{};
}

HttpResult call(const HttpCall &call)
{
    return HttpClient{}.exchange(call);
}

std::string exchangeBytes(const std::string &address, const std::string &bytes, Millis timeout)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in peer = socketAddress(address);
    std::string received;
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&peer), sizeof peer) == 0) {
        ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        std::array<char, 4'096> buf{};
        eventually(timeout, [&] {
            pollfd it{fd, POLLIN, 0};
            if (::poll(&it, 1, 0) <= 0)
                return false;
            const ssize_t n = ::recv(fd, buf.data(), buf.size(), 0);
            received.append(buf.data(), std::size_t(std::max<ssize_t>(n, 0)));
            return n <= 0;
        });
    }
    ::close(fd);
    return received;
}

TemporaryDirectory::TemporaryDirectory()
    : m_path((std::filesystem::temp_directory_path() / "savorywick-XXXXXX").string())
{
    if (::mkdtemp(m_path.data()) == nullptr)
        throw std::runtime_error("cannot create a temporary directory at " + m_path);
}

TemporaryDirectory::~TemporaryDirectory()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

std::string TemporaryDirectory::filePath(const std::string &name) const
{
    return m_path + "/" + name;
}

std::string TemporaryDirectory::write(const std::string &name, const std::string &text) const
{
    std::ofstream{filePath(name)} << text;
    return filePath(name);
}

Process::Process(std::vector<std::string> command)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (auto &it : command)
        arguments.push_back(it.data());
    arguments.push_back(nullptr);
    const std::string outputPath = m_directory.filePath(outputFileName);
    m_pid = ::fork();
    if (m_pid == 0)
        execProgram(arguments.data(), outputPath.c_str());
    eventually(startTimeout, [this] {
        m_listeningEvent = findListeningEvent(output());
        return !m_listeningEvent.isNull() || !isRunning();
    });
    if (m_listeningEvent.isNull()) {
        const std::string text = output();
        kill();
        throw std::runtime_error(command[0] + " " + command[1]
                                 + " did not print its listening event; its output: " + text);
    }
}

Process::~Process()
{
    kill();
}

std::string Process::address(const std::string &key) const
{
    return m_listeningEvent[key].asString();
}

bool Process::isRunning()
{
    if (m_pid > 0 && ::waitpid(m_pid, &m_status, WNOHANG) == m_pid)
        m_pid = 0;
    return m_pid > 0;
}

std::string Process::output() const
{
    std::ifstream file{m_directory.filePath(outputFileName)};
    return {std::istreambuf_iterator<char>{file}, {}};
}

int Process::stop(Millis timeout)
{
    terminate();
    return wait(timeout);
}

int Process::wait(Millis timeout)
{
    const bool ended = eventually(timeout, [this] { return !isRunning(); });
    return ended && WIFEXITED(m_status) ? WEXITSTATUS(m_status) : -1;
}

void Process::terminate()
{
    if (isRunning())
        ::kill(m_pid, SIGTERM);
}

void Process::kill()
{
    if (!isRunning())
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, &m_status, 0);
    m_pid = 0;
}

void Process::pause()
{
    if (isRunning())
        ::kill(m_pid, SIGSTOP);
}

void Process::resume()
{
    if (isRunning())
        ::kill(m_pid, SIGCONT);
}

} // namespace savorywick::testing
