#pragma once

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace savorywick {

// The severity of a log line, in ascending order.
enum class LogLevel { Debug, Info, Warning, Error };

// One field of a log line: a name and a value, written as a member of the line's JSON object.
//
// Never log a payload or a team's key. The text of `name` must outlive the field.
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
    // Returns the value encoded as JSON.
    const std::string &json() const { return m_json; }

private:
    std::string_view m_name;
    std::string m_json;
};

// The standard stream that log lines are written to.
enum class LogStream { StandardError, StandardOutput };

// Sets the lowest level that is written and the name of the entry that every line carries. Without
// this call, lines of level Info and above go to standard error and carry no entry. The stream is
// fixed by the first call of this function or by the first line, whichever comes first. Call it
// before other threads log: the entry's name is not synchronised.
void configureLogging(LogLevel level, std::string_view entry,
                      LogStream stream = LogStream::StandardError);

// Writes one JSON object on a line of its own, with the time, the level, the event and the fields,
// if `level` is at least the configured one. Event names are fixed words joined by hyphens, such as
// "run-accepted". A line about a request must have the field "requestId". Thread-safe.
void logLine(LogLevel level, std::string_view event, std::span<const LogField> fields);

// Write a line of the level in the function's name; see logLine().
void logDebug(std::string_view event, std::initializer_list<LogField> fields = {});
void logInfo(std::string_view event, std::initializer_list<LogField> fields = {});
void logWarning(std::string_view event, std::initializer_list<LogField> fields = {});
void logError(std::string_view event, std::initializer_list<LogField> fields = {});

// Writes the addresses that the daemon is bound to, as one flushed line on standard output:
// {"event":"listening","entry":...,"callers":"IP:PORT","peers":"IP:PORT"}. The daemon writes
// nothing else there, so that the process that started it can read the ports that the system chose.
void printBoundAddresses(std::string_view entry, std::string_view callers, std::string_view peers);

} // namespace savorywick
