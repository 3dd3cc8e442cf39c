// Case 6: minions that are cut off and run on are taken for crashed, and the submission is given
// up.

#include "review/stage/stage.h"

#include <map>
#include <memory>

using namespace review;

namespace {

constexpr const char *id = "00000000000000a6";
// One task of 6 s, as long as the longest of the site's term-allocation.
constexpr const char *body = R"({"spec":"a6","stepSpecs":[{"count":1,"cpu":7000,"memMb":13000,)"
                             R"("estimateMs":6000}]})";
constexpr Millis work{6'000};
constexpr Millis cutAfter{600}; // From the start of the task's run.
constexpr Millis cutLength{5'500}; // The site file's longest cut.
constexpr int cutsInARow = 2;
constexpr int minionsToCut = 2;

} // namespace

int main()
{
    std::unique_ptr<Stage> stage;
    int failedRuns = 0;
    int cutMinions = 0;
    Minion::Listener listener;
    listener.plan = [](const RunEvent &) { return RunPlan{work, "done", {}}; };
    listener.ended = [&](const RunEvent &it, const std::string &how) {
        stage->record(it.minion + ": " + it.task + " run " + std::to_string(it.run) + " ends "
                      + how);
        failedRuns += how == "failed" ? 1 : 0;
    };
    listener.started = [&](const RunEvent &it) {
        stage->record(it.minion + ": " + it.task + " run " + std::to_string(it.run) + " starts");
        if (!hasTrouble() || cutMinions == minionsToCut)
            return;
        ++cutMinions;
        stage->after(cutAfter, [&, machine = it.machine] {
            stage->record(machine + " is cut off from all machines (refused), twice for 5.5 s");
            stage->minion(machine).setCutOff(true);
            stage->after(cutLength * cutsInARow, [&, machine] {
                stage->record(machine + " can be reached again");
                stage->minion(machine).setCutOff(false);
            });
        });
    };
    stage = std::make_unique<Stage>("review/6/record.txt",
                                    Stage::Settings{.nodes = 3, .minions = 12}, listener);
    stage->start([&] {
        stage->submit(id, body, [&] {
            stage->watch(id, Millis{500}, [&](const std::string &state) {
                if (state == "failed")
                    stage->finish(Verdict::Broken,
                                  "LOST: shown as failed; " + std::to_string(failedRuns)
                                      + " runs ended failed, no minion crashed");
                else if (state == "completed")
                    stage->finish(Verdict::Held, "the submission is completed");
                return state != "failed" && state != "completed";
            });
        });
    });
    return static_cast<int>(stage->run(Millis{90'000}));
}
