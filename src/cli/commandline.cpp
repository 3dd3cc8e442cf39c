#include "cli/commandline.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <sstream>

namespace savorywick {

namespace {

constexpr std::int64_t maxDurationMs = 86'400'000; // One day.

// Declares the subcommands and their options. The callback of the subcommand that is parsed copies
// its options to the command line.
class CommandLineParser
{
public:
    CommandLineParser()
    {
        m_app.set_version_flag("--version", std::string("savorywick ") + SAVORYWICK_VERSION);
        m_app.require_subcommand(1);
        addEntryCommand();
        addNodeCommand();
        addCheckCommand();
        addDocumentCommand();
        addReportCommand();
        addRequestCommand();
        addRunCommand();
        addWatchCommand();
        addStateCommand();
        addCancelCommand();
    }

    ParsedCommandLine parse(const std::vector<std::string> &arguments)
    {
        ParsedCommandLine parsed;
        try {
            // CLI11 expects the arguments in reverse order.
            m_app.parse(std::vector<std::string>(arguments.rbegin(), arguments.rend()));
            parsed.command = std::move(m_commandLine);
        } catch (const CLI::ParseError &e) {
            std::ostringstream out;
            std::ostringstream err;
            m_app.exit(e, out, err);
            parsed.out = out.str();
            parsed.err = err.str();
        }
        return parsed;
    }

private:
    // Adds a subcommand and returns it. `options` is copied to the command line when the subcommand
    // is parsed.
    template<typename Options>
    CLI::App *addSubcommand(CLI::App &parent, const std::string &name,
                            const std::string &description, const std::string &example,
                            const Options &options)
    {
        CLI::App *command = parent.add_subcommand(name, description);
        command->footer("Example:\n  savorywick " + example);
        command->callback([this, &options] { m_commandLine.options = options; });
        return command;
    }

    // Adds the options of subcommands that send requests to an entry.
    void addEntryOptions(CLI::App *command)
    {
        command
            ->add_option("--entry", m_commandLine.entryAddress,
                         "The entry's callers address, IP:PORT")
            ->envname("SAVORYWICK_ENTRY")
            ->required();
        addJsonFlag(command);
    }

    void addJsonFlag(CLI::App *command)
    {
        command->add_flag("--json", m_commandLine.json, "Print one JSON object instead of text");
    }

    static void addWaitOption(CLI::App *command, std::int64_t &waitMs, const std::string &what)
    {
        command->add_option("--wait-ms", waitMs, "Wait up to this many milliseconds for " + what)
            ->check(CLI::Range(std::int64_t{0}, maxDurationMs));
    }

    static void addSubmissionOptions(CLI::App *command, SubmissionOptions &submission,
                                     bool keyRequired)
    {
        command->add_option("service", submission.service, "The service")->required();
        command->add_option("class", submission.className, "The class in the service's document")
            ->required();
        command->add_option("--team", submission.team, "The team that the work is accounted to");
        CLI::Option *key = command->add_option(
            "--key", submission.key, "The idempotency key; repeating it returns the first answer");
        if (keyRequired)
            key->required();
        CLI::Option *body = command->add_option("--body", submission.body, "The body to send");
        command
            ->add_option("--body-file", submission.bodyFile,
                         "A file with the body to send; - reads standard input")
            ->excludes(body);
    }

    void addEntryCommand()
    {
        CLI::App *command =
            addSubcommand(m_app, "entry", "Run one entry until it is stopped by a signal",
                          "entry --settings entry.json", m_entry);
        command->add_option("--settings", m_entry.settings, "The settings file")->required();
    }

    void addNodeCommand()
    {
        CLI::App *command =
            addSubcommand(m_app, "node", "Run one entry through the platform adapter",
                          "node --settings node.json", m_node);
        command->add_option("--settings", m_node.settings,
                            "The platform's settings file; default: $SAVORYWICK_NODE_FILE, or "
                            "/etc/savorywick/node.json if that is unset");
    }

    void addCheckCommand()
    {
        CLI::App *command =
            addSubcommand(m_app, "check", "Validate settings files and service documents",
                          "check entry.json matching.json", m_check);
        command->add_option("files", m_check.files, "Settings files and documents")->required();
        addJsonFlag(command);
    }

    void addDocumentCommand()
    {
        CLI::App *group = m_app.add_subcommand("document", "Read and edit service documents");
        group->footer("Example:\n  savorywick document show matching --entry 10.0.0.7:8080");
        group->require_subcommand(1);
        CLI::App *show = addSubcommand(*group, "show",
                                       "Print a document in a form that can be edited and applied",
                                       "document show matching --entry 10.0.0.7:8080", m_show);
        show->add_option("service", m_show.service, "The service")->required();
        show->add_option("--revision", m_show.revision,
                         "The revision to print; default: the current one");
        addEntryOptions(show);
        addDocumentApplyCommand(*group);
        CLI::App *status = addSubcommand(
            *group, "status", "Print the revision of a document that each entry has in force",
            "document status matching --entry 10.0.0.7:8080", m_status);
        status->add_option("service", m_status.service, "The service")->required();
        addEntryOptions(status);
    }

