#pragma once

#include "savorywick/clock.h"

#include <optional>

namespace savorywick {

// The thresholds of an OverloadGate. A lag is how late an event loop runs what is due.
struct OverloadGateSettings
{
    // New work is refused once the lag has been this high for `closeAfter`. Whatever is exchanged
    // with a peer takes about four turns of the loop. The renewal of an entry's lease must fit into
    // the lease's term beside the renewal interval, which leaves four turns of this lag.
    Millis closeLag{350};
    Millis closeAfter{500}; // Longer than a single stall shows, after which the loop catches up.
    Millis openLag{150}; // New work is taken again once the lag has been lower for `openAfter`.
    Millis openAfter{300};
};

// Decides whether an event loop is so far behind that it must take no new work, to have its time
// for the work that it has.
//
// Use one for whatever accepts work on the loop. The two thresholds keep it from changing its mind
// at each measurement. It is pure and not thread-safe.
//
// Example:
//   gate.observe(loopLag, clock.now()); // At least each few hundred milliseconds.
//   if (gate.isClosed())
//       refuse(request);
class OverloadGate
{
public:
    explicit OverloadGate(const OverloadGateSettings &settings)
        : m_settings(settings)
    { }

    // Takes in the present lag. Returns true if and only if the gate closed or opened by it.
    bool observe(Millis lag, Instant now);
    // Returns true if and only if new work is to be refused.
    bool isClosed() const { return m_closed; }

private:
    const OverloadGateSettings m_settings;
    bool m_closed = false;
    std::optional<Instant> m_crossedSince; // How long the lag has asked for the other state.
};

} // namespace savorywick
