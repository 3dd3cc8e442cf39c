#include "core/logbatch.h"

#include "core/bootclock.h"
#include "core/log.h"

#include <doctest/doctest.h>
#include <json/json.h>

#include <atomic>
#include <chrono>
#include <iostream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <fcntl.h>
#include <unistd.h>

using namespace savorywick;

namespace {

// Captures standard error, buffered as standard output is, and counts how often it is flushed.
class CountingCapture : public std::stringbuf
{
public:
    CountingCapture()
        : m_originalBuf(std::cerr.rdbuf(this))
    {
        std::cerr.unsetf(std::ios::unitbuf);
    }
    ~CountingCapture() override
    {
        std::cerr.setf(std::ios::unitbuf);
        std::cerr.rdbuf(m_originalBuf);
    }
    CountingCapture(const CountingCapture &) = delete;
    CountingCapture &operator=(const CountingCapture &) = delete;

    int writes() const { return m_writes; }
    std::vector<Json::Value> lines() const
    {
        std::vector<Json::Value> all;
        std::istringstream stream(str());
        for (std::string line; std::getline(stream, line);) {
            std::istringstream text(line);
            text >> all.emplace_back();
        }
        return all;
    }

protected:
    int sync() override
    {
        ++m_writes;
        return 0;
    }

private:
    std::streambuf *m_originalBuf;
    int m_writes = 0;
};

// Replaces the descriptor of standard error by a pipe that nobody reads but the test.
class UnreadPipe
{
public:
    UnreadPipe()
        : m_originalError(dup(STDERR_FILENO))
    {
        REQUIRE(pipe(m_ends) == 0);
        dup2(m_ends[1], STDERR_FILENO);
        fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
    }
    ~UnreadPipe()
    {
        dup2(m_originalError, STDERR_FILENO);
        for (const int it : {m_originalError, m_ends[0], m_ends[1]})
            close(it);
    }
    UnreadPipe(const UnreadPipe &) = delete;
    UnreadPipe &operator=(const UnreadPipe &) = delete;

    // Reads up to a page.
    void readPiece()
    {
        char buf[4'096];
        [[maybe_unused]] const ssize_t n = ::read(m_ends[0], buf, sizeof buf);
    }
    // Returns what was written since the last call.
    std::string read()
    {
        std::string text;
        char buf[4'096];
        for (ssize_t n = 0; (n = ::read(m_ends[0], buf, sizeof buf)) > 0;)
            text.append(buf, static_cast<std::size_t>(n));
        return text;
    }

private:
    int m_originalError;
    int m_ends[2] = {};
};

} // namespace

// Guards against a system call for each line: the log of a busy process cost as much as its work.
TEST_CASE("Lines wait for the flush and are written in order and few writes")
{
    CountingCapture capture;
    int scheduled = 0;
    LogBatch batch([&] { ++scheduled; });
    for (int i = 0; i < 500; ++i)
        logInfo("line", {{"n", i}});
    CHECK(capture.lines().empty());
    CHECK(scheduled == 1);
    batch.flush();
    const auto lines = capture.lines();
    REQUIRE(lines.size() == 500);
    for (int i = 0; i < 500; ++i)
        REQUIRE(lines[static_cast<std::size_t>(i)]["n"].asInt() == i);
    CHECK(capture.writes() < 20);
    batch.flush();
    CHECK(scheduled == 1);
    logInfo("next");
    CHECK(scheduled == 2);
}

TEST_CASE("A warning is written at once after the lines that wait")
{
    CountingCapture capture;
    LogBatch batch([] {});
    logInfo("first");
    logWarning("second");
    REQUIRE(capture.lines().size() == 2);
    CHECK(capture.lines()[1]["event"].asString() == "second");
    logInfo("third");
    logError("fourth");
    CHECK(capture.lines().size() == 4);
}

TEST_CASE("Lines that wait are written at the end")
{
    CountingCapture capture;
    {
        const LogBatch batch([] {});
        logInfo("last");
    }
    CHECK(capture.lines().size() == 1);
    logInfo("unbatched");
    CHECK(capture.lines().size() == 2);
}

// Guards against a log that grows with the load: only lines that are one of many are left out.
TEST_CASE("Under load routine lines are left out and counted and the others are kept")
{
    CountingCapture capture;
    constexpr int lineCount = 3'000;
    {
        const LogBatch batch([] {}, {.routineLines = 5, .allLines = 20});
        for (int i = 0; i < lineCount; ++i) {
            logRoutine("routine");
            logNotable("notable");
            logInfo("kept");
        }
    }
    std::int64_t routine = 0;
    std::int64_t notable = 0;
    int kept = 0;
    for (const Json::Value &it : capture.lines()) {
        const std::string event = it["event"].asString();
        routine += event == "routine" ? 1 : it["routine"].asInt64();
        notable += event == "notable" ? 1 : it["notable"].asInt64();
        kept += event == "kept" ? 1 : 0;
    }
    CHECK(kept == lineCount);
    CHECK(routine == lineCount);
    CHECK(notable == lineCount);
    CHECK(capture.lines().size() < 2 * lineCount);
}

// Guards against a process that stands still because nobody reads its log.
TEST_CASE("A stream that takes nothing does not block and loses only what is too much")
{
    UnreadPipe pipe;
    LogBatch batch([] {});
    logInfo("first");
    batch.flush(); // The stream can be asked from now on.
    constexpr int lineCount = 20'000;
    for (int i = 0; i < lineCount; ++i)
        logInfo("line", {{"n", i}, {"text", std::string(100, 'x')}});
    logWarning("urgent");
    batch.flush();
    std::string text = pipe.read();
    CHECK(text.find("\"first\"") != std::string::npos);
    CHECK(text.find("\"n\":0,") != std::string::npos);
    CHECK(text.find("\"urgent\"") == std::string::npos);
    for (std::string part = "x"; !part.empty(); text += part) {
        batch.flush();
        part = pipe.read();
    }
    CHECK(text.ends_with("}\n"));
    CHECK(text.find("\"n\":1000,") != std::string::npos);
    CHECK(text.find("\"n\":19999,") == std::string::npos);
}

// Guards against a process that outlives its grace period because its output is read slowly: the
// longest wait at the end counted for each piece of up to 4 KB.
TEST_CASE("The wait for a slow output at the end is bounded over all lines")
{
    constexpr std::chrono::milliseconds readPause{60}; // Shorter than the longest wait.
    constexpr Millis bound{1'500}; // Each piece in turn would take more than 2 s.
    UnreadPipe pipe;
    std::atomic<bool> ended = false;
    std::thread reader;
    const BootClock clock;
    Instant endsAt;
    {
        LogBatch batch([] {});
        const std::string text(1'000, 'x');
        for (int i = 0; i < 240; ++i)
            logInfo("line", {{"text", text}});
        reader = std::thread([&] {
            while (!ended) {
                pipe.readPiece();
                std::this_thread::sleep_for(readPause);
            }
        });
        endsAt = clock.now();
    }
    CHECK((clock.now() - endsAt).count() < bound.count());
    ended = true;
    reader.join();
}
