#include "cli/cli.h"
#include "cli/json.h"
#include "cli/poll.h"
#include "core/settings.h"
#include "savorywick/errors.h"
#include "savorywick/servicedocument.h"

#include <algorithm>
#include <cstdlib>
#include <iomanip>
#include <ostream>
#include <sstream>

namespace savorywick {

namespace {

constexpr Millis applyTimeout{15'000};
constexpr const char *teamKeyVariable = "SAVORYWICK_TEAM_KEY";

std::string documentPath(const std::string &service)
{
    return "/v1/documents/" + service;
}

std::string pendingText(const Json::Value &json)
{
    std::string names;
    for (const Json::Value &it : json["pendingOn"])
        names.append(names.empty() ? "" : ", ").append(it.asString());
    return "pending on " + names;
}

bool isAccepted(const Json::Value &json)
{
    return json["state"].asString() == "accepted";
}

std::string stateText(const Json::Value &json)
{
    const std::string revision = "revision " + json["revision"].asString() + ": ";
    return revision + (isAccepted(json) ? "accepted, in force everywhere" : pendingText(json));
}

std::string readTeamKey(const std::string &file)
{
    if (file.empty()) {
        const char *key = std::getenv(teamKeyVariable); // NOLINT(concurrency-mt-unsafe)
        if (key && *key)
            return key;
        throw Error(ErrorKind::InvalidInput, "the team key is missing",
                    std::string("pass --team-key-file FILE or set ") + teamKeyVariable);
    }
    std::string key = readFile(file);
    while (!key.empty() && (key.back() == '\n' || key.back() == '\r'))
        key.pop_back();
    return key;
}

HttpCall makeApplyCall(const DocumentApplyOptions &options, const std::string &text,
                       const ServiceDocument &document)
{
    HttpCall call;
    call.method = "PUT";
    call.path = documentPath(document.service);
    call.headers = {{"If-Match", std::to_string(options.revision)},
                    {"X-Team", document.team},
                    {"X-Team-Key", readTeamKey(options.teamKeyFile)}};
    call.body = text;
    call.timeout = applyTimeout;
    return call;
}

void printChanges(const EntryResponse &response, CommandOutput &output)
{
    const Json::Value json = parseJsonObject(response.body);
    if (!json["changed"].isArray() || json["changed"].empty())
        return;
    output.err << "changes between your revision and the current one:\n";
    for (const Json::Value &it : json["changed"])
        output.err << "  " << it.asString() << "\n";
}

// Polls the document's status until this revision or a later one is in force on every entry, or the
// wait is over. Returns the last status that was read.
Json::Value waitForAcceptance(const DocumentApplyOptions &options, const std::string &service,
                              Json::Value state, EntryClient &client)
{
    const Json::UInt64 revision = state["revision"].asUInt64();
    pollUntil(Millis{options.waitMs}, [&] {
        if (options.waitMs == 0 || isAccepted(state))
            return true;
        const EntryResponse response = client.call({.path = documentPath(service) + "/status"});
        if (response.code == ExitCode::Ok)
            state = parseJsonObject(response.body);
        return isAccepted(state) && state["revision"].asUInt64() >= revision;
    });
    return state;
}

// Returns the document with its revision as a comment, which documents may contain, so that the
// text can be edited and applied as it is. The comment of an earlier round is removed first.
std::string editableText(const std::string &service, const Json::Value &json)
{
    std::string text = json["document"].asString();
    if (text.starts_with("// Revision "))
        text.erase(0, text.find('\n') + 1);
    if (!text.ends_with('\n'))
        text += '\n';
    return "// Revision " + json["revision"].asString() + " of " + service + ", edited by "
        + json["editedBy"].asString() + "\n" + text;
}

// Returns the state of the document and a table of the revisions in force.
std::string statusTable(const std::string &service, const Json::Value &json)
{
    std::size_t width = std::string_view("entry").size();
    for (const Json::Value &it : json["entries"])
        width = std::max(width, it["entry"].asString().size());
    const auto column = static_cast<int>(width + 2);
    std::ostringstream text;
    text << service << ", " << stateText(json) << "\n"
         << std::left << std::setw(column) << "entry"
         << "revision in force  age in ms\n";
    for (const Json::Value &it : json["entries"])
        text << std::setw(column) << it["entry"].asString() << std::setw(19)
             << it["revision"].asString() << it["ageMs"].asString() << "\n";
    return text.str();
}

} // namespace

ExitCode showDocument(const DocumentShowOptions &options, EntryClient &client,
                      CommandOutput &output)
{
    std::string path = documentPath(options.service);
    if (options.revision > 0)
        path += "?revision=" + std::to_string(options.revision);
    const auto format = [&](const std::string &body) {
        return editableText(options.service, parseJsonObject(body));
    };
    return showResource(path, format, client, output);
}

ExitCode applyDocument(const DocumentApplyOptions &options, EntryClient &client,
                       CommandOutput &output)
{
    const std::string text = readFile(options.file);
    const ParsedDocument parsed = parseServiceDocument(text);
    if (!parsed.document) {
        output.err << parsed.faults.format(options.file);
        return ExitCode::InvalidInput;
    }
    const EntryResponse response = client.call(makeApplyCall(options, text, *parsed.document));
    if (response.code != ExitCode::Ok) {
        printProblem(response, output);
        printChanges(response, output);
        return response.code;
    }
    const Json::Value state = waitForAcceptance(options, parsed.document->service,
                                                parseJsonObject(response.body), client);
    output.out << (output.json ? toJsonLine(state) : stateText(state)) << "\n";
    const bool timedOut = options.waitMs > 0 && !isAccepted(state);
    return timedOut ? ExitCode::Pending : ExitCode::Ok;
}

ExitCode showDocumentStatus(const DocumentStatusOptions &options, EntryClient &client,
                            CommandOutput &output)
{
    const auto format = [&](const std::string &body) {
        return statusTable(options.service, parseJsonObject(body));
    };
    return showResource(documentPath(options.service) + "/status", format, client, output);
}

} // namespace savorywick
