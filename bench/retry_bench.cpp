// Measures what retries and hedges cost and bring: one entry before 65 instances of 8 slots at 70 %
// load, in virtual time, with instances that fail, all or some of the time, or are slow.

#include "eventqueue.h"
#include "report.h"

#include "savorywick/hedge.h"
#include "savorywick/retrybudget.h"
#include "savorywick/router.h"

#include <memory>
#include <random>

using namespace savorywick;
using namespace savorywick::bench;

namespace {

constexpr int instanceCount = 65;
constexpr int slotsPerInstance = 8;
constexpr int slowInstances = 5;
constexpr double slowFactor = 10;
constexpr double meanServiceMicros = 40'000;
constexpr double offeredLoad = 0.7;
constexpr double failingShare = 0.3; // Of the answers while some fail.
constexpr std::int64_t failureMicros = 1'000;
constexpr std::int64_t second = 1'000'000;
constexpr std::int64_t troubleFrom = 3 * second;
constexpr std::int64_t troubleUntil = 9 * second;
constexpr std::int64_t end = 12 * second;
constexpr Millis deadline{1'000};

enum class Way { Never, ThreeAttempts, Budget, BudgetAndHedges };
enum class Trouble { None, AllFail, SomeFail, SomeSlow };

struct Request
{
    std::int64_t arrivedAt = 0;
    int attempts = 0;
    int inFlight = 0;
    bool done = false;
    std::vector<std::string> tried;
};

using RequestPtr = std::shared_ptr<Request>;

struct Totals
{
    std::vector<double> latenciesMs;
    std::uint64_t requests = 0;
    std::uint64_t failed = 0;
    std::uint64_t troubledRequests = 0;
    std::uint64_t troubledAttempts = 0;
    std::uint64_t hedges = 0;
};

RetryBudgetSettings budgetOf(Way way)
{
    if (way == Way::Never)
        return {.retryRatio = 0, .minRetriesPerSecond = 0};
    if (way == Way::ThreeAttempts)
        return {.retryRatio = 1'000, .maxBalance = 1e9};
    return {};
}

class Simulation
{
public:
    Simulation(Way way, Trouble trouble)
        : m_way(way)
        , m_trouble(trouble)
        , m_budget(budgetOf(way), Instant{0})
    {
        std::vector<InstanceInfo> instances;
        instances.reserve(instanceCount);
        for (int n = 0; n < instanceCount; ++n)
            instances.push_back({"i" + std::to_string(n), "z", "r", "k", slotsPerInstance});
        m_router.setInstances(instances, Instant{0});
    }

    Totals run()
    {
        scheduleArrival();
        m_events.runUntil(end);
        return std::move(m_totals);
    }

private:
    bool troubled() const
    {
        return m_events.micros() >= troubleFrom && m_events.micros() < troubleUntil;
    }

    void scheduleArrival()
    {
        const double perMicro = offeredLoad * instanceCount * slotsPerInstance / meanServiceMicros;
        std::exponential_distribution<double> gap(perMicro);
        m_events.after(std::llround(gap(m_random)), [this] {
            scheduleArrival();
            auto request = std::make_shared<Request>();
            request->arrivedAt = m_events.micros();
            ++m_totals.requests;
            m_totals.troubledRequests += troubled() ? 1 : 0;
            m_budget.recordFirstAttempt(m_events.now());
            if (attempt(request))
                scheduleHedge(request);
            else
                ++m_totals.failed;
        });
    }

    bool attempt(const RequestPtr &request)
    {
        const auto id = m_router.pick(request->tried, m_events.now());
        if (!id)
            return false;
        ++request->attempts;
        ++request->inFlight;
        m_totals.troubledAttempts += troubled() ? 1 : 0;
        request->tried.push_back(*id);
        const bool fails = drawFailure();
        const std::int64_t taken = fails ? failureMicros : drawService(*id);
        const auto outcome = fails ? AttemptOutcome::Failed : AttemptOutcome::Answered;
        m_events.after(taken, [this, request, id = *id, outcome, taken] {
            finish(request, id, outcome, Millis{taken / EventQueue::microsPerMilli});
        });
        return true;
    }

    bool drawFailure()
    {
        if (!troubled())
            return false;
        std::bernoulli_distribution some(failingShare);
        return m_trouble == Trouble::AllFail || (m_trouble == Trouble::SomeFail && some(m_random));
    }

    std::int64_t drawService(const std::string &id)
    {
        std::gamma_distribution<double> service(4, meanServiceMicros / 4);
        const bool slow =
            m_trouble == Trouble::SomeSlow && troubled() && std::stoi(id.substr(1)) < slowInstances;
        return std::llround(service(m_random) * (slow ? slowFactor : 1));
    }

    RetryContext question(const RequestPtr &request) const
    {
        const Instant arrived{request->arrivedAt / EventQueue::microsPerMilli};
        return {true, request->attempts, arrived + deadline, Millis{40}};
    }

    void scheduleHedge(const RequestPtr &request)
    {
        const auto delay = m_hedge.delay();
        if (m_way != Way::BudgetAndHedges || !delay)
            return;
        m_events.after(delay->count() * EventQueue::microsPerMilli, [this, request] {
            if (request->done || request->inFlight != 1 || request->attempts > 1)
                return;
            if (!m_budget.decideHedge(question(request), m_events.now()).retry)
                return;
            m_totals.hedges += attempt(request) ? 1 : 0;
        });
    }

    void finish(const RequestPtr &request, const std::string &id, AttemptOutcome outcome,
                Millis latency)
    {
        --request->inFlight;
        m_router.recordCompletion(id, outcome, latency, m_events.now());
        if (outcome == AttemptOutcome::Answered)
            m_hedge.recordLatency(latency);
        if (request->done)
            return;
        if (outcome == AttemptOutcome::Answered) {
            request->done = true;
            const double micros = static_cast<double>(m_events.micros() - request->arrivedAt);
            m_totals.latenciesMs.push_back(micros / EventQueue::microsPerMilli);
            return;
        }
        const auto decision = m_budget.decideRetry(outcome, question(request), m_events.now());
        if (decision.retry && attempt(request))
            return;
        if (request->inFlight > 0)
            return; // Its hedge may still answer.
        request->done = true;
        ++m_totals.failed;
    }

    Way m_way;
    Trouble m_trouble;
    EventQueue m_events{0};
    std::mt19937_64 m_random{20261203};
    Router m_router{{.availabilityZone = "z", .region = "r"}, 1};
    RetryBudget m_budget;
    HedgeDelayEstimator m_hedge{{}};
    Totals m_totals;
};

void measure(const std::string &name, Way way, Trouble trouble)
{
    Totals totals = Simulation(way, trouble).run();
    const double percent = 100.0 / static_cast<double>(totals.requests);
    report("retry", name,
           {{"attempts per request in trouble",
             static_cast<double>(totals.troubledAttempts)
                 / static_cast<double>(totals.troubledRequests)},
            {"failed %", static_cast<double>(totals.failed) * percent},
            {"hedged %", static_cast<double>(totals.hedges) * percent},
            {"p50 ms", quantile(totals.latenciesMs, 0.5)},
            {"p99 ms", quantile(totals.latenciesMs, 0.99)},
            {"p99.9 ms", quantile(totals.latenciesMs, 0.999)}});
}

struct NamedWay
{
    const char *name;
    Way way;
};

struct NamedTrouble
{
    const char *name;
    Trouble trouble;
};

} // namespace

int main()
{
    const NamedTrouble troubles[]{{"none", Trouble::None},
                                  {"all fail for 6 s", Trouble::AllFail},
                                  {"30 % of answers fail", Trouble::SomeFail},
                                  {"5 of 65 are ten times as slow", Trouble::SomeSlow}};
    const NamedWay ways[]{{"no retries", Way::Never},
                          {"three attempts", Way::ThreeAttempts},
                          {"budget", Way::Budget},
                          {"budget and hedges", Way::BudgetAndHedges}};
    for (const NamedTrouble &trouble : troubles) {
        reportHead(trouble.name,
                   {"attempts per request in trouble", "failed %", "hedged %", "p50 ms", "p99 ms",
                    "p99.9 ms"});
        for (const NamedWay &way : ways)
            measure(std::string(trouble.name) + ": " + way.name, way.way, trouble.trouble);
    }
    return 0;
}
