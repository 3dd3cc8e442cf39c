#pragma once

#include "savorywick/allocationtable.h"

#include <optional>
#include <string>
#include <string_view>

namespace savorywick {

// Keeps one host free of further work, so that a large task that has waited long gets its room.
//
// Use it in a FitTest: `fitsBeside` asks which host is held for the reserved item, and lets others
// start on any other host. Only one task's room is held at a time. Not thread-safe.
//
// Example:
//   const auto held = room.holdFor(reserved.id, reserved.need, ledger);
//   if (held)
//       avoid.push_back(*held);
//   return placement.choose({service, runClass, item.need, avoid}, ledger, cost).has_value();
class HeldRoom
{
public:
    // Returns the host held for `task`. It stays the same as long as it could hold `need` once its
    // work has ended; else the host that lacks least is chosen. Returns nothing if no host could.
    // Choosing costs time in proportion to the hosts.
    std::optional<std::string> holdFor(std::string_view task, const Resources &need,
                                       const AllocationTable &ledger);
    // Ends the hold, such as when the task has started or was cancelled.
    void release();
    // Returns the host held at present.
    const std::optional<std::string> &held() const { return m_host; }

private:
    std::string m_task;
    std::optional<std::string> m_host;
};

} // namespace savorywick
