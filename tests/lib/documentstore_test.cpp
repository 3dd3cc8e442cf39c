#include "savorywick/documentsinforce.h"
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

// What the fake table does to one commit.
enum class Fate {
    Clean, // Takes effect and is answered.
    ReplyLost, // Takes effect at once; the reply is lost.
    RequestLost, // Never arrives; the caller can't tell.
    Delayed, // Arrives after later commits; the caller is told nothing.
    Refused, // Surely not applied, and the caller is told.
};

class FakeTable
{
public:
    CommitOutcome commit(const Transaction &transaction, Fate fate)
    {
        if (fate == Fate::Refused)
            return CommitOutcome::Unavailable;
        if (fate == Fate::Delayed)
            m_delayed.push_back(transaction);
        if (fate == Fate::Delayed || fate == Fate::RequestLost)
            return CommitOutcome::Unknown;
        const bool applied = apply(transaction);
        if (fate == Fate::ReplyLost)
            return CommitOutcome::Unknown;
        return applied ? CommitOutcome::Committed : CommitOutcome::Conflict;
    }

    // Lets every delayed transaction arrive now.
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

    std::vector<Row> documents() const { return scan(documentPrefix, "", m_rows.size()); }

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

    // Returns the rows that a decision calls for, which an entry then applies.
    std::vector<Row> rowsOf(const DocumentsInForce &documents, PollDecision &decision) const
    {
        if (decision.action == PollAction::ScanEdits)
            decision =
                documents.onEdits(decision, scan(editPrefix, decision.after, decision.count));
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

// Runs an edit to its end over a table that treats its commits by `fates`, then cleanly.
EditResult runEdit(FakeTable &table, DocumentEdit &edit, std::vector<Fate> fates = {})
{
    std::size_t n = 0;
    while (!edit.result()) {
        const auto transaction = edit.onRows(table.read(edit.keys()));
        if (!transaction)
            break;
        const Fate fate = n < fates.size() ? fates[n] : Fate::Clean;
        ++n;
        edit.onCommit(table.commit(*transaction, fate));
        if (n == fates.size())
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

// Reads and applies what one poll of an entry calls for.
PollDecision poll(DocumentsInForce &documents, const FakeTable &table)
{
    PollDecision decision = documents.onIndex(table.row(std::string(documentIndexKey)));
    for (const Row &it : table.rowsOf(documents, decision))
        documents.apply(it);
    documents.caughtUp(decision);
    return decision;
}

Fate anyFate()
{
    return *rc::gen::element(Fate::Clean, Fate::ReplyLost, Fate::RequestLost, Fate::Delayed,
                             Fate::Refused);
}

} // namespace

TEST_CASE("Rows of documents and the index survive being written and read")
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

TEST_CASE("Of two racing operators one wins and the other learns the present revision")
{
    FakeTable table;
    DocumentEdit first(request("s", 0, "first"));
    DocumentEdit second(request("s", 0, "second"));
    const auto a = first.onRows(table.read(first.keys()));
    const auto b = second.onRows(table.read(second.keys()));
    REQUIRE((a && b));
    first.onCommit(table.commit(*a, Fate::Clean));
    second.onCommit(table.commit(*b, Fate::Clean));
    CHECK((runEdit(table, first).outcome == EditOutcome::Applied));
    const EditResult lost = runEdit(table, second);
    CHECK((lost.outcome == EditOutcome::Conflict));
    CHECK(lost.present.revision == 1);
    CHECK(lost.present.editId == "first");
}

TEST_CASE("Edits of two services that race for the index row both land")
{
    FakeTable table;
    DocumentEdit first(request("a", 0, "first"));
    DocumentEdit second(request("b", 0, "second"));
    const auto a = first.onRows(table.read(first.keys()));
    const auto b = second.onRows(table.read(second.keys()));
    REQUIRE((a && b));
    first.onCommit(table.commit(*a, Fate::Clean));
    second.onCommit(table.commit(*b, Fate::Clean));
    CHECK((runEdit(table, second).outcome == EditOutcome::Applied));
    CHECK(parseIndexRow(table.row("documents")).sequence == 2);
}

TEST_CASE("A lost reply is settled even after later edits")
{
    FakeTable table;
    DocumentEdit edit(request("s", 0, "mine"));
    const auto transaction = edit.onRows(table.read(edit.keys()));
    edit.onCommit(table.commit(*transaction, Fate::ReplyLost));
    putDocument(table, "s");
    const EditResult result = runEdit(table, edit);
    CHECK((result.outcome == EditOutcome::Applied));
    CHECK(result.stored.revision == 1);
}

TEST_CASE("An edit on a revision that never was is a conflict")
{
    FakeTable table;
    putDocument(table, "s");
    DocumentEdit edit(request("s", 7, "mine"));
    const EditResult result = runEdit(table, edit);
    CHECK((result.outcome == EditOutcome::Conflict));
    CHECK(result.present.revision == 1);
}

TEST_CASE("Whatever the store loses an edit is told truly and applied once at most")
{
    CHECK(rc::check("the outcome told matches the history", [] {
        FakeTable table;
        const std::array<std::string, 2> services{"a", "b"};
        std::map<std::string, EditOutcome> told;
        const auto count = *rc::gen::inRange(1, 12);
        for (int i = 0; i < count; ++i) {
            const std::string &service = services[*rc::gen::inRange<std::size_t>(0, 2)];
            const auto present = parseDocumentRow(table.row(documentKey(service))).revision;
            const auto stale = *rc::gen::inRange<std::uint64_t>(0, 2);
            const auto base = present > stale ? present - stale : present;
            const std::string id = "edit-" + std::to_string(i);
            DocumentEdit edit(request(service, base, id));
            std::vector<Fate> fates(*rc::gen::inRange<std::size_t>(0, 4));
            std::generate(fates.begin(), fates.end(), anyFate);
            told[id] = runEdit(table, edit, fates).outcome;
            if (*rc::gen::arbitrary<bool>())
                table.deliverDelayed();
        }
        table.deliverDelayed();
        std::map<std::string, int> applied;
        for (const std::string &service : services) {
            const auto present = parseDocumentRow(table.row(documentKey(service)));
            for (std::uint64_t r = 1; r <= present.revision; ++r) {
                const auto kept = parseDocumentRow(table.row(historyKey(service, r)));
                RC_ASSERT(kept.revision == r);
                ++applied[kept.editId];
            }
            RC_ASSERT(table.row(historyKey(service, present.revision + 1)).version == 0U);
        }
        for (const auto &[id, outcome] : told) {
            RC_ASSERT(applied[id] <= 1);
            if (outcome == EditOutcome::Applied)
                RC_ASSERT(applied[id] == 1);
            if (outcome == EditOutcome::Conflict || outcome == EditOutcome::NotApplied)
                RC_ASSERT(applied[id] == 0);
        }
    }));
}

TEST_CASE("A revision in force never goes down in any order of polls and pushes and late rows")
{
    CHECK(rc::check("monotone, and complete after a quiet poll", [] {
        FakeTable table;
        DocumentsInForce documents;
        std::vector<Row> late; // Rows that were read earlier and arrive again.
        std::vector<PollDecision> lateDecisions;
        std::map<std::string, std::uint64_t> highest;
        const auto steps = *rc::gen::inRange(1, 100);
        for (int i = 0; i < steps; ++i) {
            const std::string service(1, *rc::gen::element('a', 'b', 'c'));
            switch (*rc::gen::inRange(0, 6)) {
            case 0: // Now and then a burst that the index row does not name whole.
                for (int n = *rc::gen::inRange(1, 2 * int{indexedEdits}); n > 0; --n)
                    putDocument(table, service);
                break;
            case 1: // A push: one row is read at once.
                late.push_back(table.row(documentKey(service)));
                documents.apply(late.back());
                break;
            case 2: // A late row crosses newer ones.
                if (!late.empty())
                    documents.apply(late[*rc::gen::inRange<std::size_t>(0, late.size())]);
                break;
            case 3: // A poll whose rows come later, or never.
                lateDecisions.push_back(documents.onIndex(table.row("documents")));
                break;
            case 4: // The end of such a poll, though its rows may not have been applied.
                if (!lateDecisions.empty()) {
                    for (const Row &it : table.documents())
                        documents.apply(it);
                    documents.caughtUp(lateDecisions.back());
                    lateDecisions.pop_back();
                }
                break;
            default:
                poll(documents, table);
            }
            for (const std::string &it : documents.services()) {
                RC_ASSERT(documents.revision(it) >= highest[it]);
                highest[it] = documents.revision(it);
                // Never half applied: the text and the parsed document are of one revision.
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

TEST_CASE("The published sequence never covers an edit that is not in force")
{
    CHECK(rc::check("sequence is honest although replicas lag", [] {
        FakeTable table;
        std::vector<FakeTable> replicas{table}; // Older states, which some reads come from.
        DocumentsInForce documents;
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
            PollDecision decision = documents.onIndex(table.row("documents"));
            for (const Row &it : replica.rowsOf(documents, decision))
                documents.apply(it);
            documents.caughtUp(decision);
            for (const StoredDocument &it : edits) {
                if (it.sequence <= documents.sequence())
                    RC_ASSERT(documents.revision(it.service) >= it.revision);
            }
        }
    }));
}

TEST_CASE("A poll reads nothing more when nothing changed and only what changed otherwise")
{
    FakeTable table;
    for (int i = 0; i < 100; ++i)
        putDocument(table, "s" + std::to_string(i));
    DocumentsInForce documents;
    CHECK((poll(documents, table).action == PollAction::ScanAll));
    CHECK((poll(documents, table).action == PollAction::Nothing));
    putDocument(table, "s7");
    putDocument(table, "s7");
    const PollDecision decision = poll(documents, table);
    CHECK((decision.action == PollAction::ReadRows));
    CHECK((decision.keys == std::vector<std::string>{"document/s7"}));
}

TEST_CASE("An entry that missed more edits than the index names scans the edits alone")
{
    FakeTable table;
    for (int i = 0; i < 100; ++i)
        putDocument(table, "s" + std::to_string(i));
    DocumentsInForce documents;
    poll(documents, table);
    for (std::size_t i = 0; i < 3 * indexedEdits; ++i)
        putDocument(table, i % 2 == 0 ? "s1" : "s2");
    PollDecision decision = documents.onIndex(table.row("documents"));
    CHECK((decision.action == PollAction::ScanEdits));
    CHECK(decision.count == 3 * indexedEdits);
    const auto rows = table.rowsOf(documents, decision);
    CHECK((decision.keys == std::vector<std::string>{"document/s1", "document/s2"}));
    // The decision to scan says nothing of the documents yet, and a scan that lacks a row can't
    // tell which of them changed.
    const PollDecision scan = documents.onIndex(table.row("documents"));
    CHECK_FALSE(documents.caughtUp(scan));
    const PollDecision blind = documents.onEdits(scan, {});
    CHECK((blind.action == PollAction::ScanAll));
    CHECK_FALSE(documents.caughtUp(blind)); // What the index names is not in force yet.
    poll(documents, table);
    CHECK(documents.revision("s1") == 1 + 3 * indexedEdits / 2);
    CHECK(documents.sequence() == 100 + 3 * indexedEdits);
}

TEST_CASE("The row of an edit goes away once enough later ones were made")
{
    FakeTable table;
    const std::uint64_t sequence = keptEdits + 4;
    table.commit({{},
                  {{"documents", toValue(DocumentIndex{sequence, {}})},
                   {editKey(5), toValue(DocumentRevision{"s", 1})}}},
                 Fate::Clean);
    putDocument(table, "s");
    CHECK(table.row(editKey(5)).version == 0);
    CHECK(parseEditRow(table.row(editKey(sequence + 1))).service == "s");
}

TEST_CASE("Another team's document can't be edited")
{
    FakeTable table;
    putDocument(table, "s");
    EditRequest theirs = request("s", 1, "theirs");
    theirs.editedBy = "others";
    DocumentEdit edit(theirs);
    const EditResult result = runEdit(table, edit);
    CHECK((result.outcome == EditOutcome::NotOwner));
    CHECK(result.present.editedBy == "t");
    CHECK(parseDocumentRow(table.row(documentKey("s"))).revision == 1);
}

TEST_CASE("An invalid row leaves the old document in force and the sequence behind")
{
    FakeTable table;
    putDocument(table, "s");
    DocumentsInForce documents;
    poll(documents, table);
    StoredDocument bad = parseDocumentRow(table.row(documentKey("s")));
    bad.revision = 2;
    bad.document = "{}";
    CHECK((documents.apply({documentKey("s"), toValue(bad), 9}) == ApplyResult::Invalid));
    CHECK(documents.revision("s") == 1);
    CHECK((documents.invalidServices() == std::vector<std::string>{"s"}));
    CHECK_FALSE(documents.caughtUp({PollAction::ReadRows, {}, 2, {}}));
    CHECK(documents.sequence() == 1);
}

TEST_CASE("An edit is accepted if and only if every listed entry has it in force")
{
    CHECK(rc::check("pending names exactly the entries that lag", [] {
        const StoredDocument stored{"s", 5, 20, "", "t", 0, "id"};
        std::vector<std::string> listed;
        std::vector<EntryDocuments> said;
        std::vector<std::string> lagging;
        const auto count = *rc::gen::inRange(0, 8);
        for (int i = 0; i < count; ++i) {
            const std::string id = "entry-" + std::to_string(i);
            const bool silent = *rc::gen::arbitrary<bool>();
            const EntryDocuments e{id, *rc::gen::inRange<std::uint64_t>(18, 23),
                                   *rc::gen::inRange<std::uint64_t>(3, 8), Millis{0}};
            if (!silent)
                said.push_back(e);
            if (!*rc::gen::inRange(0, 4))
                continue; // Not listed: what it says does not matter.
            listed.push_back(id);
            if (silent || (e.sequence < 20 && e.revision < 5))
                lagging.push_back(id);
        }
        const Acceptance acceptance = acceptanceOf(stored, listed, said);
        RC_ASSERT(acceptance.pendingOn == lagging);
        RC_ASSERT(acceptance.accepted == lagging.empty());
    }));
}

TEST_CASE("A process that was frozen reads again before it serves")
{
    const Millis bound{3'000};
    FreezeGuard guard(bound, Instant{0});
    CHECK(guard.mustReread(Instant{0})); // It has read nothing yet.
    guard.confirmed(Instant{10});
    CHECK_FALSE(guard.mustReread(Instant{500}));
    guard.tick(Instant{1'000});
    CHECK_FALSE(guard.mustReread(Instant{4'000}));
    CHECK(guard.mustReread(Instant{4'001})); // Woken, and no tick has noticed it yet.
    guard.tick(Instant{9'000});
    CHECK(guard.mustReread(Instant{9'000}));
    guard.confirmed(Instant{900}); // The reply to a read from before the freeze.
    CHECK(guard.mustReread(Instant{9'100}));
    guard.confirmed(Instant{9'000});
    CHECK_FALSE(guard.mustReread(Instant{9'100}));
}
