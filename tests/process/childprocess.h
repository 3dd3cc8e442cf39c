#pragma once

#include "core/http.h"
#include "core/httpclient.h"
#include "savorywick/clock.h"

#include <json/value.h>

#include <functional>
#include <string>
#include <vector>

#include <sys/types.h>

// A process under test, and what tests use to wait for it and to talk to it.
namespace savorywick::testing {

// Polls `condition` every few milliseconds and returns whether it became true within `timeout`.
bool eventually(Millis timeout, const std::function<bool()> &condition);

// Blocks for `span`, for example to let a lease expire. To wait for a state, use eventually().
void sleepFor(Millis span);

// Returns `text` parsed as JSON, or null if it is malformed.
Json::Value parseJson(const std::string &text);

// Sends one request on a new connection and returns its outcome.
HttpResult call(const HttpCall &call);

// Sends raw bytes on a new connection and returns all bytes that are received until the peer closes
// it or `timeout` expires.
std::string exchangeBytes(const std::string &address, const std::string &bytes, Millis timeout);

// A directory that the destructor removes together with its files.
//
// Example:
//   const TemporaryDirectory directory;
//   const std::string path = directory.write("settings.json", "{}");
class TemporaryDirectory
{
public:
    TemporaryDirectory();
    ~TemporaryDirectory();
    TemporaryDirectory(const TemporaryDirectory &) = delete;
    TemporaryDirectory &operator=(const TemporaryDirectory &) = delete;

    // Returns the path of `name` inside the directory.
    std::string filePath(const std::string &name) const;
    // Writes `text` to the file `name` in the directory and returns the file's path.
    std::string write(const std::string &name, const std::string &text) const;

private:
    std::string m_path;
};

// A child process, an entry or a stand-in, that is killed when the object is destroyed. Its output
// goes to a temporary file.
//
// Create it on a thread that outlives it: the kernel kills the process when that thread ends, so
// that an aborted test leaves no process behind.
//
// Example:
//   Process platform({STANDIN_PROGRAM, "platform"});
//   call({.address = platform.address(), .path = "/membership"});
class Process
{
public:
    // Starts `command` and waits for its line with the event `listening`.
    // Throws std::runtime_error with the output if the line doesn't appear in time.
    explicit Process(std::vector<std::string> command);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    // Returns the address under `key` in the line with the event `listening`.
    std::string address(const std::string &key = "address") const;
    // Returns whether the process hasn't exited yet.
    bool isRunning();
    pid_t pid() const { return m_pid; }
    // Returns all that the process has written to its standard output and standard error so far.
    std::string output() const;

    // Sends SIGTERM and returns the exit status, or -1 if the process didn't exit within `timeout`
    // or was killed by a signal.
    int stop(Millis timeout = Millis{60'000});
    // Sends SIGTERM without waiting for the exit.
    void terminate();
    // Sends SIGKILL and waits for the exit.
    void kill();
    // Sends SIGSTOP.
    void pause();
    // Sends SIGCONT.
    void resume();

private:
    int wait(Millis timeout);

    TemporaryDirectory m_directory;
    pid_t m_pid = 0;
    int m_status = -1;
    Json::Value m_listeningEvent;
};

} // namespace savorywick::testing
