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

// A document that an entry serves by.
struct DocumentInForce
{
    StoredDocument stored;
    ServiceDocument document;
};

// What an entry must read after it has seen the index row.
enum class PollAction {
    Nothing, // Every edit is in force already.
    ReadRows, // Read the rows of `keys`, apply() each, then call caughtUp().
    ScanEdits, // Scan `count` rows of `editPrefix` after `after`, and give them to onEdits().
    ScanAll, // Scan `documentPrefix`, apply() each row, then call caughtUp().
};

struct PollDecision
{
    PollAction action = PollAction::Nothing;
    std::vector<std::string> keys;
    std::uint64_t sequence = 0; // Of the index row.
    std::vector<DocumentRevision> expected; // What the rows must hold at least.
    std::string after; // The key to scan after.
    std::size_t count = 0; // The rows to scan.
};

enum class ApplyResult {
    Applied, // The row's revision is in force now.
    NotNewer, // This revision or a higher one is in force already; nothing changed.
    Invalid, // The row holds no valid document; what was in force stays in force.
};

// The documents that one entry serves by. A revision never goes down, whatever the order in which
// polls, pushes and their late replies arrive.
//
// Polls cost one read of the index row whatever the number of services; a changed document costs
// one read more, and an entry that has missed many edits one scan of their rows. Not thread-safe;
// the documents handed out are immutable and may be shared.
//
// Example:
//   PollDecision d = documents.onIndex(indexRow);
//   if (d.action == PollAction::ScanEdits)
//       d = documents.onEdits(d, table.scan(editPrefix, d.after, d.count));
//   for (const Row &it : table.read(d.keys))
//       documents.apply(it);
//   documents.caughtUp(d);
class DocumentsInForce
{
public:
    // Returns what to read, given the index row.
    PollDecision onIndex(const Row &index) const;

    // Returns what to read, given a decision to scan edits and the rows that the scan found.
    PollDecision onEdits(const PollDecision &scan, std::span<const Row> rows) const;

    // Puts the document of a row in force if and only if it is newer and valid.
    ApplyResult apply(const Row &row);

    // Notes that all rows of a decision were read after its index row and given to apply(). Returns
    // true and moves the sequence if and only if every revision that the index names is in force;
    // after false (an invalid row, or a read from a replica that lags) the next poll reads again.
    bool caughtUp(const PollDecision &decision);

    // Returns if and only if a push that names this revision calls for a read of the row.
    bool wants(const DocumentRevision &pushed) const;

    // Returns the document of a service, or null if there is none.
    std::shared_ptr<const DocumentInForce> find(std::string_view service) const;
    // Returns the revision in force, or 0 if there is none.
    std::uint64_t revision(std::string_view service) const;
    // Returns the sequence up to which every edit is in force; publish it in the entry's row.
    std::uint64_t sequence() const { return m_sequence; }
    // Returns whether all documents have been read once; before that, unknown services may exist.
    bool isComplete() const { return m_complete; }
    // Returns the services whose newest row is invalid, sorted.
    std::vector<std::string> invalidServices() const;
    // Returns the names of all services, sorted.
    std::vector<std::string> services() const;

private:
    using Document = std::shared_ptr<const DocumentInForce>;
    void readExpected(PollDecision &decision) const;

    std::map<std::string, Document, std::less<>> m_documents;
    std::set<std::string> m_invalid;
    std::uint64_t m_sequence = 0;
    bool m_complete = false;
};

// Tells whether a process may serve by the documents it has, or was frozen and must read first.
//
// A frozen process may have been taken off the list meanwhile, and edits accepted without it. Call
// tick() at a steady pace, and mustReread() before each request. Not thread-safe.
//
// Example:
//   if (guard.mustReread(now))
//       refuse(requestId);
class FreezeGuard
{
public:
    // Takes a gap between two ticks above `bound` for a freeze. `now` counts as the first tick.
    FreezeGuard(Millis bound, Instant now);

    // Notes that the process runs.
    void tick(Instant now);
    // Notes that all edits were read and put in force by a poll that began at `readStart`.
    void confirmed(Instant readStart);
    // Returns if and only if the process must read the documents before it serves.
    bool mustReread(Instant now) const;

private:
    Millis m_bound;
    Instant m_lastTick;
    std::optional<Instant> m_wokenAt; // The latest wake that no later poll has made good.
};

} // namespace savorywick
