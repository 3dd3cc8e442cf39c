#include "savorywick/claims.h"

#include "savorywick/errors.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <optional>

using namespace savorywick;

namespace {

constexpr ClaimSettings settings{.retention = Millis{1'000}, .maxClaims = 5};

ClaimRequest requestFor(const std::string &key, const std::string &hash = "h")
{
    return {"offers", key, hash, "r-" + key};
}

// Returns the verdict's name, which a failure message can show.
std::string verdictOn(ClaimLedger &ledger, const ClaimRequest &request, Instant now,
                      std::vector<std::string> &records)
{
    return std::string(toString(ledger.open(request, now, records).verdict));
}

// Follows a ledger, and replays each of its states from the last snapshot and the records since.
class Model
{
public:
    void open()
    {
        const std::string key = anyKey();
        const std::string hash = *rc::gen::element<std::string>("h1", "h1", "h2");
        const auto before = m_keys.find(key);
        const ClaimDecision decision = m_ledger.open(
            {"offers", key, hash, "r" + std::to_string(++m_requests)}, m_now, m_records);
        if (before == m_keys.end()) {
            const bool full = m_keys.size() >= settings.maxClaims;
            RC_ASSERT(decision.verdict == (full ? ClaimVerdict::Full : ClaimVerdict::Granted));
            if (!full)
                m_keys[key] = {hash, ClaimVerdict::InFlight, {}, m_now};
            return;
        }
        const bool reused = before->second.hash != hash;
        RC_ASSERT(decision.verdict == (reused ? ClaimVerdict::KeyReused : before->second.verdict));
        if (decision.verdict == ClaimVerdict::Finished)
            RC_ASSERT(decision.answer.body == before->second.body);
    }

    void finish()
    {
        const std::string key = anyKey();
        const auto body = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
        const bool done = m_ledger.finish("offers", key, {200, body}, m_now, m_records);
        const auto it = m_keys.find(key);
        RC_ASSERT(done == (it != m_keys.end() && it->second.verdict != ClaimVerdict::Finished));
        if (done)
            it->second = {it->second.hash, ClaimVerdict::Finished, body, m_now};
    }

    void release()
    {
        const std::string key = anyKey();
        RC_ASSERT(m_ledger.release("offers", key, m_now, m_records) == isOpen(key));
        if (isOpen(key))
            m_keys.erase(key);
    }

    void markUnknown()
    {
        const std::string key = anyKey();
        RC_ASSERT(m_ledger.markUnknown("offers", key, m_now, m_records) == isOpen(key));
        if (isOpen(key))
            setUnknown(m_keys[key]);
    }

    // A new owner, whose clock began elsewhere, restores what the former one left.
    void replay(bool takesOver)
    {
        const Instant elsewhere{*rc::gen::inRange(0, 100'000)};
        ClaimLedger next = ClaimLedger::restore(m_snapshot, settings, elsewhere);
        for (const std::string &record : m_records)
            next.apply(record, elsewhere);
        RC_ASSERT(withoutTime(next.snapshot(elsewhere)) == withoutTime(m_ledger.snapshot(m_now)));
        RC_ASSERT(next.counts().bytes == m_ledger.counts().bytes);
        if (!takesOver)
            return;
        std::vector<std::string> records;
        next.takeOver(elsewhere, records);
        RC_ASSERT(next.counts().open == 0U);
        m_ledger = next;
        m_snapshot = next.snapshot(elsewhere);
        m_records.clear();
        moveTo(elsewhere);
        for (auto &[key, claim] : m_keys) {
            if (claim.verdict == ClaimVerdict::InFlight)
                setUnknown(claim);
        }
    }

    void expire()
    {
        const auto limit = *rc::gen::inRange<std::size_t>(0, 4);
        const auto before = m_records.size();
        const std::size_t expired = m_ledger.expire(m_now, limit, m_records);
        RC_ASSERT(expired <= limit);
        RC_ASSERT(m_records.size() <= before + expired + 1);
        std::size_t gone = 0;
        std::erase_if(m_keys, [&](const auto &entry) {
            const bool kept = holds(entry.first, entry.second.hash);
            if (!kept) {
                ++gone;
                RC_ASSERT(entry.second.verdict != ClaimVerdict::InFlight);
                RC_ASSERT(m_now - entry.second.resolvedAt >= settings.retention);
            }
            return !kept;
        });
        RC_ASSERT(gone == expired);
    }

    void pass() { m_now = m_now + Millis{*rc::gen::inRange(0, 700)}; }

private:
    struct Key
    {
        std::string hash;
        ClaimVerdict verdict = ClaimVerdict::InFlight;
        std::string body;
        Instant resolvedAt;
    };

    static std::string anyKey()
    {
        return *rc::gen::element<std::string>("a", "b", "\xff\"", std::string("\0d", 2), "e", "f",
                                              "g");
    }

    bool isOpen(const std::string &key) const
    {
        const auto it = m_keys.find(key);
        return it != m_keys.end() && it->second.verdict == ClaimVerdict::InFlight;
    }

    // Asks a copy, so that the question changes nothing.
    bool holds(const std::string &key, const std::string &hash) const
    {
        ClaimLedger copy = m_ledger;
        std::vector<std::string> ignored;
        const auto verdict = copy.open({"offers", key, hash, "q"}, m_now, ignored).verdict;
        return verdict != ClaimVerdict::Granted && verdict != ClaimVerdict::Full;
    }

    void setUnknown(Key &key) { key = {key.hash, ClaimVerdict::Unknown, {}, m_now}; }

    void moveTo(Instant now)
    {
        for (auto &[key, claim] : m_keys)
            claim.resolvedAt = claim.resolvedAt + (now - m_now);
        m_now = now;
    }

    static std::string withoutTime(const std::string &snapshot)
    {
        // The ledger's own time leads the line; it may lag behind by what no record has noted.
        return snapshot.substr(snapshot.find(','));
    }

    Instant m_now{50};
    ClaimLedger m_ledger{settings, m_now};
    std::string m_snapshot = m_ledger.snapshot(m_now);
    std::vector<std::string> m_records;
    std::map<std::string, Key> m_keys;
    int m_requests = 0;
};

} // namespace

TEST_CASE("A key is granted once until it is released or its retention is over")
{
    CHECK(rc::check("through repeats, answers, losses, takeovers and replays", [] {
        Model model;
        const int events = *rc::gen::inRange(0, 120);
        for (int n = 0; n < events; ++n) {
            switch (*rc::gen::weightedElement<int>(
                {{6, 0}, {3, 1}, {1, 2}, {1, 3}, {2, 4}, {1, 5}, {2, 6}, {2, 7}})) {
            case 0:
                model.open();
                break;
            case 1:
                model.finish();
                break;
            case 2:
                model.release();
                break;
            case 3:
                model.markUnknown();
                break;
            case 4:
                model.replay(false);
                break;
            case 5:
                model.replay(true);
                break;
            case 6:
                model.expire();
                break;
            default:
                model.pass();
            }
        }
        model.replay(false);
    }));
}

TEST_CASE("A new owner calls an open claim unknown and neither sends nor frees it")
{
    std::vector<std::string> records;
    ClaimLedger first(settings, Instant{0});
    CHECK(verdictOn(first, requestFor("k"), Instant{0}, records) == "granted");

    ClaimLedger second(settings, Instant{9});
    for (const std::string &record : records)
        second.apply(record, Instant{9});
    std::vector<std::string> taken;
    second.takeOver(Instant{9}, taken);
    CHECK(taken.size() == 1);
    const ClaimDecision repeat = second.open(requestFor("k"), Instant{9}, taken);
    CHECK(std::string(toString(repeat.verdict)) == "unknown");
    CHECK(repeat.holder == "r-k");
    CHECK_FALSE(second.release("offers", "k", Instant{9}, taken));
    CHECK(second.finish("offers", "k", {200, "late"}, Instant{10}, taken));
    CHECK(second.open(requestFor("k"), Instant{11}, taken).answer.body == "late");
}

TEST_CASE("The retention goes on from owner to owner")
{
    std::vector<std::string> records;
    ClaimLedger first(settings, Instant{0});
    first.open(requestFor("k"), Instant{0}, records);
    first.finish("offers", "k", {200, "x"}, Instant{0}, records);
    CHECK(first.expire(Instant{600}, 10, records) == 0); // Notes the time.

    ClaimLedger second(settings, Instant{77'000});
    for (const std::string &record : records)
        second.apply(record, Instant{77'000});
    CHECK(second.expire(Instant{77'399}, 10, records) == 0);
    CHECK(second.expire(Instant{77'400}, 10, records) == 1);
    CHECK(verdictOn(second, requestFor("k"), Instant{77'400}, records) == "granted");
}

TEST_CASE("The same key of two services stands for two requests")
{
    std::vector<std::string> records;
    ClaimLedger ledger(settings, Instant{0});
    CHECK(verdictOn(ledger, {"a", "k", "h", "1"}, Instant{0}, records) == "granted");
    CHECK(verdictOn(ledger, {"b", "k", "h", "2"}, Instant{0}, records) == "granted");
}

TEST_CASE("A record that cannot be read is an error that names the remedy")
{
    ClaimLedger ledger(settings, Instant{0});
    for (const std::string record :
         {"", "[]", "{}", R"({"claim":"opened","at":1})", R"({"claim":"open"})",
          R"({"claim":"open","at":1,"service":"s"})", R"({"claim":1,"at":1})",
          R"({"claim":[],"at":1})",
          R"({"claim":"finish","at":1,"service":"s","key":"k","body":"x"})"}) {
        CAPTURE(record);
        CHECK_THROWS_AS(ledger.apply(record, Instant{0}), Error);
    }
    CHECK_THROWS_AS(ClaimLedger::restore("{}", settings, Instant{0}), Error);
    CHECK_THROWS_AS(ClaimLedger::restore(R"({"at":1,"claims":[[]]})", settings, Instant{0}), Error);
    CHECK(ledger.counts().open == 0);
}
