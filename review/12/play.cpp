// A client hands a submission in at an entry that stands still, gets no answer, cancels it at
// another entry and is told that there is none. Then the entry wakes.

#include "../fleet/fleet.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>

namespace {

using namespace savorywick;
using namespace savorywick::review;

constexpr int entryCount = 3;
constexpr Millis settleTime{6'000}; // Until the deployment has an owner.
constexpr Millis freezeTime{4'000};
constexpr Millis timeToFreeze{100};
constexpr Millis firstStepWork{8'000};
constexpr Millis cancelBound{3'000}; // `cancel_ms`
constexpr Millis watchTime{20'000};
constexpr int maxCancels = 4;

class Play
{
public:
    Play(FleetSettings settings, bool trouble)
        : m_directory(settings.directory)
        , m_fleet(std::move(settings))
        , m_trouble(trouble)
    {
        m_job.id = "5c0e7a21d94b36f8";
        m_job.payload = "placement-check";
        steps::StepSpec step;
        step.taskCount = 1;
        step.demand = {6'300, 13'000, 0};
        step.estimatedDuration = firstStepWork;
        m_job.steps = {step, step};
        m_job.steps[1].dependsOn = {0};
        m_fleet.world().ownEnd = [](const steps::TaskRef &, int) {
            return std::optional(OwnEnd{"done", firstStepWork});
        };
        m_fleet.world().started = [this](const steps::TaskRef &task, int) { noteStart(task); };
    }

    int run()
    {
        m_fleet.start();
        m_fleet.loop().runAfter(settleTime, [this] { freeze(); });
        m_fleet.loop().run();
        return m_result;
    }

private:
    // Returns an entry that does not own the shard, as the entries' logs tell.
    int chooseEntry() const
    {
        for (int i = 0; i < entryCount; ++i) {
            std::ifstream log(m_directory + "/edge-" + std::to_string(i) + ".log");
            const std::string text{std::istreambuf_iterator<char>(log), {}};
            if (text.find("\"shard-taken\"") == std::string::npos)
                return i;
        }
        return 0;
    }

    void freeze()
    {
        m_frozen = chooseEntry();
        m_fleet.submissions().add(m_job);
        if (!m_trouble)
            return submit();
        m_fleet.submissions().note("fault", "edge " + std::to_string(m_frozen) + " stands still");
        m_fleet.entry(m_frozen).signal(SIGSTOP);
        m_fleet.loop().runAfter(freezeTime, [this] {
            m_fleet.submissions().note("fault", "it wakes");
            m_fleet.entry(m_frozen).signal(SIGCONT);
        });
        m_fleet.loop().runAfter(timeToFreeze, [this] { submit(); });
    }

    // The client waits for as long as its time limit says, then cancels.
    void submit()
    {
        m_fleet.call(m_frozen, "POST", m_job.id, encodeSubmission(m_job),
                     [this](const HttpResult &) { cancel(maxCancels); });
    }

    void cancel(int attemptsLeft)
    {
        m_fleet.call((m_frozen + 1) % entryCount, "DELETE", m_job.id, "",
                     [this, attemptsLeft](const HttpResult &answer) {
                         if (answer.status == 200 || answer.status == 410)
                             return noteCancelled();
                         if (attemptsLeft == 1)
                             return finish(2, "the cancel was not acknowledged");
                         cancel(attemptsLeft - 1);
                     });
    }

    void noteCancelled()
    {
        m_cancelledAt = m_fleet.clock().now();
        m_fleet.loop().runAfter(watchTime, [this] {
            finish(m_late > 0 ? 1 : 0,
                   m_late > 0 ? "UNASKED: started after its cancelling"
                              : "nothing was started later");
        });
    }

    void noteStart(const steps::TaskRef &task)
    {
        if (!m_cancelledAt || m_fleet.clock().now() - *m_cancelledAt <= cancelBound)
            return;
        ++m_late;
        m_fleet.submissions().note("check",
                                   toString(task)
                                       + " starts later than cancel_ms after "
                                         "the cancelling was acknowledged");
    }

    void finish(int result, const char *why)
    {
        m_fleet.submissions().note("check", why);
        std::printf("%s; %d late starts\n", why, m_late);
        m_result = result;
        m_fleet.loop().stop();
    }

    const std::string m_directory;
    Fleet m_fleet;
    const bool m_trouble;
    steps::JobSpec m_job;
    int m_frozen = 0;
    std::optional<Instant> m_cancelledAt;
    int m_late = 0;
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
    settings.entries = entryCount;
    return Play(settings, !trouble || std::strcmp(trouble, "0") != 0).run();
}
