#include "savorywick/fairqueue.h"

#include "savorywick/errors.h"

#include <algorithm>
#include <limits>

namespace savorywick {

namespace {

// Half of the range, so that a sum with it does not overflow.
constexpr int unlimitedAmount = std::numeric_limits<int>::max() / 2;
constexpr Resources noQuota{unlimitedAmount, unlimitedAmount, unlimitedAmount};

} // namespace

struct FairQueue::QueuedItem
{
    WaitingItem item;
    Team *team = nullptr;
    std::uint64_t sequence = 0;
};

struct FairQueue::StartedItem
{
    Team *team = nullptr;
    Resources demand;
    double prepaidCoreMillis = 0; // Charged at the start, refunded at the end.
};

struct FairQueue::Team
{
    std::string name;
    std::size_t serial = 0;
    TeamShare share{1.0, noQuota};
    Resources held; // By the team's started items.
    double virtualTime = 0;
    Instant chargedUntil; // The core time of started items is charged up to this time.
    std::map<Resources, SizeClass> sizeClasses; // Waiting items by demand.
    std::size_t waiting = 0;
    bool indexed = false; // Is in m_eligibleTeams and m_oldestPerTeam, under the ranks below.
    TeamRank rank;
    ItemRank oldest;

    bool hasQuotaFor(const Resources &demand) const { return (held + demand).fitsIn(share.quota); }
};

// One search for the next item, with its budget of fit checks.
struct FairQueue::Search
{
    FitChecker &fit;
    int checksLeft = 0;
    const QueuedItem *reserved = nullptr; // The item with reserved resources, or null.

