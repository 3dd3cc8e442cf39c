#include "savorywick/fairqueue.h"

#include "savorywick/errors.h"

#include <algorithm>
#include <limits>

namespace savorywick {

namespace {

constexpr int unlimited = std::numeric_limits<int>::max() / 2;
constexpr Resources noQuota{unlimited, unlimited, unlimited};

} // namespace

struct FairQueue::Entry
{
    WaitingItem item;
    Team *team = nullptr;
    std::uint64_t sequence = 0;
};

struct FairQueue::Running
{
    Team *team = nullptr;
    Resources need;
    double prepaid = 0; // Core milliseconds charged ahead.
};

struct FairQueue::Team
{
    std::string name;
    std::size_t serial = 0;
    TeamShare share{1.0, noQuota};
    Resources started;
    double virtualTime = 0;
    Instant accruedUntil; // The core time of started work is charged up to here.
    std::map<Resources, Shape> shapes; // Waiting items by size.
    std::size_t waiting = 0;
    bool listed = false; // Stands in m_turns and m_oldestOfTeam, with the two ranks below.
    Turn turn;
    Rank oldest;

    bool hasQuotaFor(const Resources &need) const { return (started + need).fitsIn(share.quota); }
};

// One search for the next item: its budget of fit tests and the item that room is held for.
struct FairQueue::Search
{
    FitTest &fit;
    int testsLeft = 0;
    const Entry *reserved = nullptr;

    bool canStart(const Entry &entry)
    {
        --testsLeft;
        if (fit.test(entry.item) != Fit::Fits)
            return false;
        return !reserved || fit.fitsBeside(entry.item, reserved->item);
    }
};

bool FitTest::fitsBeside(const WaitingItem &, const WaitingItem &)
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

bool FairQueue::Rank::operator<(const Rank &other) const
{
    return at != other.at ? at < other.at : sequence < other.sequence;
}

bool FairQueue::Turn::operator<(const Turn &other) const
{
    return virtualTime != other.virtualTime ? virtualTime < other.virtualTime
                                            : serial < other.serial;
}

FairQueue::FairQueue(const FairQueueOptions &options)
    : m_options(options)
{
    m_options.oldestEvery = std::max(m_options.oldestEvery, 1);
}

FairQueue::~FairQueue() = default;

FairQueue::Team &FairQueue::teamOf(std::string_view team)
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
                    "give it a weight above 0");
    if (!share.quota.isValid())
        throw Error(ErrorKind::InvalidInput,
                    "the quota of team '" + std::string(team) + "' has a negative part",
                    "give amounts of 0 or more");
    Team &t = teamOf(team);
    t.share = share;
    refresh(t);
}

FairQueue::Rank FairQueue::agedRank(Entry &entry) const
{
    const int priority = std::clamp(entry.item.priority, 0, m_options.maxPriority);
    return {(entry.item.since - m_options.ageingStep * priority).count(), entry.sequence, &entry};
}

FairQueue::Rank FairQueue::ageRank(Entry &entry)
{
    return {entry.item.since.count(), entry.sequence, &entry};
}

void FairQueue::unlist(Team &team)
{
    if (!team.listed)
        return;
    m_turns.erase(team.turn);
    m_oldestOfTeam.erase(team.oldest);
    team.listed = false;
}

// Puts the team where its virtual time and oldest item within quota belong.
void FairQueue::refresh(Team &team)
{
    unlist(team);
    for (const auto &[need, shape] : team.shapes) {
        if (!team.hasQuotaFor(need))
            continue;
        const Rank &first = *shape.byAge.begin();
        if (!team.listed || first < team.oldest)
            team.oldest = first;
        team.listed = true;
    }
    if (!team.listed)
        return;
    team.turn = {team.virtualTime, team.serial, &team};
    m_turns.insert(team.turn);
    m_oldestOfTeam.insert(team.oldest);
}

bool FairQueue::push(const WaitingItem &item, Instant now)
{
    if (m_waiting.contains(item.id) || m_started.contains(item.id))
        return false;
    auto entry = std::make_unique<Entry>();
    entry->item = item;
    entry->item.since = std::min(item.since, now);
    entry->sequence = m_nextSequence++;
    Team &team = teamOf(item.team);
    entry->team = &team;
    accrue(team, now);
    if (team.waiting == 0)
        team.virtualTime = std::max(team.virtualTime, m_virtualTime);
    Shape &shape = team.shapes[item.need];
    shape.byAgedPriority.insert(agedRank(*entry));
    shape.byAge.insert(ageRank(*entry));
    m_byAge.insert(ageRank(*entry));
    ++team.waiting;
    m_waiting.emplace(item.id, std::move(entry));
    refresh(team);
    return true;
}

void FairQueue::detach(Entry &entry)
{
    Team &team = *entry.team;
    unlist(team);
    const auto it = team.shapes.find(entry.item.need);
    it->second.byAgedPriority.erase(agedRank(entry));
    it->second.byAge.erase(ageRank(entry));
    if (it->second.byAge.empty())
        team.shapes.erase(it);
    m_byAge.erase(ageRank(entry));
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
    refresh(team);
    return true;
}

void FairQueue::charge(Team &team, double coreMillis)
{
    team.virtualTime += coreMillis / team.share.weight;
}

