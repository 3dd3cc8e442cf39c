#include "cli/cli.h"

#include "core/settings.h"
#include "entry/daemon.h"
#include "platform/runnode.h"
#include "savorywick/errors.h"

#include <ostream>

namespace savorywick {

namespace {

ExitCode codeOf(ErrorKind kind)
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

// Runs the command that the options name.
class Runner
{
public:
    Runner(const CommandLine &line, Output &output)
        : m_line(line)
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
    int operator()(const DocumentShowOptions &o) const { return ask(showDocument, o); }
    int operator()(const DocumentApplyOptions &o) const { return ask(applyDocument, o); }
    int operator()(const DocumentStatusOptions &o) const { return ask(showDocumentStatus, o); }
    int operator()(const RequestOptions &o) const { return ask(sendRequest, o); }
    int operator()(const RunOptions &o) const { return ask(submitRun, o); }
    int operator()(const WatchOptions &o) const { return ask(submitWatcher, o); }
    int operator()(const StateOptions &o) const { return ask(showState, o); }
    int operator()(const CancelOptions &o) const { return ask(cancelJob, o); }
    int operator()(const ReportOptions &) const
    {
        EntryClient client(m_line.entry);
        return static_cast<int>(showReport(client, m_output));
    }

private:
    template<typename Options>
    int ask(ExitCode (*command)(const Options &, EntryClient &, Output &),
            const Options &options) const
    {
        EntryClient client(m_line.entry);
        return static_cast<int>(command(options, client, m_output));
    }

    const CommandLine &m_line;
    Output &m_output;
};

} // namespace

int runCli(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err)
{
    const ParsedCommandLine parsed = parseCommandLine(arguments);
    out << parsed.out;
    err << parsed.err;
    if (!parsed.command)
        return static_cast<int>(parsed.err.empty() ? ExitCode::Ok : ExitCode::InvalidInput);
    Output output{out, err, parsed.command->json};
    try {
        return std::visit(Runner(*parsed.command, output), parsed.command->options);
    } catch (const Error &e) {
        err << "savorywick: " << e.problem() << "; " << e.remedy() << "\n";
        return static_cast<int>(codeOf(e.kind()));
    }
}

ExitCode reportProblem(const EntryAnswer &answer, Output &output)
{
    output.err << "savorywick: " << answer.problem << "\n";
    return answer.code;
}

} // namespace savorywick
