#pragma once

#include "cli/commandline.h"
#include "cli/entryclient.h"
#include "cli/exitcodes.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace savorywick {

// Where a command writes: results to `out`, errors to `err`.
struct Output
{
    std::ostream &out;
    std::ostream &err;
    bool json = false;
};

// Runs one command line, without the program's name, and returns the status to exit with.
int runCli(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err);

// The commands. Those that ask an entry take its client.
ExitCode checkFiles(const CheckOptions &options, Output &output);
ExitCode showDocument(const DocumentShowOptions &options, EntryClient &client, Output &output);
ExitCode applyDocument(const DocumentApplyOptions &options, EntryClient &client, Output &output);
ExitCode showDocumentStatus(const DocumentStatusOptions &options, EntryClient &client,
                            Output &output);
ExitCode showReport(EntryClient &client, Output &output);
ExitCode sendRequest(const RequestOptions &options, EntryClient &client, Output &output);
ExitCode submitRun(const RunOptions &options, EntryClient &client, Output &output);
ExitCode submitWatcher(const WatchOptions &options, EntryClient &client, Output &output);
ExitCode showState(const StateOptions &options, EntryClient &client, Output &output);
ExitCode cancelJob(const CancelOptions &options, EntryClient &client, Output &output);

// Prints what went wrong and returns the answer's code, which must not be Ok.
ExitCode reportProblem(const EntryAnswer &answer, Output &output);

} // namespace savorywick
