#include "savorywick/documentstore.h"

#include "jsontext.h"
#include "savorywick/errors.h"

#include <json/json.h>

#include <algorithm>
#include <cstdio>

namespace savorywick {

namespace {

// The number of commit attempts before an edit gives up. An attempt fails whenever an edit of any
// other service changes the index row first.
constexpr int maxCommitAttempts = 64;

// The positions of the rows in DocumentEdit::keys().
enum KeyPosition { DocumentKey, HistoryKey, IndexKey, KeyCount };

Json::Value parseRow(const Row &row)
{
    Json::Value json = internal::parseJsonText(row.value);
    if (!json.isObject())
        throw Error(ErrorKind::InvalidInput, "row '" + row.key + "' is not a JSON object",
                    "restore it from its row under history/");
    return json;
}

Json::Value toJson(const DocumentRevision &edit)
{
    Json::Value json;
    json["s"] = edit.service;
    json["r"] = Json::UInt64(edit.revision);
    return json;
}

} // namespace

std::string documentKey(std::string_view service)
{
    return std::string(documentKeyPrefix) + std::string(service);
}

std::string historyKey(std::string_view service, std::uint64_t revision)
{
    char buf[24];
    std::snprintf(buf, sizeof buf, "%010llu", static_cast<unsigned long long>(revision));
    return "history/" + std::string(service) + "/" + buf;
}

std::string editKey(std::uint64_t sequence)
{
    char buf[24];
    std::snprintf(buf, sizeof buf, "%012llu", static_cast<unsigned long long>(sequence));
    return std::string(editKeyPrefix) + buf;
}

StoredDocument parseDocumentRow(const Row &row)
{
    if (row.version == 0)
        return {};
    try {
        const Json::Value json = parseRow(row);
        StoredDocument d;
        d.service = json["service"].asString();
        d.revision = json["revision"].asUInt64();
        d.sequence = json["sequence"].asUInt64();
        d.document = json["document"].asString();
        d.editedBy = json["editedBy"].asString();
        d.editedAtMs = json["editedAtMs"].asInt64();
        d.editId = json["editId"].asString();
        return d;
    } catch (const Json::Exception &) {
        throw Error(ErrorKind::InvalidInput, "row '" + row.key + "' is not a stored document",
                    "restore it from its row under history/");
    }
}

DocumentRevision parseEditRow(const Row &row)
{
    try {
        const Json::Value json = parseRow(row);
        return {json["s"].asString(), json["r"].asUInt64()};
    } catch (const Json::Exception &) {
        throw Error(ErrorKind::InvalidInput, "row '" + row.key + "' is not an edit",
                    "delete the row; entries then read all documents instead");
    }
}

DocumentIndex parseIndexRow(const Row &row)
{
    if (row.version == 0)
        return {};
    try {
        const Json::Value json = parseRow(row);
        DocumentIndex index;
        index.sequence = json["sequence"].asUInt64();
        for (const Json::Value &it : json["recent"])
            index.recent.push_back({it["s"].asString(), it["r"].asUInt64()});
        return index;
    } catch (const Json::Exception &) {
        throw Error(
            ErrorKind::InvalidInput, "row '" + row.key + "' is not a document index",
            "write {\"sequence\": N, \"recent\": []} with N above every sequence under document/");
    }
}

std::string toValue(const StoredDocument &document)
{
    Json::Value json;
    json["service"] = document.service;
    json["revision"] = Json::UInt64(document.revision);
    json["sequence"] = Json::UInt64(document.sequence);
    json["document"] = document.document;
    json["editedBy"] = document.editedBy;
    json["editedAtMs"] = Json::Int64(document.editedAtMs);
    json["editId"] = document.editId;
    return internal::toJsonText(json);
}

std::string toValue(const DocumentRevision &edit)
{
    return internal::toJsonText(toJson(edit));
}

std::string toValue(const DocumentIndex &index)
{
    Json::Value json;
    json["sequence"] = Json::UInt64(index.sequence);
    json["recent"] = Json::arrayValue;
    for (const DocumentRevision &it : index.recent)
        json["recent"].append(toJson(it));
    return internal::toJsonText(json);
}

DocumentEdit::DocumentEdit(EditRequest request)
    : m_request(std::move(request))
{
    m_keys.resize(KeyCount);
    m_keys[DocumentKey] = documentKey(m_request.service);
    m_keys[HistoryKey] = historyKey(m_request.service, m_request.baseRevision + 1);
    m_keys[IndexKey] = documentIndexKey;
}

std::optional<Transaction> DocumentEdit::onRows(std::span<const Row> rows)
{
    const StoredDocument next = parseDocumentRow(rows[HistoryKey]);
    const StoredDocument current = parseDocumentRow(rows[DocumentKey]);
    if (next.revision != 0 && next.editId == m_request.editId) {
        finish(EditOutcome::Applied, next, {});
        return std::nullopt;
    }
    // Another edit created the next revision, or the base revision does not exist.
    if (next.revision != 0 || current.revision != m_request.baseRevision) {
        finish(EditOutcome::Conflict, {}, current);
        return std::nullopt;
    }
    if (current.revision != 0 && current.editedBy != m_request.editedBy) {
        finish(EditOutcome::NotOwner, {}, current);
        return std::nullopt;
    }
    if (++m_attempts > maxCommitAttempts) {
        finish(m_mayBeCommitted ? EditOutcome::Unknown : EditOutcome::NotApplied, {}, current);
        return std::nullopt;
    }
    return makeTransaction(rows[DocumentKey], rows[IndexKey]);
}

Transaction DocumentEdit::makeTransaction(const Row &document, const Row &index)
{
    DocumentIndex next = parseIndexRow(index);
    ++next.sequence;
    next.recent.insert(next.recent.begin(), {m_request.service, m_request.baseRevision + 1});
    if (next.recent.size() > maxIndexedEdits)
        next.recent.resize(maxIndexedEdits);
    m_proposed = {m_request.service,  m_request.baseRevision + 1, next.sequence,
                  m_request.document, m_request.editedBy,         m_request.editedAtMs,
                  m_request.editId};
    const std::string value = toValue(m_proposed);
    Transaction t;
    t.conditions = {{m_keys[DocumentKey], document.version},
                    {m_keys[HistoryKey], 0},
                    {m_keys[IndexKey], index.version}};
    t.writes = {{m_keys[DocumentKey], value},
                {m_keys[HistoryKey], value},
                {editKey(next.sequence), toValue(next.recent.front())},
                {m_keys[IndexKey], toValue(next)}};
    if (next.sequence > retainedEdits)
        t.writes.push_back({editKey(next.sequence - retainedEdits), std::nullopt});
    return t;
}

void DocumentEdit::onCommit(CommitOutcome outcome)
{
    switch (outcome) {
    case CommitOutcome::Committed:
        finish(EditOutcome::Applied, m_proposed, {});
        break;
    case CommitOutcome::Conflict:
        break; // The next read tells whether the document or only the index row has changed.
    case CommitOutcome::Unavailable:
        finish(m_mayBeCommitted ? EditOutcome::Unknown : EditOutcome::NotApplied, {}, {});
        break;
    case CommitOutcome::Unknown:
        m_mayBeCommitted = true;
        break;
    }
}

void DocumentEdit::onReadFailed()
{
    finish(m_mayBeCommitted ? EditOutcome::Unknown : EditOutcome::NotApplied, {}, {});
}

void DocumentEdit::finish(EditOutcome outcome, StoredDocument stored, StoredDocument current)
{
    m_result = EditResult{outcome, std::move(stored), std::move(current)};
}

Acceptance acceptanceOf(const StoredDocument &stored, std::span<const std::string> listed,
                        std::span<const EntryDocumentStatus> reports)
{
    Acceptance acceptance;
    for (const std::string &it : listed) {
        const bool active =
            std::any_of(reports.begin(), reports.end(), [&](const EntryDocumentStatus &e) {
                return e.entry == it
                    && (e.sequence >= stored.sequence || e.revision >= stored.revision);
            });
        if (!active)
            acceptance.pendingOn.push_back(it);
    }
    std::sort(acceptance.pendingOn.begin(), acceptance.pendingOn.end());
    acceptance.accepted = acceptance.pendingOn.empty();
    return acceptance;
}

} // namespace savorywick
