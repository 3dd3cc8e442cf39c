#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace savorywick {

// The parsed arguments of each subcommand. docs/CLI.md documents the options.

struct EntryOptions
{
    std::string settings;
};

struct NodeOptions
{
    std::string settings; // If empty, the platform adapter chooses the file.
};

struct CheckOptions
{
    std::vector<std::string> files;
};

struct DocumentShowOptions
{
    std::string service;
    std::uint64_t revision = 0; // 0 selects the current revision.
};

struct DocumentApplyOptions
{
    std::string file;
    std::uint64_t revision = 0; // The revision that the edit is based on; 0 for a new document.
    std::string teamKeyFile; // If empty, SAVORYWICK_TEAM_KEY holds the key.
    std::int64_t waitMs = 0; // How long to wait until every entry has the edit in force.
};

struct DocumentStatusOptions
{
    std::string service;
};

struct ReportOptions
{
};

// The arguments that requests, runs and watchers have in common: target, idempotency key and body.
struct SubmissionOptions
{
    std::string service;
    std::string className; // A class of the service's document.
    std::string team; // The team that the work is accounted to.
    std::string key; // The idempotency key.
    std::string body;
    std::string bodyFile; // Replaces `body` if set; "-" reads standard input.
};

struct RequestOptions
{
    SubmissionOptions submission;
    std::int64_t deadlineMs = 0;
};

struct RunOptions
{
    SubmissionOptions submission;
    std::int64_t waitMs = 0; // How long to wait for the run to finish.
};

struct WatchOptions
{
    SubmissionOptions submission;
    // Exactly one of these two is set.
    std::string untilRun; // The watcher completes when this run ends.
    std::int64_t untilMs = 0; // The watcher completes after this time.
    std::int64_t waitMs = 0; // How long to wait for the watcher to finish.
};

// Identifies a run or watcher that was submitted earlier.
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

// A valid command line: the global options and those of the chosen subcommand.
struct CommandLine
{
    std::string entryAddress; // The callers address of the entry, "IP:PORT".
    bool json = false;
    CommandOptions options;
};

// The result of parsing: a command to run, or text to print instead.
struct ParsedCommandLine
{
    std::optional<CommandLine> command;
    std::string out; // Text for standard output: the help or the version.
    std::string err; // Text for standard error: the usage error. Empty if the arguments are valid.
};

// Parses `arguments`, which exclude the program's name. Returns the command, or the help, version
// or error text to print. Reads SAVORYWICK_ENTRY if --entry is absent.
ParsedCommandLine parseCommandLine(const std::vector<std::string> &arguments);

} // namespace savorywick
