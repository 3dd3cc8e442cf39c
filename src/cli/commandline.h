#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace savorywick {

// What each subcommand was given. docs/CLI.md explains the options.

struct EntryOptions
{
    std::string settings;
};

struct NodeOptions
{
    std::string settings; // Empty: the environment names the file.
};

struct CheckOptions
{
    std::vector<std::string> files;
};

struct DocumentShowOptions
{
    std::string service;
    std::uint64_t revision = 0; // 0 for the present one.
};

struct DocumentApplyOptions
{
    std::string file;
    std::uint64_t revision = 0; // The revision that was read; 0 for a new document.
    std::string teamKeyFile;
    std::int64_t waitMs = 0; // For the edit to be in force everywhere.
};

struct DocumentStatusOptions
{
    std::string service;
};

struct ReportOptions
{
};

// Where a request, run or watcher goes and what it carries.
struct CallOptions
{
    std::string service;
    std::string className;
    std::string team;
    std::string key; // The idempotency key.
    std::string body;
    std::string bodyFile; // "-" for standard input; read instead of `body` if set.
};

struct RequestOptions
{
    CallOptions call;
    std::int64_t deadlineMs = 0;
};

struct RunOptions
{
    CallOptions call;
    std::int64_t waitMs = 0; // For the run to finish.
};

struct WatchOptions
{
    CallOptions call;
    std::string untilRun; // Either a run to wait for,
    std::int64_t untilMs = 0; // or a time.
    std::int64_t waitMs = 0; // For the watcher to finish.
};

// A run or watcher that was accepted earlier.
struct JobOptions
{
    bool watcher = false;
    std::string id;
};

struct StateOptions
{
    JobOptions job;
};

struct CancelOptions
{
    JobOptions job;
};

using CommandOptions =
    std::variant<EntryOptions, NodeOptions, CheckOptions, DocumentShowOptions, DocumentApplyOptions,
                 DocumentStatusOptions, ReportOptions, RequestOptions, RunOptions, WatchOptions,
                 StateOptions, CancelOptions>;

// A parsed command line.
struct CommandLine
{
    std::string entry; // The callers address of the entry to ask.
    bool json = false;
    CommandOptions options;
};

// The outcome of parsing: a command, or text to print and the status to exit with.
struct ParsedCommandLine
{
    std::optional<CommandLine> command;
    std::string out; // For standard output: help or the version.
    std::string err; // For standard error: what is wrong and what to write instead.
};

// Parses the arguments without the program's name.
ParsedCommandLine parseCommandLine(const std::vector<std::string> &arguments);

} // namespace savorywick
