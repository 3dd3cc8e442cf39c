// A gang of tasks that last, one of which fails now and then, as tasks that last may at any time.

#include "../fleet/fleet.h"

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <set>

namespace {

using namespace savorywick;
using namespace savorywick::review;

constexpr int memberCount = 4;
constexpr int maxAttempts = 3; // Of the manifest.
constexpr int failures = 3; // One more than two, in all.
constexpr Millis workBeforeFailure{1'500};
// A task that lasts is owed a run from 6 s after its last one; 3 s without any break the rule.
constexpr Millis restartBound{9'000};
constexpr Millis watchTime{25'000}; // After the last failure, or after the first start.
constexpr Millis askInterval{500};

class Play
{
public:
    Play(FleetSettings settings, bool trouble)
        : m_fleet(std::move(settings))
        , m_trouble(trouble)
    {
        m_job.id = "5c0e7a21d94b36f8";
        m_job.payload = "roster-watch";
        steps::StepSpec step;
        step.taskCount = memberCount;
        step.demand = {13'000, 26'000, 0};
        step.estimatedDuration = Millis{320};
        step.gang = true;
        step.longRunning = true;
        m_job.steps = {step};
        m_fleet.world().ownEnd = [this](const steps::TaskRef &task, int run) {
            return endOf(task, run);
        };
    }

    int run()
    {
        m_fleet.start();
        m_fleet.submit(m_job, [this] {
            m_accepted = true;
            ask();
        });
        watch();
        m_fleet.loop().run();
        return m_result;
    }

private:
    // The second member fails in each of the first runs. The numbers of runs rise; which they are
    // is the system's choice.
    std::optional<OwnEnd> endOf(const steps::TaskRef &task, int run)
    {
        if (!m_trouble || task.index != 1)
            return {};
        if (m_failing.size() < failures)
            m_failing.insert(run);
        return m_failing.contains(run) ? std::optional(OwnEnd{"failed", workBeforeFailure})
                                       : std::nullopt;
    }

    int runCount()
    {
        int count = 0;
        for (const auto &it : m_fleet.minions())
            count += static_cast<int>(it->runCount());
        return count;
    }

    void ask()
    {
        m_fleet.call(m_asked++ % 3, "GET", m_job.id, "", [this](const HttpResult &answer) {
            const std::string state = stateIn(answer);
            if (state == "failed" || state == "completed" || state == "cancelled") {
                m_fleet.submissions().note("check", "shown as " + state + ", and nobody cancelled");
                m_shownAsEnded = true;
            }
            m_fleet.loop().runAfter(askInterval, [this] { ask(); });
        });
    }

    void watch()
    {
        const Instant now = m_fleet.clock().now();
        if (runCount() > 0)
            m_lastRunAt = now;
        if (!m_firstRunAt && m_lastRunAt)
            m_firstRunAt = now;
        const Millis elapsed = m_fleet.submissions().elapsed();
        if (!m_firstRunAt && elapsed > Millis{40'000})
            return finish(2, "the gang did not start");
        if (m_lastRunAt && now - *m_lastRunAt > restartBound)
            return finish(1, "LOST: nothing of the submission has run for 9 s");
        const Millis end = watchTime + workBeforeFailure * failures;
        if (m_firstRunAt && now - *m_firstRunAt > end)
            return finish(m_shownAsEnded || runCount() < memberCount ? 1 : 0, "the end");
        m_fleet.loop().runAfter(Millis{50}, [this] { watch(); });
    }

    void finish(int result, const char *why)
    {
        m_fleet.submissions().note("check", why);
        std::printf("%s; %d members run; shown as ended: %s\n", why, runCount(),
                    m_shownAsEnded ? "yes" : "no");
        m_result = result;
        m_fleet.loop().stop();
    }

    Fleet m_fleet;
    const bool m_trouble;
    steps::JobSpec m_job;
    std::set<int> m_failing;
    bool m_accepted = false;
    bool m_shownAsEnded = false;
    int m_asked = 0;
    std::optional<Instant> m_firstRunAt;
    std::optional<Instant> m_lastRunAt;
    int m_result = 2;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4)
        return 2;
    const char *trouble = std::getenv("TROUBLE");
    FleetSettings settings;
    settings.program = argv[1];
    settings.directory = argv[2];
    settings.recordPath = argv[3];
    settings.maxAttempts = maxAttempts;
    return Play(settings, !trouble || std::strcmp(trouble, "0") != 0).run();
}
