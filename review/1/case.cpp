// Case 1: more than 500 ends wait on a minion while the platform's store is down.

#include "../harness/deployment.h"

using namespace savorywick;
using namespace savorywick::review;

namespace {

constexpr const char *jobId = "00000000000000a1";
constexpr int taskCount = 2'400;
constexpr int minionCount = 3;
constexpr Millis warmUp{4'000};
constexpr Millis storeFailsAfter{4'000}; // From the acceptance of the submission.
constexpr Millis storeDownFor{4'500}; // 'platform_down' of the small deployments: for_s = 4.5.
constexpr Millis settlingTime{60'000};

// Returns how long a task works: 3 to 9 s.
std::optional<Millis> workOf(const steps::TaskRef &task)
{
    constexpr int spreadMs = 6'000;
    constexpr int stride = 37; // Spreads the tasks that start together.
    return Millis{3'000 + task.index * stride % spreadMs};
}

class Case
{
public:
    Case(const DeploymentSettings &settings, const BootClock &clock, Record &record)
        : m_deployment(settings, clock, record)
        , m_callers(m_deployment)
        , m_record(record)
    {
        for (int i = 0; i < minionCount; ++i) {
            MinionSettings minion;
            minion.name = "m" + std::to_string(i + 1);
            minion.address = m_deployment.ipOf(100 + i) + ":8080";
            minion.rack = "r" + std::to_string(i + 1);
            minion.workOf = workOf;
            m_deployment.addMinion(minion);
        }
    }

    // Returns the exit code.
    int run()
    {
        m_deployment.startEntries();
        m_deployment.loop().runAfter(warmUp, [this] { submit(); });
        m_deployment.loop().runAfter(warmUp + settlingTime, [this] { m_deployment.loop().stop(); });
        m_deployment.loop().run();
        if (!m_accepted || m_state != "completed") {
            m_record.say("the submission did not complete: accepted "
                         + std::to_string(static_cast<int>(m_accepted)) + ", state " + m_state);
            return 2;
        }
        judge();
        return m_record.violations() > 0 ? 1 : 0;
    }

private:
    void submit()
    {
        const std::string body = R"({"spec":"many small tasks","stepSpecs":[{"count":)"
            + std::to_string(taskCount) + R"(,"cpu":60,"memMb":64,"estimateMs":6000}]})";
        constexpr int attempts = 5;
        m_callers.submit(jobId, body, attempts, [this](int status, const std::string &) {
            m_accepted = status == 200;
            if (!m_accepted)
                return m_deployment.loop().stop();
            if (troubleWanted())
                m_deployment.loop().runAfter(storeFailsAfter, [this] { failStore(); });
            m_deployment.every(Millis{1'000}, [this] { return askForState(); });
        });
    }

    void failStore()
    {
        m_record.say("the store is down for 4.5 s: it answers 503 to every call");
        m_deployment.store().setFault(testing::StoreFault::Refuses);
        m_deployment.loop().runAfter(storeDownFor, [this] {
            for (const auto &it : m_deployment.minions())
                m_record.say("a minion has " + std::to_string(it->unacknowledgedEnds())
                             + " ends that are not acknowledged");
            m_record.say("the store is back");
            m_deployment.store().setFault(testing::StoreFault::None);
        });
    }

    bool askForState()
    {
        m_callers.ask(jobId, [this](int status, const std::string &body) {
            if (status == 200)
                m_state = stateOf(body);
        });
        if (m_state != "completed")
            return true;
        // What was started beside must have ended, too.
        m_deployment.loop().runAfter(Millis{12'000}, [this] { m_deployment.loop().stop(); });
        return false;
    }

    // TWICE: a start after a run has ended `done`, if that end is taken note of then or later.
    void judge()
    {
        for (const auto &[task, runs] : m_deployment.runs()) {
            for (std::size_t i = 1; i < runs.size(); ++i) {
                const RunSeen &before = runs[i - 1];
                if (before.how == "done" && before.notedDone && runs[i].startedAt > *before.endedAt)
                    m_record.violate("TWICE: " + toString(task) + " run "
                                     + std::to_string(runs[i].number) + " began "
                                     + std::to_string((runs[i].startedAt - *before.endedAt).count())
                                     + " ms after run " + std::to_string(before.number)
                                     + " had ended done, an end that was taken note of");
            }
        }
        m_record.say(std::to_string(m_record.violations()) + " of " + std::to_string(taskCount)
                     + " tasks were run again after their end as done");
    }

    Deployment m_deployment;
    Callers m_callers;
    Record &m_record;
    bool m_accepted = false;
    std::string m_state;
};

} // namespace

int main(int argc, char **argv)
{
    return caseMain(argc, argv,
                    [](const DeploymentSettings &settings, const BootClock &clock, Record &record) {
                        return Case(settings, clock, record).run();
                    });
}
