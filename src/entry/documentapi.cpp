#include "entry/documentapi.h"

#include "caller/problem.h"
#include "core/hash.h"
#include "savorywick/errors.h"
#include "store/json.h"

#include <charconv>
#include <chrono>

namespace savorywick {

namespace {

constexpr int editIdDigits = 32;
constexpr Millis storeRetryAfter{2'000};

std::optional<std::uint64_t> revisionFrom(std::string_view text)
{
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
        text = text.substr(1, text.size() - 2);
    std::uint64_t n = 0;
    const auto end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, n);
    if (text.empty() || result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return n;
}

std::int64_t wallClockMs()
{
    const auto span = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

HttpResponse storeDown(RunStatus run)
{
    return toResponse(Problem{503, "store-unavailable", "the table service does not answer",
                              "come back after the time in Retry-After; an edit that may have "
                              "landed shows in 'document show'",
                              run, storeRetryAfter});
}

HttpResponse unknownDocument(const std::string &service)
{
    return toResponse(Problem{404, "unknown-service", "there is no document of '" + service + "'",
                              "apply one with 'savorywick document apply'"});
}

Json::Value toJson(const StoredDocument &stored)
{
    Json::Value value;
    value["service"] = stored.service;
    value["revision"] = Json::UInt64(stored.revision);
    value["document"] = stored.document;
    value["editedBy"] = stored.editedBy;
    value["editedAtMs"] = Json::Int64(stored.editedAtMs);
    return value;
}

void addAcceptance(Json::Value &value, const Acceptance &acceptance)
{
    value["state"] = acceptance.accepted ? "accepted" : "pending";
    value["pendingOn"] = Json::arrayValue;
    for (const std::string &it : acceptance.pendingOn)
        value["pendingOn"].append(it);
}

Json::Value changesJson(const std::string &mine, const std::string &theirs)
{
    Json::Value list = Json::arrayValue;
    const ParsedDocument before = parseServiceDocument(mine);
    const ParsedDocument after = parseServiceDocument(theirs);
    if (!before.document || !after.document)
        return list;
    for (const DocumentChange &it : diffDocuments(*before.document, *after.document, {}))
        list.append(it.path + ": " + it.change);
    return list;
}

HttpResponse liveWorkUnknown()
{
    return toResponse(Problem{503, "live-work-unknown",
                              "the edit removes a class of runs or watchers, and not every entry "
                              "and shard has said whether work of it is unfinished",
                              "apply it again after the time in Retry-After; replace an entry that "
                              "'savorywick report' shows as not answering",
                              RunStatus::NotRun, storeRetryAfter});
}

HttpResponse strandedResponse(const std::vector<DocumentChange> &changes)
{
    std::string found;
    std::string remedy;
    for (const DocumentChange &it : changes) {
        if (!it.refused)
            continue;
        found += (found.empty() ? "" : "; ") + it.path + " " + it.change;
        remedy = it.effect;
    }
    return toResponse(Problem{409, "class-in-use", found, remedy});
}

HttpResponse faultsResponse(const ValidationErrors &faults)
{
    Json::Value list = Json::arrayValue;
    for (const ValidationError &it : faults.errors()) {
        Json::Value fault;
        fault["path"] = it.path;
        fault["found"] = it.problem;
        fault["remedy"] = it.remedy;
        list.append(std::move(fault));
    }
    HttpResponse response = toResponse(Problem{400, "invalid-document",
                                               "the document has " + std::to_string(list.size())
                                                   + " fault(s): " + faults.format("document"),
                                               "mend every fault listed and apply it again"});
    Json::Value body = store::parseJsonText(response.body);
    body["faults"] = std::move(list);
    response.body = store::toJsonText(body);
    return response;
}

} // namespace

DocumentApi::DocumentApi(const Settings &settings, DocumentService &documents,
                         const LiveWorkService &liveWork)
    : m_settings(settings)
    , m_documents(documents)
    , m_liveWork(liveWork)
{ }

HttpResponse DocumentApi::show(const CallerRequest &request)
{
    std::uint64_t revision = 0;
    const std::string_view wanted = headerValue(request.http.parameters, "revision");
    if (!wanted.empty()) {
        const auto n = revisionFrom(wanted);
        if (!n || *n == 0)
            return toResponse(Problem{400, "malformed-revision", "the revision is no number",
                                      "ask with ?revision=N, N from 1"});
        revision = *n;
    }
    try {
        const StoredDocument stored = m_documents.load(request.service, revision);
        if (stored.revision == 0)
            return unknownDocument(request.service);
        return {200, {}, store::toJsonText(toJson(stored))};
    } catch (const Error &) {
        return storeDown(RunStatus::NotRun);
    }
}

HttpResponse DocumentApi::apply(const CallerRequest &request)
{
    const ParsedDocument parsed = parseServiceDocument(request.http.body);
    if (auto refusal = refuse(request, parsed))
        return *refusal;
    EditRequest edit;
    edit.service = request.service;
    edit.baseRevision = *revisionFrom(headerValue(request.http.headers, "If-Match"));
    if (auto refusal = refuseStranding(*parsed.document, edit.baseRevision))
        return *refusal;
    edit.document = request.http.body;
    edit.editedBy = parsed.document->team;
    edit.editedAtMs = wallClockMs();
    edit.editId = randomDigits(editIdDigits);
    const EditReport report = m_documents.edit(edit);
    Json::Value body;
    switch (report.result.outcome) {
    case EditOutcome::Applied:
        body["revision"] = Json::UInt64(report.result.stored.revision);
        addAcceptance(body, report.acceptance);
        return {200, {}, store::toJsonText(body)};
    case EditOutcome::Conflict: {
        HttpResponse response = toResponse(
            Problem{412, "revision-changed",
                    "the document is at revision " + std::to_string(report.result.current.revision)
                        + " now",
                    "read it with 'document show', put your change into it, apply it again"});
        body = store::parseJsonText(response.body);
        body["present"] = toJson(report.result.current);
        body["changed"] = changesJson(request.http.body, report.result.current.document);
        response.body = store::toJsonText(body);
        return response;
    }
    case EditOutcome::NotOwner:
        return toResponse(
            Problem{403, "not-your-document",
                    "the document belongs to team '" + report.result.current.editedBy + "'",
                    "ask that team to edit it"});
    case EditOutcome::NotApplied:
        return storeDown(RunStatus::NotRun);
    case EditOutcome::Unknown:
        break;
    }
    return storeDown(RunStatus::Unknown);
}

// Returns why the edit must not be made: it would remove a class with unfinished work. An edit of
// another revision than the present one is left to fail as such.
std::optional<HttpResponse> DocumentApi::refuseStranding(const ServiceDocument &after,
                                                         std::uint64_t baseRevision)
{
    if (baseRevision == 0)
        return std::nullopt;
    try {
        const StoredDocument stored = m_documents.load(after.service, baseRevision);
        const ParsedDocument before = parseServiceDocument(stored.document);
        if (!before.document || !removesBatchClass(*before.document, after))
            return std::nullopt;
        const auto live = m_liveWork.everywhere(after.service);
        if (!live)
            return liveWorkUnknown();
        const auto changes = diffDocuments(*before.document, after, *live);
        if (anyRefused(changes))
            return strandedResponse(changes);
        return std::nullopt;
    } catch (const Error &) {
        return storeDown(RunStatus::NotRun);
    }
}

HttpResponse DocumentApi::status(const CallerRequest &request)
{
    try {
        const DocumentStatus status = m_documents.status(request.service);
        if (status.stored.revision == 0)
            return unknownDocument(request.service);
        Json::Value body;
        body["service"] = request.service;
        body["revision"] = Json::UInt64(status.stored.revision);
        body["ageMs"] = Json::Int64(wallClockMs() - status.stored.editedAtMs);
        addAcceptance(body, status.acceptance);
        body["entries"] = Json::arrayValue;
        for (const EntryDocumentStatus &it : status.entries) {
            Json::Value entry;
            entry["entry"] = it.entry;
            entry["revision"] = Json::UInt64(it.revision);
            entry["ageMs"] = Json::Int64(it.age.count());
            body["entries"].append(std::move(entry));
        }
        return {200, {}, store::toJsonText(body)};
    } catch (const Error &) {
        return storeDown(RunStatus::NotRun);
    }
}

std::optional<HttpResponse> DocumentApi::refuse(const CallerRequest &request,
                                                const ParsedDocument &parsed) const
{
    if (!revisionFrom(headerValue(request.http.headers, "If-Match")))
        return toResponse(Problem{428, "revision-missing", "the header If-Match names no revision",
                                  "send the revision that you have read, or 0 for a new document"});
    if (!parsed.document)
        return faultsResponse(parsed.faults);
    if (parsed.document->service != request.service)
        return toResponse(Problem{400, "service-differs",
                                  "the document describes '" + parsed.document->service + "'",
                                  "put it to the path of its own service"});
    const std::string_view team = headerValue(request.http.headers, "X-Team");
    const std::string_view key = headerValue(request.http.headers, "X-Team-Key");
    if (team != parsed.document->team || !isTeamKey(m_settings, team, key))
        return toResponse(Problem{403, "not-your-document",
                                  "X-Team and X-Team-Key are not those of the document's team",
                                  "send the owning team's name and key"});
    const auto present = m_documents.find(request.service);
    if (!present)
        return std::nullopt;
    if (present->document.team != parsed.document->team)
        return toResponse(Problem{403, "not-your-document",
                                  "the document belongs to team '" + present->document.team + "'",
                                  "ask that team to edit it"});
    return std::nullopt;
}

} // namespace savorywick