// Charges the core time of started work up to `now`.
void FairQueue::accrue(Team &team, Instant now)
{
    if (now <= team.accruedUntil)
        return;
    const auto elapsed = static_cast<double>((now - team.accruedUntil).count());
    charge(team, elapsed * team.started.cores);
    team.accruedUntil = now;
}

// Accrues until the team in front is charged up to `now`. Accrual only moves teams back, so that
// team is the one with the least virtual time.
void FairQueue::settle(Instant now)
{
    while (!m_turns.empty() && m_turns.begin()->team->accruedUntil < now) {
        Team &team = *m_turns.begin()->team;
        accrue(team, now);
        refresh(team);
    }
}

bool FairQueue::started(std::string_view id, Instant now)
{
    const auto it = m_waiting.find(std::string(id));
    if (it == m_waiting.end())
        return false;
    const WaitingItem item = it->second->item;
    Team &team = *it->second->team;
    m_virtualTime =
        std::max(m_virtualTime, m_turns.empty() ? team.virtualTime : m_turns.begin()->virtualTime);
    detach(*it->second);
    m_waiting.erase(it);
    m_startsInTurn = item.id == m_chosenAsOldest ? 0 : m_startsInTurn + 1;
    return restoreStarted(item, now);
}

bool FairQueue::restoreStarted(const WaitingItem &item, Instant now)
{
    if (m_waiting.contains(item.id) || m_started.contains(item.id))
        return false;
    Team &team = teamOf(item.team);
    const double prepaid = static_cast<double>(std::max(item.need.cores, 1))
        * static_cast<double>(m_options.assumedRun.count());
    accrue(team, now);
    m_started.emplace(item.id, Running{&team, item.need, prepaid});
    team.started = team.started + item.need;
    charge(team, prepaid);
    refresh(team);
    return true;
}

void FairQueue::finished(std::string_view id, Instant now)
{
    const auto it = m_started.find(std::string(id));
    if (it == m_started.end())
        return;
    const Running run = it->second;
    m_started.erase(it);
    Team &team = *run.team;
    accrue(team, now);
    team.started = team.started - run.need;
    charge(team, -run.prepaid);
    refresh(team);
}

void FairQueue::resize(std::string_view id, const Resources &need, Instant now)
{
    const auto it = m_started.find(std::string(id));
    if (it == m_started.end())
        return;
    Team &team = *it->second.team;
    accrue(team, now);
    team.started = team.started - it->second.need + need;
    it->second.need = need;
    refresh(team);
}

bool FairQueue::oldestHasTurn() const
{
    return m_startsInTurn >= m_options.oldestEvery - 1;
}

const FairQueue::Entry *FairQueue::choose(Instant now, FitTest &fit)
{
    Search search{fit, m_options.maxTests, nullptr};
    m_chosenAsOldest.clear();
    if (!oldestHasTurn())
        return chooseInTurn(search);
    // The turn goes to the oldest item that some host could hold.
    for (const Rank &rank : m_oldestOfTeam) {
        const Entry &entry = *rank.entry;
        if (search.testsLeft-- <= 0)
            break;
        const Fit verdict = fit.test(entry.item);
        if (verdict == Fit::NotOnAnyHost)
            continue;
        if (verdict == Fit::Fits) {
            m_chosenAsOldest = entry.item.id;
            return &entry;
        }
        if (now - entry.item.since >= m_options.reserveAfter)
            search.reserved = &entry;
        break;
    }
    return chooseInTurn(search);
}

const FairQueue::Entry *FairQueue::chooseInTurn(Search &search) const
{
    std::vector<Rank> heads;
    for (const Turn &turn : m_turns) {
        heads.clear();
        for (const auto &[need, shape] : turn.team->shapes) {
            if (turn.team->hasQuotaFor(need))
                heads.push_back(*shape.byAgedPriority.begin());
        }
        std::sort(heads.begin(), heads.end());
        for (const Rank &head : heads) {
            if (search.testsLeft <= 0)
                return nullptr;
            if (search.canStart(*head.entry))
                return head.entry;
        }
    }
    return nullptr;
}

std::optional<WaitingItem> FairQueue::peek(Instant now, FitTest &fit)
{
    settle(now);
    const Entry *entry = choose(now, fit);
    return entry ? std::optional(entry->item) : std::nullopt;
}

std::optional<WaitingItem> FairQueue::pop(Instant now, FitTest &fit)
{
    auto item = peek(now, fit);
    if (item)
        started(item->id, now);
    return item;
}

std::size_t FairQueue::waitingCount(std::string_view team) const
{
    const auto it = m_teams.find(team);
    return it == m_teams.end() ? 0 : it->second->waiting;
}

Resources FairQueue::startedOf(std::string_view team) const
{
    const auto it = m_teams.find(team);
    return it == m_teams.end() ? Resources{} : it->second->started;
}

OldestWaiting FairQueue::oldest(FitTest &fit) const
{
    if (m_byAge.empty())
        return {};
    const Entry &entry = *m_byAge.begin()->entry;
    if (!entry.team->hasQuotaFor(entry.item.need))
        return {entry.item, WaitReason::TeamQuota};
    switch (fit.test(entry.item)) {
    case Fit::Fits:
        return {entry.item, WaitReason::NextInTurn};
    case Fit::NotNow:
        return {entry.item, WaitReason::NoRoom};
    case Fit::NotOnAnyHost:
        return {entry.item, WaitReason::NotOnAnyHost};
    }
    return {entry.item, WaitReason::None};
}

} // namespace savorywick
