#include "savorywick/idempotency.h"

#include "savorywick/errors.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <optional>

using namespace savorywick;

namespace {

constexpr IdempotencySettings settings{.retention = Millis{1'000}, .maxClaims = 5};

KeyedRequest requestFor(const std::string &key, const std::string &hash = "h")
{
    return {"offers", key, hash, "r-" + key};
}

// Returns the name of the outcome, so that a failure message shows it.
std::string outcomeOf(IdempotencyRegistry &registry, const KeyedRequest &request, Instant now,
                      std::vector<std::string> &records)
{
    return std::string(toString(registry.open(request, now, records).outcome));
}

// Applies random events to a registry and to a simple model of it and compares the two. replay()
// restores a second registry from the last snapshot and the records since, which must be equal.
class RegistryModel
{
public:
    void open()
    {
        const std::string key = anyKey();
        const std::string hash = *rc::gen::element<std::string>("h1", "h1", "h2");
        const auto before = m_keys.find(key);
        const IdempotencyResult result = m_registry.open(
            {"offers", key, hash, "r" + std::to_string(++m_requests)}, m_now, m_records);
        if (before == m_keys.end()) {
            const bool full = m_keys.size() >= settings.maxClaims;
            RC_ASSERT(result.outcome
                      == (full ? IdempotencyOutcome::Full : IdempotencyOutcome::Granted));
            if (!full)
                m_keys[key] = {hash, IdempotencyOutcome::InFlight, {}, m_now};
            return;
        }
        const bool reused = before->second.hash != hash;
        RC_ASSERT(result.outcome
                  == (reused ? IdempotencyOutcome::KeyReused : before->second.outcome));
        if (result.outcome == IdempotencyOutcome::Finished)
            RC_ASSERT(result.response.body == before->second.body);
    }

    void finish()
    {
        const std::string key = anyKey();
        const auto body = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
        const bool done = m_registry.finish("offers", key, {200, body}, m_now, m_records);
        const auto it = m_keys.find(key);
        RC_ASSERT(done
                  == (it != m_keys.end() && it->second.outcome != IdempotencyOutcome::Finished));
        if (done)
            it->second = {it->second.hash, IdempotencyOutcome::Finished, body, m_now};
    }

    void release()
    {
        const std::string key = anyKey();
        RC_ASSERT(m_registry.release("offers", key, m_now, m_records) == isOpen(key));
        if (isOpen(key))
            m_keys.erase(key);
    }

    void markUnknown()
    {
        const std::string key = anyKey();
        RC_ASSERT(m_registry.markUnknown("offers", key, m_now, m_records) == isOpen(key));
        if (isOpen(key))
            setUnknown(m_keys[key]);
    }

    // Restores the registry as a new owner does, whose clock has another start. If `takesOver`, the
    // new owner's registry replaces the former one.
    void replay(bool takesOver)
    {
        const Instant newOwnerNow{*rc::gen::inRange(0, 100'000)};
        IdempotencyRegistry next = IdempotencyRegistry::restore(m_snapshot, settings, newOwnerNow);
        for (const std::string &record : m_records)
            next.apply(record, newOwnerNow);
        RC_ASSERT(withoutTime(next.snapshot(newOwnerNow))
                  == withoutTime(m_registry.snapshot(m_now)));
        RC_ASSERT(next.counts().bytes == m_registry.counts().bytes);
        if (!takesOver)
            return;
        std::vector<std::string> records;
        next.takeOver(newOwnerNow, records);
        RC_ASSERT(next.counts().open == 0U);
        m_registry = next;
        m_snapshot = next.snapshot(newOwnerNow);
        m_records.clear();
        changeClock(newOwnerNow);
        for (auto &[key, claim] : m_keys) {
            if (claim.outcome == IdempotencyOutcome::InFlight)
                setUnknown(claim);
        }
    }

    void expire()
    {
        const auto limit = *rc::gen::inRange<std::size_t>(0, 4);
        const auto before = m_records.size();
        const std::size_t expired = m_registry.expire(m_now, limit, m_records);
        RC_ASSERT(expired <= limit);
        RC_ASSERT(m_records.size() <= before + expired + 1);
        std::size_t gone = 0;
        std::erase_if(m_keys, [&](const auto &entry) {
            const bool kept = isKept(entry.first, entry.second.hash);
            if (!kept) {
                ++gone;
                RC_ASSERT(entry.second.outcome != IdempotencyOutcome::InFlight);
                RC_ASSERT(m_now - entry.second.resolvedAt >= settings.retention);
            }
            return !kept;
        });
        RC_ASSERT(gone == expired);
    }

    void advanceTime() { m_now = m_now + Millis{*rc::gen::inRange(0, 700)}; }

private:
    struct ModelKey
    {
        std::string hash;
        IdempotencyOutcome outcome = IdempotencyOutcome::InFlight;
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
        return it != m_keys.end() && it->second.outcome == IdempotencyOutcome::InFlight;
    }

    // Returns true if and only if the key is in the registry. Asks a copy, since open() may change
    // it.
    bool isKept(const std::string &key, const std::string &hash) const
    {
        IdempotencyRegistry copy = m_registry;
        std::vector<std::string> unused;
        const auto outcome = copy.open({"offers", key, hash, "q"}, m_now, unused).outcome;
        return outcome != IdempotencyOutcome::Granted && outcome != IdempotencyOutcome::Full;
    }

    void setUnknown(ModelKey &key) { key = {key.hash, IdempotencyOutcome::Unknown, {}, m_now}; }

    // Switches the model to the new owner's clock.
    void changeClock(Instant now)
    {
        for (auto &[key, claim] : m_keys)
            claim.resolvedAt = claim.resolvedAt + (now - m_now);
        m_now = now;
    }

    static std::string withoutTime(const std::string &snapshot)
    {
        // The line starts with the logical time, of which the part that no record holds is lost.
        return snapshot.substr(snapshot.find(','));
    }

    Instant m_now{50};
    IdempotencyRegistry m_registry{settings, m_now};
    std::string m_snapshot = m_registry.snapshot(m_now);
    std::vector<std::string> m_records;
    std::map<std::string, ModelKey> m_keys;
    int m_requests = 0;
};

} // namespace

TEST_CASE("A key is granted once until it is released or its retention is over")
{
    CHECK(rc::check("under random requests, responses, lost outcomes, takeovers and replays", [] {
        RegistryModel model;
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
                model.advanceTime();
            }
        }
        model.replay(false);
    }));
}

TEST_CASE("A new owner marks an open claim as unknown and neither sends nor frees it")
{
    std::vector<std::string> records;
    IdempotencyRegistry first(settings, Instant{0});
    CHECK(outcomeOf(first, requestFor("k"), Instant{0}, records) == "granted");

    IdempotencyRegistry second(settings, Instant{9});
    for (const std::string &record : records)
        second.apply(record, Instant{9});
    std::vector<std::string> takeoverRecords;
    second.takeOver(Instant{9}, takeoverRecords);
    CHECK(takeoverRecords.size() == 1);
    const IdempotencyResult repeat = second.open(requestFor("k"), Instant{9}, takeoverRecords);
    CHECK(std::string(toString(repeat.outcome)) == "unknown");
    CHECK(repeat.holderRequestId == "r-k");
    CHECK_FALSE(second.release("offers", "k", Instant{9}, takeoverRecords));
    CHECK(second.finish("offers", "k", {200, "late"}, Instant{10}, takeoverRecords));
    CHECK(second.open(requestFor("k"), Instant{11}, takeoverRecords).response.body == "late");
}

TEST_CASE("The retention continues across a change of owner")
{
    std::vector<std::string> records;
    IdempotencyRegistry first(settings, Instant{0});
    first.open(requestFor("k"), Instant{0}, records);
    first.finish("offers", "k", {200, "x"}, Instant{0}, records);
    CHECK(first.expire(Instant{600}, 10, records) == 0); // Records the logical time.

    IdempotencyRegistry second(settings, Instant{77'000});
    for (const std::string &record : records)
        second.apply(record, Instant{77'000});
    CHECK(second.expire(Instant{77'399}, 10, records) == 0);
    CHECK(second.expire(Instant{77'400}, 10, records) == 1);
    CHECK(outcomeOf(second, requestFor("k"), Instant{77'400}, records) == "granted");
}

TEST_CASE("The same key of two services belongs to two requests")
{
    std::vector<std::string> records;
    IdempotencyRegistry registry(settings, Instant{0});
    CHECK(outcomeOf(registry, {"a", "k", "h", "1"}, Instant{0}, records) == "granted");
    CHECK(outcomeOf(registry, {"b", "k", "h", "2"}, Instant{0}, records) == "granted");
}

TEST_CASE("A record that cannot be parsed is an error")
{
    IdempotencyRegistry registry(settings, Instant{0});
    for (const std::string record :
         {"", "[]", "{}", R"({"claim":"opened","at":1})", R"({"claim":"open"})",
          R"({"claim":"open","at":1,"service":"s"})", R"({"claim":1,"at":1})",
          R"({"claim":[],"at":1})",
          R"({"claim":"finish","at":1,"service":"s","key":"k","body":"x"})"}) {
        CAPTURE(record);
        CHECK_THROWS_AS(registry.apply(record, Instant{0}), Error);
    }
    CHECK_THROWS_AS(IdempotencyRegistry::restore("{}", settings, Instant{0}), Error);
    CHECK_THROWS_AS(IdempotencyRegistry::restore(R"({"at":1,"claims":[[]]})", settings, Instant{0}),
                    Error);
    CHECK(registry.counts().open == 0);
}
