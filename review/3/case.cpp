// Case 3: one of the two minions of a rare kind is lost for good, in a deployment of 1,250 minions.

#include "../harness/deployment.h"
#include "core/hash.h"

#include <array>
#include <cstdio>

using namespace savorywick;
using namespace savorywick::review;

namespace {

constexpr int minionCount = 1'250; // Two shards' worth: see SYSTEM.md, 1,800 minions.
constexpr int hostsPerSubnet = 250;
constexpr int shardCount = 2;
constexpr Millis warmUp{12'000};
constexpr Millis lossAfter{1'000};
constexpr Millis submitAfter{8'000}; // From the loss: the minion's entry is gone by then.
constexpr int submissionCount = 12;
constexpr Millis submitInterval{300};
constexpr Millis finishTime{14'000}; // 'finish_s', from the end of the traffic.
constexpr Millis judgedTime{3'000}; // "for 3 s"

int shardOf(const std::string &key)
{
    return static_cast<int>(stableHash(key) % static_cast<std::uint64_t>(shardCount));
}

class Case
{
public:
    Case(const DeploymentSettings &settings, const BootClock &clock, Record &record)
        : m_deployment(settings, clock, record)
        , m_callers(m_deployment)
        , m_record(record)
    {
        for (int i = 0; i < minionCount; ++i)
            addMinion("m" + std::to_string(i + 1), i, "a");
        // One minion of the rare kind in each shard, as the hash of their ids has it.
        int number = 0;
        for (int shard = 0; shard < shardCount; ++shard) {
            std::string name;
            do {
                name = "rare" + std::to_string(++number);
            } while (shardOf(name + "-1") != shard);
            m_rare[shard] = m_deployment.minions().size();
            addMinion(name, minionCount + shard, "b");
        }
    }

    int run()
    {
        m_deployment.startEntries();
        m_deployment.loop().runAfter(warmUp, [this] {
            if (troubleWanted())
                m_deployment.loop().runAfter(lossAfter, [this] { loseRareMinion(); });
            m_deployment.loop().runAfter(lossAfter + submitAfter, [this] { submit(); });
        });
        m_deployment.loop().run();
        if (m_accepted < submissionCount) {
            m_record.say("only " + std::to_string(m_accepted) + " submissions were accepted");
            return 2;
        }
        judge();
        return m_record.violations() > 0 ? 1 : 0;
    }

private:
    void addMinion(const std::string &name, int number, const char *kind)
    {
        MinionSettings minion;
        minion.name = name;
        constexpr int firstSubnet = 8'000;
        minion.address = m_deployment.ipOf(1 + number % hostsPerSubnet) + ":"
            + std::to_string(firstSubnet + 200 + number / hostsPerSubnet);
        minion.kind = kind;
        constexpr int minionsPerRack = 20;
        minion.rack = "r" + std::to_string(number / minionsPerRack);
        minion.workOf = [](const steps::TaskRef &) { return std::optional(Millis{1'000}); };
        m_deployment.addMinion(minion);
    }

    void loseRareMinion()
    {
        Minion &minion = *m_deployment.minions()[m_rare[0]];
        m_record.say("minion " + minion.id()
                     + " is lost for good; one of its kind and 1,250 others stay");
        minion.vanish();
    }

    void submit()
    {
        if (m_submitted == submissionCount) {
            m_deployment.loop().runAfter(finishTime, [this] {
                askForStates();
                m_deployment.loop().runAfter(judgedTime, [this] { m_deployment.loop().stop(); });
            });
            return;
        }
        char id[17];
        std::snprintf(id, sizeof id, "%016x", 0xe500'0000U + static_cast<unsigned>(m_submitted++));
        m_ids.emplace_back(id);
        constexpr int attempts = 5;
        m_callers.submit(id,
                         R"({"spec":"needs kind b","stepSpecs":[{"count":1,"cpu":20000,)"
                         R"("memMb":1000,"estimateMs":1000,"requiredLabel":"b"}]})",
                         attempts, [this](int status, const std::string &) {
                             m_accepted += status == 200 ? 1 : 0;
                         });
        m_deployment.loop().runAfter(submitInterval, [this] { submit(); });
    }

    void askForStates()
    {
        for (const std::string &id : m_ids)
            m_callers.ask(id, [this, id](int status, const std::string &body) {
                m_states[id] = status == 200 ? stateOf(body) : std::to_string(status);
            });
    }

    // LOST: for 3 s, a submission has nothing running while a task's turn has come, there is
    // capacity for it twice over, and under half of the service's capacity is in use.
    void judge()
    {
        const Minion &left = *m_deployment.minions()[m_rare[1]];
        m_record.say("minion " + left.id() + " of kind b is up and runs "
                     + std::to_string(left.runCount()) + " tasks");
        int completed = 0;
        for (const std::string &id : m_ids) {
            if (m_states[id] == "completed") {
                ++completed;
                continue;
            }
            m_record.violate(
                "LOST: submission " + id + " is " + m_states[id]
                + " 14 s after the end of the traffic and has never run, while a minion "
                + "of the kind that it needs is idle");
        }
        m_record.say(std::to_string(completed) + " of " + std::to_string(submissionCount)
                     + " submissions completed");
    }

    Deployment m_deployment;
    Callers m_callers;
    Record &m_record;
    std::array<std::size_t, shardCount> m_rare{};
    std::vector<std::string> m_ids;
    std::map<std::string, std::string> m_states;
    int m_submitted = 0;
    int m_accepted = 0;
};

} // namespace

int main(int argc, char **argv)
{
    return caseMain(argc, argv,
                    [](const DeploymentSettings &settings, const BootClock &clock, Record &record) {
                        return Case(settings, clock, record).run();
                    });
}
