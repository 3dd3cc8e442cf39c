// The part of Coordinator that keeps fill-in runs from harming the standing runs beside them.

#include "savorywick/steps/coordinator.h"

#include <algorithm>
#include <set>

namespace savorywick::steps {

namespace {

constexpr int fullPace = 100;
constexpr int halfPace = 50;
constexpr int lowPace = 15;

// Returns the next lower pace, or 0 for a run that must move.
int slower(int pace)
{
    if (pace > halfPace)
        return halfPace;
    return pace > lowPace ? lowPace : 0;
}

int faster(int pace)
{
    return pace < halfPace ? halfPace : fullPace;
}

} // namespace

// Judges what the report says of the standing runs, learns from it, and acts on it.
void Coordinator::shareWorker(Worker &worker, Now now)
{
    const std::vector<RunKey> keys = m_runs.onWorker(worker.info.life.id);
    const std::vector<std::string> beside = fillInImages(keys, now);
    bool anyOver = false;
    std::set<std::string> hurt;
    for (const RunKey &key : keys) {
        const Run &run = *m_runs.find(key);
        if (!run.standing || run.latencyTarget == Millis{0} || !run.figure)
            continue;
        const bool over = *run.figure > run.latencyTarget.count();
        anyOver = anyOver || over;
        if (over)
            hurt.insert(run.image);
        if (now.at - worker.learnedAt >= m_settings.figureWindow)
            m_pairs.observe(run.image, over, beside);
    }
    if (now.at - worker.learnedAt >= m_settings.figureWindow)
        worker.learnedAt = now.at;
    if (!anyOver) {
        worker.harmedSince.reset();
        return speedUp(worker, keys, now);
    }
    if (!worker.harmedSince)
        worker.harmedSince = now.at;
    worker.harmedAt = now.at;
    slowHarmful(worker, keys, hurt, now);
}

// Returns the images of fill-in runs that have worked for as long as a figure looks back.
std::vector<std::string> Coordinator::fillInImages(std::span<const RunKey> keys, Now now) const
{
    std::set<std::string> images;
    for (const RunKey &key : keys) {
        const Run &run = *m_runs.find(key);
        const bool worked = run.phase == RunPhase::Running && !run.stopping && run.pace == fullPace
            && now.at - run.confirmedAt >= m_settings.figureWindow;
        if (run.fillIn && worked)
            images.insert(run.image);
    }
    return {images.begin(), images.end()};
}

// Slows fill-in runs that may be at fault, in the end all of them; those that are slow already and
// still do harm are moved.
void Coordinator::slowHarmful(Worker &worker, std::span<const RunKey> keys,
                              const std::set<std::string> &hurt, Now now)
{
    const bool all = now.at - *worker.harmedSince >= m_settings.longestHarm;
    for (const RunKey &key : keys) {
        Run &run = *m_runs.find(key);
        const bool due = now.at - run.pacedAt >= m_settings.paceEvery;
        if (!run.fillIn || run.stopping || run.phase != RunPhase::Running || !due)
            continue;
        const bool suspect = std::any_of(hurt.begin(), hurt.end(), [&](const std::string &image) {
            return m_pairs.harm(image, run.image) >= m_settings.suspectHarm;
        });
        if (!all && !suspect)
            continue;
        const int pace = slower(run.pace);
        setPace(worker, run, pace, all ? "harm-lasts" : "harms", now);
        if (pace == 0)
            askStop(key, "harms");
    }
}

void Coordinator::speedUp(Worker &worker, std::span<const RunKey> keys, Now now)
{
    if (!worker.slowed || now.at - worker.harmedAt < m_settings.calmBeforeFaster)
        return;
    worker.slowed = false;
    for (const RunKey &key : keys) {
        Run &run = *m_runs.find(key);
        if (!run.fillIn || run.stopping || run.pace == fullPace)
            continue;
        worker.slowed = true;
        if (now.at - run.pacedAt >= m_settings.calmBeforeFaster)
            setPace(worker, run, faster(run.pace), "calm", now);
    }
}

void Coordinator::setPace(const Worker &worker, Run &run, int percent, std::string_view why,
                          Now now)
{
    run.pace = percent;
    run.pacedAt = now.at;
    m_workers.at(run.worker).slowed = true;
    m_orders.emplace_back(
        PaceOrder{worker.session.target(), run.key.task, run.key.number, percent});
    noteRun(NoteKind::RunPaced, run, why, now.at - run.startedAt, percent);
}

bool Coordinator::mustWatch(const Worker &worker) const
{
    return worker.slowed || worker.harmedSince;
}

// Fills in what the standing runs on a worker mean for fill-in tasks.
void Coordinator::describeSharing(const std::string &id, Candidate &candidate, Instant now) const
{
    const Worker &worker = m_workers.at(id);
    candidate.takesFillIns = !worker.harmedSince
        && (worker.harmedAt == Instant{} || now - worker.harmedAt >= m_settings.calmBeforeFillIns);
    for (const RunKey &key : m_runs.onWorker(id)) {
        const Run &run = *m_runs.find(key);
        if (run.standing && run.latencyTarget > Millis{0})
            candidate.servingImages.push_back(run.image);
    }
}

} // namespace savorywick::steps
