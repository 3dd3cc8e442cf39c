#include "entry/documentservice.h"

#include "core/log.h"
#include "savorywick/errors.h"
#include "store/json.h"

#include <algorithm>
#include <limits>
#include <thread>

namespace savorywick {

namespace {

constexpr std::size_t rowsPerPage = 500;

std::string pushParameters(const DocumentRevision &revision)
{
    Json::Value parameters;
    parameters["service"] = revision.service;
    parameters["revision"] = Json::UInt64(revision.revision);
    return store::toJsonText(parameters);
}

// Returns at most `limit` rows whose keys begin with `prefix` and follow `after`, reading them page
// by page.
std::vector<Row> scanRows(Table &table, std::string_view prefix, std::string after,
                          std::size_t limit)
{
    std::vector<Row> rows;
    while (rows.size() < limit) {
        const std::size_t wanted = std::min(rowsPerPage, limit - rows.size());
        const std::vector<Row> page = table.scan(prefix, after, wanted);
        rows.insert(rows.end(), page.begin(), page.end());
        if (page.size() < wanted)
            break;
        after = page.back().key;
    }
    return rows;
}

} // namespace

DocumentService::DocumentService(DocumentServiceSettings settings, const Clock &clock, Table &table,
                                 PeerClient &peers, const Topology &topology)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_table(table)
    , m_peers(peers)
    , m_topology(topology)
    , m_freezeGuard(m_settings.freezeBound, clock.now())
{ }

bool DocumentService::poll()
{
    const Instant start = m_clock.now();
    try {
        const std::vector<std::string> indexKey{std::string(documentIndexKey)};
        const Row index = m_table.read(indexKey).front();
        PollDecision decision;
        {
            const std::lock_guard lock(m_mutex);
            decision = m_documents.onIndexRow(index);
        }
        if (decision.action == PollAction::ScanEdits) {
            const auto edits =
                scanRows(m_table, editKeyPrefix, decision.scanAfter, decision.scanCount);
            const std::lock_guard lock(m_mutex);
            decision = m_documents.onEditRows(decision, edits);
        }
        std::vector<Row> rows;
        if (decision.action == PollAction::ReadRows)
            rows = m_table.read(decision.keys);
        if (decision.action == PollAction::ScanAll)
            rows =
                scanRows(m_table, documentKeyPrefix, {}, std::numeric_limits<std::size_t>::max());
        for (const Row &it : rows)
            applyRow(it);
        const std::lock_guard lock(m_mutex);
        const bool caughtUp =
            decision.action == PollAction::Nothing || m_documents.completePoll(decision);
        if (caughtUp)
            m_freezeGuard.recordRefresh(start);
        return caughtUp;
    } catch (const Error &error) {
        logDebug("document-poll-failed", {{"why", error.what()}});
        return false;
    }
}

void DocumentService::recordHeartbeat()
{
    const std::lock_guard lock(m_mutex);
    m_freezeGuard.tick(m_clock.now());
}

bool DocumentService::mustReread() const
{
    const std::lock_guard lock(m_mutex);
    return m_freezeGuard.needsRefresh(m_clock.now());
}

std::uint64_t DocumentService::onPushNotification(const DocumentRevision &pushed)
{
    bool needsRead = false;
    {
        const std::lock_guard lock(m_mutex);
        needsRead = m_documents.needsRead(pushed);
    }
    if (needsRead) {
        try {
            const std::vector<std::string> keys{documentKey(pushed.service)};
            applyRow(m_table.read(keys).front());
        } catch (const Error &error) {
            logWarning("pushed-document-not-read",
                       {{"service", pushed.service}, {"why", error.what()}});
        }
    }
    const std::lock_guard lock(m_mutex);
    return m_documents.revision(pushed.service);
}

std::shared_ptr<const ActiveDocument> DocumentService::find(std::string_view service) const
{
    const std::lock_guard lock(m_mutex);
    return m_documents.find(service);
}

Millis DocumentService::timeInForce(const std::string &service) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_inForceSince.find(service);
    return it == m_inForceSince.end() ? Millis{0} : m_clock.now() - it->second;
}

