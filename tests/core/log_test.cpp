#include "core/log.h"

#include <doctest/doctest.h>
#include <json/json.h>

#include <iostream>
#include <memory>
#include <sstream>
#include <thread>
#include <vector>

using namespace savorywick;

namespace {

// Captures the output of a stream and restores its buffer when destroyed.
class StreamCapture
{
public:
    explicit StreamCapture(std::ostream &stream)
        : m_stream(stream)
        , m_originalBuf(stream.rdbuf(m_buf.rdbuf()))
    { }
    ~StreamCapture() { m_stream.rdbuf(m_originalBuf); }
    StreamCapture(const StreamCapture &) = delete;
    StreamCapture &operator=(const StreamCapture &) = delete;

    // Returns the lines written so far, parsed as JSON; null for a line that isn't valid JSON.
    std::vector<Json::Value> lines() const
    {
        std::vector<Json::Value> all;
        std::istringstream stream(m_buf.str());
        for (std::string line; std::getline(stream, line);) {
            Json::Value json;
            const Json::CharReaderBuilder builder;
            const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
            reader->parse(line.data(), line.data() + line.size(), &json, nullptr);
            all.push_back(json);
        }
        return all;
    }

private:
    std::ostream &m_stream;
    std::ostringstream m_buf;
    std::streambuf *m_originalBuf;
};

} // namespace

TEST_CASE("A log line is one JSON object whatever characters its fields contain")
{
    const StreamCapture capture(std::cerr);
    configureLogging(LogLevel::Info, "entry-a");
    logWarning("odd",
               {{"requestId", "r-1"},
                {"text", "quote \" and\nnew line \x01"},
                {"count", std::int64_t{-3}},
                {"flag", true}});
    const auto lines = capture.lines();
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["level"].asString() == "warning");
    CHECK(lines[0]["entry"].asString() == "entry-a");
    CHECK(lines[0]["event"].asString() == "odd");
    CHECK(lines[0]["requestId"].asString() == "r-1");
    CHECK(lines[0]["text"].asString() == "quote \" and\nnew line \x01");
    CHECK(lines[0]["count"].asInt64() == -3);
    CHECK(lines[0]["flag"].asBool());
    CHECK(lines[0]["timeMs"].asInt64() > 1'700'000'000'000);
}

TEST_CASE("Lines below the level are not written")
{
    const StreamCapture capture(std::cerr);
    configureLogging(LogLevel::Warning, "entry-a");
    logDebug("hidden");
    logInfo("hidden");
    logError("shown");
    CHECK(capture.lines().size() == 1);
    configureLogging(LogLevel::Info, "entry-a");
}

TEST_CASE("Lines written by concurrent threads do not interleave")
{
    const StreamCapture capture(std::cerr);
    std::vector<std::jthread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([i] {
            for (int n = 0; n < 200; ++n)
                logInfo("line", {{"thread", i}, {"n", n}});
        });
    }
    threads.clear();
    const auto lines = capture.lines();
    CHECK(lines.size() == 800);
    for (const Json::Value &it : lines)
        REQUIRE(it["event"].asString() == "line");
}

TEST_CASE("printBoundAddresses writes to standard output only")
{
    const StreamCapture out(std::cout);
    const StreamCapture err(std::cerr);
    printBoundAddresses("entry-a", "127.0.0.1:1", "127.0.0.1:2");
    REQUIRE(out.lines().size() == 1);
    CHECK(out.lines()[0]["event"].asString() == "listening");
    CHECK(out.lines()[0]["callers"].asString() == "127.0.0.1:1");
    CHECK(out.lines()[0]["peers"].asString() == "127.0.0.1:2");
    CHECK(err.lines().empty());
}
