#include "cli/entryclient.h"

#include "core/settings.h"
#include "savorywick/errors.h"

#include <json/json.h>

#include <memory>

namespace savorywick {

namespace {

constexpr std::string_view runStatusHeader = "X-Run-Status";

// Returns the exit code of an answered call that did not succeed.
ExitCode codeOf(const HttpResult &answer)
{
    const std::string_view runStatus = headerValue(answer.headers, runStatusHeader);
    if (runStatus == "unknown")
        return ExitCode::Unknown;
    if (answer.status == 409 || answer.status == 412)
        return ExitCode::Conflict;
    if (answer.status == 429 || answer.status == 503)
        return ExitCode::NotRun;
    if (answer.status == 400 || answer.status == 413 || answer.status == 422)
        return ExitCode::InvalidInput;
    return ExitCode::Failed;
}

// Returns the text of problem details, or the status if the body holds none.
std::string problemOf(const HttpResult &answer)
{
    Json::Value json;
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    const char *begin = answer.body.data();
    const bool parsed = reader->parse(begin, begin + answer.body.size(), &json, nullptr);
    std::string text;
    if (parsed && json.isObject() && json["title"].isString()) {
        text = json["title"].asString() + ": " + json["detail"].asString();
        if (json["remedy"].isString() && !json["remedy"].asString().empty())
            text += "; " + json["remedy"].asString();
    } else {
        text = "the entry answered with status " + std::to_string(answer.status);
    }
    const std::string_view retry = headerValue(answer.headers, "X-Retry-After-Ms");
    if (!retry.empty())
        text.append(" (come back in ").append(retry).append(" ms)");
    return text;
}

bool isRead(const HttpCall &call)
{
    return call.method == "GET";
}

} // namespace

EntryClient::EntryClient(std::string address)
    : m_address(std::move(address))
{
    if (!parseSocketAddress(m_address))
        throw Error(ErrorKind::InvalidInput, "--entry \"" + m_address + "\" is no IP and port",
                    "write it as in 127.0.0.1:8080");
}

EntryAnswer EntryClient::call(HttpCall call)
{
    call.address = m_address;
    const HttpResult answer = m_http.exchange(call);
    if (answer.outcome == HttpOutcome::NotSent)
        return {ExitCode::NotRun, "",
                "the entry at " + m_address + " can't be reached, so nothing was run; try another"};
    if (answer.outcome != HttpOutcome::ResponseReceived && isRead(call))
        return {ExitCode::NotRun, "", "the entry at " + m_address + " did not answer; try again"};
    if (answer.outcome != HttpOutcome::ResponseReceived)
        return {ExitCode::Unknown, "",
                "the entry at " + m_address
                    + " did not answer in time, so it is unknown whether this took effect; "
                      "repeat it with the same idempotency key or revision"};
    if (answer.status >= 200 && answer.status < 300)
        return {ExitCode::Ok, answer.body, ""};
    return {codeOf(answer), answer.body, problemOf(answer)};
}

} // namespace savorywick
