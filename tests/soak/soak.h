#pragma once

#include "soakdeployment.h"

#include <random>
#include <string>
#include <vector>

namespace savorywick::testing {

struct SoakSettings
{
    unsigned seed = 1; // Determines the jobs and the faults, though not their exact times.
    std::string program; // `savorywick`.
    std::string directory; // For settings and logs of the entries.
    int entries = 4;
    int workers = 10;
    Millis maxLeaseTerm{4'000}; // The longest lease that a worker takes.
    Millis faultTime{12'000}; // For how long faults are injected.
    Millis settlingTime{60'000}; // In which every accepted job must end once they are over.
};

// What a soak has seen.
struct SoakResult
{
    std::vector<std::string> violations; // The promises that were broken.
    int jobs = 0;
    int accepted = 0;
    int starts = 0;
    int lostRuns = 0;
    int faults = 0;
};

// Runs real processes of `savorywick node` against stand-ins of the platform on loopback addresses,
// injects faults that overlap, and checks from what callers and workers see that the promises of
// the system hold: while faults are injected, and once they are over every accepted job must end.
//
// The faults: entries are killed, paused, stopped and started again; workers crash, also because of
// tasks, fall silent, carry out orders late, also those for their former lives, are cut off, shrink
// and grow; the store refuses, is silent or slow, loses answers and forgets its history. Ends only
// the processes that it started.
//
// Example:
//   Soak soak({.seed = 7, .program = program, .directory = directory});
//   const SoakResult result = soak.run();
class Soak
{
public:
    explicit Soak(SoakSettings settings);

    SoakResult run();

private:
    void submitJobs();
    SoakJob randomJob();
    void injectFaults();
    void injectFault();
    void loseAll();
    void restartWorkers();
    void cutOff(const std::vector<WorkerStandIn *> &workers);
    void injectEntryFault(std::size_t entry, int kind);
    void injectWorkerFault(WorkerStandIn &worker, int kind);
    void injectStoreFault();
    void endFaults();
    void awaitEnds();
    bool isSettled(const SoakJob &job) const;
    int randomBelow(int below)
    {
        return static_cast<int>(m_random() % static_cast<unsigned>(below));
    }
    Millis randomTime(int leastMs, int mostMs)
    {
        return Millis{leastMs + randomBelow(mostMs - leastMs)};
    }

    SoakSettings m_settings;
    std::mt19937 m_random;
    SoakDeployment m_deployment;
    Instant m_faultsEndAt;
    Instant m_settledBy;
    bool m_faultsOver = false;
    int m_faultCount = 0;
    int m_jobCount = 0;
};

} // namespace savorywick::testing
