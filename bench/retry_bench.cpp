// Measures the load and the benefit of retries and hedged requests in virtual time: one entry and
// 65 instances of 8 slots at 70 % load, some or all of which fail or are slow for a while.

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
constexpr double failureRate = 0.3; // Of the attempts under Fault::SomeFail.
constexpr std::int64_t failedAttemptMicros = 1'000;
constexpr std::int64_t faultStart = 3 * microsPerSecond;
constexpr std::int64_t faultEnd = 9 * microsPerSecond;
constexpr std::int64_t simulationEnd = 12 * microsPerSecond;
constexpr Millis deadline{1'000};

enum class Strategy { Never, ThreeAttempts, Budget, BudgetAndHedges };
enum class Fault { None, AllFail, SomeFail, SomeSlow };

struct Request
{
    std::int64_t arrivalMicros = 0;
    int attempts = 0;
    int inFlight = 0;
    bool done = false;
    std::vector<std::string> triedInstances;
};

using RequestPtr = std::shared_ptr<Request>;

struct Totals
{
    std::vector<double> latenciesMs;
    std::uint64_t requests = 0;
    std::uint64_t failed = 0;
    std::uint64_t requestsDuringFault = 0;
    std::uint64_t attemptsDuringFault = 0;
    std::uint64_t hedges = 0;
};

RetryBudgetSettings budgetSettings(Strategy strategy)
{
    if (strategy == Strategy::Never)
        return {.retryRatio = 0, .minRetriesPerSecond = 0};
    if (strategy == Strategy::ThreeAttempts)
        return {.retryRatio = 1'000, .maxBalance = 1e9};
    return {};
}

class Simulation
{
public:
    Simulation(Strategy strategy, Fault fault)
        : m_strategy(strategy)
        , m_fault(fault)
        , m_budget(budgetSettings(strategy), Instant{0})
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
        m_events.runUntil(simulationEnd);
        return std::move(m_totals);
    }

private:
    bool duringFault() const
    {
        return m_events.nowMicros() >= faultStart && m_events.nowMicros() < faultEnd;
    }

    void scheduleArrival()
    {
        const double arrivalsPerMicro =
            offeredLoad * instanceCount * slotsPerInstance / meanServiceMicros;
        std::exponential_distribution<double> interarrivalMicros(arrivalsPerMicro);
        m_events.scheduleAfter(std::llround(interarrivalMicros(m_random)), [this] {
            scheduleArrival();
            auto request = std::make_shared<Request>();
            request->arrivalMicros = m_events.nowMicros();
            ++m_totals.requests;
            m_totals.requestsDuringFault += duringFault() ? 1 : 0;
            m_budget.recordFirstAttempt(m_events.now());
            if (startAttempt(request))
                scheduleHedge(request);
            else
                ++m_totals.failed;
        });
    }

    bool startAttempt(const RequestPtr &request)
    {
        const auto id = m_router.pick(request->triedInstances, m_events.now());
        if (!id)
            return false;
        ++request->attempts;
        ++request->inFlight;
        m_totals.attemptsDuringFault += duringFault() ? 1 : 0;
        request->triedInstances.push_back(*id);
        const bool failed = sampleFailure();
        const std::int64_t durationMicros = failed ? failedAttemptMicros : sampleServiceMicros(*id);
        const auto outcome = failed ? AttemptOutcome::Failed : AttemptOutcome::Answered;
        m_events.scheduleAfter(durationMicros, [this, request, id = *id, outcome, durationMicros] {
            finish(request, id, outcome, Millis{durationMicros / EventQueue::microsPerMilli});
        });
        return true;
    }

    bool sampleFailure()
    {
        if (!duringFault())
            return false;
        std::bernoulli_distribution some(failureRate);
        return m_fault == Fault::AllFail || (m_fault == Fault::SomeFail && some(m_random));
    }

    std::int64_t sampleServiceMicros(const std::string &id)
    {
        std::gamma_distribution<double> service(4, meanServiceMicros / 4);
        const bool slow =
            m_fault == Fault::SomeSlow && duringFault() && std::stoi(id.substr(1)) < slowInstances;
        return std::llround(service(m_random) * (slow ? slowFactor : 1));
    }

    RetryContext question(const RequestPtr &request) const
    {
        const Instant arrived{request->arrivalMicros / EventQueue::microsPerMilli};
        return {true, request->attempts, arrived + deadline, Millis{40}};
    }

    void scheduleHedge(const RequestPtr &request)
    {
        const auto delay = m_hedge.delay();
        if (m_strategy != Strategy::BudgetAndHedges || !delay)
            return;
        m_events.scheduleAfter(delay->count() * EventQueue::microsPerMilli, [this, request] {
            if (request->done || request->inFlight != 1 || request->attempts > 1)
                return;
            if (!m_budget.decideHedge(question(request), m_events.now()).retry)
                return;
            m_totals.hedges += startAttempt(request) ? 1 : 0;
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
            const double micros =
                static_cast<double>(m_events.nowMicros() - request->arrivalMicros);
            m_totals.latenciesMs.push_back(micros / EventQueue::microsPerMilli);
            return;
        }
        const auto decision = m_budget.decideRetry(outcome, question(request), m_events.now());
        if (decision.retry && startAttempt(request))
            return;
        if (request->inFlight > 0)
            return; // Another attempt may still answer.
        request->done = true;
        ++m_totals.failed;
    }

    Strategy m_strategy;
    Fault m_fault;
    EventQueue m_events{0};
    std::mt19937_64 m_random{20261203};
    Router m_router{{.availabilityZone = "z", .region = "r"}, 1};
    RetryBudget m_budget;
    HedgeDelayEstimator m_hedge{{}};
    Totals m_totals;
};

void measure(const std::string &name, Strategy strategy, Fault fault)
{
    Totals totals = Simulation(strategy, fault).run();
    const double percent = 100.0 / static_cast<double>(totals.requests);
    report("retry", name,
           {{"attempts per request in trouble",
             static_cast<double>(totals.attemptsDuringFault)
                 / static_cast<double>(totals.requestsDuringFault)},
            {"failed %", static_cast<double>(totals.failed) * percent},
            {"hedged %", static_cast<double>(totals.hedges) * percent},
            {"p50 ms", quantile(totals.latenciesMs, 0.5)},
            {"p99 ms", quantile(totals.latenciesMs, 0.99)},
            {"p99.9 ms", quantile(totals.latenciesMs, 0.999)}});
}

struct NamedStrategy
{
    const char *name;
    Strategy strategy;
};

struct NamedFault
{
    const char *name;
    Fault fault;
};

} // namespace

int main()
{
    const NamedFault faults[]{{"none", Fault::None},
                              {"all fail for 6 s", Fault::AllFail},
                              {"30 % of answers fail", Fault::SomeFail},
                              {"5 of 65 are ten times as slow", Fault::SomeSlow}};
    const NamedStrategy strategies[]{{"no retries", Strategy::Never},
                                     {"three attempts", Strategy::ThreeAttempts},
                                     {"budget", Strategy::Budget},
                                     {"budget and hedges", Strategy::BudgetAndHedges}};
    for (const NamedFault &fault : faults) {
        reportTableHeader(fault.name,
                          {"attempts per request in trouble", "failed %", "hedged %", "p50 ms",
                           "p99 ms", "p99.9 ms"});
        for (const NamedStrategy &strategy : strategies)
            measure(std::string(fault.name) + ": " + strategy.name, strategy.strategy, fault.fault);
    }
    return 0;
}
