#pragma once

#include <span>
#include <string_view>

namespace savorywick {

// Explains a reason code of the report to an operator: its meaning and the recommended action.
struct Advice
{
    std::string_view reason;
    std::string_view meaning;
    std::string_view action;
};

// Returns the advice for every known reason. docs/OPERATIONS.md has a row for each.
std::span<const Advice> allAdvice();

// Returns the advice for `reason`. For an unknown reason, returns a placeholder that refers to the
// entry's log and whose `reason` views the argument.
Advice adviceFor(std::string_view reason);

} // namespace savorywick
