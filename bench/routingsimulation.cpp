#include "routingsimulation.h"

#include "eventqueue.h"
#include "fakeinstances.h"

#include "savorywick/admission.h"
#include "savorywick/retrybudget.h"
#include "savorywick/router.h"
#include "savorywick/slotassignment.h"

#include <memory>
#include <numeric>
#include <random>
#include <unordered_map>

namespace savorywick::bench {

namespace {

constexpr int entryCount = 9;
constexpr int instanceCount = 65;
constexpr int slotsPerInstance = 8;
constexpr int instancesPerRack = 11;
constexpr int lostRack = 1;
constexpr int slowInstance = 4;
constexpr double slowFactor = 10;
constexpr int failingInstance = 5;
constexpr int lostEntry = 6;
constexpr double offeredLoad = 0.7; // Relative to all slots.
constexpr std::int64_t simulationStart = 100 * microsPerSecond;
constexpr std::int64_t faultDelayMicros = 3 * microsPerSecond;
constexpr std::int64_t sameZoneMicros = 500; // One-way delay.
constexpr std::int64_t sameRegionMicros = 1'000;
constexpr std::int64_t crossRegionMicros = 20'000;
constexpr Millis deadline{1'000};
constexpr Millis maxAttemptTime{1'500};
// How long a lost entry remains in the list of entries.
constexpr std::int64_t entryRemovalMicros = 3 * microsPerSecond + microsPerSecond / 10;

struct Zone
{
    const char *zone;
    const char *region;
};

constexpr Zone zones[]{
    {"yyc-a", "prairie-west"}, {"yxe-a", "prairie-west"}, {"ywg-a", "prairie-east"}};

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

RouterSettings routerSettings(RoutingStrategy strategy, const Zone &zone)
{
    RouterSettings settings{.availabilityZone = zone.zone, .region = zone.region};
    if (strategy == RoutingStrategy::Random) {
        settings.availabilityZone.clear(); // Considers all instances of the region.
        settings.candidatesPerPick = 1;
        settings.ejectionThreshold = 2; // Above any share, so never suspends an instance.
    }
    return settings;
}

// Returns how long requests arrive.
std::int64_t arrivalMicros(RoutingFault fault)
{
    return (fault == RoutingFault::LostEntry ? 15 : 8) * microsPerSecond;
}

class Simulation
{
public:
    Simulation(RoutingStrategy strategy, RoutingFault fault)
        : m_strategy(strategy)
        , m_fault(fault)
        , m_end(simulationStart + arrivalMicros(fault))
        , m_events(simulationStart - 10 * microsPerSecond)
        , m_instances(m_events, m_random, instanceInfos())
    {
        addInstanceFault();
        addEntries();
        setArrivalWeights();
    }

    RoutingTotals run()
    {
        schedulePolls();
        m_events.runUntil(simulationStart);
        scheduleArrival();
        scheduleFault();
        m_events.runUntil(m_end + microsPerSecond + microsPerSecond);
        m_totals.overruns = m_instances.overruns();
        return std::move(m_totals);
    }

private:
    Entry &entryAt(int n) { return m_entries[static_cast<std::size_t>(n)]; }

    static std::vector<InstanceInfo> instanceInfos()
    {
        std::vector<InstanceInfo> infos;
        for (int n = 0; n < instanceCount; ++n) {
            const Zone &zone = zones[n % 3];
            infos.push_back({"i" + std::to_string(n), zone.zone, zone.region,
                             "r" + std::to_string(n / instancesPerRack), slotsPerInstance});
        }
        return infos;
    }

    // Adds the fault of an instance that has it from the beginning.
    void addInstanceFault()
    {
        if (m_fault == RoutingFault::SlowInstance)
            m_instances.at(slowInstance).slowFactor = slowFactor;
        if (m_fault == RoutingFault::FailingInstance)
            m_instances.at(failingInstance).failing = true;
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
        if (m_fault != RoutingFault::None) {
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
        const std::vector<InstanceInfo> instances = m_instances.infos();
        entry.shares.update(entries, instances, m_events.now(), m_events.now());
        entry.router.setInstances(usableInstances(entry, entries, instances), m_events.now());
        m_events.scheduleAfter(microsPerSecond, [this, n] { poll(n); });
    }

    std::vector<InstanceInfo> usableInstances(const Entry &entry,
                                              const std::vector<EntryInfo> &entries,
                                              std::vector<InstanceInfo> instances) const
    {
        if (m_strategy == RoutingStrategy::OwnedSlots
            || m_strategy == RoutingStrategy::OwnedSlotsForwarding)
            return entry.shares.usableInstances(m_events.now());
        if (m_strategy == RoutingStrategy::Random) {
            for (InstanceInfo &it : instances)
                it.slots = 64; // Limited by connections, not by slots.
        }
        if (m_strategy == RoutingStrategy::OwnedInstances) {
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
            if (m_fault == RoutingFault::LostRack) {
                for (int n = 0; n < instancesPerRack; ++n)
                    m_instances.at(lostRack * instancesPerRack + n).lost = true;
            }
            if (m_fault == RoutingFault::LostEntry) {
                entryAt(lostEntry).lost = true;
                m_entryLostMicros = m_events.nowMicros();
            }
        });
    }

    void scheduleArrival()
    {
        const double arrivalsPerMicro =
            offeredLoad * instanceCount * slotsPerInstance / FakeInstances::meanServiceMicros;
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
        if (free == 0 && m_strategy == RoutingStrategy::OwnedSlotsForwarding
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
            m_events.scheduleAfter(FakeInstances::connectTimeoutMicros,
                                   [this, request] { admit(request); });
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
        const InstanceInfo &info = m_instances.find(*id).info;
        const auto delayMicros = oneWayMicros(entry.info, info.availabilityZone, info.region);
        const auto sentMicros = m_events.nowMicros();
        m_events.scheduleAfter(delayMicros, [=, this] {
            m_instances.serve(*id, [=, this](AttemptOutcome outcome) {
                m_events.scheduleAfter(delayMicros, [=, this] {
                    finishAttempt(request, n, admittedMicros, sentMicros, outcome);
                });
            });
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

    RoutingStrategy m_strategy;
    RoutingFault m_fault;
    std::int64_t m_end;
    EventQueue m_events;
    std::mt19937_64 m_random{20261203};
    std::discrete_distribution<int> m_arrivalEntry;
    FakeInstances m_instances;
    std::vector<Entry> m_entries;
    std::int64_t m_entryLostMicros = 0;
    RoutingTotals m_totals;
};

} // namespace

RoutingTotals simulateRouting(RoutingStrategy strategy, RoutingFault fault)
{
    return Simulation(strategy, fault).run();
}

} // namespace savorywick::bench
