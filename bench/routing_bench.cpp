// Weighs the ways of sharing instances among entries: 9 entries and 65 instances of 8 slots in
// three zones of two regions, in virtual time, under skew and failures.

#include "eventqueue.h"
#include "report.h"

#include "savorywick/admission.h"
#include "savorywick/retrybudget.h"
#include "savorywick/router.h"
#include "savorywick/slotassignment.h"

#include <memory>
#include <numeric>
#include <random>
#include <unordered_map>

using namespace savorywick;
using namespace savorywick::bench;

namespace {

constexpr int entryCount = 9;
constexpr int instanceCount = 65;
constexpr int slotsPerInstance = 8;
constexpr int instancesPerRack = 11;
constexpr int lostRack = 1;
constexpr int slowInstance = 4;
constexpr int failingInstance = 5;
constexpr int lostEntry = 6;
constexpr double meanServiceMicros = 40'000;
constexpr double offeredLoad = 0.7; // Of all slots.
constexpr std::int64_t second = 1'000'000;
constexpr std::int64_t start = 100 * second;
constexpr std::int64_t faultAfter = 3 * second;
constexpr std::int64_t sameZoneMicros = 500; // One way.
constexpr std::int64_t sameRegionMicros = 1'000;
constexpr std::int64_t betweenRegionsMicros = 20'000;
constexpr std::int64_t connectTimeoutMicros = 20'000;
constexpr Millis deadline{1'000};
constexpr Millis longestAttempt{1'500};
constexpr std::int64_t entryDeathTerm = 3 * second + second / 10;

enum class Way { Random, LocalView, Slices, Shares, SharesForwarding };
enum class Trouble { None, Skew, SlowInstance, FailingInstance, LostRack, LostEntry };

struct Zone
{
    const char *zone;
    const char *region;
};

constexpr Zone zones[]{
    {"yyc-a", "prairie-west"}, {"yxe-a", "prairie-west"}, {"ywg-a", "prairie-east"}};

struct Instance
{
    InstanceInfo info;
    int busy = 0;
    bool lost = false;
};

struct Request
{
    std::uint64_t id = 0;
    int origin = 0;
    std::int64_t arrivedAt = 0;
    int attempts = 0;
    std::vector<std::string> tried;
    std::vector<std::string> asked; // Peers.
};

using RequestPtr = std::shared_ptr<Request>;

struct Entry
{
    EntryInfo info;
    Router router;
    SlotAssignment shares;
    AdmissionQueue admission;
    RetryBudget budget;
    std::unordered_map<std::uint64_t, RequestPtr> queued;
    bool lost = false;
};

struct Totals
{
    std::vector<double> latenciesMs;
    std::uint64_t arrived = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t overruns = 0;
    std::uint64_t peerMessages = 0;
};

RouterSettings routerSettings(Way way, const Zone &zone)
{
    RouterSettings settings{.availabilityZone = zone.zone, .region = zone.region};
    if (way == Way::Random) {
        settings.availabilityZone.clear(); // Any instance of the region.
        settings.candidatesPerPick = 1;
        settings.ejectionThreshold = 2; // Never.
    }
    return settings;
}

class Simulation
{
public:
    Simulation(Way way, Trouble trouble, std::int64_t length)
        : m_way(way)
        , m_trouble(trouble)
        , m_end(start + length)
        , m_events(start - 10 * second)
    {
        addInstances();
        addEntries();
        weighArrivals();
    }

    Totals run()
    {
        pollLists();
        m_events.runUntil(start);
        scheduleArrival();
        scheduleTrouble();
        m_events.runUntil(m_end + second + second);
        return std::move(m_totals);
    }

private:
    Entry &entryAt(int n) { return m_entries[static_cast<std::size_t>(n)]; }
    Instance &instanceAt(int n) { return m_instances[static_cast<std::size_t>(n)]; }

    void addInstances()
    {
        for (int n = 0; n < instanceCount; ++n) {
            const Zone &zone = zones[n % 3];
            m_instances.push_back({{"i" + std::to_string(n), zone.zone, zone.region,
                                    "r" + std::to_string(n / instancesPerRack), slotsPerInstance}});
            m_instanceIndex["i" + std::to_string(n)] = n;
        }
    }

    void addEntries()
    {
        for (int n = 0; n < entryCount; ++n) {
            const Zone &zone = zones[n % 3];
            const std::string id = "e" + std::to_string(n);
            m_entries.push_back(
                {{id, zone.zone, zone.region},
                 Router(routerSettings(m_way, zone), static_cast<std::uint64_t>(n) + 1),
                 SlotAssignment({.entryId = id, .maxAttemptTime = longestAttempt}),
                 AdmissionQueue({.initialServiceTime = Millis{40}}, {}),
                 RetryBudget({}, m_events.now())});
        }
    }

    void weighArrivals()
    {
        std::vector<double> weights(entryCount, 1);
        if (m_trouble != Trouble::None) {
            for (int n = 0; n < entryCount; ++n)
                weights[static_cast<std::size_t>(n)] = 1.0 / (n + 1.0);
        }
        m_arrivalEntry = std::discrete_distribution<int>(weights.begin(), weights.end());
    }

    // Every entry reads the lists each second, at its own moment.
    void pollLists()
    {
        for (int n = 0; n < entryCount; ++n)
            m_events.after(second * n / entryCount, [this, n] { pollList(n); });
    }

    void pollList(int n)
    {
        Entry &entry = entryAt(n);
        if (entry.lost || m_events.micros() > m_end)
            return;
        std::vector<EntryInfo> entries;
        for (const Entry &it : m_entries) {
            if (!it.lost || m_events.micros() < m_lostAt + entryDeathTerm)
                entries.push_back(it.info);
        }
        std::vector<InstanceInfo> instances;
        for (const Instance &it : m_instances)
            instances.push_back(it.info);
        entry.shares.update(entries, instances, m_events.now(), m_events.now());
        entry.router.setInstances(usable(entry, entries, instances), m_events.now());
        m_events.after(second, [this, n] { pollList(n); });
    }

    std::vector<InstanceInfo> usable(const Entry &entry, const std::vector<EntryInfo> &entries,
                                     std::vector<InstanceInfo> instances) const
    {
        if (m_way == Way::Shares || m_way == Way::SharesForwarding)
            return entry.shares.usableInstances(m_events.now());
        if (m_way == Way::Random) {
            for (InstanceInfo &it : instances)
                it.slots = 64; // Its connections.
        }
        if (m_way == Way::Slices) {
            std::erase_if(instances, [&](const InstanceInfo &it) {
                return entries[*slotOwner(it, 0, entries, SlotLocality::SameRegion)].id
                    != entry.info.id;
            });
        }
        return instances;
    }

    void scheduleTrouble()
    {
        m_events.after(faultAfter, [this] {
            if (m_trouble == Trouble::LostRack) {
                for (int n = 0; n < instancesPerRack; ++n)
                    instanceAt(lostRack * instancesPerRack + n).lost = true;
            }
            if (m_trouble == Trouble::LostEntry) {
                entryAt(lostEntry).lost = true;
                m_lostAt = m_events.micros();
            }
        });
    }

    void scheduleArrival()
    {
        const double perMicro = offeredLoad * instanceCount * slotsPerInstance / meanServiceMicros;
        std::exponential_distribution<double> gap(perMicro);
        m_events.after(std::llround(gap(m_random)), [this] {
            if (m_events.micros() >= m_end)
                return;
            scheduleArrival();
            int n = m_arrivalEntry(m_random);
            while (entryAt(n).lost)
                n = m_arrivalEntry(m_random);
            arrive(n);
        });
    }

    void arrive(int n)
    {
        auto request = std::make_shared<Request>();
        request->id = ++m_totals.arrived;
        request->origin = n;
        request->arrivedAt = m_events.micros();
        entryAt(n).budget.recordFirstAttempt(m_events.now());
        admit(request);
    }

    Instant due(const RequestPtr &request) const
    {
        return Instant{request->arrivedAt / EventQueue::microsPerMilli} + deadline;
    }

    void admit(const RequestPtr &request)
    {
        Entry &entry = entryAt(request->origin);
        const int free = entry.router.freeSlots(m_events.now());
        if (free == 0 && m_way == Way::SharesForwarding && request->asked.size() < 2
            && forward(request))
            return;
        const auto decision =
            entry.admission.submit({request->id, "", 1, due(request)}, free, m_events.now());
        if (decision.verdict == AdmissionVerdict::Refused)
            ++m_totals.refused;
        else if (decision.verdict == AdmissionVerdict::Queued)
            entry.queued[request->id] = request;
        else
            attempt(request, request->origin, m_events.micros());
    }

    std::int64_t distance(const EntryInfo &from, const std::string &zone,
                          const std::string &region) const
    {
        if (from.region != region)
            return betweenRegionsMicros;
        return from.availabilityZone == zone ? sameZoneMicros : sameRegionMicros;
    }

    bool forward(const RequestPtr &request)
    {
        Entry &origin = entryAt(request->origin);
        const auto peer = origin.shares.pickPeer(request->asked, m_random(), m_events.now());
        if (!peer)
            return false;
        request->asked.push_back(*peer);
        const int n = std::stoi(peer->substr(1));
        const EntryInfo &to = entryAt(n).info;
        const auto oneWay = distance(origin.info, to.availabilityZone, to.region);
        ++m_totals.peerMessages;
        m_events.after(oneWay, [this, request, n, oneWay] { takeForwarded(request, n, oneWay); });
        return true;
    }

    void takeForwarded(const RequestPtr &request, int n, std::int64_t oneWay)
    {
        Entry &peer = entryAt(n);
        if (peer.lost) {
            m_events.after(connectTimeoutMicros, [this, request] { admit(request); });
            return;
        }
        const int free = peer.router.freeSlots(m_events.now());
        if (free > 0 && peer.admission.queuedRequests() == 0) {
            const auto decision =
                peer.admission.submit({request->id, "", 1, due(request)}, free, m_events.now());
            if (decision.verdict == AdmissionVerdict::Admitted) {
                attempt(request, n, m_events.micros());
                return;
            }
        }
        ++m_totals.peerMessages;
        m_events.after(oneWay, [this, request, n] {
            hear(request, n, 0);
            admit(request);
        });
    }

    void hear(const RequestPtr &request, int peer, int freeSlots)
    {
        entryAt(request->origin)
            .shares.recordPeerFreeSlots("e" + std::to_string(peer), freeSlots, m_events.now());
    }

    // Sends the request from entry `n`, which admitted it at `since`.
    void attempt(const RequestPtr &request, int n, std::int64_t since)
    {
        Entry &entry = entryAt(n);
        const auto id = entry.router.pick(request->tried, m_events.now());
        if (!id) {
            ++m_totals.failed; // Only instances that were tried before have a slot.
            end(n, since);
            return;
        }
        ++request->attempts;
        request->tried.push_back(*id);
        const int target = m_instanceIndex.at(*id);
        const InstanceInfo &info = instanceAt(target).info;
        const auto oneWay = distance(entry.info, info.availabilityZone, info.region);
        const auto sentAt = m_events.micros();
        m_events.after(oneWay, [=, this] {
            serve(target, [=, this](AttemptOutcome outcome) {
                m_events.after(oneWay, [=, this] { answered(request, n, since, sentAt, outcome); });
            });
        });
    }

    void serve(int target, const std::function<void(AttemptOutcome)> &reply)
    {
        Instance &instance = instanceAt(target);
        if (instance.lost) {
            m_events.after(connectTimeoutMicros, [=] { reply(AttemptOutcome::ConnectFailed); });
            return;
        }
        if (m_trouble == Trouble::FailingInstance && target == failingInstance) {
            reply(AttemptOutcome::Failed);
            return;
        }
        if (instance.busy >= slotsPerInstance) {
            ++m_totals.overruns;
            reply(AttemptOutcome::RefusedNotRun);
            return;
        }
        ++instance.busy;
        std::gamma_distribution<double> service(4, meanServiceMicros / 4);
        const bool slow = m_trouble == Trouble::SlowInstance && target == slowInstance;
        m_events.after(std::llround(service(m_random) * (slow ? 10 : 1)), [=, &instance] {
            --instance.busy;
            reply(instance.lost ? AttemptOutcome::Failed : AttemptOutcome::Answered);
        });
    }

    void answered(const RequestPtr &request, int n, std::int64_t since, std::int64_t sentAt,
                  AttemptOutcome outcome)
    {
        Entry &entry = entryAt(n);
        if (entry.lost) {
            ++m_totals.failed;
            return;
        }
        const Millis latency{(m_events.micros() - sentAt) / EventQueue::microsPerMilli};
        entry.router.recordCompletion(request->tried.back(), outcome, latency, m_events.now());
        const auto decision = entry.budget.decideRetry(
            outcome, {true, request->attempts, due(request), Millis{40}}, m_events.now());
        if (decision.retry) {
            attempt(request, n, since);
            return;
        }
        end(n, since);
        const bool callerIsThere = !entryAt(request->origin).lost;
        if (callerIsThere && outcome == AttemptOutcome::Answered)
            deliver(request, n);
        else
            ++m_totals.failed;
    }

    void deliver(const RequestPtr &request, int n)
    {
        std::int64_t back = 0;
        if (n != request->origin) {
            ++m_totals.peerMessages;
            const Entry &peer = entryAt(n);
            const Entry &origin = entryAt(request->origin);
            back = distance(peer.info, origin.info.availabilityZone, origin.info.region);
            hear(request, n, entryAt(n).router.freeSlots(m_events.now()));
        }
        const auto micros = m_events.micros() + back - request->arrivedAt;
        m_totals.latenciesMs.push_back(static_cast<double>(micros) / EventQueue::microsPerMilli);
    }

    // Gives back the admission of one request and starts what waits.
    void end(int n, std::int64_t since)
    {
        Entry &entry = entryAt(n);
        const Millis served{(m_events.micros() - since) / EventQueue::microsPerMilli};
        entry.admission.recordCompletion("", served, m_events.now());
        for (const AdmissionRequest &it : entry.admission.expire(m_events.now())) {
            entry.queued.erase(it.id);
            ++m_totals.refused;
        }
        const int free = entry.router.freeSlots(m_events.now());
        for (const AdmissionRequest &it : entry.admission.dispatch(free, m_events.now())) {
            const auto request = entry.queued.extract(it.id).mapped();
            attempt(request, n, m_events.micros());
        }
    }

    Way m_way;
    Trouble m_trouble;
    std::int64_t m_end;
    EventQueue m_events;
    std::mt19937_64 m_random{20261203};
    std::discrete_distribution<int> m_arrivalEntry;
    std::vector<Instance> m_instances;
    std::unordered_map<std::string, int> m_instanceIndex;
    std::vector<Entry> m_entries;
    std::int64_t m_lostAt = 0;
    Totals m_totals;
};

void measure(const std::string &name, Way way, Trouble trouble)
{
    const std::int64_t length = trouble == Trouble::LostEntry ? 15 * second : 8 * second;
    Totals totals = Simulation(way, trouble, length).run();
    const double percent = 100.0 / static_cast<double>(totals.arrived);
    report("routing", name,
           {{"p50 ms", quantile(totals.latenciesMs, 0.5)},
            {"p99 ms", quantile(totals.latenciesMs, 0.99)},
            {"p99.9 ms", quantile(totals.latenciesMs, 0.999)},
            {"refused %", static_cast<double>(totals.refused) * percent},
            {"failed %", static_cast<double>(totals.failed) * percent},
            {"slot overruns", static_cast<double>(totals.overruns)},
            {"peer messages per request",
             static_cast<double>(totals.peerMessages) / static_cast<double>(totals.arrived)}});
}

} // namespace

int main()
{
    const std::pair<const char *, Way> ways[]{
        {"random", Way::Random},
        {"least of two on the local view", Way::LocalView},
        {"owned instances", Way::Slices},
        {"owned slots", Way::Shares},
        {"owned slots and forwarding", Way::SharesForwarding}};
    const std::pair<const char *, Trouble> troubles[]{
        {"even", Trouble::None},
        {"skew", Trouble::Skew},
        {"skew and a slow instance", Trouble::SlowInstance},
        {"skew and a failing instance", Trouble::FailingInstance},
        {"skew and a lost rack", Trouble::LostRack},
        {"skew and a lost entry", Trouble::LostEntry},
    };
    for (const auto &[troubleName, trouble] : troubles) {
        reportHead(troubleName,
                   {"p50 ms", "p99 ms", "p99.9 ms", "refused %", "failed %", "slot overruns",
                    "peer messages per request"});
        for (const auto &[wayName, way] : ways)
            measure(std::string(troubleName) + ": " + wayName, way, trouble);
    }
    return 0;
}
