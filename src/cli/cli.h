#pragma once

#include "cli/commandline.h"
#include "cli/entryclient.h"
#include "cli/exitcodes.h"

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace savorywick {

// The streams and format that a command prints to. Results go to `out`, errors to `err`.
struct CommandOutput
{
    std::ostream &out;
    std::ostream &err;
    bool json = false; // Print results as JSON instead of text.
};

// Parses and runs one command line. `arguments` excludes the program's name. Returns the process's
// exit status. Errors of type Error are printed to `err`; other exceptions propagate.
int runCli(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err);

// The subcommands. Each prints its results or its error to `output` and returns the exit code.
// Subcommands that send requests to an entry do so through `client`.
ExitCode checkFiles(const CheckOptions &options, CommandOutput &output);
ExitCode showDocument(const DocumentShowOptions &options, EntryClient &client,
                      CommandOutput &output);
ExitCode applyDocument(const DocumentApplyOptions &options, EntryClient &client,
                       CommandOutput &output);
ExitCode showDocumentStatus(const DocumentStatusOptions &options, EntryClient &client,
                            CommandOutput &output);
ExitCode showReport(EntryClient &client, CommandOutput &output);
ExitCode sendRequest(const RequestOptions &options, EntryClient &client, CommandOutput &output);
ExitCode submitRun(const RunOptions &options, EntryClient &client, CommandOutput &output);
ExitCode submitWatcher(const WatchOptions &options, EntryClient &client, CommandOutput &output);
ExitCode showState(const StateOptions &options, EntryClient &client, CommandOutput &output);
ExitCode cancelJob(const CancelOptions &options, EntryClient &client, CommandOutput &output);

// Prints the problem in `response` to the error stream and returns `response.code`, which must not
// be Ok.
ExitCode printProblem(const EntryResponse &response, CommandOutput &output);

// Returns text for people from the body of a response, with its last newline.
using BodyFormatter = std::function<std::string(const std::string &body)>;
// Reads `path` from the entry and prints the body as it is if JSON is wanted, and otherwise what
// `format` makes of it.
ExitCode showResource(const std::string &path, const BodyFormatter &format, EntryClient &client,
                      CommandOutput &output);

} // namespace savorywick
