// A minion fails all that it starts for some seconds, while the others are full of tasks that last.
// Its own tasks that last wait for long after it is sound again.

#include "../fleet/fleet.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <string>

namespace {

using namespace savorywick;
using namespace savorywick::review;

constexpr int minionCount = 12;
constexpr int tasksPerMinion = 4;
constexpr int submissionCount = minionCount * tasksPerMinion;
constexpr Millis submitFrom{4'000};
constexpr Millis greyFrom{15'000};
constexpr Millis greyFor{6'500};
constexpr Millis failAfter{1'800}; // From the begin of that to the end of what runs there.
constexpr Millis watchTime{14'000}; // After the minion is sound again.
// RULES.md, LOST: from 6 s after a task's last run, 3 s without any, and 4 s before them calm.
constexpr Millis afterLastRun{6'000};
constexpr Millis longestGap{3'000};
constexpr Millis calmBefore{4'000};

class Play
{
public:
    Play(FleetSettings settings, bool trouble)
        : m_fleet(std::move(settings))
        , m_trouble(trouble)
    {
        m_step.taskCount = 1;
        m_step.demand = {13'000, 26'000, 0};
        m_step.estimatedDuration = Millis{320};
        m_step.longRunning = true;
        m_fleet.world().started = [this](const steps::TaskRef &task, int) { ++m_live[task.job]; };
        m_fleet.world().ended = [this](const steps::TaskRef &task, int, const std::string &) {
            --m_live[task.job];
            m_endedAt[task.job] = m_fleet.clock().now();
        };
    }

    int run()
    {
        m_fleet.start();
        m_fleet.loop().runAfter(submitFrom, [this] { submitNext(); });
        m_fleet.loop().runAfter(greyFrom, [this] { begin(); });
        m_fleet.loop().run();
        return m_result;
    }

private:
    void submitNext()
    {
        if (m_submitted == submissionCount)
            return;
        steps::JobSpec job;
        char id[17];
        std::snprintf(id, sizeof id, "%016x", static_cast<unsigned>(++m_submitted));
        job.id = id;
        job.payload = "roster-watch";
        job.steps = {m_step};
        m_fleet.submit(job, [this] { submitNext(); });
    }

    int liveCount() const
    {
        return static_cast<int>(std::count_if(m_live.begin(), m_live.end(),
                                              [](const auto &it) { return it.second > 0; }));
    }

    void begin()
    {
        if (liveCount() < submissionCount)
            return finish(2, "not all tasks run before the disruption");
        if (m_trouble) {
            Minion &minion = *m_fleet.minions().front();
            minion.setGrey(true);
            m_fleet.loop().runAfter(failAfter, [&minion] { minion.failRuns(); });
            m_fleet.loop().runAfter(greyFor, [&minion] { minion.setGrey(false); });
        }
        m_soundFrom = m_fleet.clock().now() + greyFor;
        m_fleet.loop().runAfter(greyFor + watchTime, [this] {
            finish(m_fleet.clock().now() > m_soundFrom && liveCount() == submissionCount ? 0 : 1,
                   "the end");
        });
        watch();
    }

    // Returns true if and only if some minion has room for two tasks.
    bool hasRoom() const
    {
        steps::ResourceVector twice = m_step.demand;
        twice += m_step.demand;
        return std::any_of(m_fleet.minions().begin(), m_fleet.minions().end(),
                           [&](const auto &it) { return twice.fitsIn(it->room()); });
    }

    void watch()
    {
        const Instant now = m_fleet.clock().now();
        if (now < m_soundFrom + calmBefore || !hasRoom())
            m_countsFrom = now;
        for (const auto &[job, live] : m_live) {
            if (live > 0)
                continue;
            const Instant from = std::max(m_countsFrom, m_endedAt[job] + afterLastRun);
            if (now - from >= longestGap)
                return finish(1, ("LOST: nothing of " + job + " runs for 3 s").c_str());
        }
        m_fleet.loop().runAfter(Millis{20}, [this] { watch(); });
    }

    void finish(int result, const char *why)
    {
        m_fleet.submissions().note("check", why);
        std::printf("%s; %d of %d run\n", why, liveCount(), submissionCount);
        m_result = result;
        m_fleet.loop().stop();
    }

    Fleet m_fleet;
    const bool m_trouble;
    steps::StepSpec m_step;
    int m_submitted = 0;
    std::map<std::string, int> m_live;
    std::map<std::string, Instant> m_endedAt;
    Instant m_soundFrom;
    Instant m_countsFrom;
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
    settings.minions = minionCount;
    return Play(settings, !trouble || std::strcmp(trouble, "0") != 0).run();
}