std::vector<std::string> DocumentService::services() const
{
    const std::lock_guard lock(m_mutex);
    return m_documents.services();
}

std::uint64_t DocumentService::sequence() const
{
    const std::lock_guard lock(m_mutex);
    return m_documents.sequence();
}

bool DocumentService::isComplete() const
{
    const std::lock_guard lock(m_mutex);
    return m_documents.isComplete();
}

std::vector<std::string> DocumentService::invalidServices() const
{
    const std::lock_guard lock(m_mutex);
    return m_documents.invalidServices();
}

EditReport DocumentService::edit(const EditRequest &request)
{
    DocumentEdit edit(request);
    while (!edit.result()) {
        try {
            if (const auto transaction = edit.onRows(m_table.read(edit.keys())))
                edit.onCommit(m_table.commit(*transaction).outcome);
        } catch (const Error &) {
            edit.onReadFailed();
        }
    }
    EditReport report{*edit.result(), {}};
    if (report.result.outcome != EditOutcome::Applied)
        return report;
    const StoredDocument &stored = report.result.stored;
    onPushNotification({stored.service, stored.revision});
    report.acceptance =
        acceptanceOfRevision(stored, queryEntries({stored.service, stored.revision}));
    logInfo("document-edited",
            {{"service", stored.service},
             {"revision", stored.revision},
             {"accepted", report.acceptance.accepted}});
    return report;
}

StoredDocument DocumentService::load(const std::string &service, std::uint64_t revision)
{
    const std::vector<std::string> keys{revision == 0 ? documentKey(service)
                                                      : historyKey(service, revision)};
    return parseDocumentRow(m_table.read(keys).front());
}

DocumentStatus DocumentService::status(const std::string &service)
{
    DocumentStatus status;
    status.stored = load(service, 0);
    status.entries = queryEntries({service, status.stored.revision});
    status.acceptance = acceptanceOfRevision(status.stored, status.entries);
    return status;
}

std::vector<EntryDocumentStatus> DocumentService::queryEntries(const DocumentRevision &revision)
{
    const auto entries = m_topology.entries();
    std::vector<EntryDocumentStatus> reported(entries->size());
    const std::string parameters = pushParameters(revision);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < entries->size(); ++i) {
        const PeerEntry &peer = (*entries)[i];
        reported[i].entry = peer.name;
        reported[i].sequence = peer.documentIndexVersion;
        if (peer.name == m_settings.entry) {
            reported[i].sequence = sequence();
            reported[i].revision = onPushNotification(revision);
            reported[i].age = timeInForce(revision.service);
            continue;
        }
        threads.emplace_back([&, i, address = peer.peerAddress] {
            const PeerReply reply =
                m_peers.call(address, "documentChanged", parameters, m_settings.peerTimeout);
            if (reply.outcome != PeerOutcome::Answered)
                return;
            const Json::Value result = store::parseJsonText(reply.result);
            reported[i].revision = result["inForce"].asUInt64();
            reported[i].age = Millis{result["inForceForMs"].asInt64()};
        });
    }
    for (std::thread &it : threads)
        it.join();
    return reported;
}

Acceptance
DocumentService::acceptanceOfRevision(const StoredDocument &stored,
                                      const std::vector<EntryDocumentStatus> &reported) const
{
    const auto listed = m_topology.entriesListedWithin(m_settings.removedEntryGrace, m_clock.now());
    // The list has been read for too short a time to tell which entries left it recently, so the
    // edit counts as pending, on this entry because no other one is known to lack it.
    if (!listed)
        return {false, {m_settings.entry}};
    return acceptanceOf(stored, *listed, reported);
}

void DocumentService::applyRow(const Row &row)
{
    const std::lock_guard lock(m_mutex);
    const ApplyResult result = m_documents.apply(row);
    if (result == ApplyResult::Invalid)
        logError("document-invalid", {{"row", row.key}});
    if (result == ApplyResult::Applied)
        m_inForceSince[row.key.substr(documentKeyPrefix.size())] = m_clock.now();
}

} // namespace savorywick
