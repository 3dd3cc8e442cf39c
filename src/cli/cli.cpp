#include "cli/cli.h"

#include "core/settings.h"
#include "entry/daemon.h"
#include "platform/runnode.h"
#include "savorywick/errors.h"

#include <ostream>

namespace savorywick {

namespace {

ExitCode exitCodeFor(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidInput:
    case ErrorKind::NotFound:
        return ExitCode::InvalidInput;
    case ErrorKind::Conflict:
    case ErrorKind::Fenced:
        return ExitCode::Conflict;
    case ErrorKind::Unavailable:
    case ErrorKind::Overloaded:
        return ExitCode::NotRun;
    case ErrorKind::UnknownOutcome:
        return ExitCode::Unknown;
    }
    return ExitCode::Failed;
}

// Visits the options of the parsed command line and runs the subcommand they belong to.
class CommandRunner
{
public:
    CommandRunner(const CommandLine &line, CommandOutput &output)
        : m_commandLine(line)
        , m_output(output)
    { }

    int operator()(const EntryOptions &o) const
    {
        runEntry(loadSettings(o.settings));
        return static_cast<int>(ExitCode::Ok);
    }
    int operator()(const NodeOptions &o) const
    {
        platform::runNode(o.settings);
        return static_cast<int>(ExitCode::Ok);
    }
    int operator()(const CheckOptions &o) const
    {
        return static_cast<int>(checkFiles(o, m_output));
    }
    int operator()(const DocumentShowOptions &o) const { return runWithClient(showDocument, o); }
    int operator()(const DocumentApplyOptions &o) const { return runWithClient(applyDocument, o); }
    int operator()(const DocumentStatusOptions &o) const
    {
        return runWithClient(showDocumentStatus, o);
    }
    int operator()(const RequestOptions &o) const { return runWithClient(sendRequest, o); }
    int operator()(const RunOptions &o) const { return runWithClient(submitRun, o); }
    int operator()(const WatchOptions &o) const { return runWithClient(submitWatcher, o); }
    int operator()(const StateOptions &o) const { return runWithClient(showState, o); }
    int operator()(const CancelOptions &o) const { return runWithClient(cancelJob, o); }
    int operator()(const ReportOptions &) const
    {
        EntryClient client(m_commandLine.entryAddress);
        return static_cast<int>(showReport(client, m_output));
    }

private:
    template<typename Options>
    int runWithClient(ExitCode (*command)(const Options &, EntryClient &, CommandOutput &),
                      const Options &options) const
    {
        EntryClient client(m_commandLine.entryAddress);
        return static_cast<int>(command(options, client, m_output));
    }

    const CommandLine &m_commandLine;
    CommandOutput &m_output;
};

} // namespace

int runCli(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err)
{
    const ParsedCommandLine parsed = parseCommandLine(arguments);
    out << parsed.out;
    err << parsed.err;
    if (!parsed.command)
        return static_cast<int>(parsed.err.empty() ? ExitCode::Ok : ExitCode::InvalidInput);
    CommandOutput output{out, err, parsed.command->json};
    try {
        return std::visit(CommandRunner(*parsed.command, output), parsed.command->options);
    } catch (const Error &e) {
        err << "savorywick: " << e.problem() << "; " << e.remedy() << "\n";
        return static_cast<int>(exitCodeFor(e.kind()));
    }
}

ExitCode printProblem(const EntryResponse &response, CommandOutput &output)
{
    output.err << "savorywick: " << response.problem << "\n";
    return response.code;
}

ExitCode showResource(const std::string &path, const BodyFormatter &format, EntryClient &client,
                      CommandOutput &output)
{
    const EntryResponse response = client.call({.path = path});
    if (response.code != ExitCode::Ok)
        return printProblem(response, output);
    output.out << (output.json ? response.body + "\n" : format(response.body));
    return ExitCode::Ok;
}

} // namespace savorywick
