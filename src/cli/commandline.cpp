#include "cli/commandline.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <sstream>

namespace savorywick {

namespace {

constexpr std::int64_t maxMs = 86'400'000;

// Builds the subcommands; each sets the line's options when it is parsed.
class Grammar
{
public:
    Grammar()
    {
        m_app.set_version_flag("--version", std::string("savorywick ") + SAVORYWICK_VERSION);
        m_app.require_subcommand(1);
        addEntry();
        addNode();
        addCheck();
        addDocument();
        addReport();
        addRequest();
        addRun();
        addWatch();
        addState();
        addCancel();
    }

    ParsedCommandLine parse(const std::vector<std::string> &arguments)
    {
        ParsedCommandLine parsed;
        try {
            // The library takes the arguments in reverse order.
            m_app.parse(std::vector<std::string>(arguments.rbegin(), arguments.rend()));
            parsed.command = std::move(m_line);
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
    // Returns a subcommand that takes `options` once it is parsed.
    template<typename Options>
    CLI::App *add(CLI::App &parent, const std::string &name, const std::string &description,
                  const std::string &example, const Options &options)
    {
        CLI::App *command = parent.add_subcommand(name, description);
        command->footer("Example:\n  savorywick " + example);
        command->callback([this, &options] { m_line.options = options; });
        return command;
    }

    // Adds the options of commands that ask an entry.
    void addClient(CLI::App *command)
    {
        command->add_option("--entry", m_line.entry, "The entry's callers address, IP:PORT")
            ->envname("SAVORYWICK_ENTRY")
            ->required();
        addJson(command);
    }

    void addJson(CLI::App *command)
    {
        command->add_flag("--json", m_line.json, "Print one JSON object instead of text");
    }

    static void addWait(CLI::App *command, std::int64_t &waitMs, const std::string &what)
    {
        command->add_option("--wait-ms", waitMs, "Wait so long for " + what)
            ->check(CLI::Range(std::int64_t{0}, maxMs));
    }

    static void addCall(CLI::App *command, CallOptions &call, bool mustHaveKey)
    {
        command->add_option("service", call.service, "The service")->required();
        command->add_option("class", call.className, "The class in its document")->required();
        command->add_option("--team", call.team, "The team to count it for");
        CLI::Option *key = command->add_option(
            "--key", call.key, "The idempotency key: a repeat with it gets the first answer");
        if (mustHaveKey)
            key->required();
        CLI::Option *body = command->add_option("--body", call.body, "What to send");
        command->add_option("--body-file", call.bodyFile, "A file to send; - is standard input")
            ->excludes(body);
    }

    void addEntry()
    {
        CLI::App *command = add(m_app, "entry", "Run one entry until it is told to stop",
                                "entry --settings entry.json", m_entry);
        command->add_option("--settings", m_entry.settings, "The settings file")->required();
    }

    void addNode()
    {
        CLI::App *command = add(m_app, "node", "Run one entry on the users' platform",
                                "node --settings node.json", m_node);
        command->add_option("--settings", m_node.settings,
                            "The platform's settings file; default: the environment names it");
    }

    void addCheck()
    {
        CLI::App *command =
            add(m_app, "check", "Say all that is wrong with settings and service documents",
                "check entry.json matching.json", m_check);
        command->add_option("files", m_check.files, "Settings files and documents")->required();
        addJson(command);
    }

    void addDocument()
    {
        CLI::App *group = m_app.add_subcommand("document", "Read and edit service documents");
        group->footer("Example:\n  savorywick document show matching --entry 10.0.0.7:8080");
        group->require_subcommand(1);
        CLI::App *show = add(*group, "show", "Print a document, ready to be edited",
                             "document show matching --entry 10.0.0.7:8080", m_show);
        show->add_option("service", m_show.service, "The service")->required();
        show->add_option("--revision", m_show.revision, "An older revision");
        addClient(show);
        addApply(*group);
        CLI::App *status = add(*group, "status", "Say which entries have a document in force",
                               "document status matching --entry 10.0.0.7:8080", m_status);
        status->add_option("service", m_status.service, "The service")->required();
        addClient(status);
    }

    void addApply(CLI::App &group)
    {
        CLI::App *command = add(group, "apply", "Put an edited document in force",
                                "document apply matching.json --revision 7 "
                                "--team-key-file key.txt --entry 10.0.0.7:8080",
                                m_apply);
        command->add_option("file", m_apply.file, "The document")->required();
        command
            ->add_option("--revision", m_apply.revision,
                         "The revision that was edited; 0 for a new document")
            ->required();
        command->add_option("--team-key-file", m_apply.teamKeyFile,
                            "The file with the team's key, unless SAVORYWICK_TEAM_KEY holds it");
        addWait(command, m_apply.waitMs, "the edit to be in force everywhere");
        addClient(command);
    }

    void addReport()
    {
        addClient(add(m_app, "report", "Print what an entry says of itself, as one page",
                      "report --entry 10.0.0.7:8080", m_report));
    }

    void addRequest()
    {
        CLI::App *command = add(m_app, "request", "Send an urgent request and print the answer",
                                "request matching check --deadline-ms 2000 --body '{}' "
                                "--entry 10.0.0.7:8080",
                                m_request);
        addCall(command, m_request.call, false);
        command->add_option("--deadline-ms", m_request.deadlineMs, "How long the answer may take")
            ->required()
            ->check(CLI::Range(std::int64_t{1}, maxMs));
        addClient(command);
    }

    void addRun()
    {
        CLI::App *command =
            add(m_app, "run", "Hand in a run and print its id",
                "run matching allocation --key term-3 --entry 10.0.0.7:8080", m_run);
        addCall(command, m_run.call, true);
        addWait(command, m_run.waitMs, "the run to finish");
        addClient(command);
    }

    void addWatch()
    {
        CLI::App *command = add(m_app, "watch", "Set up a watcher and print its id",
                                "watch matching roster --key roster-3 --until-run RUN-ID "
                                "--entry 10.0.0.7:8080",
                                m_watch);
        addCall(command, m_watch.call, true);
        auto *until = command->add_option_group("until");
        until->add_option("--until-run", m_watch.untilRun, "Stand until this run has ended");
        until->add_option("--until-ms", m_watch.untilMs, "Stand for so long")
            ->check(CLI::Range(std::int64_t{1}, std::int64_t{365} * maxMs));
        until->require_option(1);
        addWait(command, m_watch.waitMs, "the watcher to be done");
        addClient(command);
    }

    void addJob(CLI::App *command, JobOptions &job)
    {
        command
            ->add_option_function<std::string>(
                "kind", [&job](const std::string &kind) { job.watcher = kind == "watcher"; },
                "run or watcher")
            ->required()
            ->check(CLI::IsMember({"run", "watcher"}));
        command->add_option("id", job.id, "The id that was printed")->required();
        addClient(command);
    }

    void addState()
    {
        addJob(add(m_app, "state", "Print the state and the result of a run or watcher",
                   "state run RUN-ID --entry 10.0.0.7:8080", m_state),
               m_state.job);
    }

    void addCancel()
    {
        addJob(add(m_app, "cancel", "Cancel a run or watcher",
                   "cancel run RUN-ID --entry 10.0.0.7:8080", m_cancel),
               m_cancel.job);
    }

    CLI::App m_app{"Schedules urgent requests and batch work on shared hosts", "savorywick"};
    CommandLine m_line;
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
    return Grammar().parse(arguments);
}

} // namespace savorywick
