#pragma once

#include "savorywick/steps/job.h"

#include "core/bootclock.h"

#include <fstream>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace savorywick::review {

// How a run ends by itself.
struct OwnEnd
{
    const char *how = "done"; // As minions list it, or "crash" if it takes its minion down.
    Millis afterWork;
};

// The submissions that clients of a case have sent, and the record of all that its stand-ins see.
//
// Example:
//   Submissions submissions(clock, "record.txt");
//   submissions.add(spec);
//   submissions.note("client", "POST ... 200");
class Submissions
{
public:
    Submissions(const BootClock &clock, const std::string &recordPath);

    void add(const steps::JobSpec &spec) { m_specs[spec.id] = spec; }
    // Returns the step of the task, or nullptr if no client sent such a task.
    const steps::StepSpec *findStep(const steps::TaskRef &task) const;
    // Returns the `spec` of the task's submission, or nothing if no client sent it.
    std::optional<std::string> payloadOf(const steps::TaskRef &task) const;
    // Writes a line to the record, with the time since the begin.
    void note(const std::string &who, const std::string &what);
    Millis elapsed() const { return m_clock.now() - m_beganAt; }

private:
    const BootClock &m_clock;
    const Instant m_beganAt;
    std::map<std::string, steps::JobSpec> m_specs;
    std::ofstream m_record;
};

} // namespace savorywick::review
