// Measures goodput under overload: one entry's slots, offered up to ten times what they serve, by
// two teams of equal weight, one of which sends a wave. In virtual time.

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
constexpr std::int64_t second = 1'000'000;
constexpr std::int64_t length = 20 * second;
constexpr Millis deadline{400};
constexpr std::size_t requestBytes = 2'000;
constexpr double steadyLoad = 0.3; // The steady team's, of the capacity.

struct Request
{
    std::uint64_t id = 0;
    bool steady = false; // Of the team that sends no wave.
    std::int64_t arrivedAt = 0;
};

struct Totals
{
    std::uint64_t offered = 0;
    std::uint64_t inTime = 0;
    std::uint64_t late = 0;
    std::uint64_t steadyOffered = 0;
    std::uint64_t steadyInTime = 0;
    std::size_t mostQueued = 0;
    std::vector<double> latenciesMs;
};

// Decides which requests wait and which run next.
class Policy
{
public:
    virtual ~Policy() = default;
    // Returns false if the request is refused; otherwise it waits until next() returns it.
    virtual bool take(const Request &request, int freeSlots, Instant now) = 0;
    virtual std::vector<Request> next(int freeSlots, Instant now) = 0;
    virtual void finished(const Request &request, Millis served, Instant now) = 0;
    virtual std::size_t queued() const = 0;
};

class Fifo final : public Policy
{
public:
    explicit Fifo(std::size_t bound)
        : m_bound(bound)
    { }

    bool take(const Request &request, int, Instant) override
    {
        if (m_queue.size() >= m_bound)
            return false;
        m_queue.push_back(request);
        return true;
    }

    std::vector<Request> next(int freeSlots, Instant) override
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
    std::size_t m_bound;
    std::deque<Request> m_queue;
};

class DeadlineAware final : public Policy
{
public:
    bool take(const Request &request, int freeSlots, Instant now) override
    {
        const Instant due = Instant{request.arrivedAt / EventQueue::microsPerMilli} + deadline;
        const AdmissionRequest offer{request.id, teamOf(request), requestBytes, due};
        const auto decision = m_queue.submit(offer, freeSlots, now);
        if (decision.verdict == AdmissionVerdict::Refused)
            return false;
        if (decision.verdict == AdmissionVerdict::Admitted)
            m_admitted.push_back(request);
        else
            m_waiting[request.id] = request;
        return true;
    }

    std::vector<Request> next(int freeSlots, Instant now) override
    {
        for (const AdmissionRequest &it : m_queue.expire(now))
            m_waiting.erase(it.id);
        std::vector<Request> result = std::move(m_admitted);
        m_admitted.clear();
        const int left = freeSlots - static_cast<int>(result.size());
        for (const AdmissionRequest &it : m_queue.dispatch(left, now))
            result.push_back(m_waiting.extract(it.id).mapped());
        return result;
    }

    void finished(const Request &request, Millis served, Instant now) override
    {
        m_queue.recordCompletion(teamOf(request), served, now);
    }

    std::size_t queued() const override { return m_waiting.size(); }

private:
    static std::string teamOf(const Request &request) { return request.steady ? "steady" : "wave"; }

    std::vector<TeamLimits> m_teams{{"steady", 1, 0}, {"wave", 1, 0}};
    AdmissionQueue m_queue{{.initialServiceTime = Millis{40}}, m_teams};
    std::vector<Request> m_admitted;
    std::unordered_map<std::uint64_t, Request> m_waiting;
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
        m_events.runUntil(length);
        return std::move(m_totals);
    }

private:
    void scheduleArrival()
    {
        std::exponential_distribution<double> gap(m_load * slots / meanServiceMicros);
        m_events.after(std::llround(gap(m_random)), [this] {
            scheduleArrival();
            arrive();
        });
    }

    void arrive()
    {
        std::bernoulli_distribution steady(std::min(0.5, steadyLoad / m_load));
        const Request request{++m_totals.offered, steady(m_random), m_events.micros()};
        m_totals.steadyOffered += request.steady ? 1 : 0;
        if (m_policy.take(request, slots - m_running, m_events.now()))
            startNext();
        m_totals.mostQueued = std::max(m_totals.mostQueued, m_policy.queued());
    }

    void startNext()
    {
        for (const Request &request : m_policy.next(slots - m_running, m_events.now())) {
            ++m_running;
            std::gamma_distribution<double> service(4, meanServiceMicros / 4);
            const std::int64_t micros = std::llround(service(m_random));
            m_events.after(micros, [this, request, micros] { finish(request, micros); });
        }
    }

    void finish(const Request &request, std::int64_t micros)
    {
        --m_running;
        m_policy.finished(request, Millis{micros / EventQueue::microsPerMilli}, m_events.now());
        const double ms =
            static_cast<double>(m_events.micros() - request.arrivedAt) / EventQueue::microsPerMilli;
        if (ms <= static_cast<double>(deadline.count())) {
            ++m_totals.inTime;
            m_totals.steadyInTime += request.steady ? 1 : 0;
        } else {
            ++m_totals.late;
        }
        m_totals.latenciesMs.push_back(ms);
        startNext();
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
    const double capacity = slots / meanServiceMicros * static_cast<double>(length);
    const double served = static_cast<double>(totals.inTime + totals.late);
    report("admission", name,
           {{"goodput of capacity %", 100 * static_cast<double>(totals.inTime) / capacity},
            {"late of answered %", 100 * static_cast<double>(totals.late) / served},
            {"steady team in time %",
             100 * static_cast<double>(totals.steadyInTime)
                 / static_cast<double>(totals.steadyOffered)},
            {"p99 ms", quantile(totals.latenciesMs, 0.99)},
            {"most queued", static_cast<double>(totals.mostQueued)},
            {"most queued MB", static_cast<double>(totals.mostQueued * requestBytes) / 1e6}});
}

} // namespace

int main()
{
    reportHead("offered load: way",
               {"goodput of capacity %", "late of answered %", "steady team in time %", "p99 ms",
                "most queued", "most queued MB"});
    for (const double load : {0.6, 1.0, 2.0, 10.0}) {
        const std::string prefix = std::to_string(load).substr(0, load < 10 ? 3 : 4) + "x: ";
        Fifo unbounded(static_cast<std::size_t>(-1));
        measure(prefix + "unbounded first come", unbounded, load);
        Fifo bounded(500);
        measure(prefix + "first come up to 500", bounded, load);
        Fifo few(slots);
        measure(prefix + "first come up to the slots", few, load);
        DeadlineAware aware;
        measure(prefix + "deadline-aware", aware, load);
    }
    return 0;
}
