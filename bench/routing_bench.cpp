// Compares strategies of sharing instances among entries in virtual time: 9 entries and 65
// instances of 8 slots in three zones of two regions, under skewed load and faults.

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
constexpr double offeredLoad = 0.7; // Relative to all slots.
constexpr std::int64_t microsPerSecond = 1'000'000;
constexpr std::int64_t simulationStart = 100 * microsPerSecond;
constexpr std::int64_t faultDelayMicros = 3 * microsPerSecond;
constexpr std::int64_t sameZoneMicros = 500; // One-way delay.
constexpr std::int64_t sameRegionMicros = 1'000;
constexpr std::int64_t crossRegionMicros = 20'000;
constexpr std::int64_t connectTimeoutMicros = 20'000;
constexpr Millis deadline{1'000};
constexpr Millis maxAttemptTime{1'500};
// How long a lost entry remains in the list of entries.
constexpr std::int64_t entryRemovalMicros = 3 * microsPerSecond + microsPerSecond / 10;

enum class Strategy { Random, LeastOfTwo, OwnedInstances, OwnedSlots, OwnedSlotsForwarding };
enum class Fault { None, Skew, SlowInstance, FailingInstance, LostRack, LostEntry };

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
    int slotsInUse = 0;
    bool lost = false;
};

struct Request
{
    std::uint64_t id = 0;
    int origin = 0;
    std::int64_t arrivalMicros = 0;
    int attempts = 0;
    std::vector<std::string> triedInstances;
    std::vector<std::string> askedPeers;
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

RouterSettings routerSettings(Strategy strategy, const Zone &zone)
{
    RouterSettings settings{.availabilityZone = zone.zone, .region = zone.region};
    if (strategy == Strategy::Random) {
        settings.availabilityZone.clear(); // Considers all instances of the region.
        settings.candidatesPerPick = 1;
        settings.ejectionThreshold = 2; // Above any share, so never suspends an instance.
    }
    return settings;
}

class Simulation
{
public:
    Simulation(Strategy strategy, Fault fault, std::int64_t durationMicros)
        : m_strategy(strategy)
        , m_fault(fault)
        , m_end(simulationStart + durationMicros)
        , m_events(simulationStart - 10 * microsPerSecond)
    {
        addInstances();
        addEntries();
        setArrivalWeights();
    }

    Totals run()
    {
        schedulePolls();
        m_events.runUntil(simulationStart);
        scheduleArrival();
        scheduleFault();
        m_events.runUntil(m_end + microsPerSecond + microsPerSecond);
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
                 Router(routerSettings(m_strategy, zone), static_cast<std::uint64_t>(n) + 1),
                 SlotAssignment({.entryId = id, .maxAttemptTime = maxAttemptTime}),
                 AdmissionQueue({.initialServiceTime = Millis{40}}, {}),
                 RetryBudget({}, m_events.now())});
        }
    }

    void setArrivalWeights()
    {
        std::vector<double> weights(entryCount, 1);
        if (m_fault != Fault::None) {
            for (int n = 0; n < entryCount; ++n)
                weights[static_cast<std::size_t>(n)] = 1.0 / (n + 1.0);
        }
        m_arrivalEntry = std::discrete_distribution<int>(weights.begin(), weights.end());
    }

    // Entries read the lists once per second, evenly spread over the second.
    void schedulePolls()
    {
        for (int n = 0; n < entryCount; ++n)
            m_events.scheduleAfter(microsPerSecond * n / entryCount, [this, n] { poll(n); });
    }

    void poll(int n)
    {
        Entry &entry = entryAt(n);
        if (entry.lost || m_events.nowMicros() > m_end)
            return;
        std::vector<EntryInfo> entries;
        for (const Entry &it : m_entries) {
            if (!it.lost || m_events.nowMicros() < m_entryLostMicros + entryRemovalMicros)
                entries.push_back(it.info);
        }
        std::vector<InstanceInfo> instances;
        for (const Instance &it : m_instances)
            instances.push_back(it.info);
        entry.shares.update(entries, instances, m_events.now(), m_events.now());
        entry.router.setInstances(usableInstances(entry, entries, instances), m_events.now());
        m_events.scheduleAfter(microsPerSecond, [this, n] { poll(n); });
    }

    std::vector<InstanceInfo> usableInstances(const Entry &entry,
                                              const std::vector<EntryInfo> &entries,
                                              std::vector<InstanceInfo> instances) const
    {
        if (m_strategy == Strategy::OwnedSlots || m_strategy == Strategy::OwnedSlotsForwarding)
            return entry.shares.usableInstances(m_events.now());
        if (m_strategy == Strategy::Random) {
            for (InstanceInfo &it : instances)
                it.slots = 64; // Limited by connections, not by slots.
        }
        if (m_strategy == Strategy::OwnedInstances) {
            std::erase_if(instances, [&](const InstanceInfo &it) {
                return entries[*slotOwner(it, 0, entries, SlotLocality::SameRegion)].id
                    != entry.info.id;
            });
        }
        return instances;
    }

    void scheduleFault()
    {
        m_events.scheduleAfter(faultDelayMicros, [this] {
            if (m_fault == Fault::LostRack) {
                for (int n = 0; n < instancesPerRack; ++n)
                    instanceAt(lostRack * instancesPerRack + n).lost = true;
            }
            if (m_fault == Fault::LostEntry) {
                entryAt(lostEntry).lost = true;
                m_entryLostMicros = m_events.nowMicros();
            }
        });
    }

    void scheduleArrival()
    {
        const double arrivalsPerMicro =
            offeredLoad * instanceCount * slotsPerInstance / meanServiceMicros;
        std::exponential_distribution<double> interarrivalMicros(arrivalsPerMicro);
        m_events.scheduleAfter(std::llround(interarrivalMicros(m_random)), [this] {
            if (m_events.nowMicros() >= m_end)
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
        request->arrivalMicros = m_events.nowMicros();
        entryAt(n).budget.recordFirstAttempt(m_events.now());
        admit(request);
    }

    Instant deadlineOf(const RequestPtr &request) const
    {
        return Instant{request->arrivalMicros / EventQueue::microsPerMilli} + deadline;
    }

    void admit(const RequestPtr &request)
    {
        Entry &entry = entryAt(request->origin);
        const int free = entry.router.freeSlots(m_events.now());
        if (free == 0 && m_strategy == Strategy::OwnedSlotsForwarding
            && request->askedPeers.size() < 2 && forward(request))
            return;
        const auto decision =
            entry.admission.submit({request->id, "", 1, deadlineOf(request)}, free, m_events.now());
        if (decision.verdict == AdmissionVerdict::Refused)
            ++m_totals.refused;
        else if (decision.verdict == AdmissionVerdict::Queued)
            entry.queued[request->id] = request;
        else
            startAttempt(request, request->origin, m_events.nowMicros());
    }

    std::int64_t oneWayMicros(const EntryInfo &from, const std::string &zone,
                              const std::string &region) const
    {
        if (from.region != region)
            return crossRegionMicros;
        return from.availabilityZone == zone ? sameZoneMicros : sameRegionMicros;
    }

    bool forward(const RequestPtr &request)
    {
        Entry &origin = entryAt(request->origin);
        const auto peer = origin.shares.pickPeer(request->askedPeers, m_random(), m_events.now());
        if (!peer)
            return false;
        request->askedPeers.push_back(*peer);
        const int n = std::stoi(peer->substr(1));
        const EntryInfo &to = entryAt(n).info;
        const auto delayMicros = oneWayMicros(origin.info, to.availabilityZone, to.region);
        ++m_totals.peerMessages;
        m_events.scheduleAfter(delayMicros, [this, request, n, delayMicros] {
            receiveForwarded(request, n, delayMicros);
        });
        return true;
    }

    void receiveForwarded(const RequestPtr &request, int n, std::int64_t delayMicros)
    {
        Entry &peer = entryAt(n);
        if (peer.lost) {
            m_events.scheduleAfter(connectTimeoutMicros, [this, request] { admit(request); });
            return;
        }
        const int free = peer.router.freeSlots(m_events.now());
        if (free > 0 && peer.admission.queuedRequests() == 0) {
            const auto decision = peer.admission.submit({request->id, "", 1, deadlineOf(request)},
                                                        free, m_events.now());
            if (decision.verdict == AdmissionVerdict::Admitted) {
                startAttempt(request, n, m_events.nowMicros());
                return;
            }
        }
        ++m_totals.peerMessages;
        m_events.scheduleAfter(delayMicros, [this, request, n] {
            notePeerSlots(request, n, 0);
            admit(request);
        });
    }

    void notePeerSlots(const RequestPtr &request, int peer, int freeSlots)
    {
        entryAt(request->origin)
            .shares.recordPeerFreeSlots("e" + std::to_string(peer), freeSlots, m_events.now());
    }

    // Sends the request to an instance from entry `n`, which admitted it at `admittedMicros`.
    void startAttempt(const RequestPtr &request, int n, std::int64_t admittedMicros)
    {
        Entry &entry = entryAt(n);
        const auto id = entry.router.pick(request->triedInstances, m_events.now());
        if (!id) {
            ++m_totals.failed; // All instances with a free slot were tried.
            releaseAdmission(n, admittedMicros);
            return;
        }
        ++request->attempts;
        request->triedInstances.push_back(*id);
        const int target = m_instanceIndex.at(*id);
        const InstanceInfo &info = instanceAt(target).info;
        const auto delayMicros = oneWayMicros(entry.info, info.availabilityZone, info.region);
        const auto sentMicros = m_events.nowMicros();
        m_events.scheduleAfter(delayMicros, [=, this] {
            serve(target, [=, this](AttemptOutcome outcome) {
                m_events.scheduleAfter(delayMicros, [=, this] {
                    finishAttempt(request, n, admittedMicros, sentMicros, outcome);
                });
            });
        });
    }

    void serve(int target, const std::function<void(AttemptOutcome)> &reply)
    {
        Instance &instance = instanceAt(target);
        if (instance.lost) {
            m_events.scheduleAfter(connectTimeoutMicros,
                                   [=] { reply(AttemptOutcome::ConnectFailed); });
            return;
        }
        if (m_fault == Fault::FailingInstance && target == failingInstance) {
            reply(AttemptOutcome::Failed);
            return;
        }
        if (instance.slotsInUse >= slotsPerInstance) {
            ++m_totals.overruns;
            reply(AttemptOutcome::RefusedNotRun);
            return;
        }
        ++instance.slotsInUse;
        std::gamma_distribution<double> service(4, meanServiceMicros / 4);
        const bool slow = m_fault == Fault::SlowInstance && target == slowInstance;
        m_events.scheduleAfter(std::llround(service(m_random) * (slow ? 10 : 1)), [=, &instance] {
            --instance.slotsInUse;
            reply(instance.lost ? AttemptOutcome::Failed : AttemptOutcome::Answered);
        });
    }

    void finishAttempt(const RequestPtr &request, int n, std::int64_t admittedMicros,
                       std::int64_t sentMicros, AttemptOutcome outcome)
    {
        Entry &entry = entryAt(n);
        if (entry.lost) {
            ++m_totals.failed;
            return;
        }
        const Millis latency{(m_events.nowMicros() - sentMicros) / EventQueue::microsPerMilli};
        entry.router.recordCompletion(request->triedInstances.back(), outcome, latency,
                                      m_events.now());
        const auto decision = entry.budget.decideRetry(
            outcome, {true, request->attempts, deadlineOf(request), Millis{40}}, m_events.now());
        if (decision.retry) {
            startAttempt(request, n, admittedMicros);
            return;
        }
        releaseAdmission(n, admittedMicros);
        const bool originAlive = !entryAt(request->origin).lost;
        if (originAlive && outcome == AttemptOutcome::Answered)
            deliver(request, n);
        else
            ++m_totals.failed;
    }

    void deliver(const RequestPtr &request, int n)
    {
        std::int64_t returnMicros = 0;
        if (n != request->origin) {
            ++m_totals.peerMessages;
            const Entry &peer = entryAt(n);
            const Entry &origin = entryAt(request->origin);
            returnMicros =
                oneWayMicros(peer.info, origin.info.availabilityZone, origin.info.region);
            notePeerSlots(request, n, entryAt(n).router.freeSlots(m_events.now()));
        }
        const auto micros = m_events.nowMicros() + returnMicros - request->arrivalMicros;
        m_totals.latenciesMs.push_back(static_cast<double>(micros) / EventQueue::microsPerMilli);
    }

    // Ends the admission of one request and dispatches queued requests.
    void releaseAdmission(int n, std::int64_t admittedMicros)
    {
        Entry &entry = entryAt(n);
        const Millis serviceTime{(m_events.nowMicros() - admittedMicros)
                                 / EventQueue::microsPerMilli};
        entry.admission.recordCompletion("", serviceTime, m_events.now());
        for (const AdmissionRequest &it : entry.admission.expire(m_events.now())) {
            entry.queued.erase(it.id);
            ++m_totals.refused;
        }
        const int free = entry.router.freeSlots(m_events.now());
        for (const AdmissionRequest &it : entry.admission.dispatch(free, m_events.now())) {
            const auto request = entry.queued.extract(it.id).mapped();
            startAttempt(request, n, m_events.nowMicros());
        }
    }

    Strategy m_strategy;
    Fault m_fault;
    std::int64_t m_end;
    EventQueue m_events;
    std::mt19937_64 m_random{20261203};
    std::discrete_distribution<int> m_arrivalEntry;
    std::vector<Instance> m_instances;
    std::unordered_map<std::string, int> m_instanceIndex;
    std::vector<Entry> m_entries;
    std::int64_t m_entryLostMicros = 0;
    Totals m_totals;
};

void measure(const std::string &name, Strategy strategy, Fault fault)
{
    const std::int64_t durationMicros =
        fault == Fault::LostEntry ? 15 * microsPerSecond : 8 * microsPerSecond;
    Totals totals = Simulation(strategy, fault, durationMicros).run();
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
    const std::pair<const char *, Strategy> strategies[]{
        {"random", Strategy::Random},
        {"least of two on the local view", Strategy::LeastOfTwo},
        {"owned instances", Strategy::OwnedInstances},
        {"owned slots", Strategy::OwnedSlots},
        {"owned slots and forwarding", Strategy::OwnedSlotsForwarding}};
    const std::pair<const char *, Fault> faults[]{
        {"even", Fault::None},
        {"skew", Fault::Skew},
        {"skew and a slow instance", Fault::SlowInstance},
        {"skew and a failing instance", Fault::FailingInstance},
        {"skew and a lost rack", Fault::LostRack},
        {"skew and a lost entry", Fault::LostEntry},
    };
    for (const auto &[faultName, fault] : faults) {
        reportTableHeader(faultName,
                          {"p50 ms", "p99 ms", "p99.9 ms", "refused %", "failed %", "slot overruns",
                           "peer messages per request"});
        for (const auto &[strategyName, strategy] : strategies)
            measure(std::string(faultName) + ": " + strategyName, strategy, fault);
    }
    return 0;
}
