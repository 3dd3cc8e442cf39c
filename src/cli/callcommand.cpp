#include "cli/cli.h"
#include "cli/json.h"
#include "cli/poll.h"
#include "core/settings.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <iterator>

namespace savorywick {

namespace {

// Added to the request's deadline, so that the entry's own response arrives before the client's
// timeout.
constexpr Millis responseMargin{1'000};
constexpr Millis submitTimeout{15'000};

std::string readBody(const SubmissionOptions &submission)
{
    if (submission.bodyFile == "-")
        return {std::istreambuf_iterator<char>(std::cin), {}};
    return submission.bodyFile.empty() ? submission.body : readFile(submission.bodyFile);
}

HttpCall makeSubmission(const SubmissionOptions &submission, const std::string &kind)
{
    HttpCall http;
    http.method = "POST";
    http.path = "/v1/services/" + submission.service + "/" + kind + "/" + submission.className;
    if (!submission.key.empty())
        http.headers.push_back({"Idempotency-Key", submission.key});
    if (!submission.team.empty())
        http.headers.push_back({"X-Team", submission.team});
    http.timeout = submitTimeout;
    return http;
}

std::string jobPath(const JobOptions &job)
{
    return std::string(job.watcher ? "/v1/watchers/" : "/v1/runs/") + job.id;
}

bool isTerminal(const Json::Value &json)
{
    constexpr std::array<std::string_view, 3> terminalStates{"finished", "failed", "cancelled"};
    return std::find(terminalStates.begin(), terminalStates.end(), json["state"].asString())
        != terminalStates.end();
}

void printJob(const Json::Value &json, CommandOutput &output)
{
    if (output.json) {
        output.out << toJsonLine(json) << "\n";
        return;
    }
    output.out << json["id"].asString() << " " << json["state"].asString() << "\n";
    if (json["attempts"].isIntegral())
        output.out << "attempts: " << json["attempts"].asString() << "\n";
    if (json["result"].isString() && !json["result"].asString().empty())
        output.out << "result: " << json["result"].asString() << "\n";
    if (json["why"].isString() && !json["why"].asString().empty())
        output.out << "why: " << json["why"].asString() << "\n";
}

// Returns the exit code for a run or watcher in its current state. `waited` says whether the
// command waited for the end: then a state that is not terminal is Pending.
ExitCode exitCodeFor(const Json::Value &json, bool waited)
{
    const std::string state = json["state"].asString();
    if (state == "failed" || state == "cancelled")
        return ExitCode::Failed;
    return waited && !isTerminal(json) ? ExitCode::Pending : ExitCode::Ok;
}

ExitCode submit(const HttpCall &http, bool watcher, std::int64_t waitMs, EntryClient &client,
                CommandOutput &output)
{
    const EntryResponse response = client.call(http);
    if (response.code != ExitCode::Ok)
        return printProblem(response, output);
    Json::Value json = parseJsonObject(response.body);
    const JobOptions job{watcher, json["id"].asString()};
    pollUntil(Millis{waitMs}, [&] {
        if (waitMs == 0)
            return true;
        const EntryResponse state = client.call({.path = jobPath(job)});
        if (state.code == ExitCode::Ok)
            json = parseJsonObject(state.body);
        return isTerminal(json);
    });
    printJob(json, output);
    return exitCodeFor(json, waitMs > 0);
}

} // namespace

ExitCode sendRequest(const RequestOptions &options, EntryClient &client, CommandOutput &output)
{
    HttpCall http = makeSubmission(options.submission, "requests");
    http.headers.push_back({"X-Deadline-Ms", std::to_string(options.deadlineMs)});
    http.body = readBody(options.submission);
    http.timeout = Millis{options.deadlineMs} + responseMargin;
    const EntryResponse response = client.call(http);
    if (response.code != ExitCode::Ok)
        return printProblem(response, output);
    output.out << response.body << "\n";
    return ExitCode::Ok;
}

ExitCode submitRun(const RunOptions &options, EntryClient &client, CommandOutput &output)
{
    HttpCall http = makeSubmission(options.submission, "runs");
    http.body = readBody(options.submission);
    return submit(http, false, options.waitMs, client, output);
}

ExitCode submitWatcher(const WatchOptions &options, EntryClient &client, CommandOutput &output)
{
    Json::Value until;
    if (options.untilRun.empty())
        until["until"]["afterMs"] = Json::Int64(options.untilMs);
    else
        until["until"]["run"] = options.untilRun;
    HttpCall http = makeSubmission(options.submission, "watchers");
    http.body = toJsonLine(until);
    return submit(http, true, options.waitMs, client, output);
}

ExitCode showState(const StateOptions &options, EntryClient &client, CommandOutput &output)
{
    const EntryResponse response = client.call({.path = jobPath(options.job)});
    if (response.code != ExitCode::Ok)
        return printProblem(response, output);
    const Json::Value json = parseJsonObject(response.body);
    printJob(json, output);
    return exitCodeFor(json, false);
}

ExitCode cancelJob(const CancelOptions &options, EntryClient &client, CommandOutput &output)
{
    HttpCall http;
    http.method = "DELETE";
    http.path = jobPath(options.job);
    http.timeout = submitTimeout;
    const EntryResponse response = client.call(http);
    if (response.code != ExitCode::Ok)
        return printProblem(response, output);
    printJob(parseJsonObject(response.body), output);
    return ExitCode::Ok;
}

} // namespace savorywick