    void addDocumentApplyCommand(CLI::App &group)
    {
        CLI::App *command = addSubcommand(group, "apply", "Submit an edited document",
                                          "document apply matching.json --revision 7 "
                                          "--team-key-file key.txt --entry 10.0.0.7:8080",
                                          m_apply);
        command->add_option("file", m_apply.file, "The document")->required();
        command
            ->add_option("--revision", m_apply.revision,
                         "The revision that the edit is based on; 0 for a new document")
            ->required();
        command->add_option("--team-key-file", m_apply.teamKeyFile,
                            "A file with the team's key; default: $SAVORYWICK_TEAM_KEY");
        addWaitOption(command, m_apply.waitMs, "the edit to be in force everywhere");
        addEntryOptions(command);
    }

    void addReportCommand()
    {
        addEntryOptions(addSubcommand(m_app, "report", "Print a status report of all entries",
                                      "report --entry 10.0.0.7:8080", m_report));
    }

    void addRequestCommand()
    {
        CLI::App *command =
            addSubcommand(m_app, "request", "Send an urgent request and print the answer",
                          "request matching check --deadline-ms 2000 --body '{}' "
                          "--entry 10.0.0.7:8080",
                          m_request);
        addSubmissionOptions(command, m_request.submission, false);
        command
            ->add_option("--deadline-ms", m_request.deadlineMs,
                         "The deadline of the answer, in milliseconds")
            ->required()
            ->check(CLI::Range(std::int64_t{1}, maxDurationMs));
        addEntryOptions(command);
    }

    void addRunCommand()
    {
        CLI::App *command =
            addSubcommand(m_app, "run", "Submit a run and print its id",
                          "run matching allocation --key term-3 --entry 10.0.0.7:8080", m_run);
        addSubmissionOptions(command, m_run.submission, true);
        addWaitOption(command, m_run.waitMs, "the run to finish");
        addEntryOptions(command);
    }

    void addWatchCommand()
    {
        CLI::App *command = addSubcommand(m_app, "watch", "Create a watcher and print its id",
                                          "watch matching roster --key roster-3 --until-run RUN-ID "
                                          "--entry 10.0.0.7:8080",
                                          m_watch);
        addSubmissionOptions(command, m_watch.submission, true);
        auto *until = command->add_option_group("until");
        until->add_option("--until-run", m_watch.untilRun, "Watch until this run has ended");
        until->add_option("--until-ms", m_watch.untilMs, "Watch for this many milliseconds")
            ->check(CLI::Range(std::int64_t{1}, std::int64_t{365} * maxDurationMs));
        until->require_option(1);
        addWaitOption(command, m_watch.waitMs, "the watcher to finish");
        addEntryOptions(command);
    }

    void addJobOptions(CLI::App *command, JobOptions &job)
    {
        command
            ->add_option_function<std::string>(
                "kind", [&job](const std::string &kind) { job.watcher = kind == "watcher"; },
                "run or watcher")
            ->required()
            ->check(CLI::IsMember({"run", "watcher"}));
        command->add_option("id", job.id, "The id of the run or watcher")->required();
        addEntryOptions(command);
    }

    void addStateCommand()
    {
        addJobOptions(addSubcommand(m_app, "state",
                                    "Print the state and the result of a run or watcher",
                                    "state run RUN-ID --entry 10.0.0.7:8080", m_state),
                      m_state.job);
    }

    void addCancelCommand()
    {
        addJobOptions(addSubcommand(m_app, "cancel", "Cancel a run or watcher",
                                    "cancel run RUN-ID --entry 10.0.0.7:8080", m_cancel),
                      m_cancel.job);
    }

    CLI::App m_app{"Schedules urgent requests and batch work on shared hosts", "savorywick"};
    CommandLine m_commandLine;
    EntryOptions m_entry;
    NodeOptions m_node;
    CheckOptions m_check;
    DocumentShowOptions m_show;
    DocumentApplyOptions m_apply;
    DocumentStatusOptions m_status;
    ReportOptions m_report;
    RequestOptions m_request;
    RunOptions m_run;
    WatchOptions m_watch;
    StateOptions m_state;
    CancelOptions m_cancel;
};

} // namespace

ParsedCommandLine parseCommandLine(const std::vector<std::string> &arguments)
{
    return CommandLineParser().parse(arguments);
}

} // namespace savorywick
