#include "savorywick/listtrust.h"
#include "savorywick/slotshares.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <numeric>

using namespace savorywick;

namespace {

constexpr int slotsPerInstance = 8;
constexpr int runsPerCase = 10;
constexpr Millis listAge{300};
constexpr Millis attemptTime{200};
constexpr Millis deathTerm{320}; // Longer than the list's age by more than the clocks' rates.

std::vector<InstanceInfo> instancesOf(int count)
{
    std::vector<InstanceInfo> result;
    for (int n = 0; n < count; ++n) {
        const std::string region = n % 3 == 0 ? "east" : "west";
        result.push_back({"i" + std::to_string(n), region + "-a", region, "r1", slotsPerInstance});
    }
    return result;
}

// One entry process of the model: its clock, its row, and the attempts that it has in flight.
struct ModelEntry
{
    EntryInfo info;
    SlotShares shares;
    ListTrust trust;
    std::vector<EntryInfo> list; // As last read.
    std::int64_t clockPermille; // Rate of its clock against the model's.
    bool cut = false; // Reaches neither the table nor the other entries.
    bool gone = false;
    Instant renewedAt;
    std::map<std::string, std::vector<Instant>> attemptEnds; // By instance, on the model's clock.

    Instant local(Instant t) const { return Instant{t.count() * clockPermille / 1'000}; }
};

// All entries over one table of rows, in virtual time; each fills every slot that it may use.
class Model
{
public:
    explicit Model(int instances)
        : m_instances(instancesOf(instances))
    { }

    void join()
    {
        const std::string id = "e" + std::to_string(m_entries.size());
        const std::string region = m_entries.size() % 2 == 0 ? "east" : "west";
        m_entries.push_back({{id, region + "-a", region},
                             SlotShares({id, ShareLocality::SameRegion, listAge, attemptTime}),
                             ListTrust(listAge),
                             {},
                             995 + static_cast<std::int64_t>(m_entries.size() * 7 % 11)});
        m_entries.back().renewedAt = m_now;
    }

    void leave(std::size_t n)
    {
        with(n, [](ModelEntry &it) { it.gone = true; });
    }
    void toggleCut(std::size_t n)
    {
        with(n, [](ModelEntry &it) { it.cut = !it.cut; });
    }

    void toggleTable() { m_tableDown = !m_tableDown; }

    // Renews the entry's row and reads the list, which takes effect here after `delay`; asks the
    // others if the table is down.
    void poll(std::size_t n, Millis delay)
    {
        with(n, [&](ModelEntry &it) {
            if (it.cut)
                return;
            if (m_tableDown) {
                ask(it, delay);
                return;
            }
            it.renewedAt = m_now;
            const Instant takenAt = it.local(m_now);
            const auto list = listed();
            pass(delay);
            it.list = list;
            it.trust.noteRead(listViewOf(idsOf(list)), takenAt);
            update(it);
        });
    }

    void pass(Millis span)
    {
        const Instant end = m_now + span;
        while (m_now < end) {
            m_now = std::min(end, m_now + Millis{10});
            for (ModelEntry &it : m_entries)
                fill(it);
            checkSlots();
        }
    }

    int inUse() const
    {
        int used = 0;
        for (const InstanceInfo &instance : m_instances)
            used += usedAt(instance.id);
        return used;
    }

    std::size_t size() const { return m_entries.size(); }

private:
    template<typename Action>
    void with(std::size_t n, Action action)
    {
        if (!m_entries.empty() && !m_entries[n % m_entries.size()].gone)
            action(m_entries[n % m_entries.size()]);
    }

    struct Answer
    {
        std::string peer;
        ListView view;
    };

    static std::vector<std::string> idsOf(const std::vector<EntryInfo> &entries)
    {
        std::vector<std::string> ids;
        ids.reserve(entries.size());
        for (const EntryInfo &it : entries)
            ids.push_back(it.id);
        return ids;
    }

    void update(ModelEntry &entry) const
    {
        if (entry.trust.goodSince())
            entry.shares.update(entry.list, m_instances, *entry.trust.goodSince(),
                                entry.local(m_now));
    }

    void ask(ModelEntry &asker, Millis delay)
    {
        const Instant askedAt = asker.local(m_now);
        std::vector<Answer> answers;
        for (ModelEntry &it : m_entries) {
            if (it.gone || it.cut || it.info.id == asker.info.id)
                continue;
            it.trust.noteQuestion(asker.trust.view());
            update(it);
            answers.push_back({it.info.id, it.trust.view()});
        }
        pass(delay);
        for (const Answer &it : answers)
            asker.trust.noteAnswer(it.peer, it.view, askedAt, asker.local(m_now));
        update(asker);
    }

    std::vector<EntryInfo> listed() const
    {
        std::vector<EntryInfo> result;
        for (const ModelEntry &it : m_entries) {
            if (!it.gone && m_now - it.renewedAt < deathTerm)
                result.push_back(it.info);
        }
        return result;
    }

    void fill(ModelEntry &entry) const
    {
        for (auto &[instance, ends] : entry.attemptEnds)
            std::erase_if(ends, [&](Instant end) { return end <= m_now; });
        if (entry.gone)
            return;
        for (const InstanceInfo &share : entry.shares.usable(entry.local(m_now))) {
            auto &ends = entry.attemptEnds[share.id];
            while (static_cast<int>(ends.size()) < share.slots)
                ends.push_back(m_now + attemptTime);
        }
    }

    int usedAt(const std::string &instance) const
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
            RC_ASSERT(usedAt(instance.id) <= slotsPerInstance);
    }

    std::vector<InstanceInfo> m_instances;
    std::vector<ModelEntry> m_entries;
    bool m_tableDown = false;
    Instant m_now{10'000};
};

// Lets nearly all entries poll in turn, so that most lists are trusted most of the time.
void runRound(Model &model)
{
    for (std::size_t n = 0; n < model.size(); ++n) {
        if (*rc::gen::inRange(0, 10) > 0)
            model.poll(n, Millis{*rc::gen::element(0, 10, 20, 100)});
    }
    model.pass(Millis{*rc::gen::element(10, 20, 50, 150)});
}

void runEvent(Model &model)
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
        model.leave(n);
        break;
    case 3:
        model.toggleCut(n);
        break;
    case 4:
        model.toggleTable();
        break;
    default:
        model.pass(Millis{*rc::gen::inRange(0, 700)});
    }
}

} // namespace

