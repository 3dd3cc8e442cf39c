#pragma once

#include "entry/topology.h"
#include "peer/peerclient.h"
#include "savorywick/activedocuments.h"
#include "savorywick/clock.h"
#include "savorywick/documentstore.h"
#include "savorywick/platform.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

struct DocumentServiceSettings
{
    std::string entry; // The id of this entry.
    Millis peerTimeout{1'000}; // For each call to another entry.
    // A longer gap between two heartbeats means that the process was frozen.
    Millis freezeBound{3'000};
    // How long an entry may still serve with its documents after it has left the list of entries.
    Millis removedEntryGrace{5'000};
};

// The result of an edit, and which entries have it in force.
struct EditReport
{
    EditResult result;
    Acceptance acceptance; // Set only if the edit was applied.
};

// The stored revision of a document and what each listed entry has in force.
struct DocumentStatus
{
    StoredDocument stored;
    Acceptance acceptance;
    std::vector<EntryDocumentStatus> entries;
};

// Keeps the service documents of one entry up to date, applies edits to them and notifies the
// other entries of each edit.
//
// Thread-safe; poll(), onPushNotification(), edit(), status() and load() block on the store, and
// edit() and status() also on the peers.
class DocumentService
{
public:
    // All references must outlive this object.
    DocumentService(DocumentServiceSettings settings, const Clock &clock, Table &table,
                    PeerClient &peers, const Topology &topology);

    // Reads the documents that have changed in the store. Returns true if and only if every edit
    // that the store held at the start of the poll is in force here.
    bool poll();
    // Records that the process is running. Call it at regular intervals, several times within
    // `freezeBound`: a longer gap is taken for a freeze.
    void recordHeartbeat();
    // Returns true if and only if the process was frozen and has not read the documents since;
    // edits may have been accepted without it meanwhile, so it must not serve requests.
    bool mustReread() const;

    // Handles a peer's notification that a document has changed: reads the document if the revision
    // is newer than the one in force. Returns the revision in force here afterwards, or 0 if none.
    std::uint64_t onPushNotification(const DocumentRevision &pushed);

    // Returns the document in force for `service`, or null if there is none.
    std::shared_ptr<const ActiveDocument> find(std::string_view service) const;
    // Returns how long the current revision of a document has been in force here; 0 if none is.
    Millis timeInForce(const std::string &service) const;
    // Returns the names of all services with a document in force, sorted.
    std::vector<std::string> services() const;
    // Returns the sequence number up to which every edit is in force here.
    std::uint64_t sequence() const;
    // Returns true once all documents have been read; until then unknown services may exist.
    bool isComplete() const;
    // Returns the services whose newest stored document is invalid, sorted.
    std::vector<std::string> invalidServices() const;

    // Commits one edit to the store and notifies every listed entry. Returns how the edit ended; a
    // store that does not answer is reported as an outcome, not thrown.
    EditReport edit(const EditRequest &request);
    // Returns one stored revision of a document; `revision` 0 selects the current one. The result
    // has revision 0 if there is none such. Throws Error(Unavailable) if the store does not answer.
    StoredDocument load(const std::string &service, std::uint64_t revision);
    // Returns the stored revision and what every listed entry has in force; an entry that does not
    // answer counts as having none. Throws Error(Unavailable) if the store does not answer.
    DocumentStatus status(const std::string &service);

private:
    std::vector<EntryDocumentStatus> queryEntries(const DocumentRevision &revision);
    Acceptance acceptanceOfRevision(const StoredDocument &stored,
                                    const std::vector<EntryDocumentStatus> &reported) const;
    void applyRow(const Row &row);

    const DocumentServiceSettings m_settings;
    const Clock &m_clock;
    Table &m_table;
    PeerClient &m_peers;
    const Topology &m_topology;

    mutable std::mutex m_mutex;
    ActiveDocuments m_documents;
    std::map<std::string, Instant> m_inForceSince; // Keyed by service.
    ProcessPauseDetector m_freezeGuard;
};

} // namespace savorywick
