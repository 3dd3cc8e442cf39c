// Two entries share the slots of the instances without a lock and route within their shares.
#include "savorywick/router.h"
#include "savorywick/slotassignment.h"

#include <cstdio>
#include <map>

using namespace savorywick;

namespace {

constexpr int slotsPerInstance = 8;
const std::vector<EntryInfo> entries{{"entry-a.1", "west-a", "west"},
                                     {"entry-b.1", "west-b", "west"}};
const std::vector<InstanceInfo> instances{
    {"instance-1", "west-a", "west", "rack-1", slotsPerInstance},
    {"instance-2", "west-a", "west", "rack-2", slotsPerInstance},
    {"instance-3", "west-b", "west", "rack-3", slotsPerInstance},
};

// One entry: its shares of the slots, and the router that picks among them.
struct Entry
{
    explicit Entry(const EntryInfo &info, std::uint64_t seed)
        : shares({.entryId = info.id})
        , router({.availabilityZone = info.availabilityZone, .region = info.region}, seed)
    { }

    void update(Instant now)
    {
        shares.update(entries, instances, now, now);
        router.setInstances(shares.usableInstances(now), now);
    }

    SlotAssignment shares;
    Router router;
};

// Picks until no slot is free and returns the picks at each instance.
std::map<std::string, int> fill(Entry &entry, Instant now)
{
    std::map<std::string, int> picks;
    while (const auto id = entry.router.pick({}, now))
        ++picks[*id];
    return picks;
}

// Returns whether an attempt that failed is sent to another instance, as it should be.
bool repeatsElsewhere(Entry &entry, Instant now)
{
    const auto failed = entry.router.pick({}, now);
    if (!failed)
        return false;
    entry.router.recordCompletion(*failed, AttemptOutcome::ConnectFailed, Millis{1}, now);
    const std::vector<std::string> excluded{*failed};
    const auto next = entry.router.pick(excluded, now);
    if (!next)
        return false;
    entry.router.recordCompletion(*next, AttemptOutcome::Answered, Millis{12}, now);
    std::printf("%s failed, %s answered\n", failed->c_str(), next->c_str());
    return *next != *failed;
}

} // namespace

int main()
{
    ManualClock clock;
    Entry first(entries[0], 1);
    Entry second(entries[1], 2);
    first.update(clock.now());
    second.update(clock.now());
    const bool waits = first.shares.usableSlots(clock.now()) == 0;
    std::printf("slots are used %lld ms after they were gained\n",
                static_cast<long long>(first.shares.handoverDelay().count()));

    const Instant handedOver = clock.now() + first.shares.handoverDelay();
    while (clock.now() < handedOver) {
        clock.advance(Millis{1'000});
        first.update(clock.now());
        second.update(clock.now());
    }
    const bool elsewhere = repeatsElsewhere(first, clock.now());

    auto picksOfFirst = fill(first, clock.now());
    auto picksOfSecond = fill(second, clock.now());
    bool exact = true;
    for (const InstanceInfo &it : instances) {
        std::printf("%s: %d requests of %s, %d of %s\n", it.id.c_str(), picksOfFirst[it.id],
                    entries[0].id.c_str(), picksOfSecond[it.id], entries[1].id.c_str());
        exact = exact && picksOfFirst[it.id] + picksOfSecond[it.id] == slotsPerInstance;
    }
    return waits && elsewhere && exact ? 0 : 1;
}
