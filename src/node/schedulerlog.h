#pragma once

#include "savorywick/steps/schedulerevent.h"

namespace savorywick {

// Writes a scheduler event to the log. Events of a job are always written. Those of a run that goes
// as it should are routine and the others notable, of which both are left out while there are too
// many (see LogBatch).
void log(const steps::SchedulerEvent &note);

} // namespace savorywick