TEST_CASE("All entries together never use more slots than an instance has")
{
    CHECK(rc::check("under joins, departures, cuts, outages, lagging lists and unequal clocks", [] {
        for (int run = 0; run < runsPerCase; ++run) {
            Model model(3);
            model.join();
            model.join();
            const int events = *rc::gen::inRange(0, 200);
            for (int n = 0; n < events; ++n)
                runEvent(model);
        }
    }));
}

TEST_CASE("Every slot is in use once the entries have settled")
{
    Model model(10);
    for (int n = 0; n < 5; ++n)
        model.join();
    for (int round = 0; round < 30; ++round) {
        for (std::size_t n = 0; n < model.size(); ++n)
            model.poll(n, Millis{10});
    }
    CHECK(model.inUse() == 10 * slotsPerInstance);
}

TEST_CASE("All slots stay in use while the table is down")
{
    Model model(10);
    for (int n = 0; n < 5; ++n)
        model.join();
    for (int round = 0; round < 200; ++round) {
        if (round == 30)
            model.toggleTable();
        if (round == 60)
            model.toggleCut(1); // One of five is lost besides.
        for (std::size_t n = 0; n < model.size(); ++n)
            model.poll(n, Millis{10});
        if (round > 30 && round < 60)
            REQUIRE(model.inUse() == 10 * slotsPerInstance);
    }
    CHECK(model.inUse() > 5 * slotsPerInstance);
}

TEST_CASE("Half of the entries or fewer do not go on with an old list")
{
    Model model(10);
    for (int n = 0; n < 4; ++n)
        model.join();
    for (int round = 0; round < 60; ++round) {
        if (round == 30) {
            model.toggleTable();
            model.toggleCut(0);
            model.toggleCut(1);
        }
        for (std::size_t n = 0; n < model.size(); ++n)
            model.poll(n, Millis{10});
    }
    CHECK(model.inUse() == 0);
}

TEST_CASE("A slot moves only to an entry that joins or from one that leaves")
{
    CHECK(rc::check("whatever the order of the list", [] {
        const auto ids = *rc::gen::unique<std::vector<int>>(rc::gen::inRange(0, 500));
        RC_PRE(ids.size() >= 2);
        std::vector<EntryInfo> all;
        all.reserve(ids.size());
        for (const int id : ids)
            all.push_back({"e" + std::to_string(id), "west-a", "west"});
        std::vector<EntryInfo> fewer(all.rbegin(), all.rend() - 1); // Without the first.
        for (const InstanceInfo &instance : instancesOf(5)) {
            for (int slot = 0; slot < slotsPerInstance; ++slot) {
                const auto with = slotOwner(instance, slot, all, ShareLocality::SameRegion);
                const auto without = slotOwner(instance, slot, fewer, ShareLocality::SameRegion);
                RC_ASSERT(*with == 0 || all[*with].id == fewer[*without].id);
            }
        }
    }));
}

