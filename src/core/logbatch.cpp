#include "core/logbatch.h"

#include "core/bootclock.h"
#include "core/log.h"

#include <poll.h>

#include <algorithm>
#include <utility>

namespace savorywick {

namespace {

// A pipe that says it is ready takes this much without blocking (PIPE_BUF), line break included.
constexpr std::size_t maxPieceBytes = 4'000;
constexpr std::size_t maxWaitingBytes = 262'144;
constexpr Millis reportInterval{1'000};
constexpr Millis maxWaitAtEnd{100};

LogBatch *currentBatch = nullptr;

// Returns the length of the longest sequence of whole lines in `lines` that fits in one piece, and
// that of the first line if none does.
std::size_t pieceLength(std::string_view lines)
{
    std::size_t end = lines.substr(0, maxPieceBytes).rfind('\n');
    if (end == std::string_view::npos)
        end = lines.find('\n');
    return end + 1;
}

} // namespace

LogBatch::LogBatch(std::function<void()> scheduleFlush, LogLimits limits)
    : m_scheduleFlush(std::move(scheduleFlush))
    , m_budget(limits)
    , m_lastReport(BootClock().now())
{
    currentBatch = this;
}

LogBatch::~LogBatch()
{
    m_scheduled = true; // Nothing will call flush() any more.
    reportDropped();
    write(maxWaitAtEnd);
    currentBatch = nullptr;
}

LogBatch *LogBatch::current()
{
    return currentBatch;
}

bool LogBatch::allows(LogWeight weight)
{
    const bool allowed = m_budget.take(weight, BootClock().now());
    if (!allowed)
        schedule();
    return allowed;
}

void LogBatch::add(std::string_view line, bool urgent)
{
    if (m_waiting.size() + line.size() > maxWaitingBytes)
        ++m_droppedByStream;
    else
        m_waiting.append(line).append("\n");
    if (!m_streamBusy && (urgent || m_waiting.size() >= maxWaitingBytes / 2))
        write(Millis{0});
    if (!m_waiting.empty() || hasDropped())
        schedule();
}

void LogBatch::flush()
{
    if (BootClock().now() - m_lastReport >= reportInterval)
        reportDropped();
    write(Millis{0});
    m_scheduled = false;
    if (!m_waiting.empty() || hasDropped())
        schedule();
}

void LogBatch::schedule()
{
    if (!std::exchange(m_scheduled, true))
        m_scheduleFlush();
}

void LogBatch::write(Millis maxWait)
{
    std::string_view rest = m_waiting;
    const BootClock clock;
    const Instant giveUpAt = clock.now() + maxWait;
    while (!rest.empty() && streamReady(std::max(giveUpAt - clock.now(), Millis{0}))) {
        const std::size_t length = pieceLength(rest);
        writeLogText(rest.substr(0, length - 1)); // The stream adds the last line break.
        rest.remove_prefix(length);
    }
    m_streamBusy = !rest.empty();
    m_waiting.erase(0, m_waiting.size() - rest.size());
}

// A stream that isn't ready before anything was written can't be asked, and is just written to.
bool LogBatch::streamReady(Millis maxWait)
{
    if (m_written && !m_canAskStream)
        return true;
    pollfd stream{logDescriptor(), POLLOUT, 0};
    const bool ready = poll(&stream, 1, static_cast<int>(maxWait.count())) != 0;
    if (!std::exchange(m_written, true)) {
        m_canAskStream = ready;
        return true;
    }
    return ready;
}

void LogBatch::reportDropped()
{
    if (!hasDropped())
        return;
    m_lastReport = BootClock().now();
    const LogBudget::Dropped dropped = m_budget.takeDropped();
    const std::int64_t byStream = std::exchange(m_droppedByStream, 0);
    logInfo("log-lines-dropped",
            {{"routine", dropped.routine}, {"notable", dropped.notable}, {"unwritable", byStream}});
}

} // namespace savorywick
