#include "savorywick/activedocuments.h"
#include "savorywick/documentstore.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>
#include <utility>

using namespace savorywick;

namespace {

std::string documentText(const std::string &service, int target)
{
    return R"({"service": ")" + service + R"(", "team": "t", "upstreamService": "u",)"
        + R"("requests": {"q": {"deadlineLimitMs": 600000, "repeatable": true}},)"
        + R"("latencyTargetMs": )" + std::to_string(target) + "}";
}

// The fault that the fake table injects into one commit.
enum class CommitFault {
    None, // The commit takes effect and is answered.
    ReplyLost, // The commit takes effect at once, but its reply is lost.
    RequestLost, // The commit never arrives, and the caller gets no reply.
    Delayed, // The commit arrives after later ones, and the caller gets no reply.
    Rejected, // The commit is not applied, and the caller is told so.
};

class FakeTable
{
public:
    CommitOutcome commit(const Transaction &transaction, CommitFault fault)
    {
        if (fault == CommitFault::Rejected)
            return CommitOutcome::Unavailable;
        if (fault == CommitFault::Delayed)
            m_delayed.push_back(transaction);
        if (fault == CommitFault::Delayed || fault == CommitFault::RequestLost)
            return CommitOutcome::Unknown;
        const bool applied = apply(transaction);
        if (fault == CommitFault::ReplyLost)
            return CommitOutcome::Unknown;
        return applied ? CommitOutcome::Committed : CommitOutcome::Conflict;
    }

    // Applies every delayed transaction now.
    void deliverDelayed()
    {
        for (const Transaction &it : std::exchange(m_delayed, {}))
            apply(it);
    }

    Row row(const std::string &key) const
    {
        const auto it = m_rows.find(key);
        return it == m_rows.end() ? Row{key, "", 0} : it->second;
    }

    std::vector<Row> read(const std::vector<std::string> &keys) const
    {
        std::vector<Row> rows;
        rows.reserve(keys.size());
        for (const std::string &it : keys)
            rows.push_back(row(it));
        return rows;
    }

    std::vector<Row> documents() const { return scan(documentKeyPrefix, "", m_rows.size()); }

    std::vector<Row> scan(std::string_view prefix, const std::string &after,
                          std::size_t limit) const
    {
        std::vector<Row> rows;
        for (const auto &[key, row] : m_rows) {
            if (key.starts_with(prefix) && key > after && rows.size() < limit)
                rows.push_back(row);
        }
        return rows;
    }

    // Returns the rows that an entry must apply for `decision`. Replaces a decision to scan edits
    // by the one that follows from the scan.
    std::vector<Row> rowsFor(const ActiveDocuments &documents, PollDecision &decision) const
    {
        if (decision.action == PollAction::ScanEdits)
            decision = documents.onEditRows(
                decision, scan(editKeyPrefix, decision.scanAfter, decision.scanCount));
        return decision.action == PollAction::ScanAll ? this->documents() : read(decision.keys);
    }

private:
    bool apply(const Transaction &transaction)
    {
        for (const Condition &it : transaction.conditions) {
            if (row(it.key).version != it.version)
                return false;
        }
        ++m_version;
        for (const Write &it : transaction.writes) {
            m_rows.erase(it.key);
            if (it.value)
                m_rows[it.key] = {it.key, *it.value, m_version};
        }
        return true;
    }

