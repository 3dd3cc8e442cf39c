#include "savorywick/entrylistfreshness.h"
#include "savorywick/slotassignment.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <numeric>

using namespace savorywick;

namespace {

constexpr int slotsPerInstance = 8;
constexpr int runsPerCase = 10;
constexpr Millis maxListAge{300};
constexpr Millis maxAttemptTime{200};
// The time after which others drop an entry that no longer renews its row. It exceeds `maxListAge`
// by more than the difference of the clock rates.
constexpr Millis entryExpiry{320};

std::vector<InstanceInfo> instancesOf(int count)
{
    std::vector<InstanceInfo> result;
    for (int n = 0; n < count; ++n) {
        const std::string region = n % 3 == 0 ? "east" : "west";
        result.push_back({"i" + std::to_string(n), region + "-a", region, "r1", slotsPerInstance});
    }
    return result;
}

// One entry process of the model with its clock, its row in the table and its attempts in flight.
struct ModelEntry
{
    EntryInfo info;
    SlotAssignment assignment;
    EntryListFreshness trust;
    std::vector<EntryInfo> list; // The list of entries as last read.
    std::int64_t clockPermille; // Rate of its clock relative to the model's.
    bool partitioned = false; // Can reach neither the table nor the other entries.
    bool stopped = false;
    Instant renewedAt;
    std::map<std::string, std::vector<Instant>> attemptEnds; // By instance, in model time.

