// Measures goodput of admission policies under overload in virtual time. Two teams of equal weight
// offer up to ten times the capacity of one entry; only one of them exceeds its share.

#include "eventqueue.h"
#include "report.h"

#include "savorywick/admission.h"

#include <deque>
#include <random>
#include <unordered_map>

using namespace savorywick;
using namespace savorywick::bench;

namespace {

constexpr int slots = 58;
constexpr double meanServiceMicros = 40'000;
constexpr std::int64_t simulatedMicros = 20 * microsPerSecond;
constexpr Millis deadline{400};
constexpr std::size_t requestBytes = 2'000;
constexpr double steadyTeamLoad = 0.3; // Share of the capacity.

struct Request
{
    std::uint64_t id = 0;
    bool steady = false; // From the team that stays within its share.
    std::int64_t arrivalMicros = 0;
};

struct Totals
{
    std::uint64_t offered = 0;
    std::uint64_t inTime = 0;
    std::uint64_t late = 0;
    std::uint64_t steadyOffered = 0;
    std::uint64_t steadyInTime = 0;
    std::size_t maxQueued = 0;
    std::vector<double> latenciesMs;
};

// Admission policy under test: decides which requests are queued and which run next.
class Policy
{
public:
    virtual ~Policy() = default;
    // Returns false if the request is refused; otherwise it waits until dispatch() returns it or it
    // expires.
    virtual bool offer(const Request &request, int freeSlots, Instant now) = 0;
    virtual std::vector<Request> dispatch(int freeSlots, Instant now) = 0;
    virtual void finished(const Request &request, Millis serviceTime, Instant now) = 0;
    virtual std::size_t queued() const = 0;
};

class FifoPolicy final : public Policy
{
public:
    explicit FifoPolicy(std::size_t maxQueued)
        : m_maxQueued(maxQueued)
    { }

    bool offer(const Request &request, int, Instant) override
    {
        if (m_queue.size() >= m_maxQueued)
            return false;
        m_queue.push_back(request);
        return true;
    }

    std::vector<Request> dispatch(int freeSlots, Instant) override
    {
        std::vector<Request> result;
        while (static_cast<int>(result.size()) < freeSlots && !m_queue.empty()) {
            result.push_back(m_queue.front());
            m_queue.pop_front();
        }
        return result;
    }

    void finished(const Request &, Millis, Instant) override { }
    std::size_t queued() const override { return m_queue.size(); }

private:
    std::size_t m_maxQueued;
    std::deque<Request> m_queue;
};

class DeadlineAwarePolicy final : public Policy
{
public:
    bool offer(const Request &request, int freeSlots, Instant now) override
    {
        const Instant due = Instant{request.arrivalMicros / EventQueue::microsPerMilli} + deadline;
        const AdmissionRequest offer{request.id, teamOf(request), requestBytes, due};
        const auto decision = m_queue.submit(offer, freeSlots, now);
        if (decision.verdict == AdmissionVerdict::Refused)
            return false;
        if (decision.verdict == AdmissionVerdict::Admitted)
            m_admitted.push_back(request);
        else
            m_queued[request.id] = request;
        return true;
    }

    std::vector<Request> dispatch(int freeSlots, Instant now) override
    {
        for (const AdmissionRequest &it : m_queue.expire(now))
            m_queued.erase(it.id);
        std::vector<Request> result = std::move(m_admitted);
        m_admitted.clear();
        const int remainingSlots = freeSlots - static_cast<int>(result.size());
        for (const AdmissionRequest &it : m_queue.dispatch(remainingSlots, now))
            result.push_back(m_queued.extract(it.id).mapped());
        return result;
    }

    void finished(const Request &request, Millis serviceTime, Instant now) override
    {
        m_queue.recordCompletion(teamOf(request), serviceTime, now);
    }

    std::size_t queued() const override { return m_queued.size(); }

private:
    static std::string teamOf(const Request &request) { return request.steady ? "steady" : "wave"; }