    bool canStart(const QueuedItem &queued)
    {
        --checksLeft;
        if (fit.test(queued.item) != FitResult::Fits)
            return false;
        return !reserved || fit.fitsBeside(queued.item, reserved->item);
    }
};

bool FitChecker::fitsBeside(const WaitingItem &, const WaitingItem &)
{
    return false;
}

std::string_view toString(WaitReason reason)
{
    switch (reason) {
    case WaitReason::None:
        return "none";
    case WaitReason::NextInTurn:
        return "next-in-turn";
    case WaitReason::NoRoom:
        return "no-room";
    case WaitReason::NotOnAnyHost:
        return "not-on-any-host";
    case WaitReason::TeamQuota:
        return "team-quota";
    }
    return "unnamed";
}

bool FairQueue::ItemRank::operator<(const ItemRank &other) const
{
    return time != other.time ? time < other.time : sequence < other.sequence;
}

bool FairQueue::TeamRank::operator<(const TeamRank &other) const
{
    return virtualTime != other.virtualTime ? virtualTime < other.virtualTime
                                            : serial < other.serial;
}

FairQueue::FairQueue(const FairQueueOptions &options)
    : m_options(options)
{
    m_options.oldestFirstPeriod = std::max(m_options.oldestFirstPeriod, 1);
}

FairQueue::~FairQueue() = default;

FairQueue::Team &FairQueue::findOrAddTeam(std::string_view team)
{
    const auto it = m_teams.find(team);
    if (it != m_teams.end())
        return *it->second;
    auto created = std::make_unique<Team>();
    created->name = team;
    created->serial = m_teams.size();
    return *m_teams.emplace(std::string(team), std::move(created)).first->second;
}

void FairQueue::setTeam(std::string_view team, const TeamShare &share)
{
    if (!(share.weight > 0))
        throw Error(ErrorKind::InvalidInput,
                    "the weight of team '" + std::string(team) + "' is not positive",
                    "set a weight above 0");
    if (!share.quota.isValid())
        throw Error(ErrorKind::InvalidInput,
                    "the quota of team '" + std::string(team) + "' has a negative value",
                    "set cores, memory and accelerators to 0 or more");
    Team &found = findOrAddTeam(team);
    found.share = share;
    reindex(found);
}

// Ranks an item by when it was queued, brought forward by its priority.
FairQueue::ItemRank FairQueue::agedRank(QueuedItem &queued) const
{
    const int priority = std::clamp(queued.item.priority, 0, m_options.maxPriority);
    return {(queued.item.waitingSince - m_options.ageingPerPriorityLevel * priority).count(),
            queued.sequence, &queued};
}

FairQueue::ItemRank FairQueue::ageRank(QueuedItem &queued)
{
    return {queued.item.waitingSince.count(), queued.sequence, &queued};
}

void FairQueue::unindex(Team &team)
{
    if (!team.indexed)
        return;
    m_eligibleTeams.erase(team.rank);
    m_oldestPerTeam.erase(team.oldest);
    team.indexed = false;
}

// Updates the team in the indexes of eligible teams, by its virtual time and by its oldest item
// within quota.
void FairQueue::reindex(Team &team)
{
    unindex(team);
    for (const auto &[demand, sizeClass] : team.sizeClasses) {
        if (!team.hasQuotaFor(demand))
            continue;
        const ItemRank &first = *sizeClass.byAge.begin();
        if (!team.indexed || first < team.oldest)
            team.oldest = first;
        team.indexed = true;
    }
    if (!team.indexed)
        return;
    team.rank = {team.virtualTime, team.serial, &team};
    m_eligibleTeams.insert(team.rank);
    m_oldestPerTeam.insert(team.oldest);
}

bool FairQueue::push(const WaitingItem &item, Instant now)
{
    if (m_waiting.contains(item.id) || m_started.contains(item.id))
        return false;
    auto queued = std::make_unique<QueuedItem>();
    queued->item = item;
    queued->item.waitingSince = std::min(item.waitingSince, now);
    queued->sequence = m_nextSequence++;
    Team &team = findOrAddTeam(item.team);
    queued->team = &team;
    chargeUntil(team, now);
    if (team.waiting == 0)
        team.virtualTime = std::max(team.virtualTime, m_virtualTime);
    SizeClass &sizeClass = team.sizeClasses[item.demand];
    sizeClass.byAgedPriority.insert(agedRank(*queued));
    sizeClass.byAge.insert(ageRank(*queued));
    m_byAge.insert(ageRank(*queued));
    ++team.waiting;
    m_waiting.emplace(item.id, std::move(queued));
    reindex(team);
    return true;
}

// Removes a waiting item from all indexes, and its team from those of eligible teams.
void FairQueue::detach(QueuedItem &queued)
{
    Team &team = *queued.team;
    unindex(team);
    const auto it = team.sizeClasses.find(queued.item.demand);
    it->second.byAgedPriority.erase(agedRank(queued));
    it->second.byAge.erase(ageRank(queued));
    if (it->second.byAge.empty())
        team.sizeClasses.erase(it);
    m_byAge.erase(ageRank(queued));
    --team.waiting;
}

bool FairQueue::remove(std::string_view id)
{
    const auto it = m_waiting.find(std::string(id));
    if (it == m_waiting.end())
        return false;
    Team &team = *it->second->team;
    detach(*it->second);
    m_waiting.erase(it);
    reindex(team);
    return true;
}

void FairQueue::charge(Team &team, double coreMillis)
{
    team.virtualTime += coreMillis / team.share.weight;
}

// Charges the core time of the team's started items up to `now`.
void FairQueue::chargeUntil(Team &team, Instant now)
{
    if (now <= team.chargedUntil)
        return;
    const auto elapsed = static_cast<double>((now - team.chargedUntil).count());
    charge(team, elapsed * team.held.cores);
    team.chargedUntil = now;
}

// Charges the eligible team with the least virtual time up to `now`, and repeats this until the
// team with the least is one that is charged already. Charging never lowers a virtual time, so no
// other team can then have less.
void FairQueue::chargeFrontTeams(Instant now)
{
    while (!m_eligibleTeams.empty() && m_eligibleTeams.begin()->team->chargedUntil < now) {
        Team &team = *m_eligibleTeams.begin()->team;
        chargeUntil(team, now);
        reindex(team);
    }
}

bool FairQueue::markStarted(std::string_view id, Instant now)
{
    const auto it = m_waiting.find(std::string(id));
    if (it == m_waiting.end())
        return false;
    const WaitingItem item = it->second->item;
    Team &team = *it->second->team;
    // The queue's virtual time is the least one of the eligible teams, but never decreases.
    m_virtualTime =
        std::max(m_virtualTime,
                 m_eligibleTeams.empty() ? team.virtualTime : m_eligibleTeams.begin()->virtualTime);
    detach(*it->second);
    m_waiting.erase(it);
    m_startsSinceOldest = item.id == m_chosenAsOldest ? 0 : m_startsSinceOldest + 1;
    return restoreStarted(item, now);
}

bool FairQueue::restoreStarted(const WaitingItem &item, Instant now)
{
    if (m_waiting.contains(item.id) || m_started.contains(item.id))
        return false;
    Team &team = findOrAddTeam(item.team);
    const double prepaidCoreMillis = static_cast<double>(std::max(item.demand.cores, 1))
        * static_cast<double>(m_options.prepaidRunTime.count());
    chargeUntil(team, now);
    m_started.emplace(item.id, StartedItem{&team, item.demand, prepaidCoreMillis});
    team.held = team.held + item.demand;
    charge(team, prepaidCoreMillis);
    reindex(team);
    return true;
}

void FairQueue::markFinished(std::string_view id, Instant now)
{
    const auto it = m_started.find(std::string(id));
    if (it == m_started.end())
        return;
    const StartedItem item = it->second;
    m_started.erase(it);
    Team &team = *item.team;
    chargeUntil(team, now);
    team.held = team.held - item.demand;
    charge(team, -item.prepaidCoreMillis);
    reindex(team);
}

void FairQueue::resizeStarted(std::string_view id, const Resources &demand, Instant now)
{
    const auto it = m_started.find(std::string(id));
    if (it == m_started.end())
        return;
    Team &team = *it->second.team;
    chargeUntil(team, now);
    team.held = team.held - it->second.demand + demand;
    it->second.demand = demand;
    reindex(team);
}

bool FairQueue::isOldestItemsTurn() const
{
    return m_startsSinceOldest >= m_options.oldestFirstPeriod - 1;
}

const FairQueue::QueuedItem *FairQueue::choose(Instant now, FitChecker &fit)
{
    Search search{fit, m_options.maxFitChecks, nullptr};
    m_chosenAsOldest.clear();
    if (!isOldestItemsTurn())
        return chooseByShare(search);
    // The turn goes to the oldest item that any listed host could hold.
    for (const ItemRank &rank : m_oldestPerTeam) {
        const QueuedItem &queued = *rank.queuedItem;
        if (search.checksLeft-- <= 0)
            break;
        const FitResult result = fit.test(queued.item);
        if (result == FitResult::NotOnAnyHost)
            continue;
        if (result == FitResult::Fits) {
            m_chosenAsOldest = queued.item.id;
            return &queued;
        }
        if (now - queued.item.waitingSince >= m_options.reservationDelay)
            search.reserved = &queued;
        break;
    }
    return chooseByShare(search);
}

const FairQueue::QueuedItem *FairQueue::chooseByShare(Search &search) const
{
    std::vector<ItemRank> candidates;
    for (const TeamRank &rank : m_eligibleTeams) {
        candidates.clear();
        for (const auto &[demand, sizeClass] : rank.team->sizeClasses) {
            if (rank.team->hasQuotaFor(demand))
                candidates.push_back(*sizeClass.byAgedPriority.begin());
        }
        std::sort(candidates.begin(), candidates.end());
        for (const ItemRank &candidate : candidates) {
            if (search.checksLeft <= 0)
                return nullptr;
            if (search.canStart(*candidate.queuedItem))
                return candidate.queuedItem;
        }
    }
    return nullptr;
}

std::optional<WaitingItem> FairQueue::peek(Instant now, FitChecker &fit)
{
    chargeFrontTeams(now);
    const QueuedItem *queued = choose(now, fit);
    return queued ? std::optional(queued->item) : std::nullopt;
}

std::optional<WaitingItem> FairQueue::pop(Instant now, FitChecker &fit)
{
    auto item = peek(now, fit);
    if (item)
        markStarted(item->id, now);
    return item;
}

std::size_t FairQueue::waitingCount(std::string_view team) const
{
    const auto it = m_teams.find(team);
    return it == m_teams.end() ? 0 : it->second->waiting;
}

Resources FairQueue::heldBy(std::string_view team) const
{
    const auto it = m_teams.find(team);
    return it == m_teams.end() ? Resources{} : it->second->held;
}

OldestWaiting FairQueue::oldest(FitChecker &fit) const
{
    if (m_byAge.empty())
        return {};
    const QueuedItem &queued = *m_byAge.begin()->queuedItem;
    if (!queued.team->hasQuotaFor(queued.item.demand))
        return {queued.item, WaitReason::TeamQuota};
    switch (fit.test(queued.item)) {
    case FitResult::Fits:
        return {queued.item, WaitReason::NextInTurn};
    case FitResult::NotNow:
        return {queued.item, WaitReason::NoRoom};
    case FitResult::NotOnAnyHost:
        return {queued.item, WaitReason::NotOnAnyHost};
    }
    return {queued.item, WaitReason::None};
}

} // namespace savorywick
