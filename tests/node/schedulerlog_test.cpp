#include "node/schedulerlog.h"

#include "core/logbatch.h"

#include <doctest/doctest.h>

#include <iostream>
#include <sstream>
#include <string>

using namespace savorywick;
using steps::SchedulerEvent;
using steps::SchedulerEventKind;

namespace {

// Returns true if and only if the event is written under these limits.
bool isWritten(const SchedulerEvent &note, const LogLimits &limits)
{
    std::ostringstream text;
    std::streambuf *original = std::cerr.rdbuf(text.rdbuf());
    {
        const LogBatch batch([] {}, limits);
        log(note);
    }
    std::cerr.rdbuf(original);
    return text.str().find(toString(note.kind)) != std::string::npos;
}

enum class Kept { Always, UnlessMany, UnlessSome };

} // namespace

// Guards against a request whose way can't be followed in the log of a busy entry, and against a
// log that grows with the number of tasks.
TEST_CASE("Under load a job's events are kept and those of a run that goes as it should are not")
{
    struct Case
    {
        SchedulerEventKind kind;
        int run;
        std::string_view reason;
        Kept kept;
    };
    for (const Case &it : {
             Case{SchedulerEventKind::JobStarted, 1, "first-run", Kept::Always},
             Case{SchedulerEventKind::JobEnded, 1, "failed", Kept::Always},
             Case{SchedulerEventKind::WorkerLeaseExpired, 0, "lease-over", Kept::Always},
             Case{SchedulerEventKind::WorkerRestarted, 0, "same-id", Kept::Always},
             Case{SchedulerEventKind::WorkerQuarantined, 0, "failures", Kept::Always},
             Case{SchedulerEventKind::StepWaiting, 0, "no-room", Kept::Always},
             Case{SchedulerEventKind::LongRunningRestarted, 2, "lapsed", Kept::Always},
             Case{SchedulerEventKind::StartRefused, 1, "rejected", Kept::UnlessMany},
             Case{SchedulerEventKind::WorkerUnresponsive, 0, "unknown", Kept::UnlessMany},
             Case{SchedulerEventKind::RunPlaced, 2, "room", Kept::UnlessMany},
             Case{SchedulerEventKind::RunEnded, 1, "failed", Kept::UnlessMany},
             Case{SchedulerEventKind::RunLeaseExpired, 1, "own-lease", Kept::UnlessMany},
             Case{SchedulerEventKind::RunUnconfirmed, 1, "no-answer", Kept::UnlessMany},
             Case{SchedulerEventKind::RunPlaced, 1, "room", Kept::UnlessSome},
             Case{SchedulerEventKind::RunConfirmed, 1, "", Kept::UnlessSome},
             Case{SchedulerEventKind::RunEnded, 1, "done", Kept::UnlessSome},
         }) {
        CAPTURE(toString(it.kind));
        CAPTURE(it.run);
        SchedulerEvent note{it.kind, {}, it.run, "i-1", it.reason, Millis{5}, 0};
        if (it.run > 0)
            note.task = {"5c0e7a21d94b36f8", 0, 0, 0};
        CHECK(isWritten(note, {}));
        CHECK(isWritten(note, {.routineLines = 0, .allLines = 5}) == (it.kept != Kept::UnlessSome));
        CHECK(isWritten(note, {.routineLines = 0, .allLines = 0}) == (it.kept == Kept::Always));
    }
}
