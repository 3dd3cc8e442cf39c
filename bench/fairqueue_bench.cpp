// Measures the cost of fair queue operations by the number of waiting items, with a fixed seed.

#include "report.h"
#include "savorywick/fairqueue.h"

#include <chrono>
#include <random>
#include <string>
#include <vector>

using namespace savorywick;

namespace {

constexpr int teamCount = 570;
constexpr int timedSteps = 20'000;
constexpr int maxItemCores = 8;

class EverythingFits final : public FitChecker
{
public:
    FitResult test(const WaitingItem &) override { return FitResult::Fits; }
};

// Models a cluster that is nearly full: only items of one core fit.
class OnlySmallFit final : public FitChecker
{
public:
    FitResult test(const WaitingItem &item) override
    {
        return item.demand.cores <= 1 ? FitResult::Fits : FitResult::NotNow;
    }
};

class NothingFits final : public FitChecker
{
public:
    FitResult test(const WaitingItem &) override { return FitResult::NotNow; }
};

class Workload
{
public:
    explicit Workload(int waiting)
        : m_queue({})
        , m_random(5)
    {
        for (int i = 0; i < teamCount; ++i) {
            m_queue.setTeam(teamName(i), {1.0 + i % 4, {1'000'000, 1'000'000'000, 1'000}});
        }
        for (int i = 0; i < waiting; ++i)
            push();
    }

    void push()
    {
        m_now = m_now + Millis{7};
        std::uniform_int_distribution<int> teamDistribution(0, teamCount - 1);
        std::uniform_int_distribution<int> coresDistribution(1, maxItemCores);
        std::uniform_int_distribution<int> priorityDistribution(0, 9);
        const int cores = coresDistribution(m_random);
        m_queue.push({"item-" + std::to_string(m_nextItem++),
                      teamName(teamDistribution(m_random)),
                      priorityDistribution(m_random),
                      {cores, cores * 2'000, 0},
                      m_now},
                     m_now);
    }
    bool popAndFinish(FitChecker &fit)
    {
        const auto item = m_queue.pop(m_now, fit);
        if (item)
            m_queue.markFinished(item->id, m_now);
        return item.has_value();
    }

private:
    static std::string teamName(int team) { return "team-" + std::to_string(team); }

    FairQueue m_queue;
    std::mt19937 m_random;
    Instant m_now;
    int m_nextItem = 0;
};

template<typename Step>
double microsPerStep(int n, Step step)
{
    const auto started = std::chrono::steady_clock::now();
    for (int i = 0; i < n; ++i)
        step();
    const auto elapsed = std::chrono::steady_clock::now() - started;
    return std::chrono::duration<double, std::micro>(elapsed).count() / n;
}

} // namespace

int main()
{
    bench::reportTableHeader("waiting",
                             {"push and pop us", "only small fit us", "nothing fits us"});
    for (const int waiting : {1'000, 10'000, 100'000}) {
        Workload workload(waiting);
        EverythingFits everything;
        OnlySmallFit small;
        NothingFits nothing;
        const double all = microsPerStep(timedSteps, [&] {
            workload.push();
            workload.popAndFinish(everything);
        });
        const double some = microsPerStep(2'000, [&] {
            workload.push();
            workload.popAndFinish(small);
        });
        const double none = microsPerStep(500, [&] { workload.popAndFinish(nothing); });
        const std::string name = std::to_string(waiting);
        bench::report("fairqueue", name,
                      {{"microseconds_per_push_and_pop", all},
                       {"microseconds_when_only_small_items_fit", some},
                       {"microseconds_when_nothing_fits", none}});
    }
    return 0;
}
