#include "savorywick/documentsinforce.h"

#include "savorywick/errors.h"

#include <algorithm>

namespace savorywick {

PollDecision DocumentsInForce::onIndex(const Row &index) const
{
    const DocumentIndex current = parseIndexRow(index);
    PollDecision decision;
    decision.sequence = current.sequence;
    if (m_complete && current.sequence <= m_sequence)
        return decision;
    const std::uint64_t missed = current.sequence > m_sequence ? current.sequence - m_sequence : 0;
    const auto indexed = std::min<std::uint64_t>(missed, current.recent.size());
    decision.expected.assign(current.recent.begin(),
                             current.recent.begin() + std::ptrdiff_t(indexed));
    if (!m_complete || missed > retainedEdits) {
        decision.action = PollAction::ScanAll;
    } else if (missed > indexed) {
        decision.action = PollAction::ScanEdits;
        decision.after = editKey(m_sequence);
        decision.count = missed;
    } else {
        selectOutdatedRows(decision);
    }
    return decision;
}

PollDecision DocumentsInForce::onEdits(const PollDecision &scan, std::span<const Row> rows) const
{
    PollDecision decision;
    decision.sequence = scan.sequence;
    decision.expected = scan.expected;
    const std::string lastKey = editKey(scan.sequence);
    std::size_t found = 0;
    for (const Row &it : rows) {
        if (it.key <= scan.after || it.key > lastKey)
            continue;
        decision.expected.push_back(parseEditRow(it));
        ++found;
    }
    // If a lagging replica lacks an edit row, the document that it names is unknown: read them all.
    if (found == scan.count)
        selectOutdatedRows(decision);
    else
        decision.action = PollAction::ScanAll;
    return decision;
}

// Makes `decision` read the rows of all required revisions that are not active yet.
void DocumentsInForce::selectOutdatedRows(PollDecision &decision) const
{
    std::set<std::string> keys; // Unique, since a service may have been edited twice.
    for (const DocumentRevision &it : decision.expected) {
        if (wants(it))
            keys.insert(documentKey(it.service));
    }
    decision.action = PollAction::ReadRows;
    decision.keys.assign(keys.begin(), keys.end());
}

ApplyResult DocumentsInForce::apply(const Row &row)
{
    const std::string name = row.key.substr(std::min(documentPrefix.size(), row.key.size()));
    if (row.version == 0)
        return ApplyResult::NotNewer;
    try {
        StoredDocument stored = parseDocumentRow(row);
        if (stored.revision <= revision(name))
            return ApplyResult::NotNewer;
        ParsedDocument parsed = parseServiceDocument(stored.document);
        if (stored.service == name && parsed.document && parsed.document->service == name) {
            auto next = std::make_shared<DocumentInForce>();
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

bool DocumentsInForce::caughtUp(const PollDecision &decision)
{
    const auto outdated = [this](const DocumentRevision &it) { return wants(it); };
    const auto &required = decision.expected;
    if (decision.action == PollAction::ScanEdits)
        return false; // The edit rows, which name the changed documents, were not read yet.
    if (!m_invalidServices.empty() || std::any_of(required.begin(), required.end(), outdated))
        return false;
    m_complete = m_complete || decision.action == PollAction::ScanAll;
    if (m_complete)
        m_sequence = std::max(m_sequence, decision.sequence);
    return m_complete;
}

bool DocumentsInForce::wants(const DocumentRevision &pushed) const
{
    return pushed.revision > revision(pushed.service);
}

std::shared_ptr<const DocumentInForce> DocumentsInForce::find(std::string_view service) const
{
    const auto it = m_documents.find(service);
    return it == m_documents.end() ? nullptr : it->second;
}

std::uint64_t DocumentsInForce::revision(std::string_view service) const
{
    const auto document = find(service);
    return document ? document->stored.revision : 0;
}

std::vector<std::string> DocumentsInForce::invalidServices() const
{
    return {m_invalidServices.begin(), m_invalidServices.end()};
}

std::vector<std::string> DocumentsInForce::services() const
{
    std::vector<std::string> names;
    for (const auto &[name, document] : m_documents)
        names.push_back(name);
    return names;
}

FreezeGuard::FreezeGuard(Millis bound, Instant now)
    : m_bound(bound)
    , m_lastTick(now)
    , m_resumedAt(now) // A process that has just started has read nothing yet.
{ }

void FreezeGuard::tick(Instant now)
{
    if (now - m_lastTick > m_bound)
        m_resumedAt = now;
    m_lastTick = std::max(m_lastTick, now);
}

void FreezeGuard::confirmed(Instant readStart)
{
    if (m_resumedAt && readStart >= *m_resumedAt)
        m_resumedAt.reset();
}

bool FreezeGuard::mustReread(Instant now) const
{
    return m_resumedAt.has_value() || now - m_lastTick > m_bound;
}

} // namespace savorywick
