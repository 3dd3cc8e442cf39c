#include "node/ownercandidates.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace savorywick;

namespace {

constexpr EntryCapacity weak{120, 20'000};
constexpr EntryCapacity strong{500, 200'000};
constexpr Instant start{0};

// A deployment in virtual time. Each entry sees the candidates as they were when it last looked:
// candidates look often, the others seldom.
class SimulatedDeployment
{
public:
    SimulatedDeployment(int strongEntries, int weakEntries, std::size_t shards)
        : m_shards(shards)
    {
        for (int i = 0; i < strongEntries + weakEntries; ++i)
            add("10.0.0." + std::to_string(i) + ":1", i < strongEntries ? strong : weak);
    }

    void advance(Millis span)
    {
        for (Millis t; t < span; t = t + tickInterval) {
            m_now = m_now + tickInterval;
            for (auto &[peer, it] : m_entries) {
                if (it.up && m_now >= it.looksAt)
                    look(peer, it);
            }
            m_mostCandidates = std::max(m_mostCandidates, candidates().size());
        }
    }

    void kill(const std::string &peer) { m_entries.at(peer).up = false; }

    std::set<std::string> candidates() const
    {
        std::set<std::string> peers;
        for (const auto &[peer, it] : m_entries) {
            if (it.up && it.isCandidate)
                peers.insert(peer);
        }
        return peers;
    }
    std::size_t strongCandidates() const
    {
        const std::set<std::string> peers = candidates();
        return static_cast<std::size_t>(
            std::count_if(peers.begin(), peers.end(), [this](const std::string &it) {
                return m_entries.at(it).capacity == strong;
            }));
    }
    std::size_t mostCandidates() const { return m_mostCandidates; }
    std::size_t looks() const { return m_looks; }

private:
    static constexpr Millis tickInterval{50};
    static constexpr Millis closeInterval{700};
    static constexpr Millis idleInterval{2'500};

    struct Entry
    {
        EntryCapacity capacity;
        OwnerCandidates candidacy;
        Instant looksAt;
        bool up = true;
        bool isCandidate = false;
    };

    void add(const std::string &peer, const EntryCapacity &capacity)
    {
        OwnerCandidates candidacy({}, peer, capacity, m_now);
        const Instant looksAt = candidacy.mayJoinAt();
        m_entries.emplace(peer, Entry{capacity, std::move(candidacy), looksAt});
    }

    void look(const std::string &peer, Entry &entry)
    {
        ++m_looks;
        std::vector<EntryRow> others;
        for (const auto &[address, it] : m_entries) {
            if (it.up && it.isCandidate && address != peer)
                others.push_back({address, it.capacity, false, {}});
        }
        entry.candidacy.observe(others, m_shards, m_now);
        if (!entry.isCandidate && entry.candidacy.shouldJoin(m_now))
            entry.isCandidate = true;
        else if (entry.isCandidate && entry.candidacy.shouldLeave(m_now))
            entry.isCandidate = false;
        entry.looksAt = m_now + (entry.isCandidate ? closeInterval : idleInterval);
    }

    const std::size_t m_shards;
    Instant m_now = start;
    std::map<std::string, Entry> m_entries;
    std::size_t m_mostCandidates = 0;
    std::size_t m_looks = 0;
};

std::size_t wantedFor(std::size_t shards)
{
    const OwnerCandidateSettings settings;
    return settings.candidatesPerShard * shards + settings.spareCandidates;
}

} // namespace

// The pattern of a large deployment that starts at once: with a session for each of 150 entries,
// renewing and reading them was most of what the store was asked for.
TEST_CASE("Of 150 entries that start at once only the strongest few stay candidates")
{
    constexpr std::size_t shards = 3;
    SimulatedDeployment deployment(20, 130, shards);
    deployment.advance(Millis{3'000});
    CHECK(deployment.mostCandidates() <= 20);
    CHECK(deployment.strongCandidates() == deployment.candidates().size());
    deployment.advance(Millis{20'000});
    const OwnerCandidateSettings settings;
    CHECK(deployment.candidates().size() >= wantedFor(shards));
    CHECK(deployment.candidates().size() <= wantedFor(shards) + settings.surplusToLeave);
}

TEST_CASE("Every entry of a small deployment is a candidate")
{
    SimulatedDeployment deployment(0, 8, 1);
    deployment.advance(Millis{1'000});
    CHECK(deployment.candidates().size() == 8);
    deployment.advance(Millis{20'000});
    CHECK(deployment.candidates().size() == 8);
}

// Guards against shards that nobody claims since all candidates were lost together.
TEST_CASE("Weak entries become candidates when all strong ones are lost")
{
    constexpr std::size_t shards = 3;
    SimulatedDeployment deployment(20, 130, shards);
    deployment.advance(Millis{10'000});
    for (const std::string &it : deployment.candidates())
        deployment.kill(it);
    for (int i = 0; i < 20; ++i)
        deployment.kill("10.0.0." + std::to_string(i) + ":1");
    CHECK(deployment.candidates().empty());
    deployment.advance(Millis{2'500});
    CHECK(deployment.candidates().size() >= wantedFor(shards));
    deployment.advance(Millis{20'000});
    const OwnerCandidateSettings settings;
    CHECK(deployment.candidates().size() <= wantedFor(shards) + settings.surplusToLeave);
}

TEST_CASE("A stronger entry that comes later replaces a weak candidate")
{
    OwnerCandidates candidate({}, "10.0.0.1:1", weak, start);
    const std::size_t wanted = wantedFor(1);
    const OwnerCandidateSettings settings;
    std::vector<EntryRow> others(wanted - 1, EntryRow{"10.0.0.2:1", strong, false, {}});
    candidate.observe(others, 1, start + Millis{1'000});
    CHECK(candidate.shouldJoin(start + Millis{1'000}));
    others.resize(wanted + settings.surplusToLeave, others.front());
    const Instant surplusAt = start + Millis{2'000};
    candidate.observe(others, 1, surplusAt);
    CHECK_FALSE(candidate.shouldLeave(surplusAt));
    candidate.observe(others, 1, surplusAt + settings.leaveAfter);
    CHECK(candidate.shouldLeave(surplusAt + settings.leaveAfter));
}
