#pragma once

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace savorywick {

// The severity of a log line, in ascending order.
enum class LogLevel { Debug, Info, Warning, Error };

// One field of a log line: a name and a value, written as a member of the line's JSON object.
//
// Never log a payload or a team's key. The name and a text must outlive the field, which encodes
// them only when its line is written.
//
// Example:
//   logInfo("run-accepted", {{"requestId", id}, {"shard", 7}});
class LogField
{
public:
    LogField(std::string_view name, std::string_view text);
    LogField(std::string_view name, const std::string &text);
    LogField(std::string_view name, const char *text);
    LogField(std::string_view name, std::int64_t number);
    LogField(std::string_view name, int number);
    LogField(std::string_view name, std::uint64_t number);
    LogField(std::string_view name, bool flag);

    // Appends the field to `line` as a member of a JSON object.
    void appendTo(std::string &line) const;

private:
    using Value = std::variant<std::string_view, std::int64_t, std::uint64_t, bool>;

    std::string_view m_name;
    Value m_value;
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
// if `level` is at least the configured one. While a LogBatch exists, the line waits there. Event
// names are fixed words joined by hyphens, such as "run-accepted". A line about a request must have
// the field "requestId". Thread-safe.
void logLine(LogLevel level, std::string_view event, std::span<const LogField> fields);

// Write a line of the level in the function's name; see logLine().
void logDebug(std::string_view event, std::initializer_list<LogField> fields = {});
void logInfo(std::string_view event, std::initializer_list<LogField> fields = {});
void logWarning(std::string_view event, std::initializer_list<LogField> fields = {});
void logError(std::string_view event, std::initializer_list<LogField> fields = {});

// Write a line of the level Info, which is left out while there are too many (see LogBatch).
void logRoutine(std::string_view event, std::initializer_list<LogField> fields = {});
void logNotable(std::string_view event, std::initializer_list<LogField> fields = {});

// The same, for fields whose number is not known at compile time.
void logInfoFields(std::string_view event, std::span<const LogField> fields);
void logRoutineFields(std::string_view event, std::span<const LogField> fields);
void logNotableFields(std::string_view event, std::span<const LogField> fields);

// Writes text that holds one or more finished lines to the log's stream, at once. For LogBatch, as
// is logDescriptor(), which returns the descriptor of the stream.
void writeLogText(std::string_view text);
int logDescriptor();

// Writes the addresses that the daemon is bound to, as one flushed line on standard output:
// {"event":"listening","entry":...,"callers":"IP:PORT","peers":"IP:PORT"}. The daemon writes
// nothing else there, so that the process that started it can read the ports that the system chose.
void printBoundAddresses(std::string_view entry, std::string_view callers, std::string_view peers);

} // namespace savorywick
