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

// A service document as a row of the table keeps it.
struct StoredDocument
{
    std::string service;
    std::uint64_t revision = 0; // 1 for the first; 0 says that there is none.
    std::uint64_t sequence = 0; // Of the edit among the edits of all services.
    std::string document; // The text as the operator wrote it.
    std::string editedBy; // The team.
    std::int64_t editedAtMs = 0; // Wall-clock time, for people only.
    std::string editId; // Unique to the edit, by which its writer knows it again.

    bool operator==(const StoredDocument &) const = default;
};

// One entry of the index: the revision that an edit gave a service.
struct DocumentRevision
{
    std::string service;
    std::uint64_t revision = 0;

    bool operator==(const DocumentRevision &) const = default;
};

// The index row: how many edits there were, and what the last of them changed, newest first.
struct DocumentIndex
{
    std::uint64_t sequence = 0;
    std::vector<DocumentRevision> recent; // The edits `sequence`, `sequence` - 1 and so on.
};

// Edits that the index row names; an entry that missed more scans the rows of the edits.
inline constexpr std::size_t indexedEdits = 8;

// Edits whose rows are kept; an entry that missed more scans all documents.
inline constexpr std::uint64_t keptEdits = 100'000;

// The key of the index row and the prefixes of the rows of documents and of edits.
inline constexpr std::string_view documentIndexKey = "documents";
inline constexpr std::string_view documentPrefix = "document/";
inline constexpr std::string_view editPrefix = "edit/";

// Returns the key of a service's present document, such as "document/matching".
std::string documentKey(std::string_view service);
// Returns the key of one revision in the history, such as "history/matching/0000000003".
std::string historyKey(std::string_view service, std::uint64_t revision);

// Returns the key of the row that tells what one edit changed, such as "edit/000000000007".
std::string editKey(std::uint64_t sequence);

// Returns the document in a row of the table; an absent row gives revision 0.
// Throws Error(InvalidInput) if the row holds something else.
StoredDocument parseDocumentRow(const Row &row);
// Returns the index in its row; an absent row gives sequence 0. Throws Error(InvalidInput) if the
// row holds something else.
DocumentIndex parseIndexRow(const Row &row);
// Returns what the row of an edit says. Throws Error(InvalidInput) if the row holds something else.
DocumentRevision parseEditRow(const Row &row);
// Returns the value to write for a document, an edit or an index.
std::string toValue(const StoredDocument &document);
std::string toValue(const DocumentRevision &edit);
std::string toValue(const DocumentIndex &index);

// What an operator asks for. `baseRevision` is the revision that the operator has read; 0 for a
// new document. `document` must have been validated.
struct EditRequest
{
    std::string service;
    std::uint64_t baseRevision = 0;
    std::string document;
    std::string editedBy;
    std::int64_t editedAtMs = 0;
    std::string editId; // Must be unique to this edit.
};

enum class EditOutcome {
    Applied, // The edit is kept, as `stored`.
    Conflict, // Another edit came first; `present` is the revision now. This one never takes
              // effect.
    NotOwner, // The document belongs to another team, as `present` says; nothing was changed.
    NotApplied, // The store was not reached; this edit never takes effect.
    Unknown, // The store did not say; read the document to learn whether it carries the edit.
};

struct EditResult
{
    EditOutcome outcome = EditOutcome::Unknown;
    StoredDocument stored; // Applied: what was written.
    StoredDocument present; // Conflict: what stands there.
};

// Carries one edit to its end over a store that loses replies, by reading and writing in turn.
//
// Pure: the caller reads the rows and commits the transactions that it hands out. A lost reply is
// settled by the history row of the wanted revision: it carries the id of the edit that made it,
// even if later edits followed. Not thread-safe.
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

    // Takes the rows of keys(), read at one moment. Returns the transaction to commit next, or
    // nothing if the edit has ended.
    std::optional<Transaction> onRows(std::span<const Row> rows);

    // Takes how the commit of the last transaction ended.
    void onCommit(CommitOutcome outcome);

    // Takes that the rows could not be read, and ends the edit.
    void onReadFailed();

    // Returns how the edit ended, or nothing if it goes on with keys() and onRows().
    const std::optional<EditResult> &result() const { return m_result; }

private:
    void finish(EditOutcome outcome, StoredDocument stored, StoredDocument present);
    Transaction transaction(const Row &document, const Row &index);

    EditRequest m_request;
    std::vector<std::string> m_keys;
    StoredDocument m_wanted; // As the last transaction writes it.
    bool m_mayHaveLanded = false; // A reply was lost and nothing has settled it yet.
    int m_rounds = 0;
    std::optional<EditResult> m_result;
};

// What an entry says of the documents that it has in force.
struct EntryDocuments
{
    std::string entry;
    std::uint64_t sequence = 0; // Every edit up to this one is in force, as its row publishes.
    std::uint64_t revision =
        0; // Of the service in question, as its reply to a push says; 0 if none.
    Millis age{0}; // How long it has had that revision in force.
};

// Where an edit stands. It is accepted only once every listed entry has it in force.
struct Acceptance
{
    bool accepted = false;
    std::vector<std::string> pendingOn; // The listed entries that have not said so, sorted.
};

// Returns where the edit `stored` stands, given the entries that are listed and what they said.
Acceptance acceptanceOf(const StoredDocument &stored, std::span<const std::string> listed,
                        std::span<const EntryDocuments> said);

} // namespace savorywick
