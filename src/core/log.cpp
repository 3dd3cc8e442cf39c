#include "core/log.h"

#include "core/bootclock.h"
#include "core/logbatch.h"

#include <json/json.h>

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <mutex>
#include <type_traits>

#include <unistd.h>

namespace savorywick {

namespace {

namespace expressions = boost::log::expressions;
using Backend = boost::log::sinks::text_ostream_backend;
using Sink = boost::log::sinks::synchronous_sink<Backend>;

std::atomic<LogLevel> minLevel{LogLevel::Info};

std::atomic<LogStream> logStream{LogStream::StandardError};

// Returns true if and only if the character stands for itself in a JSON string of ASCII text.
bool isPlain(char c)
{
    return c >= ' ' && c < '\x7f' && c != '"' && c != '\\';
}

void appendJsonString(std::string &buf, std::string_view text)
{
    if (std::all_of(text.begin(), text.end(), isPlain))
        buf.append("\"").append(text).append("\"");
    else
        buf.append(Json::valueToQuotedString(std::string(text).c_str()));
}

void appendName(std::string &buf, std::string_view name)
{
    buf += buf.empty() ? '{' : ',';
    appendJsonString(buf, name);
    buf += ':';
}

std::string_view toString(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "unnamed";
}

// Returns the name of the entry that every line carries; configureLogging() sets it.
std::string &entryName()
{
    static std::string name;
    return name;
}

void addSinkOnce(LogStream stream)
{
    static std::once_flag once;
    std::call_once(once, [stream] {
        logStream = stream;
        auto backend = boost::make_shared<Backend>();
        std::ostream &out = stream == LogStream::StandardOutput ? std::cout : std::cerr;
        backend->add_stream(boost::shared_ptr<std::ostream>(&out, boost::null_deleter()));
        backend->auto_flush(true);
        auto sink = boost::make_shared<Sink>(backend);
        sink->set_formatter(expressions::stream << expressions::smessage);
        boost::log::core::get()->add_sink(sink);
    });
}

std::string formatLine(LogLevel level, std::string_view event, std::span<const LogField> fields)
{
    std::string buf;
    LogField("timeMs", wallClockMs()).appendTo(buf);
    LogField("level", toString(level)).appendTo(buf);
    if (!entryName().empty())
        LogField("entry", entryName()).appendTo(buf);
    LogField("event", event).appendTo(buf);
    for (const LogField &it : fields)
        it.appendTo(buf);
    buf += '}';
    return buf;
}

bool allows(LogWeight weight)
{
    LogBatch *batch = LogBatch::current();
    return !batch || batch->allows(weight);
}

} // namespace

LogField::LogField(std::string_view name, std::string_view text)
    : m_name(name)
    , m_value(text)
{ }

LogField::LogField(std::string_view name, const std::string &text)
    : LogField(name, std::string_view(text))
{ }

LogField::LogField(std::string_view name, const char *text)
    : LogField(name, std::string_view(text))
{ }

LogField::LogField(std::string_view name, std::int64_t number)
    : m_name(name)
    , m_value(number)
{ }

LogField::LogField(std::string_view name, int number)
    : LogField(name, std::int64_t{number})
{ }

LogField::LogField(std::string_view name, std::uint64_t number)
    : m_name(name)
    , m_value(number)
{ }

LogField::LogField(std::string_view name, bool flag)
    : m_name(name)
    , m_value(flag)
{ }

void LogField::appendTo(std::string &line) const
{
    appendName(line, m_name);
    const auto append = [&line](const auto &value) {
        using Type = std::decay_t<decltype(value)>;
        if constexpr (std::is_same_v<Type, std::string_view>)
            appendJsonString(line, value);
        else if constexpr (std::is_same_v<Type, bool>)
            line += value ? "true" : "false";
        else
            line += std::to_string(value);
    };
    std::visit(append, m_value);
}

void configureLogging(LogLevel level, std::string_view entry, LogStream stream)
{
    entryName() = entry;
    minLevel = level;
    addSinkOnce(stream);
}

void logLine(LogLevel level, std::string_view event, std::span<const LogField> fields)
{
    if (level < minLevel.load(std::memory_order_relaxed))
        return;
    const std::string line = formatLine(level, event, fields);
    if (LogBatch *batch = LogBatch::current())
        batch->add(line, level >= LogLevel::Warning);
    else
        writeLogText(line);
}

void writeLogText(std::string_view text)
{
    addSinkOnce(LogStream::StandardError);
    thread_local boost::log::sources::logger logger;
    BOOST_LOG(logger) << text;
}

int logDescriptor()
{
    return logStream.load() == LogStream::StandardOutput ? STDOUT_FILENO : STDERR_FILENO;
}

void logDebug(std::string_view event, std::initializer_list<LogField> fields)
{
    logLine(LogLevel::Debug, event, {fields.begin(), fields.size()});
}

void logInfo(std::string_view event, std::initializer_list<LogField> fields)
{
    logInfoFields(event, std::span(fields.begin(), fields.size()));
}

void logInfoFields(std::string_view event, std::span<const LogField> fields)
{
    logLine(LogLevel::Info, event, fields);
}

void logWarning(std::string_view event, std::initializer_list<LogField> fields)
{
    logLine(LogLevel::Warning, event, {fields.begin(), fields.size()});
}

void logError(std::string_view event, std::initializer_list<LogField> fields)
{
    logLine(LogLevel::Error, event, {fields.begin(), fields.size()});
}

void logRoutine(std::string_view event, std::initializer_list<LogField> fields)
{
    logRoutineFields(event, std::span(fields.begin(), fields.size()));
}

void logRoutineFields(std::string_view event, std::span<const LogField> fields)
{
    if (allows(LogWeight::Routine))
        logLine(LogLevel::Info, event, fields);
}

void logNotable(std::string_view event, std::initializer_list<LogField> fields)
{
    logNotableFields(event, std::span(fields.begin(), fields.size()));
}

void logNotableFields(std::string_view event, std::span<const LogField> fields)
{
    if (allows(LogWeight::Notable))
        logLine(LogLevel::Info, event, fields);
}

void printBoundAddresses(std::string_view entry, std::string_view callers, std::string_view peers)
{
    std::string buf;
    for (const LogField &it : {LogField("event", "listening"), LogField("entry", entry),
                               LogField("callers", callers), LogField("peers", peers)})
        it.appendTo(buf);
    std::cout << buf << "}" << std::endl;
}

} // namespace savorywick
