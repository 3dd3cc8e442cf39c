#include "submissions.h"

namespace savorywick::review {

Submissions::Submissions(const BootClock &clock, const std::string &recordPath)
    : m_clock(clock)
    , m_beganAt(clock.now())
    , m_record(recordPath)
{ }

const steps::StepSpec *Submissions::findStep(const steps::TaskRef &task) const
{
    const auto it = m_specs.find(task.job);
    const bool known = it != m_specs.end() && task.step >= 0
        && task.step < static_cast<int>(it->second.steps.size());
    return known ? &it->second.steps[static_cast<std::size_t>(task.step)] : nullptr;
}

std::optional<std::string> Submissions::payloadOf(const steps::TaskRef &task) const
{
    const auto it = m_specs.find(task.job);
    return it == m_specs.end() ? std::nullopt : std::optional(it->second.payload);
}

void Submissions::note(const std::string &who, const std::string &what)
{
    m_record << elapsed().count() << " ms  " << who << "  " << what << "\n" << std::flush;
}

} // namespace savorywick::review
