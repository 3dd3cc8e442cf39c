#pragma once

#include "savorywick/clock.h"
#include "savorywick/platform.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

// One revision of a service document, as stored in a row of the table.
struct StoredDocument
{
    std::string service;
    std::uint64_t revision = 0; // The first revision is 1; 0 if there is no document.
    std::uint64_t sequence = 0; // The number of the edit among the edits of all services.
    std::string document; // The text as the operator wrote it.
    std::string editedBy; // The team that made the edit.
    std::int64_t editedAtMs = 0; // Milliseconds since the Unix epoch; for display only.
    std::string editId; // Unique to the edit; identifies it after a lost reply.

    bool operator==(const StoredDocument &) const = default;
};

// Names the document revision that one edit created.
struct DocumentRevision
{
    std::string service;
    std::uint64_t revision = 0;

    bool operator==(const DocumentRevision &) const = default;
};

// The index row, which tells a poll whether anything has changed. Every edit updates it.
struct DocumentIndex
{
    std::uint64_t sequence = 0; // The number of the latest edit; 0 if there was none.
    std::vector<DocumentRevision> recent; // The latest edits, newest first, from `sequence` down.
};

// The number of edits that the index row names; an entry that missed more scans the edit rows.
inline constexpr std::size_t maxIndexedEdits = 8;

// The number of edits whose rows are retained; an entry that missed more scans all documents.
inline constexpr std::uint64_t retainedEdits = 100'000;

// The key of the index row, and the key prefixes of the document rows and the edit rows.
inline constexpr std::string_view documentIndexKey = "documents";
inline constexpr std::string_view documentKeyPrefix = "document/";
inline constexpr std::string_view editKeyPrefix = "edit/";

// Returns the key of a service's current document, such as "document/matching".
std::string documentKey(std::string_view service);
// Returns the key of one revision in a service's history, such as "history/matching/0000000003".
std::string historyKey(std::string_view service, std::uint64_t revision);

// Returns the key of the row that names what edit `sequence` changed, such as
// "edit/000000000007".
std::string editKey(std::uint64_t sequence);

// Returns the document in a row of the table, or one with revision 0 if the row is absent.
// Throws Error(InvalidInput) if the row does not hold a document.
StoredDocument parseDocumentRow(const Row &row);
// Returns the index in its row, or one with sequence 0 if the row is absent. Throws
// Error(InvalidInput) if the row does not hold an index.
DocumentIndex parseIndexRow(const Row &row);
// Returns the revision that an edit row names. Throws Error(InvalidInput) if the row does not hold
// an edit.
DocumentRevision parseEditRow(const Row &row);
// Returns the JSON text to store as the value of the row.
std::string toValue(const StoredDocument &document);
std::string toValue(const DocumentRevision &edit);
std::string toValue(const DocumentIndex &index);

// An operator's request to create or replace a service document.
struct EditRequest
{
    std::string service;
    std::uint64_t baseRevision = 0; // The revision that the operator has read; 0 if there is none.
    std::string document; // The new text, which must have been validated.
    std::string editedBy; // The operator's team.
    std::int64_t editedAtMs = 0; // Milliseconds since the Unix epoch.
    std::string editId; // Must be unique to this edit.
};

enum class EditOutcome {
    Applied, // The edit is committed, as `stored`.
    Conflict, // The document is not at the base revision; `current` is its revision now. This
              // edit never takes effect.
    NotOwner, // The document belongs to another team, named in `current`; nothing was changed.
    NotApplied, // The store is unreachable or all attempts conflicted; it never takes effect.
    Unknown, // Whether the edit was committed is unknown; read the document to find out.
};

// How an edit ended.
struct EditResult
{
    EditOutcome outcome = EditOutcome::Unknown;
    StoredDocument stored; // Applied: the committed revision.
    StoredDocument current; // Conflict and NotOwner: the current revision.
};

// Applies one edit by optimistic concurrency control: reads the rows, commits a transaction that is
// conditional on their versions, and retries on a conflict. Use it to create or replace a service
// document on a store whose replies may be lost.
//
// Does no I/O: the caller reads the rows and commits the transactions that it returns. After a lost
// reply the history row of the new revision tells whether the edit was committed, because it holds
// the id of the edit that created it, even if later edits followed. Not thread-safe.
//
// Example:
//   DocumentEdit edit(request);
//   while (!edit.result()) {
//       if (const auto transaction = edit.onRows(table.read(edit.keys())))
//           edit.onCommit(table.commit(*transaction).outcome);
//   }
class DocumentEdit
{
public:
    explicit DocumentEdit(EditRequest request);

    // Returns the keys to read before each onRows().
    const std::vector<std::string> &keys() const { return m_keys; }

    // Processes the rows of keys(), in that order and read as one snapshot. Returns the transaction
    // to commit next, or nothing if the edit has ended. Throws Error(InvalidInput) if a row is
    // malformed.
    std::optional<Transaction> onRows(std::span<const Row> rows);

    // Processes the outcome of committing the last transaction that onRows() returned.
    void onCommit(CommitOutcome outcome);

    // Ends the edit because the rows could not be read.
    void onReadFailed();

    // Returns how the edit ended, or nothing while it must continue with keys() and onRows().
    const std::optional<EditResult> &result() const { return m_result; }

private:
    void finish(EditOutcome outcome, StoredDocument stored, StoredDocument current);
    Transaction makeTransaction(const Row &document, const Row &index);

    EditRequest m_request;
    std::vector<std::string> m_keys;
    StoredDocument m_proposed; // The revision that the last transaction writes.
    bool m_mayBeCommitted = false; // The outcome of an earlier commit is unknown.
    int m_attempts = 0;
    std::optional<EditResult> m_result;
};

// What an entry reports about its active documents.
struct EntryDocumentStatus
{
    std::string entry;
    std::uint64_t sequence = 0; // Every edit up to this one is active; read from the entry's row.
    std::uint64_t revision = 0; // Active for the service, from the reply to a push; 0 if none.
    Millis age{0}; // How long that revision has been active.
};

// Progress of an edit's rollout. The edit is accepted once it is active on every listed entry.
struct Acceptance
{
    bool accepted = false;
    std::vector<std::string> pendingOn; // The listed entries that have not reported it, sorted.
};

// Returns the progress of the edit that created `stored`. `listed` holds the ids of the entries in
// the entry list; `reports` from other entries are ignored.
Acceptance acceptanceOf(const StoredDocument &stored, std::span<const std::string> listed,
                        std::span<const EntryDocumentStatus> reports);

} // namespace savorywick
