// Case 6: minions that are cut off and run on are taken for crashed, and the submission is given
// up.

#include "review/stage/stage.h"

#include <functional>
#include <map>
#include <memory>

using namespace review;

namespace {

constexpr const char *id = "00000000000000a6";
// One task of 6.8 s, as the longest of the site's term-allocation.
constexpr const char *body = R"({"spec":"a6","stepSpecs":[{"count":1,"cpu":7000,"memMb":13000,)"
                             R"("estimateMs":6800,"requiredLabel":"a"}]})";
// Other clients' work, on other minions.
constexpr const char *otherBody = R"({"spec":"b","stepSpecs":[{"count":12,"cpu":6000,)"
                                  R"("memMb":13000,"estimateMs":640,"requiredLabel":"b"}]})";
constexpr Millis work{6'800};
constexpr Millis otherWork{640};
constexpr Millis otherInterval{250};
constexpr Millis cutLength{5'500}; // The site file's longest cut.
constexpr Millis fullWait{1'000}; // Of a hold; the lease is extended again after it.
constexpr Millis cutBeforeAnswer{10}; // The cut begins so long before the answer to a hold.
constexpr Millis settling{12'000}; // Until the first owner counts on its own leases alone.
constexpr int maxCuts = 4;
constexpr int firstOther = 13; // The minions from here on are of another kind.

} // namespace

int main()
{
    std::unique_ptr<Stage> stage;
    int failedRuns = 0;
    int cuts = 0;
    std::string runsOn; // The machine of the task's present run, until that is cut off.
    Minion::Listener listener;
    listener.plan = [](const RunEvent &it) {
        return RunPlan{it.task.starts_with(id) ? work : otherWork, "done", {}};
    };
    listener.ended = [&](const RunEvent &it, const std::string &how) {
        failedRuns += how == "failed" ? 1 : 0;
        if (it.task.starts_with(id))
            stage->record(it.minion + ": " + it.task + " run " + std::to_string(it.run) + " ends "
                          + how);
    };
    listener.started = [&](const RunEvent &it) {
        if (!it.task.starts_with(id))
            return;
        stage->record(it.minion + ": " + it.task + " run " + std::to_string(it.run) + " starts");
        runsOn = it.machine;
    };
    listener.held = [&](const std::string &machine, Millis wait) {
        if (machine != runsOn || wait < fullWait || !hasTrouble() || cuts == maxCuts)
            return;
        runsOn.clear();
        ++cuts;
        stage->after(wait - cutBeforeAnswer, [&, machine] {
            stage->record(machine
                          + " is cut off from all machines for 5.5 s (refused); it runs on");
            stage->minion(machine).setCutOff(true);
            stage->after(cutLength, [&, machine] {
                stage->record(machine + " can be reached again");
                stage->minion(machine).setCutOff(false);
            });
        });
    };
    stage = std::make_unique<Stage>("review/6/record.txt",
                                    Stage::Settings{.nodes = 3, .minions = 24}, listener);
    for (const auto &it : stage->minions()) {
        if (std::stoi(it->settings().name.substr(1)) >= firstOther)
            it->restart(true, "b");
    }
    int others = 0;
    std::function<void()> handInOthers = [&] {
        std::string other = std::to_string(++others);
        other.insert(0, std::string(id).size() - other.size(), '0');
        stage->call("POST", other, otherBody, [](int, const std::string &) {});
        stage->after(otherInterval, handInOthers);
    };
    const auto watchState = [&] {
        stage->watch(id, Millis{500}, [&](const std::string &state) {
            if (state == "failed")
                stage->finish(Verdict::Broken,
                              "LOST: shown as failed; " + std::to_string(failedRuns)
                                  + " runs ended failed, no minion crashed");
            else if (state == "completed")
                stage->finish(Verdict::Held, "the submission is completed");
            return state != "failed" && state != "completed";
        });
    };
    stage->start([&] {
        handInOthers();
        stage->after(settling, [&] { stage->submit(id, body, watchState); });
    });
    return static_cast<int>(stage->run(Millis{100'000}));
}