    std::map<std::string, Row> m_rows;
    std::vector<Transaction> m_delayed;
    std::uint64_t m_version = 0;
};

// Runs an edit until it ends. Injects `faults` into its first commits, one each.
EditResult runEdit(FakeTable &table, DocumentEdit &edit, std::vector<CommitFault> faults = {})
{
    std::size_t n = 0;
    while (!edit.result()) {
        const auto transaction = edit.onRows(table.read(edit.keys()));
        if (!transaction)
            break;
        const CommitFault fault = n < faults.size() ? faults[n] : CommitFault::None;
        ++n;
        edit.onCommit(table.commit(*transaction, fault));
        if (n == faults.size())
            table.deliverDelayed();
    }
    return *edit.result();
}

EditRequest request(const std::string &service, std::uint64_t base, const std::string &id)
{
    return {service, base, documentText(service, static_cast<int>(base) + 1), "t", 0, id};
}

StoredDocument putDocument(FakeTable &table, const std::string &service)
{
    const std::uint64_t base = parseDocumentRow(table.row(documentKey(service))).revision;
    DocumentEdit edit(request(service, base, service + std::to_string(base)));
    return runEdit(table, edit).stored;
}

// Runs one poll: reads and applies all rows that it needs.
PollDecision poll(ActiveDocuments &documents, const FakeTable &table)
{
    PollDecision decision = documents.onIndexRow(table.row(std::string(documentIndexKey)));
    for (const Row &it : table.rowsFor(documents, decision))
        documents.apply(it);
    documents.completePoll(decision);
    return decision;
}

CommitFault anyFault()
{
    return *rc::gen::element(CommitFault::None, CommitFault::ReplyLost, CommitFault::RequestLost,
                             CommitFault::Delayed, CommitFault::Rejected);
}

} // namespace

TEST_CASE("Document rows and the index row round-trip through their JSON text")
{
    const StoredDocument d{"matching", 3, 7, "{\"a\": \"\\u00e9\"}", "t", 1'700'000'000'000, "id"};
    CHECK((parseDocumentRow({documentKey("matching"), toValue(d), 1}) == d));
    const DocumentIndex index{9, {{"a", 1}, {"b", 2}}};
    const DocumentIndex read = parseIndexRow({"documents", toValue(index), 1});
    CHECK(read.sequence == 9);
    CHECK((read.recent == index.recent));
    CHECK(historyKey("matching", 3) == "history/matching/0000000003");
    CHECK_THROWS(parseDocumentRow({"document/x", "no json", 1}));
    CHECK_THROWS(parseDocumentRow({"document/x", R"({"revision": "x"})", 1}));
}

TEST_CASE("Of two concurrent edits one is applied and the other gets the current revision")
{
    FakeTable table;
    DocumentEdit first(request("s", 0, "first"));
    DocumentEdit second(request("s", 0, "second"));
    const auto a = first.onRows(table.read(first.keys()));
    const auto b = second.onRows(table.read(second.keys()));
    REQUIRE((a && b));
    first.onCommit(table.commit(*a, CommitFault::None));
    second.onCommit(table.commit(*b, CommitFault::None));
    CHECK((runEdit(table, first).outcome == EditOutcome::Applied));
    const EditResult lost = runEdit(table, second);
    CHECK((lost.outcome == EditOutcome::Conflict));
    CHECK(lost.current.revision == 1);
    CHECK(lost.current.editId == "first");
}

TEST_CASE("Concurrent edits of two services are both applied despite the shared index row")
{
    FakeTable table;
    DocumentEdit first(request("a", 0, "first"));
    DocumentEdit second(request("b", 0, "second"));
    const auto a = first.onRows(table.read(first.keys()));
    const auto b = second.onRows(table.read(second.keys()));
    REQUIRE((a && b));
    first.onCommit(table.commit(*a, CommitFault::None));
    second.onCommit(table.commit(*b, CommitFault::None));
    CHECK((runEdit(table, second).outcome == EditOutcome::Applied));
    CHECK(parseIndexRow(table.row("documents")).sequence == 2);
}

TEST_CASE("An edit whose reply was lost is found to be applied even after later edits")
{
    FakeTable table;
    DocumentEdit edit(request("s", 0, "mine"));
    const auto transaction = edit.onRows(table.read(edit.keys()));
    edit.onCommit(table.commit(*transaction, CommitFault::ReplyLost));
    putDocument(table, "s");
    const EditResult result = runEdit(table, edit);
    CHECK((result.outcome == EditOutcome::Applied));
    CHECK(result.stored.revision == 1);
}

