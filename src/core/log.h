#pragma once

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace savorywick {

enum class LogLevel { Debug, Info, Warning, Error };

// One member of a log line. Never give it a payload or a team's key.
//
// Example:
//   logInfo("run-accepted", {{"requestId", id}, {"shard", 7}});
class LogField
{
public:
    LogField(std::string_view name, std::string_view text);
    LogField(std::string_view name, const char *text);
    LogField(std::string_view name, std::int64_t number);
    LogField(std::string_view name, int number);
    LogField(std::string_view name, std::uint64_t number);
    LogField(std::string_view name, bool flag);

    std::string_view name() const { return m_name; }
    // Returns the value as JSON.
    const std::string &json() const { return m_json; }

private:
    std::string_view m_name;
    std::string m_json;
};

enum class LogStream { Error, Output };

// Sends every line of `level` and above to standard error or output from now on. The first call
// sets logging up; before it, lines of level Info and above go to standard error. Thread-safe.
void startLog(LogLevel level, std::string_view entry, LogStream stream = LogStream::Error);

// Writes one JSON line with the time, the level, the event and the fields. Event names are fixed
// words with hyphens. A line about a request carries its "requestId". Thread-safe.
void logLine(LogLevel level, std::string_view event, std::span<const LogField> fields);

void logDebug(std::string_view event, std::initializer_list<LogField> fields = {});
void logInfo(std::string_view event, std::initializer_list<LogField> fields = {});
void logWarning(std::string_view event, std::initializer_list<LogField> fields = {});
void logError(std::string_view event, std::initializer_list<LogField> fields = {});

// Writes the one line of the daemon that goes to standard output: the addresses that it is bound
// to, as {"event":"listening","entry":...,"callers":"IP:PORT","peers":"IP:PORT"}, and flushes it.
void printListening(std::string_view entry, std::string_view callers, std::string_view peers);

} // namespace savorywick