    std::vector<TeamLimits> m_teams{{"steady", 1, 0}, {"wave", 1, 0}};
    AdmissionQueue m_queue{{.initialServiceTime = Millis{40}}, m_teams};
    std::vector<Request> m_admitted;
    std::unordered_map<std::uint64_t, Request> m_queued;
};

class Simulation
{
public:
    Simulation(Policy &policy, double load)
        : m_policy(policy)
        , m_load(load)
    { }

    Totals run()
    {
        scheduleArrival();
        m_events.runUntil(simulatedMicros);
        return std::move(m_totals);
    }

private:
    void scheduleArrival()
    {
        std::exponential_distribution<double> interarrivalMicros(m_load * slots
                                                                 / meanServiceMicros);
        m_events.scheduleAfter(std::llround(interarrivalMicros(m_random)), [this] {
            scheduleArrival();
            arrive();
        });
    }

    void arrive()
    {
        std::bernoulli_distribution steady(std::min(0.5, steadyTeamLoad / m_load));
        const Request request{++m_totals.offered, steady(m_random), m_events.nowMicros()};
        m_totals.steadyOffered += request.steady ? 1 : 0;
        if (m_policy.offer(request, slots - m_running, m_events.now()))
            startRequests();
        m_totals.maxQueued = std::max(m_totals.maxQueued, m_policy.queued());
    }

    void startRequests()
    {
        for (const Request &request : m_policy.dispatch(slots - m_running, m_events.now())) {
            ++m_running;
            std::gamma_distribution<double> service(4, meanServiceMicros / 4);
            const std::int64_t serviceMicros = std::llround(service(m_random));
            m_events.scheduleAfter(
                serviceMicros, [this, request, serviceMicros] { finish(request, serviceMicros); });
        }
    }

    void finish(const Request &request, std::int64_t serviceMicros)
    {
        --m_running;
        m_policy.finished(request, Millis{serviceMicros / EventQueue::microsPerMilli},
                          m_events.now());
        const double ms = static_cast<double>(m_events.nowMicros() - request.arrivalMicros)
            / EventQueue::microsPerMilli;
        if (ms <= static_cast<double>(deadline.count())) {
            ++m_totals.inTime;
            m_totals.steadyInTime += request.steady ? 1 : 0;
        } else {
            ++m_totals.late;
        }
        m_totals.latenciesMs.push_back(ms);
        startRequests();
    }

    Policy &m_policy;
    double m_load;
    EventQueue m_events{0};
    std::mt19937_64 m_random{20261203};
    int m_running = 0;
    Totals m_totals;
};

void measure(const std::string &name, Policy &policy, double load)
{
    Totals totals = Simulation(policy, load).run();
    const double capacity = slots / meanServiceMicros * static_cast<double>(simulatedMicros);
    const double served = static_cast<double>(totals.inTime + totals.late);
    report("admission", name,
           {{"goodput of capacity %", 100 * static_cast<double>(totals.inTime) / capacity},
            {"late of answered %", 100 * static_cast<double>(totals.late) / served},
            {"steady team in time %",
             100 * static_cast<double>(totals.steadyInTime)
                 / static_cast<double>(totals.steadyOffered)},
            {"p99 ms", quantile(totals.latenciesMs, 0.99)},
            {"most queued", static_cast<double>(totals.maxQueued)},
            {"most queued MB", static_cast<double>(totals.maxQueued * requestBytes) / 1e6}});
}

} // namespace

int main()
{
    reportTableHeader("offered load: policy",
                      {"goodput of capacity %", "late of answered %", "steady team in time %",
                       "p99 ms", "most queued", "most queued MB"});
    for (const double load : {0.6, 1.0, 2.0, 10.0}) {
        const std::string prefix = std::to_string(load).substr(0, load < 10 ? 3 : 4) + "x: ";
        FifoPolicy unbounded(static_cast<std::size_t>(-1));
        measure(prefix + "unbounded first come", unbounded, load);
        FifoPolicy bounded(500);
        measure(prefix + "first come up to 500", bounded, load);
        FifoPolicy slotBounded(slots);
        measure(prefix + "first come up to the slots", slotBounded, load);
        DeadlineAwarePolicy deadlineAware;
        measure(prefix + "deadline-aware", deadlineAware, load);
    }
    return 0;
}
