// Shows how two entries divide the request slots of the upstream's instances between them, without
// a shared lock, and how each routes requests within its share.
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

// An entry with its share of the slots and a router that picks an instance within that share.
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

// Routes requests until no slot is free. Returns the number of requests at each instance.
std::map<std::string, int> useAllSlots(Entry &entry, Instant now)
{
    std::map<std::string, int> requests;
    while (const auto id = entry.router.pick({}, now))
        ++requests[*id];
    return requests;
}

// Returns true if and only if a failed request is retried at another instance.
bool retriesOnAnotherInstance(Entry &entry, Instant now)
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
    const bool noneUsableYet = first.shares.usableSlots(clock.now()) == 0;
    std::printf("a newly assigned slot is used after %lld ms\n",
                static_cast<long long>(first.shares.handoverDelay().count()));

    // Until then the previous owner of a slot may still use it.
    const Instant handoverEnd = clock.now() + first.shares.handoverDelay();
    while (clock.now() < handoverEnd) {
        clock.advance(Millis{1'000});
        first.update(clock.now());
        second.update(clock.now());
    }
    const bool retried = retriesOnAnotherInstance(first, clock.now());

    auto requestsOfFirst = useAllSlots(first, clock.now());
    auto requestsOfSecond = useAllSlots(second, clock.now());
    bool allSlotsUsedOnce = true;
    for (const InstanceInfo &it : instances) {
        std::printf("%s: %d requests from %s, %d from %s\n", it.id.c_str(), requestsOfFirst[it.id],
                    entries[0].id.c_str(), requestsOfSecond[it.id], entries[1].id.c_str());
        allSlotsUsedOnce = allSlotsUsedOnce
            && requestsOfFirst[it.id] + requestsOfSecond[it.id] == slotsPerInstance;
    }
    return noneUsableYet && retried && allSlotsUsedOnce ? 0 : 1;
}