TEST_CASE("An edit based on a revision that does not exist is a conflict")
{
    FakeTable table;
    putDocument(table, "s");
    DocumentEdit edit(request("s", 7, "mine"));
    const EditResult result = runEdit(table, edit);
    CHECK((result.outcome == EditOutcome::Conflict));
    CHECK(result.current.revision == 1);
}

TEST_CASE("An edit is applied at most once and its outcome is correct despite lost messages")
{
    CHECK(rc::check("the reported outcome matches the history", [] {
        FakeTable table;
        const std::array<std::string, 2> services{"a", "b"};
        std::map<std::string, EditOutcome> reported;
        const auto count = *rc::gen::inRange(1, 12);
        for (int i = 0; i < count; ++i) {
            const std::string &service = services[*rc::gen::inRange<std::size_t>(0, 2)];
            const auto current = parseDocumentRow(table.row(documentKey(service))).revision;
            const auto revisionsBehind = *rc::gen::inRange<std::uint64_t>(0, 2);
            const auto base = current > revisionsBehind ? current - revisionsBehind : current;
            const std::string id = "edit-" + std::to_string(i);
            DocumentEdit edit(request(service, base, id));
            std::vector<CommitFault> faults(*rc::gen::inRange<std::size_t>(0, 4));
            std::generate(faults.begin(), faults.end(), anyFault);
            reported[id] = runEdit(table, edit, faults).outcome;
            if (*rc::gen::arbitrary<bool>())
                table.deliverDelayed();
        }
        table.deliverDelayed();
        std::map<std::string, int> applied;
        for (const std::string &service : services) {
            const auto current = parseDocumentRow(table.row(documentKey(service)));
            for (std::uint64_t r = 1; r <= current.revision; ++r) {
                const auto stored = parseDocumentRow(table.row(historyKey(service, r)));
                RC_ASSERT(stored.revision == r);
                ++applied[stored.editId];
            }
            RC_ASSERT(table.row(historyKey(service, current.revision + 1)).version == 0U);
        }
        for (const auto &[id, outcome] : reported) {
            RC_ASSERT(applied[id] <= 1);
            if (outcome == EditOutcome::Applied)
                RC_ASSERT(applied[id] == 1);
            if (outcome == EditOutcome::Conflict || outcome == EditOutcome::NotApplied)
                RC_ASSERT(applied[id] == 0);
        }
    }));
}

TEST_CASE("The active revision never decreases in any order of polls and pushes and delayed rows")
{
    CHECK(rc::check("monotonic, and complete after a poll without concurrent edits", [] {
        FakeTable table;
        ActiveDocuments documents;
        std::vector<Row> delayedRows; // Rows that were read earlier and arrive again.
        std::vector<PollDecision> openPolls;
        std::map<std::string, std::uint64_t> highest;
        const auto steps = *rc::gen::inRange(1, 100);
        for (int i = 0; i < steps; ++i) {
            const std::string service(1, *rc::gen::element('a', 'b', 'c'));
            switch (*rc::gen::inRange(0, 6)) {
            case 0: // A burst of edits, sometimes more than the index row names.
                for (int n = *rc::gen::inRange(1, 2 * int{maxIndexedEdits}); n > 0; --n)
                    putDocument(table, service);
                break;
            case 1: // A push, on which the entry reads one row at once.
                delayedRows.push_back(table.row(documentKey(service)));
                documents.apply(delayedRows.back());
                break;
            case 2: // A delayed row arrives after newer ones.
                if (!delayedRows.empty())
                    documents.apply(
                        delayedRows[*rc::gen::inRange<std::size_t>(0, delayedRows.size())]);
                break;
            case 3: // A poll begins; its rows arrive later or never.
                openPolls.push_back(documents.onIndexRow(table.row("documents")));
                break;
            case 4: // The latest of these polls ends, having read all current rows.
                if (!openPolls.empty()) {
                    for (const Row &it : table.documents())
                        documents.apply(it);
                    documents.completePoll(openPolls.back());
                    openPolls.pop_back();
                }
                break;
            default:
                poll(documents, table);
            }
            for (const std::string &it : documents.services()) {
                RC_ASSERT(documents.revision(it) >= highest[it]);
                highest[it] = documents.revision(it);
                // The stored row and the parsed document are of the same revision.
                RC_ASSERT(documents.find(it)->document.latencyTarget.count()
                          == static_cast<std::int64_t>(documents.revision(it)));
            }
        }
        poll(documents, table);
        for (const Row &it : table.documents())
            RC_ASSERT(documents.apply(it) == ApplyResult::NotNewer);
        RC_ASSERT(documents.sequence() == parseIndexRow(table.row("documents")).sequence);
    }));
}

