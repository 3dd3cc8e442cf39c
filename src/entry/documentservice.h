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
    std::string entry; // The entry's id.
    Millis peerTimeout{1'000};
    Millis freezeBound{3'000};
    // An entry that has left the list may serve by its documents for so long.
    Millis lingering{5'000};
};

// How an edit ended, and where it is in force.
struct EditReport
{
    EditResult result;
    Acceptance acceptance; // Set only if applied.
};

// Where a document is in force.
struct DocumentStatus
{
    StoredDocument stored;
    Acceptance acceptance;
    std::vector<EntryDocumentStatus> entries;
};

// The service documents in one entry: reads them, applies edits, tells the other entries.
//
// Thread-safe; poll(), edit(), status() and load() block on the store and the peers.
class DocumentService
{
public:
    // All references must outlive this object.
    DocumentService(DocumentServiceSettings settings, const Clock &clock, Table &table,
                    PeerClient &peers, const Topology &topology);

    // Reads what has changed. Returns true if and only if all edits kept so far are in force.
    bool poll();
    // Notes that the process runs; call it steadily, several times within the freeze bound.
    void tick();
    // Returns true if and only if the process was frozen and has not read the documents since.
    bool mustReread() const;

    // Takes a peer's word that a document has changed; returns the revision in force here now.
    std::uint64_t onPush(const DocumentRevision &pushed);

    // Returns the document in force, or null.
    std::shared_ptr<const ActiveDocument> find(std::string_view service) const;
    // Returns how long the present revision of a document has been in force here; 0 if none is.
    Millis inForceFor(const std::string &service) const;
    std::vector<std::string> services() const;
    std::uint64_t sequence() const;
    bool isComplete() const;
    std::vector<std::string> invalidServices() const;

    // Carries out one edit and tells every listed entry.
    EditReport edit(const EditRequest &request);
    // Returns one revision of a document as kept; 0 means the present one. A revision that does
    // not exist has number 0. Throws Error(Unavailable) if the store does not answer.
    StoredDocument load(const std::string &service, std::uint64_t revision);
    // Asks every listed entry what it has in force.
    DocumentStatus status(const std::string &service);

private:
    std::vector<EntryDocumentStatus> askEntries(const DocumentRevision &revision);
    Acceptance accept(const StoredDocument &stored,
                      const std::vector<EntryDocumentStatus> &said) const;
    void applyRow(const Row &row);

    const DocumentServiceSettings m_settings;
    const Clock &m_clock;
    Table &m_table;
    PeerClient &m_peers;
    const Topology &m_topology;

    mutable std::mutex m_mutex;
    ActiveDocuments m_documents;
    std::map<std::string, Instant> m_inForceSince; // By service.
    ProcessPauseDetector m_guard;
};

} // namespace savorywick
