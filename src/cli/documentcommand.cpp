#include "cli/cli.h"
#include "cli/json.h"
#include "cli/wait.h"
#include "core/settings.h"
#include "savorywick/errors.h"
#include "savorywick/servicedocument.h"

#include <algorithm>
#include <cstdlib>
#include <iomanip>
#include <ostream>

namespace savorywick {

namespace {

constexpr Millis applyTimeout{15'000};
constexpr const char *keyVariable = "SAVORYWICK_TEAM_KEY";

std::string pathOf(const std::string &service)
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
        const char *key = std::getenv(keyVariable); // NOLINT(concurrency-mt-unsafe)
        if (key && *key)
            return key;
        throw Error(ErrorKind::InvalidInput, "there is no team key",
                    std::string("give --team-key-file FILE or set ") + keyVariable);
    }
    std::string key = readFile(file);
    while (!key.empty() && (key.back() == '\n' || key.back() == '\r'))
        key.pop_back();
    return key;
}

HttpCall applyCall(const DocumentApplyOptions &options, const std::string &text,
                   const ServiceDocument &document)
{
    HttpCall call;
    call.method = "PUT";
    call.path = pathOf(document.service);
    call.headers = {{"If-Match", std::to_string(options.revision)},
                    {"X-Team", document.team},
                    {"X-Team-Key", readTeamKey(options.teamKeyFile)}};
    call.body = text;
    call.timeout = applyTimeout;
    return call;
}

void printChanges(const EntryAnswer &answer, Output &output)
{
    const Json::Value json = parseAnswer(answer.body);
    if (!json["changed"].isArray() || json["changed"].empty())
        return;
    output.err << "what the present revision changes of yours:\n";
    for (const Json::Value &it : json["changed"])
        output.err << "  " << it.asString() << "\n";
}

// Asks until the revision is in force everywhere, or a later one has taken its place.
Json::Value waitForAcceptance(const DocumentApplyOptions &options, const std::string &service,
                              Json::Value state, EntryClient &client)
{
    const Json::UInt64 revision = state["revision"].asUInt64();
    waitUntil(Millis{options.waitMs}, [&] {
        if (options.waitMs == 0 || isAccepted(state))
            return true;
        const EntryAnswer answer = client.call({.path = pathOf(service) + "/status"});
        if (answer.code == ExitCode::Ok)
            state = parseAnswer(answer.body);
        return isAccepted(state) && state["revision"].asUInt64() >= revision;
    });
    return state;
}

} // namespace

ExitCode showDocument(const DocumentShowOptions &options, EntryClient &client, Output &output)
{
    std::string path = pathOf(options.service);
    if (options.revision > 0)
        path += "?revision=" + std::to_string(options.revision);
    const EntryAnswer answer = client.call({.path = path});
    if (answer.code != ExitCode::Ok)
        return reportProblem(answer, output);
    if (output.json) {
        output.out << answer.body << "\n";
        return ExitCode::Ok;
    }
    // Comments are allowed in a document, so that the text can be edited and applied as it is;
    // a line like this one from an earlier round is left out.
    const Json::Value json = parseAnswer(answer.body);
    std::string text = json["document"].asString();
    if (text.starts_with("// Revision "))
        text.erase(0, text.find('\n') + 1);
    output.out << "// Revision " << json["revision"].asString() << " of " << options.service
               << ", edited by " << json["editedBy"].asString() << "\n"
               << text;
    if (!text.ends_with('\n'))
        output.out << "\n";
    return ExitCode::Ok;
}

ExitCode applyDocument(const DocumentApplyOptions &options, EntryClient &client, Output &output)
{
    const std::string text = readFile(options.file);
    const ParsedDocument parsed = parseServiceDocument(text);
    if (!parsed.document) {
        output.err << parsed.faults.format(options.file);
        return ExitCode::InvalidInput;
    }
    const EntryAnswer answer = client.call(applyCall(options, text, *parsed.document));
    if (answer.code != ExitCode::Ok) {
        reportProblem(answer, output);
        printChanges(answer, output);
        return answer.code;
    }
    const Json::Value state =
        waitForAcceptance(options, parsed.document->service, parseAnswer(answer.body), client);
    output.out << (output.json ? toLine(state) : stateText(state)) << "\n";
    const bool waitedInVain = options.waitMs > 0 && !isAccepted(state);
    return waitedInVain ? ExitCode::Pending : ExitCode::Ok;
}

ExitCode showDocumentStatus(const DocumentStatusOptions &options, EntryClient &client,
                            Output &output)
{
    const EntryAnswer answer = client.call({.path = pathOf(options.service) + "/status"});
    if (answer.code != ExitCode::Ok)
        return reportProblem(answer, output);
    if (output.json) {
        output.out << answer.body << "\n";
        return ExitCode::Ok;
    }
    const Json::Value json = parseAnswer(answer.body);
    std::size_t width = std::string_view("entry").size();
    for (const Json::Value &it : json["entries"])
        width = std::max(width, it["entry"].asString().size());
    const auto column = static_cast<int>(width + 2);
    output.out << options.service << ", " << stateText(json) << "\n"
               << std::left << std::setw(column) << "entry"
               << "revision in force  said ms ago\n";
    for (const Json::Value &it : json["entries"])
        output.out << std::left << std::setw(column) << it["entry"].asString() << std::setw(19)
                   << it["revision"].asString() << it["ageMs"].asString() << "\n";
    return ExitCode::Ok;
}

} // namespace savorywick