TEST_CASE("The published sequence never covers an edit that is not active")
{
    CHECK(rc::check("every edit up to the sequence is active although replicas lag", [] {
        FakeTable table;
        std::vector<FakeTable> replicas{table}; // States that reads from a lagging replica return.
        ActiveDocuments documents;
        std::vector<StoredDocument> edits;
        const auto steps = *rc::gen::inRange(1, 40);
        for (int i = 0; i < steps; ++i) {
            if (*rc::gen::arbitrary<bool>()) {
                edits.push_back(putDocument(table, std::string(1, *rc::gen::element('a', 'b'))));
                replicas.push_back(table);
            }
            const auto lag =
                *rc::gen::inRange<std::size_t>(0, std::min<std::size_t>(3, replicas.size()));
            const FakeTable &replica = replicas[replicas.size() - 1 - lag];
            PollDecision decision = documents.onIndexRow(table.row("documents"));
            for (const Row &it : replica.rowsFor(documents, decision))
                documents.apply(it);
            documents.completePoll(decision);
            for (const StoredDocument &it : edits) {
                if (it.sequence <= documents.sequence())
                    RC_ASSERT(documents.revision(it.service) >= it.revision);
            }
        }
    }));
}

TEST_CASE("A poll reads only the index row and the documents that changed")
{
    FakeTable table;
    for (int i = 0; i < 100; ++i)
        putDocument(table, "s" + std::to_string(i));
    ActiveDocuments documents;
    CHECK((poll(documents, table).action == PollAction::ScanAll));
    CHECK((poll(documents, table).action == PollAction::Nothing));
    putDocument(table, "s7");
    putDocument(table, "s7");
    const PollDecision decision = poll(documents, table);
    CHECK((decision.action == PollAction::ReadRows));
    CHECK((decision.keys == std::vector<std::string>{"document/s7"}));
}

TEST_CASE("An entry that missed more edits than the index row names scans the edit rows")
{
    FakeTable table;
    for (int i = 0; i < 100; ++i)
        putDocument(table, "s" + std::to_string(i));
    ActiveDocuments documents;
    poll(documents, table);
    for (std::size_t i = 0; i < 3 * maxIndexedEdits; ++i)
        putDocument(table, i % 2 == 0 ? "s1" : "s2");
    PollDecision decision = documents.onIndexRow(table.row("documents"));
    CHECK((decision.action == PollAction::ScanEdits));
    CHECK(decision.scanCount == 3 * maxIndexedEdits);
    const auto rows = table.rowsFor(documents, decision);
    CHECK((decision.keys == std::vector<std::string>{"document/s1", "document/s2"}));
    // A poll can't complete before the edit rows are read. If the scan lacks one of them, the
    // changed documents are unknown, and all must be read.
    const PollDecision scan = documents.onIndexRow(table.row("documents"));
    CHECK_FALSE(documents.completePoll(scan));
    const PollDecision incomplete = documents.onEditRows(scan, {});
    CHECK((incomplete.action == PollAction::ScanAll));
    CHECK_FALSE(documents.completePoll(incomplete)); // The indexed revisions are not active yet.
    poll(documents, table);
    CHECK(documents.revision("s1") == 1 + 3 * maxIndexedEdits / 2);
    CHECK(documents.sequence() == 100 + 3 * maxIndexedEdits);
}

