#include "soak.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <utility>

namespace savorywick::testing {

namespace {

constexpr Millis warmUpTime{3'500}; // Until the first job: the entries agree on their shards.
constexpr Millis jobInterval{180};
constexpr Millis pollInterval{400};
constexpr int maxTaskCores = 2'500;

} // namespace

Soak::Soak(SoakSettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_deployment({.seed = m_settings.seed,
                    .program = m_settings.program,
                    .directory = m_settings.directory,
                    .entries = m_settings.entries,
                    .workers = m_settings.workers,
                    .maxLeaseTerm = m_settings.maxLeaseTerm})
{ }

SoakResult Soak::run()
{
    m_deployment.keepEntriesRunning();
    m_faultsEndAt = m_deployment.clock().now() + warmUpTime + m_settings.faultTime;
    m_deployment.loop().runAfter(warmUpTime, [this] {
        submitJobs();
        injectFaults();
    });
    m_deployment.loop().runAfter(warmUpTime + m_settings.faultTime, [this] {
        endFaults();
        awaitEnds();
    });
    m_deployment.loop().run();
    SoakResult result{
        m_deployment.ledger().violations(),   m_jobCount,  0, m_deployment.ledger().startCount(),
        m_deployment.ledger().lostRunCount(), m_faultCount};
    for (const auto &[id, job] : m_deployment.ledger().jobs())
        result.accepted += job.accepted ? 1 : 0;
    return result;
}

SoakJob Soak::randomJob()
{
    constexpr int crashingPercent = 8;
    constexpr int lastingPercent = 6;
    constexpr int firstLastingJobs = 4; // So that there are such runs when faults begin.
    SoakJob job;
    char id[17];
    std::snprintf(id, sizeof id, "%08x%08x", m_settings.seed, ++m_jobCount);
    job.spec.id = id;
    job.spec.payload = "soak";
    job.spec.policy.maxAttempts = 4;
    const int stepCount = 1 + randomBelow(3);
    for (int s = 0; s < stepCount; ++s) {
        steps::StepSpec step;
        step.taskCount = 1 + randomBelow(4);
        step.demand = {500 + randomBelow(maxTaskCores), 200 + randomBelow(2'000), 0};
        step.estimatedDuration = Millis{500};
        if (s > 0)
            step.dependsOn = {randomBelow(s)};
        job.spec.steps.push_back(std::move(step));
    }
    const int kind = randomBelow(100);
    job.crashesWorkers = kind < crashingPercent && m_jobCount > firstLastingJobs;
    if (m_jobCount <= firstLastingJobs || kind >= 100 - lastingPercent) {
        job.spec.steps.resize(1);
        job.spec.steps.front().longRunning = true;
        job.spec.steps.front().demand.milliCores = 400;
    }
    return job;
}

void Soak::submitJobs()
{
    if (m_faultsOver)
        return;
    m_deployment.callers().submit(randomJob());
    constexpr int cancelOneIn = 12;
    if (randomBelow(cancelOneIn) == 0) {
        auto it = m_deployment.ledger().jobs().begin();
        std::advance(it, randomBelow(static_cast<int>(m_deployment.ledger().jobs().size())));
        if (it->second.accepted && !it->second.cancelled)
            m_deployment.callers().cancel(it->first);
    }
    m_deployment.loop().runAfter(jobInterval, [this] { submitJobs(); });
}

void Soak::injectFaults()
{
    if (m_faultsOver)
        return;
    injectFault();
    m_deployment.loop().runAfter(randomTime(200, 1'000), [this] { injectFaults(); });
}

void Soak::injectFault()
{
    ++m_faultCount;
    constexpr int lossOfAllOneIn = 20;
    constexpr int restartsOneIn = 8;
    if (randomBelow(lossOfAllOneIn) == 0)
        return loseAll();
    if (randomBelow(restartsOneIn) == 0)
        return restartWorkers();
    const int kind = randomBelow(9);
    if (kind < 3)
        return injectEntryFault(
            static_cast<std::size_t>(randomBelow(static_cast<int>(m_deployment.entries().size()))),
            kind);
    if (kind < 7)
        return injectWorkerFault(
            *m_deployment.workers()[randomBelow(static_cast<int>(m_deployment.workers().size()))],
            kind - 3);
    if (kind == 7)
        return m_deployment.store().forgetHistory();
    injectStoreFault();
}

// Ends all entries and workers at one moment, as a loss of power does. Some workers stay away for
// longer than any lease.
void Soak::loseAll()
{
    constexpr Millis longAway{8'000};
    m_deployment.killAllEntries(randomTime(200, 3'000));
    for (const auto &it : m_deployment.workers()) {
        const Millis downtime = randomTime(200, 3'000);
        const bool staysAway = randomBelow(3) == 0;
        it->crash(staysAway ? downtime + longAway : downtime, randomBelow(2) == 0);
    }
}

// Starts about half of the workers again under their ids, each with an order for its former life on
// the way, and cuts off some of them soon after, when they have runs again.
void Soak::restartWorkers()
{
    std::vector<WorkerStandIn *> restarted;
    for (const auto &it : m_deployment.workers()) {
        if (randomBelow(2) == 0)
            continue;
        restarted.push_back(it.get());
        const Millis downtime = randomTime(0, 500);
        const Millis callDelay = randomTime(0, 300);
        const Millis listingDelay = randomTime(0, 1'000);
        if (randomBelow(3) == 0)
            it->restartUnlisted(listingDelay);
        else
            it->restartAtNextGrant({{}, downtime, callDelay, listingDelay});
    }
    m_deployment.loop().runAfter(randomTime(800, 2'500),
                                 [this, restarted = std::move(restarted)] { cutOff(restarted); });
}

// Cuts the workers off for longer than their leases last, and kills one entry or all of them.
void Soak::cutOff(const std::vector<WorkerStandIn *> &workers)
{
    constexpr Millis beyondLease{1'000};
    for (WorkerStandIn *it : workers) {
        it->setCutOff(true);
        m_deployment.loop().runAfter(m_settings.maxLeaseTerm + beyondLease,
                                     [it] { it->setCutOff(false); });
    }
    if (randomBelow(3) != 0)
        return m_deployment.killAllEntries(randomTime(200, 1'500));
    const int entry = randomBelow(static_cast<int>(m_deployment.entries().size()));
    m_deployment.killEntry(static_cast<std::size_t>(entry), randomTime(200, 3'000));
}

void Soak::injectEntryFault(std::size_t entry, int kind)
{
    NodeProcess &process = *m_deployment.entries()[entry];
    switch (kind) {
    case 0:
        return m_deployment.killEntry(entry, randomTime(200, 3'000));
    case 1:
        process.signal(SIGSTOP);
        m_deployment.loop().runAfter(randomTime(500, 4'500),
                                     [&process] { process.signal(SIGCONT); });
        return;
    default:
        return process.signal(SIGTERM);
    }
}

void Soak::injectWorkerFault(WorkerStandIn &worker, int kind)
{
    constexpr int fullPercent = 100;
    switch (kind) {
    case 0: {
        const Millis down = randomTime(500, 6'000);
        const bool underNewId = randomBelow(2) == 0;
        return worker.crash(down, underNewId);
    }
    case 1:
        worker.setSilent(true);
        m_deployment.loop().runAfter(randomTime(300, 4'000),
                                     [&worker] { worker.setSilent(false); });
        return;
    default:
        worker.setCapacity(25 + randomBelow(50));
        m_deployment.loop().runAfter(randomTime(1'000, 6'000),
                                     [&worker] { worker.setCapacity(fullPercent); });
    }
}

void Soak::injectStoreFault()
{
    constexpr StoreFault faults[] = {StoreFault::Refuses, StoreFault::Silent,
                                     StoreFault::LosesAnswers, StoreFault::Slow};
    m_deployment.store().setFault(faults[randomBelow(4)]);
    m_deployment.loop().runAfter(randomTime(300, 2'500),
                                 [this] { m_deployment.store().setFault(StoreFault::None); });
}

void Soak::endFaults()
{
    m_faultsOver = true;
    m_settledBy = m_deployment.clock().now() + m_settings.settlingTime;
    m_deployment.store().setFault(StoreFault::None);
    for (const auto &it : m_deployment.entries())
        it->signal(SIGCONT);
    for (const auto &it : m_deployment.workers()) {
        it->setSilent(false);
        it->setCapacity(100);
    }
}

// Returns true if and only if all has come of the job that must.
bool Soak::isSettled(const SoakJob &job) const
{
    const int liveRuns = m_deployment.ledger().liveRuns(job.spec.id);
    if (job.cancelled || !job.accepted)
        return !job.cancelled || liveRuns == 0;
    const steps::StepSpec &first = job.spec.steps.front();
    const bool lasts = first.longRunning && !job.crashesWorkers;
    return job.ended || (lasts && liveRuns == first.taskCount);
}

// Ends the soak once all jobs have settled, or their time is over.
void Soak::awaitEnds()
{
    m_deployment.callers().askForStates();
    const bool settled = m_deployment.callers().openCalls() == 0
        && std::all_of(m_deployment.ledger().jobs().begin(), m_deployment.ledger().jobs().end(),
                       [&](const auto &it) { return isSettled(it.second); });
    if (settled)
        return m_deployment.loop().stop();
    if (m_deployment.clock().now() < m_settledBy) {
        m_deployment.loop().runAfter(pollInterval, [this] { awaitEnds(); });
        return;
    }
    for (const auto &[id, job] : m_deployment.ledger().jobs()) {
        if (!isSettled(job))
            m_deployment.ledger().violate(id
                                          + (job.cancelled ? " is cancelled and still runs"
                                                           : " was accepted and does not end"));
    }
    m_deployment.loop().stop();
}

} // namespace savorywick::testing