    Instant localTime(Instant t) const { return Instant{t.count() * clockPermille / 1'000}; }
};

// Simulates entries that share one table of rows, in virtual time. Every entry fills each slot
// that it may use, and the model checks after each step that no instance is over its slots.
class ClusterModel
{
public:
    explicit ClusterModel(int instances)
        : m_instances(instancesOf(instances))
    { }

    void join()
    {
        const std::string id = "e" + std::to_string(m_entries.size());
        const std::string region = m_entries.size() % 2 == 0 ? "east" : "west";
        m_entries.push_back(
            {{id, region + "-a", region},
             SlotAssignment({id, SlotLocality::SameRegion, maxListAge, maxAttemptTime}),
             EntryListFreshness(maxListAge),
             {},
             995 + static_cast<std::int64_t>(m_entries.size() * 7 % 11)});
        m_entries.back().renewedAt = m_now;
    }

    void stop(std::size_t n)
    {
        ifRunning(n, [](ModelEntry &it) { it.stopped = true; });
    }
    void togglePartition(std::size_t n)
    {
        ifRunning(n, [](ModelEntry &it) { it.partitioned = !it.partitioned; });
    }

    void toggleTableOutage() { m_tableDown = !m_tableDown; }

    // Renews the entry's row and reads the list, which arrives after `delay`. If the table is down,
    // asks the other entries instead.
    void poll(std::size_t n, Millis delay)
    {
        ifRunning(n, [&](ModelEntry &it) {
            if (it.partitioned)
                return;
            if (m_tableDown) {
                askPeers(it, delay);
                return;
            }
            it.renewedAt = m_now;
            const Instant takenAt = it.localTime(m_now);
            const auto list = listedEntries();
            advanceTime(delay);
            it.list = list;
            it.trust.recordRead(entryListFingerprint(idsOf(list)), takenAt);
            updateAssignment(it);
        });
    }

    void advanceTime(Millis span)
    {
        const Instant end = m_now + span;
        while (m_now < end) {
            m_now = std::min(end, m_now + Millis{10});
            for (ModelEntry &it : m_entries)
                fillUsableSlots(it);
            checkSlots();
        }
    }

    int slotsInUse() const
    {
        int used = 0;
        for (const InstanceInfo &instance : m_instances)
            used += slotsInUseAt(instance.id);
        return used;
    }

    std::size_t size() const { return m_entries.size(); }

private:
    template<typename Action>
    void ifRunning(std::size_t n, Action action)
    {
        if (!m_entries.empty() && !m_entries[n % m_entries.size()].stopped)
            action(m_entries[n % m_entries.size()]);
    }

    struct PeerAnswer
    {
        std::string peer;
        EntryListFingerprint view;
    };

    static std::vector<std::string> idsOf(const std::vector<EntryInfo> &entries)
    {
        std::vector<std::string> ids;
        ids.reserve(entries.size());
        for (const EntryInfo &it : entries)
            ids.push_back(it.id);
        return ids;
    }

    void updateAssignment(ModelEntry &entry) const
    {
        if (entry.trust.confirmedAt())
            entry.assignment.update(entry.list, m_instances, *entry.trust.confirmedAt(),
                                    entry.localTime(m_now));
    }

    void askPeers(ModelEntry &asker, Millis delay)
    {
        const Instant askedAt = asker.localTime(m_now);
        std::vector<PeerAnswer> answers;
        for (ModelEntry &it : m_entries) {
            if (it.stopped || it.partitioned || it.info.id == asker.info.id)
                continue;
            it.trust.recordPeerQuery(asker.trust.fingerprint());
            updateAssignment(it);
            answers.push_back({it.info.id, it.trust.fingerprint()});
        }
        advanceTime(delay);
        for (const PeerAnswer &it : answers)
            asker.trust.recordPeerReply(it.peer, it.view, askedAt, asker.localTime(m_now));
        updateAssignment(asker);
    }

    std::vector<EntryInfo> listedEntries() const
    {
        std::vector<EntryInfo> result;
        for (const ModelEntry &it : m_entries) {
            if (!it.stopped && m_now - it.renewedAt < entryExpiry)
                result.push_back(it.info);
        }
        return result;
    }

    void fillUsableSlots(ModelEntry &entry) const
    {
        for (auto &[instance, ends] : entry.attemptEnds)
            std::erase_if(ends, [&](Instant end) { return end <= m_now; });
        if (entry.stopped)
            return;
        for (const InstanceInfo &instance :
             entry.assignment.usableInstances(entry.localTime(m_now))) {
            auto &ends = entry.attemptEnds[instance.id];
            while (static_cast<int>(ends.size()) < instance.slots)
                ends.push_back(m_now + maxAttemptTime);
        }
    }

    int slotsInUseAt(const std::string &instance) const
    {
        return std::accumulate(
            m_entries.begin(), m_entries.end(), 0, [&](int sum, const ModelEntry &it) {
                const auto found = it.attemptEnds.find(instance);
                return found == it.attemptEnds.end() ? sum
                                                     : sum + static_cast<int>(found->second.size());
            });
    }

    void checkSlots() const
    {
        for (const InstanceInfo &instance : m_instances)
            RC_ASSERT(slotsInUseAt(instance.id) <= slotsPerInstance);
    }

    std::vector<InstanceInfo> m_instances;
    std::vector<ModelEntry> m_entries;
    bool m_tableDown = false;
    Instant m_now{10'000};
};

// Lets nearly all entries poll in turn, so that most lists are fresh most of the time.
void runRound(ClusterModel &model)
{
    for (std::size_t n = 0; n < model.size(); ++n) {
        if (*rc::gen::inRange(0, 10) > 0)
            model.poll(n, Millis{*rc::gen::element(0, 10, 20, 100)});
    }
    model.advanceTime(Millis{*rc::gen::element(10, 20, 50, 150)});
}

void runEvent(ClusterModel &model)
{
    const auto n = *rc::gen::inRange<std::size_t>(0, 6);
    switch (*rc::gen::weightedElement<int>({{30, 0}, {3, 1}, {1, 2}, {3, 3}, {2, 4}, {1, 5}})) {
    case 0:
        runRound(model);
        break;
    case 1:
        if (model.size() < 6)
            model.join();
        break;
    case 2:
        model.stop(n);
        break;
    case 3:
        model.togglePartition(n);
        break;
    case 4:
        model.toggleTableOutage();
        break;
    default:
        model.advanceTime(Millis{*rc::gen::inRange(0, 700)});
    }
}

} // namespace

// Guards against overload of an instance whose slots two entries use at once, because one of them
// acts on an outdated list of entries.
TEST_CASE("All entries together never use more slots than an instance has")
{
    CHECK(rc::check("under joins, stops, partitions, outages, stale lists and clock drift", [] {
        for (int run = 0; run < runsPerCase; ++run) {
            ClusterModel model(3);
            model.join();
            model.join();
            const int events = *rc::gen::inRange(0, 200);
            for (int n = 0; n < events; ++n)
                runEvent(model);
        }
    }));
}

TEST_CASE("Every slot is in use once the list of entries is stable")
{
    ClusterModel model(10);
    for (int n = 0; n < 5; ++n)
        model.join();
    for (int round = 0; round < 30; ++round) {
        for (std::size_t n = 0; n < model.size(); ++n)
            model.poll(n, Millis{10});
    }
    CHECK(model.slotsInUse() == 10 * slotsPerInstance);
}

TEST_CASE("All slots stay in use while the table is down")
{
    ClusterModel model(10);
    for (int n = 0; n < 5; ++n)
        model.join();
    for (int round = 0; round < 200; ++round) {
        if (round == 30)
            model.toggleTableOutage();
        if (round == 60)
            model.togglePartition(1); // One of the five entries becomes unreachable as well.
        for (std::size_t n = 0; n < model.size(); ++n)
            model.poll(n, Millis{10});
        if (round > 30 && round < 60)
            REQUIRE(model.slotsInUse() == 10 * slotsPerInstance);
    }
    CHECK(model.slotsInUse() > 5 * slotsPerInstance);
}

// Guards against split brain: only a majority may keep using a list that cannot be read again.
TEST_CASE("Half of the entries or fewer stop using slots when their list is stale")
{
    ClusterModel model(10);
    for (int n = 0; n < 4; ++n)
        model.join();
    for (int round = 0; round < 60; ++round) {
        if (round == 30) {
            model.toggleTableOutage();
            model.togglePartition(0);
            model.togglePartition(1);
        }
        for (std::size_t n = 0; n < model.size(); ++n)
            model.poll(n, Millis{10});
    }
    CHECK(model.slotsInUse() == 0);
}

TEST_CASE("A slot moves only to an entry that joins or from one that leaves")
{
    CHECK(rc::check("for any order of the list", [] {
        const auto ids = *rc::gen::unique<std::vector<int>>(rc::gen::inRange(0, 500));
        RC_PRE(ids.size() >= 2);
        std::vector<EntryInfo> all;
        all.reserve(ids.size());
        for (const int id : ids)
            all.push_back({"e" + std::to_string(id), "west-a", "west"});
        std::vector<EntryInfo> fewer(all.rbegin(), all.rend() - 1); // Reversed, without the first.
        for (const InstanceInfo &instance : instancesOf(5)) {
            for (int slot = 0; slot < slotsPerInstance; ++slot) {
                const auto with = slotOwner(instance, slot, all, SlotLocality::SameRegion);
                const auto without = slotOwner(instance, slot, fewer, SlotLocality::SameRegion);
                RC_ASSERT(*with == 0 || all[*with].id == fewer[*without].id);
            }
        }
    }));
}

TEST_CASE("Slots are owned by entries of the instance's region if it has any")
{
    const std::vector<EntryInfo> entries{{"a", "west-a", "west"}, {"b", "east-a", "east"}};
    for (const InstanceInfo &instance : instancesOf(6)) {
        for (int slot = 0; slot < slotsPerInstance; ++slot) {
            const auto owner = slotOwner(instance, slot, entries, SlotLocality::SameRegion);
            CHECK(entries[*owner].region == instance.region);
        }
    }
}

TEST_CASE("No slot is usable with a stale list and a new list restarts the handover")
{
    SlotAssignment assignment({"a", SlotLocality::Anywhere, maxListAge, maxAttemptTime});
    const std::vector<EntryInfo> entries{{"a", "west-a", "west"}};
    const auto instances = instancesOf(2);
    Instant now{0};
    const Instant usableAt = now + assignment.handoverDelay();
    for (; now < usableAt; now = now + Millis{100}) {
        assignment.update(entries, instances, now, now);
        CHECK(assignment.usableSlots(now) == 0);
    }
    assignment.update(entries, instances, now, now);
    CHECK(assignment.usableSlots(now) == 2 * slotsPerInstance);
    CHECK(*assignment.nextChangeAt(now) == now + maxListAge + Millis{1});
    now = now + maxListAge + Millis{1};
    CHECK(assignment.usableSlots(now) == 0);
    assignment.update(entries, instances, now, now);
    CHECK(assignment.usableSlots(now) == 0);
    CHECK(*assignment.nextChangeAt(now) == now + maxListAge + Millis{1});
}

TEST_CASE("A peer is picked for forwarding only if it may have a free slot")
{
    SlotAssignment assignment({"a", SlotLocality::Anywhere, maxListAge, maxAttemptTime});
    const std::vector<EntryInfo> entries{{"a", "z", "r"}, {"b", "z", "r"}, {"c", "z", "r"}};
    const Instant now{0};
    assignment.update(entries, instancesOf(3), now, now);
    const std::vector<std::string> notC{"c"};
    // A peer that has not reported may have a free slot.
    CHECK(assignment.pickPeer(notC, 7, now) == "b");
    assignment.recordPeerFreeSlots("b", 1, now);
    CHECK(assignment.pickPeer(notC, 7, now) == "b");
    // The pick before took the last free slot of "b".
    CHECK(assignment.pickPeer(notC, 7, now) == std::nullopt);
    assignment.recordPeerFreeSlots("c", 0, now);
    CHECK(assignment.pickPeer({}, 7, now) == std::nullopt);
    // The reports expire.
    CHECK(assignment.pickPeer({}, 7, now + Millis{2'000}).has_value());
}

TEST_CASE("A peer of another region is picked only if none of this region has a free slot")
{
    SlotAssignment assignment({"a", SlotLocality::Anywhere, maxListAge, maxAttemptTime});
    const std::vector<EntryInfo> entries{{"far", "z", "east"}, {"a", "z", "r"}, {"near", "z", "r"}};
    const Instant now{0};
    assignment.update(entries, instancesOf(3), now, now);
    for (std::uint64_t random = 0; random < 20; ++random)
        CHECK(assignment.pickPeer({}, random, now) == "near");
    assignment.recordPeerFreeSlots("near", 0, now);
    CHECK(assignment.pickPeer({}, 0, now) == "far");
}

TEST_CASE("An entry's usable slots are those that it owns")
{
    for (const auto locality :
         {SlotLocality::Anywhere, SlotLocality::SameRegion, SlotLocality::SameZone}) {
        const std::vector<EntryInfo> entries{
            {"a", "west-a", "west"}, {"b", "west-a", "west"}, {"c", "west-b", "west"}};
        const auto instances = instancesOf(6);
        SlotAssignment assignment({"b", locality, maxListAge, maxAttemptTime});
        Instant now{0};
        for (; now <= Instant{0} + assignment.handoverDelay(); now = now + maxListAge)
            assignment.update(entries, instances, now, now);
        assignment.update(entries, instances, now, now);
        int owned = 0;
        for (const InstanceInfo &instance : instances) {
            for (int slot = 0; slot < slotsPerInstance; ++slot)
                owned += entries[*slotOwner(instance, slot, entries, locality)].id == "b" ? 1 : 0;
        }
        CHECK(assignment.usableSlots(now) == owned);
    }
}
