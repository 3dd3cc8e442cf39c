#include "cli/cli.h"
#include "cli/json.h"
#include "cli/wait.h"
#include "core/settings.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <iterator>

namespace savorywick {

namespace {

// Given to the entry on top of the deadline, so that its own answer comes before this time-out.
constexpr Millis answerMargin{1'000};
constexpr Millis submitTimeout{15'000};

std::string bodyOf(const CallOptions &call)
{
    if (call.bodyFile == "-")
        return {std::istreambuf_iterator<char>(std::cin), {}};
    return call.bodyFile.empty() ? call.body : readFile(call.bodyFile);
}

HttpCall toHttp(const CallOptions &call, const std::string &kind)
{
    HttpCall http;
    http.method = "POST";
    http.path = "/v1/services/" + call.service + "/" + kind + "/" + call.className;
    if (!call.key.empty())
        http.headers.push_back({"Idempotency-Key", call.key});
    if (!call.team.empty())
        http.headers.push_back({"X-Team", call.team});
    http.timeout = submitTimeout;
    return http;
}

std::string pathOf(const JobOptions &job)
{
    return std::string(job.watcher ? "/v1/watchers/" : "/v1/runs/") + job.id;
}

bool hasEnded(const Json::Value &json)
{
    constexpr std::array<std::string_view, 3> ends{"finished", "failed", "cancelled"};
    return std::find(ends.begin(), ends.end(), json["state"].asString()) != ends.end();
}

void print(const Json::Value &json, Output &output)
{
    if (output.json) {
        output.out << toLine(json) << "\n";
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

// Returns the code of a run or watcher in its present state.
ExitCode codeOf(const Json::Value &json, bool waited)
{
    const std::string state = json["state"].asString();
    if (state == "failed" || state == "cancelled")
        return ExitCode::Failed;
    return waited && !hasEnded(json) ? ExitCode::Pending : ExitCode::Ok;
}

ExitCode submit(const HttpCall &http, bool watcher, std::int64_t waitMs, EntryClient &client,
                Output &output)
{
    const EntryAnswer answer = client.call(http);
    if (answer.code != ExitCode::Ok)
        return reportProblem(answer, output);
    Json::Value json = parseAnswer(answer.body);
    const JobOptions job{watcher, json["id"].asString()};
    waitUntil(Millis{waitMs}, [&] {
        if (waitMs == 0)
            return true;
        const EntryAnswer state = client.call({.path = pathOf(job)});
        if (state.code == ExitCode::Ok)
            json = parseAnswer(state.body);
        return hasEnded(json);
    });
    print(json, output);
    return codeOf(json, waitMs > 0);
}

} // namespace

ExitCode sendRequest(const RequestOptions &options, EntryClient &client, Output &output)
{
    HttpCall http = toHttp(options.call, "requests");
    http.headers.push_back({"X-Deadline-Ms", std::to_string(options.deadlineMs)});
    http.body = bodyOf(options.call);
    http.timeout = Millis{options.deadlineMs} + answerMargin;
    const EntryAnswer answer = client.call(http);
    if (answer.code != ExitCode::Ok)
        return reportProblem(answer, output);
    output.out << answer.body << "\n";
    return ExitCode::Ok;
}

ExitCode submitRun(const RunOptions &options, EntryClient &client, Output &output)
{
    HttpCall http = toHttp(options.call, "runs");
    http.body = bodyOf(options.call);
    return submit(http, false, options.waitMs, client, output);
}

ExitCode submitWatcher(const WatchOptions &options, EntryClient &client, Output &output)
{
    Json::Value until;
    if (options.untilRun.empty())
        until["until"]["afterMs"] = Json::Int64(options.untilMs);
    else
        until["until"]["run"] = options.untilRun;
    HttpCall http = toHttp(options.call, "watchers");
    http.body = toLine(until);
    return submit(http, true, options.waitMs, client, output);
}

ExitCode showState(const StateOptions &options, EntryClient &client, Output &output)
{
    const EntryAnswer answer = client.call({.path = pathOf(options.job)});
    if (answer.code != ExitCode::Ok)
        return reportProblem(answer, output);
    const Json::Value json = parseAnswer(answer.body);
    print(json, output);
    return codeOf(json, false);
}

ExitCode cancelJob(const CancelOptions &options, EntryClient &client, Output &output)
{
    HttpCall http;
    http.method = "DELETE";
    http.path = pathOf(options.job);
    http.timeout = submitTimeout;
    const EntryAnswer answer = client.call(http);
    if (answer.code != ExitCode::Ok)
        return reportProblem(answer, output);
    print(parseAnswer(answer.body), output);
    return ExitCode::Ok;
}

} // namespace savorywick
