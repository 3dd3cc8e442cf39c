#include "savorywick/activedocuments.h"

#include "savorywick/errors.h"

#include <algorithm>

namespace savorywick {

PollDecision ActiveDocuments::onIndexRow(const Row &index) const
{
    const DocumentIndex current = parseIndexRow(index);
    PollDecision decision;
    decision.sequence = current.sequence;
    if (m_complete && current.sequence <= m_sequence)
        return decision;
    const std::uint64_t missed = current.sequence > m_sequence ? current.sequence - m_sequence : 0;
    const auto indexed = std::min<std::uint64_t>(missed, current.recent.size());
    decision.requiredRevisions.assign(current.recent.begin(),
                                      current.recent.begin() + std::ptrdiff_t(indexed));
    if (!m_complete || missed > retainedEdits) {
        decision.action = PollAction::ScanAll;
    } else if (missed > indexed) {
        decision.action = PollAction::ScanEdits;
        decision.scanAfter = editKey(m_sequence);
        decision.scanCount = missed;
    } else {
        selectOutdatedRows(decision);
    }
    return decision;
}

PollDecision ActiveDocuments::onEditRows(const PollDecision &scan, std::span<const Row> rows) const
{
    PollDecision decision;
    decision.sequence = scan.sequence;
    decision.requiredRevisions = scan.requiredRevisions;
    const std::string lastKey = editKey(scan.sequence);
    std::size_t found = 0;
    for (const Row &it : rows) {
        if (it.key <= scan.scanAfter || it.key > lastKey)
            continue;
        decision.requiredRevisions.push_back(parseEditRow(it));
        ++found;
    }
    // If a lagging replica lacks an edit row, the document that it names is unknown: read them all.
    if (found == scan.scanCount)
        selectOutdatedRows(decision);
    else
        decision.action = PollAction::ScanAll;
    return decision;
}

// Makes `decision` read the rows of all required revisions that are not active yet.
void ActiveDocuments::selectOutdatedRows(PollDecision &decision) const
{
    std::set<std::string> keys; // Unique, since a service may have been edited twice.
    for (const DocumentRevision &it : decision.requiredRevisions) {
        if (needsRead(it))
            keys.insert(documentKey(it.service));
    }
    decision.action = PollAction::ReadRows;
    decision.keys.assign(keys.begin(), keys.end());
}

ApplyResult ActiveDocuments::apply(const Row &row)
{
    const std::string name = row.key.substr(std::min(documentKeyPrefix.size(), row.key.size()));
    if (row.version == 0)
        return ApplyResult::NotNewer;
    try {
        StoredDocument stored = parseDocumentRow(row);
        if (stored.revision <= revision(name))
            return ApplyResult::NotNewer;
        ParsedDocument parsed = parseServiceDocument(stored.document);
        if (stored.service == name && parsed.document && parsed.document->service == name) {
            auto next = std::make_shared<ActiveDocument>();
            next->stored = std::move(stored);
            next->document = std::move(*parsed.document);
            m_documents[name] = std::move(next);
            m_invalidServices.erase(name);
            return ApplyResult::Applied;
        }
    } catch (const Error &) { // Reported as Invalid below.
    }
    m_invalidServices.insert(name);
    return ApplyResult::Invalid;
}

bool ActiveDocuments::completePoll(const PollDecision &decision)
{
    const auto outdated = [this](const DocumentRevision &it) { return needsRead(it); };
    const auto &required = decision.requiredRevisions;
    if (decision.action == PollAction::ScanEdits)
        return false; // The edit rows, which name the changed documents, were not read yet.
    if (!m_invalidServices.empty() || std::any_of(required.begin(), required.end(), outdated))
        return false;
    m_complete = m_complete || decision.action == PollAction::ScanAll;
    if (m_complete)
        m_sequence = std::max(m_sequence, decision.sequence);
    return m_complete;
}

bool ActiveDocuments::needsRead(const DocumentRevision &pushed) const
{
    return pushed.revision > revision(pushed.service);
}

std::shared_ptr<const ActiveDocument> ActiveDocuments::find(std::string_view service) const
{
    const auto it = m_documents.find(service);
    return it == m_documents.end() ? nullptr : it->second;
}

std::uint64_t ActiveDocuments::revision(std::string_view service) const
{
    const auto document = find(service);
    return document ? document->stored.revision : 0;
}

std::vector<std::string> ActiveDocuments::invalidServices() const
{
    return {m_invalidServices.begin(), m_invalidServices.end()};
}

std::vector<std::string> ActiveDocuments::services() const
{
    std::vector<std::string> names;
    for (const auto &[name, document] : m_documents)
        names.push_back(name);
    return names;
}

ProcessPauseDetector::ProcessPauseDetector(Millis bound, Instant now)
    : m_bound(bound)
    , m_lastTick(now)
    , m_resumedAt(now) // A process that has just started has read nothing yet.
{ }

void ProcessPauseDetector::tick(Instant now)
{
    if (now - m_lastTick > m_bound)
        m_resumedAt = now;
    m_lastTick = std::max(m_lastTick, now);
}

void ProcessPauseDetector::recordRefresh(Instant readStart)
{
    if (m_resumedAt && readStart >= *m_resumedAt)
        m_resumedAt.reset();
}

bool ProcessPauseDetector::needsRefresh(Instant now) const
{
    return m_resumedAt.has_value() || now - m_lastTick > m_bound;
}

} // namespace savorywick
