#include "core/log.h"

#include "core/bootclock.h"

#include <json/json.h>

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>

#include <atomic>
#include <iostream>
#include <mutex>

namespace savorywick {

namespace {

namespace expressions = boost::log::expressions;
using Backend = boost::log::sinks::text_ostream_backend;
using Sink = boost::log::sinks::synchronous_sink<Backend>;

std::atomic<LogLevel> minLevel{LogLevel::Info};

std::string jsonString(std::string_view text)
{
    return Json::valueToQuotedString(std::string(text).c_str());
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
        auto backend = boost::make_shared<Backend>();
        std::ostream &out = stream == LogStream::StandardOutput ? std::cout : std::cerr;
        backend->add_stream(boost::shared_ptr<std::ostream>(&out, boost::null_deleter()));
        backend->auto_flush(true);
        auto sink = boost::make_shared<Sink>(backend);
        sink->set_formatter(expressions::stream << expressions::smessage);
        boost::log::core::get()->add_sink(sink);
    });
}

// Appends a member to the JSON object in `buf`, whose closing brace is still to come; opens the
// object if `buf` is empty.
void appendMember(std::string &buf, std::string_view name, std::string_view json)
{
    buf.append(buf.empty() ? "{" : ",").append(jsonString(name)).append(":").append(json);
}

} // namespace

LogField::LogField(std::string_view name, std::string_view text)
    : m_name(name)
    , m_json(jsonString(text))
{ }

LogField::LogField(std::string_view name, const char *text)
    : LogField(name, std::string_view(text))
{ }

LogField::LogField(std::string_view name, std::int64_t number)
    : m_name(name)
    , m_json(std::to_string(number))
{ }

LogField::LogField(std::string_view name, int number)
    : LogField(name, std::int64_t{number})
{ }

LogField::LogField(std::string_view name, std::uint64_t number)
    : m_name(name)
    , m_json(std::to_string(number))
{ }

LogField::LogField(std::string_view name, bool flag)
    : m_name(name)
    , m_json(flag ? "true" : "false")
{ }

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
    addSinkOnce(LogStream::StandardError);
    std::string buf;
    appendMember(buf, "timeMs", std::to_string(wallClockMs()));
    appendMember(buf, "level", jsonString(toString(level)));
    if (!entryName().empty())
        appendMember(buf, "entry", jsonString(entryName()));
    appendMember(buf, "event", jsonString(event));
    for (const LogField &it : fields)
        appendMember(buf, it.name(), it.json());
    buf.append("}");
    thread_local boost::log::sources::severity_logger<LogLevel> logger;
    BOOST_LOG_SEV(logger, level) << buf;
}

void logDebug(std::string_view event, std::initializer_list<LogField> fields)
{
    logLine(LogLevel::Debug, event, {fields.begin(), fields.size()});
}

void logInfo(std::string_view event, std::initializer_list<LogField> fields)
{
    logLine(LogLevel::Info, event, {fields.begin(), fields.size()});
}

void logWarning(std::string_view event, std::initializer_list<LogField> fields)
{
    logLine(LogLevel::Warning, event, {fields.begin(), fields.size()});
}

void logError(std::string_view event, std::initializer_list<LogField> fields)
{
    logLine(LogLevel::Error, event, {fields.begin(), fields.size()});
}

void printBoundAddresses(std::string_view entry, std::string_view callers, std::string_view peers)
{
    std::string buf;
    appendMember(buf, "event", jsonString("listening"));
    appendMember(buf, "entry", jsonString(entry));
    appendMember(buf, "callers", jsonString(callers));
    appendMember(buf, "peers", jsonString(peers));
    std::cout << buf << "}" << std::endl;
}

} // namespace savorywick