TEST_CASE("An edit row is deleted once the retained number of later edits was made")
{
    FakeTable table;
    const std::uint64_t sequence = retainedEdits + 4;
    table.commit({{},
                  {{"documents", toValue(DocumentIndex{sequence, {}})},
                   {editKey(5), toValue(DocumentRevision{"s", 1})}}},
                 CommitFault::None);
    putDocument(table, "s");
    CHECK(table.row(editKey(5)).version == 0);
    CHECK(parseEditRow(table.row(editKey(sequence + 1))).service == "s");
}

TEST_CASE("An edit of another team's document is rejected")
{
    FakeTable table;
    putDocument(table, "s");
    EditRequest foreign = request("s", 1, "foreign");
    foreign.editedBy = "others";
    DocumentEdit edit(foreign);
    const EditResult result = runEdit(table, edit);
    CHECK((result.outcome == EditOutcome::NotOwner));
    CHECK(result.current.editedBy == "t");
    CHECK(parseDocumentRow(table.row(documentKey("s"))).revision == 1);
}

TEST_CASE("An invalid row changes neither the active document nor the sequence")
{
    FakeTable table;
    putDocument(table, "s");
    ActiveDocuments documents;
    poll(documents, table);
    StoredDocument bad = parseDocumentRow(table.row(documentKey("s")));
    bad.revision = 2;
    bad.document = "{}";
    CHECK((documents.apply({documentKey("s"), toValue(bad), 9}) == ApplyResult::Invalid));
    CHECK(documents.revision("s") == 1);
    CHECK((documents.invalidServices() == std::vector<std::string>{"s"}));
    CHECK_FALSE(documents.completePoll({PollAction::ReadRows, {}, 2, {}}));
    CHECK(documents.sequence() == 1);
}

TEST_CASE("An edit is accepted if and only if it is active on every listed entry")
{
    CHECK(rc::check("pendingOn names exactly the listed entries that have not reported it", [] {
        const StoredDocument stored{"s", 5, 20, "", "t", 0, "id"};
        std::vector<std::string> listed;
        std::vector<EntryDocumentStatus> reports;
        std::vector<std::string> lagging;
        const auto count = *rc::gen::inRange(0, 8);
        for (int i = 0; i < count; ++i) {
            const std::string id = "entry-" + std::to_string(i);
            const bool silent = *rc::gen::arbitrary<bool>();
            const EntryDocumentStatus e{id, *rc::gen::inRange<std::uint64_t>(18, 23),
                                        *rc::gen::inRange<std::uint64_t>(3, 8), Millis{0}};
            if (!silent)
                reports.push_back(e);
            if (!*rc::gen::inRange(0, 4))
                continue; // Not listed, so its report does not matter.
            listed.push_back(id);
            if (silent || (e.sequence < 20 && e.revision < 5))
                lagging.push_back(id);
        }
        const Acceptance acceptance = acceptanceOf(stored, listed, reports);
        RC_ASSERT(acceptance.pendingOn == lagging);
        RC_ASSERT(acceptance.accepted == lagging.empty());
    }));
}

TEST_CASE("A process that was paused must read the documents before it serves")
{
    const Millis bound{3'000};
    ProcessPauseDetector guard(bound, Instant{0});
    CHECK(guard.needsRefresh(Instant{0})); // The process has read nothing yet.
    guard.recordRefresh(Instant{10});
    CHECK_FALSE(guard.needsRefresh(Instant{500}));
    guard.tick(Instant{1'000});
    CHECK_FALSE(guard.needsRefresh(Instant{4'000}));
    CHECK(guard.needsRefresh(Instant{4'001})); // Resumed, and no tick has run yet.
    guard.tick(Instant{9'000});
    CHECK(guard.needsRefresh(Instant{9'000}));
    guard.recordRefresh(Instant{900}); // The reply to a read that began before the pause.
    CHECK(guard.needsRefresh(Instant{9'100}));
    guard.recordRefresh(Instant{9'000});
    CHECK_FALSE(guard.needsRefresh(Instant{9'100}));
}
