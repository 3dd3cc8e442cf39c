// The part of Coordinator that tells operators why steps wait.

#include "savorywick/steps/coordinator.h"

namespace savorywick::steps {

// Returns the steps to note next of those that have waited for long. All have their turn.
std::vector<StepRef> Coordinator::nextStepsToNote(Instant now) const
{
    constexpr std::size_t maxSteps = 5; // Bounds the log.
    std::vector<StepRef> steps;
    auto it = m_readySteps.upper_bound(m_lastNotedStep);
    for (std::size_t i = 0; i < m_readySteps.size() && steps.size() < maxSteps; ++i, ++it) {
        if (it == m_readySteps.end())
            it = m_readySteps.begin();
        if (now - it->second >= m_settings.minNotedWait)
            steps.push_back(it->first);
    }
    return steps;
}

// Notes why steps wait that have done so for long.
void Coordinator::noteWaitingSteps(ClockReading now)
{
    if (now.monotonic < m_nextWaitNotesAt)
        return;
    m_nextWaitNotesAt = now.monotonic + m_settings.waitNoteInterval;
    const std::vector<StepRef> steps = nextStepsToNote(now.monotonic);
    if (steps.empty())
        return;
    const PassNeeds needsOfAny{.images = true, .bestEffortMilliCores = 0, .besideMisses = true};
    std::vector<CandidateWorker> workers = candidateWorkers(needsOfAny, now.monotonic);
    m_preemption.withholdReserved(workers);
    for (const StepRef &ref : steps) {
        const Millis waited = now.monotonic - m_readySteps.at(ref);
        const StepSpec &spec = m_table.find(ref.job)->spec.steps[ref.step];
        PlacementConstraints constraints = constraintsFor(ref, now.monotonic);
        constraints.minHeadroom =
            mayRelaxHeadroom(spec, waited) ? m_settings.relaxedMinHeadroom : m_settings.minHeadroom;
        if (mayStartSlowly(ref, spec, waited))
            constraints = slowStartConstraintsFor(ref, now.monotonic);
        const WaitReason reason = waitReasonOf(spec, constraints, workers);
        m_notes.push_back({SchedulerEventKind::StepWaiting,
                           {ref.job, ref.occurrence, ref.step, 0},
                           0,
                           {},
                           toString(reason),
                           waited,
                           static_cast<int>(workers.size())});
    }
    m_lastNotedStep = steps.back();
}

} // namespace savorywick::steps
