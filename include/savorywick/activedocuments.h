#pragma once

#include "savorywick/clock.h"
#include "savorywick/documentstore.h"
#include "savorywick/servicedocument.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

// One active service document: the stored row and its parsed text, always of the same revision.
struct ActiveDocument
{
    StoredDocument stored;
    ServiceDocument document;
};

// What an entry must read next to catch up with the table.
enum class PollAction {
    Nothing, // Every edit is active already.
    ReadRows, // Read the rows of `keys`, apply() each, then call completePoll().
    ScanEdits, // Scan `scanCount` edit rows after `scanAfter`, then call onEditRows().
    ScanAll, // Scan all document rows, apply() each, then call completePoll().
};

// One step of a poll: the rows to read, and what they must contain for the poll to succeed.
struct PollDecision
{
    PollAction action = PollAction::Nothing;
    std::vector<std::string> keys; // ReadRows: the keys of the rows to read.
    std::uint64_t sequence = 0; // The sequence number in the index row.
    std::vector<DocumentRevision>
        requiredRevisions; // The lowest revisions that must be active afterwards.
    std::string scanAfter; // ScanEdits: the exclusive start key of the scan.
    std::size_t scanCount = 0; // ScanEdits: the number of rows to scan.
};

enum class ApplyResult {
    Applied, // The row's revision is active now.
    NotNewer, // This revision or a higher one is active already; nothing changed.
    Invalid, // The row holds no valid document; the active revision is unchanged.
};

// The service documents that are active on one entry, that is, those that it currently serves with.
// Use it to keep them up to date by polls of the table and by pushes from peers. The reply to a
// push gives the active revision as `inForce`. The active revision of a service never decreases, in
// whatever order polls, pushes and delayed replies arrive.
//
// A poll without changes reads only the index row, whatever the number of services. Each changed
// document costs one more read, and an entry that missed many edits scans the edit rows once. Not
// thread-safe; the documents that find() returns are immutable and may be shared between threads.
//
// Example:
//   PollDecision d = documents.onIndexRow(indexRow);
//   if (d.action == PollAction::ScanEdits)
//       d = documents.onEditRows(d, table.scan(editKeyPrefix, d.scanAfter, d.scanCount));
//   constexpr std::size_t noLimit = std::numeric_limits<std::size_t>::max();
//   const auto rows = d.action == PollAction::ScanAll ? table.scan(documentKeyPrefix, {}, noLimit)
//                                                     : table.read(d.keys);
//   for (const Row &it : rows)
//       documents.apply(it);
//   documents.completePoll(d);
class ActiveDocuments
{
public:
    // Returns what to read after the index row `index`. Throws Error(InvalidInput) if the row is
    // malformed.
    PollDecision onIndexRow(const Row &index) const;

    // Returns what to read after `scan`, a ScanEdits decision, found `rows`. Throws
    // Error(InvalidInput) if one of the rows is malformed.
    PollDecision onEditRows(const PollDecision &scan, std::span<const Row> rows) const;

    // Activates the document in `row` if and only if it is valid and newer than the active one.
    ApplyResult apply(const Row &row);

    // Ends a poll. All rows of `decision` must have been read after its index row and passed to
    // apply(). Returns true and advances sequence() if and only if every revision that the index
    // names is active. Returns false after an invalid row or a read from a lagging replica; the
    // next poll then reads again.
    bool completePoll(const PollDecision &decision);

    // Returns true if and only if `pushed`, a revision announced by a peer, is newer than the
    // active one, so that its row must be read.
    bool needsRead(const DocumentRevision &pushed) const;

    // Returns the active document of a service, or null if there is none.
    std::shared_ptr<const ActiveDocument> find(std::string_view service) const;
    // Returns the active revision of a service, or 0 if there is none.
    std::uint64_t revision(std::string_view service) const;
    // Returns the sequence number up to which every edit is active. The entry publishes it in its
    // row of the entry list.
    std::uint64_t sequence() const { return m_sequence; }
    // Returns true if and only if all documents have been read at least once. Until then a service
    // that find() does not know may exist.
    bool isComplete() const { return m_complete; }
    // Returns the services whose newest row is invalid, sorted.
    std::vector<std::string> invalidServices() const;
    // Returns the names of all services with an active document, sorted.
    std::vector<std::string> services() const;

private:
    using DocumentPointer = std::shared_ptr<const ActiveDocument>;
    void selectOutdatedRows(PollDecision &decision) const;

    std::map<std::string, DocumentPointer, std::less<>> m_documents;
    std::set<std::string> m_invalidServices;
    std::uint64_t m_sequence = 0;
    bool m_complete = false;
};

// Detects that this process was paused, so that it does not serve with outdated documents.
//
// While a process is paused, for example by SIGSTOP or a suspended virtual machine, the other
// entries may drop it from the entry list and accept edits without it. After a pause it must
// therefore read the documents again before it serves. Call tick() at a steady interval well below
// the bound, and needsRefresh() before each request. Not thread-safe.
//
// Example:
//   if (detector.needsRefresh(now))
//       reject(requestId);
class ProcessPauseDetector
{
public:
    // Treats a gap between two ticks longer than `bound` as a pause. `now` counts as the first
    // tick. needsRefresh() is true at first, since a new process has read nothing.
    ProcessPauseDetector(Millis bound, Instant now);

    // Records that the process is running at `now`.
    void tick(Instant now);
    // Records that a poll that began at `readStart` has read and activated every edit. A poll that
    // began before the pause ended is ignored, since its reads may be outdated.
    void recordRefresh(Instant readStart);
    // Returns true if and only if the process must read the documents before it serves.
    bool needsRefresh(Instant now) const;

private:
    Millis m_bound;
    Instant m_lastTick;
    std::optional<Instant> m_resumedAt; // The end of the latest pause, until a later poll succeeds.
};

} // namespace savorywick