TEST_CASE("Slots go to entries of the instance's region while it has any")
{
    const std::vector<EntryInfo> entries{{"a", "west-a", "west"}, {"b", "east-a", "east"}};
    for (const InstanceInfo &instance : instancesOf(6)) {
        for (int slot = 0; slot < slotsPerInstance; ++slot) {
            const auto owner = slotOwner(instance, slot, entries, ShareLocality::SameRegion);
            CHECK(entries[*owner].region == instance.region);
        }
    }
}

TEST_CASE("A list that is too old allows no slot and a new one starts the handover anew")
{
    SlotShares shares({"a", ShareLocality::Anywhere, listAge, attemptTime});
    const std::vector<EntryInfo> entries{{"a", "west-a", "west"}};
    const auto instances = instancesOf(2);
    Instant now{0};
    const Instant usableAt = now + shares.handover();
    for (; now < usableAt; now = now + Millis{100}) {
        shares.update(entries, instances, now, now);
        CHECK(shares.usableSlots(now) == 0);
    }
    shares.update(entries, instances, now, now);
    CHECK(shares.usableSlots(now) == 2 * slotsPerInstance);
    CHECK(*shares.nextChange(now) == now + listAge + Millis{1});
    now = now + listAge + Millis{1};
    CHECK(shares.usableSlots(now) == 0);
    shares.update(entries, instances, now, now);
    CHECK(shares.usableSlots(now) == 0);
    CHECK(*shares.nextChange(now) == now + listAge + Millis{1});
}

TEST_CASE("A peer is named to forward to only while it may have room")
{
    SlotShares shares({"a", ShareLocality::Anywhere, listAge, attemptTime});
    const std::vector<EntryInfo> entries{{"a", "z", "r"}, {"b", "z", "r"}, {"c", "z", "r"}};
    const Instant now{0};
    shares.update(entries, instancesOf(3), now, now);
    const std::vector<std::string> notC{"c"};
    CHECK(shares.peerWithRoom(notC, 7, now) == "b"); // Not heard of yet: it may have room.
    shares.notePeer("b", 1, now);
    CHECK(shares.peerWithRoom(notC, 7, now) == "b");
    CHECK(shares.peerWithRoom(notC, 7, now) == std::nullopt); // That one has taken its last.
    shares.notePeer("c", 0, now);
    CHECK(shares.peerWithRoom({}, 7, now) == std::nullopt);
    CHECK(shares.peerWithRoom({}, 7, now + Millis{2'000}).has_value()); // The word has gone stale.
}

TEST_CASE("A peer of another region is named only when none of this region has room")
{
    SlotShares shares({"a", ShareLocality::Anywhere, listAge, attemptTime});
    const std::vector<EntryInfo> entries{{"far", "z", "east"}, {"a", "z", "r"}, {"near", "z", "r"}};
    const Instant now{0};
    shares.update(entries, instancesOf(3), now, now);
    for (std::uint64_t draw = 0; draw < 20; ++draw)
        CHECK(shares.peerWithRoom({}, draw, now) == "near");
    shares.notePeer("near", 0, now);
    CHECK(shares.peerWithRoom({}, 0, now) == "far");
}

TEST_CASE("An entry's shares are the slots whose owner it is")
{
    for (const auto locality :
         {ShareLocality::Anywhere, ShareLocality::SameRegion, ShareLocality::SameZone}) {
        const std::vector<EntryInfo> entries{
            {"a", "west-a", "west"}, {"b", "west-a", "west"}, {"c", "west-b", "west"}};
        const auto instances = instancesOf(6);
        SlotShares shares({"b", locality, listAge, attemptTime});
        Instant now{0};
        for (; now <= Instant{0} + shares.handover(); now = now + listAge)
            shares.update(entries, instances, now, now);
        shares.update(entries, instances, now, now);
        int owned = 0;
        for (const InstanceInfo &instance : instances) {
            for (int slot = 0; slot < slotsPerInstance; ++slot)
                owned += entries[*slotOwner(instance, slot, entries, locality)].id == "b" ? 1 : 0;
        }
        CHECK(shares.usableSlots(now) == owned);
    }
}
