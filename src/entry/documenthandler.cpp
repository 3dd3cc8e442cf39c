#include "entry/documenthandler.h"

#include "caller/problem.h"
#include "core/hash.h"
#include "savorywick/errors.h"
#include "store/json.h"

#include <charconv>
#include <chrono>

namespace savorywick {

namespace {

constexpr int editIdDigits = 32;
constexpr Millis storeRetryDelay{2'000};

// Returns the revision in `text`, with or without the quotes of an entity tag; nothing if `text` is
// not a whole number.
std::optional<std::uint64_t> parseRevision(std::string_view text)
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

HttpResponse storeUnavailableResponse(RunStatus run)
{
    return toResponse(Problem{503, "store-unavailable", "the table service does not answer",
                              "retry after the delay in Retry-After; 'document show' tells "
                              "whether an edit was applied",
                              run, storeRetryDelay});
}

HttpResponse unknownServiceResponse(const std::string &service)
{
    return toResponse(Problem{404, "unknown-service",
                              "there is no document for service '" + service + "'",
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

// Returns a sentence for each difference between two documents; none if either of them is invalid.
Json::Value changesJson(const std::string &before, const std::string &after)
{
    Json::Value list = Json::arrayValue;
    const ParsedDocument parsedBefore = parseServiceDocument(before);
    const ParsedDocument parsedAfter = parseServiceDocument(after);
    if (!parsedBefore.document || !parsedAfter.document)
        return list;
    for (const DocumentChange &it :
         diffDocuments(*parsedBefore.document, *parsedAfter.document, {}))
        list.append(it.path + ": " + it.change);
    return list;
}

HttpResponse liveWorkUnknownResponse()
{
    return toResponse(Problem{503, "live-work-unknown",
                              "the edit removes a class of runs or watchers, and not every entry "
                              "and shard reported whether the class has unfinished work",
                              "retry after the delay in Retry-After; replace an entry that "
                              "'savorywick report' shows as unreachable",
                              RunStatus::NotRun, storeRetryDelay});
}

HttpResponse classInUseResponse(const std::vector<DocumentChange> &changes)
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

HttpResponse invalidDocumentResponse(const ValidationErrors &faults)
{
    Json::Value list = Json::arrayValue;
    for (const ValidationError &it : faults.errors()) {
        Json::Value fault;
        fault["path"] = it.path;
        fault["found"] = it.problem;
        fault["remedy"] = it.remedy;
        list.append(std::move(fault));
    }
    HttpResponse response =
        toResponse(Problem{400, "invalid-document",
                           "the document has " + std::to_string(list.size())
                               + " fault(s): " + faults.format("document"),
                           "correct every fault listed and apply the document again"});
    Json::Value body = store::parseJsonText(response.body);
    body["faults"] = std::move(list);
    response.body = store::toJsonText(body);
    return response;
}

} // namespace

DocumentHandler::DocumentHandler(const Settings &settings, DocumentService &documents,
                                 const LiveWorkService &liveWork)
    : m_settings(settings)
    , m_documents(documents)
    , m_liveWork(liveWork)
{ }

HttpResponse DocumentHandler::show(const CallerRequest &request)
{
    std::uint64_t revision = 0;
    const std::string_view requested = headerValue(request.http.queryParameters, "revision");
    if (!requested.empty()) {
        const auto n = parseRevision(requested);
        if (!n || *n == 0)
            return toResponse(Problem{400, "malformed-revision",
                                      "the revision is not a positive whole number",
                                      "send ?revision=N with N of at least 1"});
        revision = *n;
    }
    try {
        const StoredDocument stored = m_documents.load(request.service, revision);
        if (stored.revision == 0)
            return unknownServiceResponse(request.service);
        return {200, {}, store::toJsonText(toJson(stored))};
    } catch (const Error &) {
        return storeUnavailableResponse(RunStatus::NotRun);
    }
}

HttpResponse DocumentHandler::apply(const CallerRequest &request)
{
    const ParsedDocument parsed = parseServiceDocument(request.http.body);
    if (auto refusal = rejectInvalidEdit(request, parsed))
        return *refusal;
    EditRequest edit;
    edit.service = request.service;
    edit.baseRevision = *parseRevision(headerValue(request.http.headers, "If-Match"));
    if (auto refusal = rejectClassInUse(*parsed.document, edit.baseRevision))
        return *refusal;
    edit.document = request.http.body;
    edit.editedBy = parsed.document->team;
    edit.editedAtMs = wallClockMs();
    edit.editId = randomHexDigits(editIdDigits);
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
                    "read it with 'document show', merge your change and apply it again"});
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
                    "ask that team to make the edit"});
    case EditOutcome::NotApplied:
        return storeUnavailableResponse(RunStatus::NotRun);
    case EditOutcome::Unknown:
        break;
    }
    return storeUnavailableResponse(RunStatus::Unknown);
}

// Returns the response to an edit that would remove a class with unfinished work, or nothing if the
// edit may proceed. Compares with the revision on which the edit is based; if that is not the
// current one, the edit itself fails with a conflict.
std::optional<HttpResponse> DocumentHandler::rejectClassInUse(const ServiceDocument &edited,
                                                              std::uint64_t baseRevision)
{
    if (baseRevision == 0)
        return std::nullopt;
    try {
        const StoredDocument stored = m_documents.load(edited.service, baseRevision);
        const ParsedDocument before = parseServiceDocument(stored.document);
        if (!before.document || !removesBatchClass(*before.document, edited))
            return std::nullopt;
        const auto live = m_liveWork.countAll(edited.service);
        if (!live)
            return liveWorkUnknownResponse();
        const auto changes = diffDocuments(*before.document, edited, *live);
        if (anyRefused(changes))
            return classInUseResponse(changes);
        return std::nullopt;
    } catch (const Error &) {
        return storeUnavailableResponse(RunStatus::NotRun);
    }
}

HttpResponse DocumentHandler::status(const CallerRequest &request)
{
    try {
        const DocumentStatus status = m_documents.status(request.service);
        if (status.stored.revision == 0)
            return unknownServiceResponse(request.service);
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
        return storeUnavailableResponse(RunStatus::NotRun);
    }
}

std::optional<HttpResponse> DocumentHandler::rejectInvalidEdit(const CallerRequest &request,
                                                               const ParsedDocument &parsed) const
{
    if (!parseRevision(headerValue(request.http.headers, "If-Match")))
        return toResponse(
            Problem{428, "revision-missing", "the header If-Match is missing or holds no revision",
                    "send the revision that the edit is based on, or 0 for a new document"});
    if (!parsed.document)
        return invalidDocumentResponse(parsed.faults);
    if (parsed.document->service != request.service)
        return toResponse(
            Problem{400, "service-differs",
                    "the document describes service '" + parsed.document->service + "'",
                    "send it to the path of that service"});
    const std::string_view team = headerValue(request.http.headers, "X-Team");
    const std::string_view key = headerValue(request.http.headers, "X-Team-Key");
    if (team != parsed.document->team || !isValidTeamKey(m_settings, team, key))
        return toResponse(Problem{403, "not-your-document",
                                  "X-Team and X-Team-Key do not match the document's team",
                                  "send the owning team's name and key"});
    const auto present = m_documents.find(request.service);
    if (!present)
        return std::nullopt;
    if (present->document.team != parsed.document->team)
        return toResponse(Problem{403, "not-your-document",
                                  "the document belongs to team '" + present->document.team + "'",
                                  "ask that team to make the edit"});
    return std::nullopt;
}

} // namespace savorywick
