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

// What a team may hold and how much it gets when others wait too.
struct TeamShare
{
    double weight = 1.0; // Share of the cores relative to other teams; more than 0.
    Resources quota; // The most that the team's started work may hold at once.
};

struct WaitingItem
{
    std::string id;
    std::string team;
    int priority = 0; // 0 to FairQueueOptions::maxPriority; larger goes first within the team.
    Resources need;
    Instant since; // When it began to wait; an evicted item keeps its first instant.
};

struct FairQueueOptions
{
    // One step of priority is worth this much waiting.
    Millis ageingStep{600'000};
    int maxPriority = 9;
    // Of so many starts one goes to the item that has waited longest; at least 1.
    int oldestEvery = 8;
    // If it is the turn of the oldest item, it does not fit and it has waited this long, room is
    // held for it.
    Millis reserveAfter{900'000};
    // The most fit tests in one search.
    int maxTests = 1'024;
    // The run time charged ahead at the start, and given back at the end.
    Millis assumedRun{60'000};
};

enum class Fit {
    Fits,
    NotNow, // It will fit once work ends.
    NotOnAnyHost, // No host that is listed now is large enough; it must not hold others up.
};

// Tells the queue what could start now. Implement it over a ledger and a placement.
class FitTest
{
public:
    virtual ~FitTest() = default;
    virtual Fit test(const WaitingItem &item) = 0;
    // Returns true if and only if `item` can start without delaying `reserved`, which does not fit
    // at present. By default nothing can, so that the room that comes free goes to `reserved`.
    virtual bool fitsBeside(const WaitingItem &item, const WaitingItem &reserved);
};

enum class WaitReason {
    None, // Nothing waits.
    NextInTurn, // It could start now.
    NoRoom,
    NotOnAnyHost,
    TeamQuota,
};

// Returns the reason's name as it appears in reports, such as "team-quota".
std::string_view toString(WaitReason reason);

struct OldestWaiting
{
    std::optional<WaitingItem> item;
    WaitReason reason = WaitReason::None;
};

// Orders waiting work among teams: weighted fair shares of core time, quotas, priorities with
// ageing within a team, and a bound on waiting.
//
// Use it to choose what to start next. Among teams that have work and are within their quota, the
// one with the least core time per weight goes first; a team that was idle starts level with the
// others. Within a team an item goes first if its priority and its age together are larger, so an
// item is overtaken only by items that came at most (maxPriority - priority) ageing steps later.
// One of `oldestEvery` starts goes to the item that has waited longest of all that are within
// quota, so the r-th oldest starts within r * `oldestEvery` starts, whatever arrives. If it does
// not fit, it keeps its turn, and once it is overdue room is held for it. Not thread-safe.
//
// Example:
//   FairQueue queue({});
//   queue.setTeam("matching", {.weight = 2, .quota = {64, 250'000, 0}});
//   queue.push({"run-12", "matching", 5, {4, 8'192, 0}, now}, now);
//   while (auto item = queue.pop(now, fitTest))
//       place(*item);
class FairQueue
{
public:
    explicit FairQueue(const FairQueueOptions &options);
    ~FairQueue();

    // Sets a team's share. Work of teams that were never set has weight 1 and no quota.
    // Throws Error(InvalidInput) if the weight is not positive or the quota has a negative part.
    void setTeam(std::string_view team, const TeamShare &share);

    // Adds an item; returns false if its id waits or is started already.
    bool push(const WaitingItem &item, Instant now);
    // Returns what should start next, or nothing if nothing may start and fits.
    std::optional<WaitingItem> peek(Instant now, FitTest &fit);
    // Returns what `peek` returns and marks it as started.
    std::optional<WaitingItem> pop(Instant now, FitTest &fit);
    // Marks a waiting item as started: it counts against its team's quota and share.
    // Returns false if it does not wait.
    bool started(std::string_view id, Instant now);
    // Counts work that runs already, as a new owner learns it. Returns false if the id is known.
    bool restoreStarted(const WaitingItem &item, Instant now);
    // Ends the accounting of started work. Unknown ids are no error.
    void finished(std::string_view id, Instant now);
    // Changes the size of started work, such as by a learned one.
    void resize(std::string_view id, const Resources &need, Instant now);
    // Removes a waiting item; returns false if it does not wait.
    bool remove(std::string_view id);

    std::size_t waitingCount() const { return m_waiting.size(); }
    std::size_t waitingCount(std::string_view team) const;
    // Returns what the team's started work holds.
    Resources startedOf(std::string_view team) const;
    // Returns the item that has waited longest and why it has not started.
    OldestWaiting oldest(FitTest &fit) const;

private:
    struct Team;
    struct Entry;
    struct Running;
    struct Search;
    // Orders by a time and then by arrival.
    struct Rank
    {
        std::int64_t at = 0;
        std::uint64_t sequence = 0;
        Entry *entry = nullptr;
        bool operator<(const Rank &other) const;
    };
    struct Shape
    {
        std::set<Rank> byAgedPriority;
        std::set<Rank> byAge;
    };
    struct Turn
    {
        double virtualTime = 0;
        std::size_t serial = 0;
        Team *team = nullptr;
        bool operator<(const Turn &other) const;
    };

    Team &teamOf(std::string_view team);
    Rank agedRank(Entry &entry) const;
    static Rank ageRank(Entry &entry);
    void refresh(Team &team);
    void unlist(Team &team);
    void detach(Entry &entry);
    static void charge(Team &team, double coreMillis);
    static void accrue(Team &team, Instant now);
    void settle(Instant now);
    bool oldestHasTurn() const;
    const Entry *choose(Instant now, FitTest &fit);
    const Entry *chooseInTurn(Search &search) const;

    FairQueueOptions m_options;
    std::map<std::string, std::unique_ptr<Team>, std::less<>> m_teams;
    std::unordered_map<std::string, std::unique_ptr<Entry>> m_waiting;
    std::unordered_map<std::string, Running> m_started;
    std::set<Rank> m_byAge; // All waiting items.
    std::set<Turn> m_turns; // Teams with work within quota, by virtual time.
    std::set<Rank> m_oldestOfTeam; // The oldest item within quota of each of those teams.
    double m_virtualTime = 0;
    std::uint64_t m_nextSequence = 0;
    int m_startsInTurn = 0; // Since the oldest item had its turn.
    std::string m_chosenAsOldest; // The id last chosen for its age.
};

} // namespace savorywick
