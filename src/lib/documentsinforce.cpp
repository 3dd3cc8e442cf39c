#include "savorywick/documentsinforce.h"

#include "savorywick/errors.h"

#include <algorithm>

namespace savorywick {

PollDecision DocumentsInForce::onIndex(const Row &index) const
{
    const DocumentIndex now = parseIndexRow(index);
    PollDecision decision;
    decision.sequence = now.sequence;
    if (m_complete && now.sequence <= m_sequence)
        return decision;
    const std::uint64_t missed = now.sequence > m_sequence ? now.sequence - m_sequence : 0;
    const auto named = std::min<std::uint64_t>(missed, now.recent.size());
    decision.expected.assign(now.recent.begin(), now.recent.begin() + std::ptrdiff_t(named));
    if (!m_complete || missed > keptEdits) {
        decision.action = PollAction::ScanAll;
    } else if (missed > named) {
        decision.action = PollAction::ScanEdits;
        decision.after = editKey(m_sequence);
        decision.count = missed;
    } else {
        readExpected(decision);
    }
    return decision;
}

PollDecision DocumentsInForce::onEdits(const PollDecision &scan, std::span<const Row> rows) const
{
    PollDecision decision;
    decision.sequence = scan.sequence;
    decision.expected = scan.expected;
    const std::string last = editKey(scan.sequence);
    std::size_t found = 0;
    for (const Row &it : rows) {
        if (it.key <= scan.after || it.key > last)
            continue;
        decision.expected.push_back(parseEditRow(it));
        ++found;
    }
    // A row that is missing (a replica that lags) hides which document it is about.
    if (found == scan.count)
        readExpected(decision);
    else
        decision.action = PollAction::ScanAll;
    return decision;
}

// Sets the decision to read the rows of all expected revisions that are not in force.
void DocumentsInForce::readExpected(PollDecision &decision) const
{
    std::set<std::string> keys; // A service that was edited twice is read once.
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
            m_invalid.erase(name);
            return ApplyResult::Applied;
        }
    } catch (const Error &) { // Told by the result.
    }
    m_invalid.insert(name);
    return ApplyResult::Invalid;
}

bool DocumentsInForce::caughtUp(const PollDecision &decision)
{
    const auto missing = [this](const DocumentRevision &it) { return wants(it); };
    const auto &expected = decision.expected;
    if (decision.action == PollAction::ScanEdits)
        return false; // It does not know yet which documents it is about.
    if (!m_invalid.empty() || std::any_of(expected.begin(), expected.end(), missing))
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
    return {m_invalid.begin(), m_invalid.end()};
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
    , m_wokenAt(now) // A process that has just started has read nothing yet.
{ }

void FreezeGuard::tick(Instant now)
{
    if (now - m_lastTick > m_bound)
        m_wokenAt = now;
    m_lastTick = std::max(m_lastTick, now);
}

void FreezeGuard::confirmed(Instant readStart)
{
    if (m_wokenAt && readStart >= *m_wokenAt)
        m_wokenAt.reset();
}

bool FreezeGuard::mustReread(Instant now) const
{
    return m_wokenAt.has_value() || now - m_lastTick > m_bound;
}

} // namespace savorywick
