#pragma once

#include "savorywick/clock.h"
#include "savorywick/resources.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace savorywick {

// The share of the cores and the quota of one team.
struct TeamShare
{
    double weight = 1.0; // Share of the core time relative to other busy teams; more than 0.
    Resources quota; // Upper bound on what the team's started work may hold at once.
};

// A unit of work that waits for its start.
struct WaitingItem
{
    std::string id;
    std::string team;
    int priority = 0; // 0 to FairQueueOptions::maxPriority; larger goes first within the team.
    Resources demand;
    Instant waitingSince; // When it was first queued; an evicted item keeps this time.
};

struct FairQueueOptions
{
    // The waiting time that makes up for one level of priority.
    Millis ageingPerPriorityLevel{600'000};
    int maxPriority = 9; // Larger priorities count as this one.
    // One of this many starts goes to the item that has waited longest; at least 1.
    int oldestFirstPeriod = 8;
    // Once the oldest item has waited this long and does not fit at its turn, resources are
    // reserved for it.
    Millis reservationDelay{900'000};
    // Upper bound on the fit checks in one search for the next item.
    int maxFitChecks = 1'024;
    // The run time for which a team is charged when an item starts. It is refunded at the end, when
    // the real run time has been charged.
    Millis prepaidRunTime{60'000};
};

// Whether an item can start now.
enum class FitResult {
    Fits,
    NotNow, // It will fit once running work ends.
    NotOnAnyHost, // No listed host is large enough. It must not block other items.
};

// Tells a FairQueue which items can start now.
//
// Implement it over an AllocationTable and a Placement.
class FitChecker
{
public:
    virtual ~FitChecker() = default;
    // Returns whether `item` can start now.
    virtual FitResult test(const WaitingItem &item) = 0;
    // Returns true if and only if `item` can start without delaying `reserved`, which does not fit
    // at present. The default returns false, so that all resources that come free go to `reserved`.
    virtual bool fitsBeside(const WaitingItem &item, const WaitingItem &reserved);
};

// Why the item that has waited longest has not started.
enum class WaitReason {
    None, // Nothing waits.
    NextInTurn, // It fits and can start.
    NoRoom, // It does not fit on any host at present.
    NotOnAnyHost, // No listed host is large enough.
    TeamQuota, // It would exceed its team's quota.
};

// Returns the reason's name as it appears in reports, such as "team-quota".
std::string_view toString(WaitReason reason);

// The item that has waited longest, or no item if none waits.
struct OldestWaiting
{
    std::optional<WaitingItem> item;
    WaitReason reason = WaitReason::None;
};

// Orders waiting work by weighted fair queueing among teams, with quotas, priorities that age and a
// bound on starvation.
//
// Use it to choose which item starts next. Its rules are:
// - Of the teams with waiting work within their quota, the one with the least core time per weight
//   goes first. A team that was idle resumes at the current virtual time, without credit.
// - Within a team, the item with the largest sum of priority and age goes first. An item is
//   overtaken only by items queued at most (maxPriority - priority) * ageingPerPriorityLevel later.
// - One of `oldestFirstPeriod` starts goes to the item within quota that has waited longest. The
//   r-th oldest thus starts within r * `oldestFirstPeriod` starts, whatever arrives. If that item
//   does not fit, it keeps its turn, and after `reservationDelay` resources are reserved for it.
// Not thread-safe.
//
// Example:
//   FairQueue queue({});
//   queue.setTeam("matching", {.weight = 2, .quota = {64, 250'000, 0}});
//   queue.push({"run-12", "matching", 5, {4, 8'192, 0}, now}, now);
//   while (auto item = queue.pop(now, fitChecker))
//       place(*item);
class FairQueue
{
public:
    explicit FairQueue(const FairQueueOptions &options);
    ~FairQueue();

    // Sets a team's share. Teams that were never set have weight 1 and no quota.
    // Throws Error(InvalidInput) if the weight is not positive or the quota has a negative value.
    void setTeam(std::string_view team, const TeamShare &share);

    // Queues an item; returns false if its id is waiting or started already.
    bool push(const WaitingItem &item, Instant now);
    // Returns the item that should start next, or nothing if no item is found that may start now.
    std::optional<WaitingItem> peek(Instant now, FitChecker &fit);
    // Returns the item that `peek` returns and marks it as started.
    std::optional<WaitingItem> pop(Instant now, FitChecker &fit);
    // Marks a waiting item as started: it counts against its team's quota and share from now on.
    // Returns false if the item is not waiting.
    bool markStarted(std::string_view id, Instant now);
    // Adds an item that runs already, such as when a new owner of the shard learns of it.
    // Returns false if its id is waiting or started already.
    bool restoreStarted(const WaitingItem &item, Instant now);
    // Stops counting a started item against its team's quota and share. Unknown ids are ignored.
    void markFinished(std::string_view id, Instant now);
    // Changes the resources that a started item holds, such as when its real use is known. Unknown
    // ids are ignored.
    void resizeStarted(std::string_view id, const Resources &demand, Instant now);
    // Removes a waiting item; returns false if the item is not waiting.
    bool remove(std::string_view id);

    // Returns the number of waiting items of all teams.
    std::size_t waitingCount() const { return m_waiting.size(); }
    // Returns the number of waiting items of a team; 0 if it is unknown.
    std::size_t waitingCount(std::string_view team) const;
    // Returns the resources that the team's started items hold; nothing if it is unknown.
    Resources heldBy(std::string_view team) const;
    // Returns the item that has waited longest and why it has not started.
    OldestWaiting oldest(FitChecker &fit) const;

private:
    struct Team;
    struct QueuedItem;
    struct StartedItem;
    struct Search;
    // Orders items by a time, then by arrival.
    struct ItemRank
    {
        std::int64_t time = 0; // In milliseconds.
        std::uint64_t sequence = 0;
        QueuedItem *queuedItem = nullptr;
        bool operator<(const ItemRank &other) const;
    };
    // The waiting items of one team that demand the same resources.
    struct SizeClass
    {
        std::set<ItemRank> byAgedPriority;
        std::set<ItemRank> byAge;
    };
    // Orders teams by virtual time, then by creation.
    struct TeamRank
    {
        double virtualTime = 0;
        std::size_t serial = 0;
        Team *team = nullptr;
        bool operator<(const TeamRank &other) const;
    };

    Team &findOrAddTeam(std::string_view team);
    ItemRank agedRank(QueuedItem &queued) const;
    static ItemRank ageRank(QueuedItem &queued);
    void reindex(Team &team);
    void unindex(Team &team);
    void detach(QueuedItem &queued);
    static void charge(Team &team, double coreMillis);
    static void chargeUntil(Team &team, Instant now);
    void chargeFrontTeams(Instant now);
    bool isOldestItemsTurn() const;
    const QueuedItem *choose(Instant now, FitChecker &fit);
    const QueuedItem *chooseByShare(Search &search) const;

    FairQueueOptions m_options;
    std::map<std::string, std::unique_ptr<Team>, std::less<>> m_teams;
    std::unordered_map<std::string, std::unique_ptr<QueuedItem>> m_waiting;
    std::unordered_map<std::string, StartedItem> m_started;
    std::set<ItemRank> m_byAge; // All waiting items.
    std::set<TeamRank> m_eligibleTeams; // Teams with waiting items within quota.
    std::set<ItemRank> m_oldestPerTeam; // The oldest item within quota of each eligible team.
    double m_virtualTime = 0;
    std::uint64_t m_nextSequence = 0;
    int m_startsSinceOldest = 0; // Starts since the oldest item last had its turn.
    std::string m_chosenAsOldest; // The id last chosen for its age; empty if none.
};

} // namespace savorywick
