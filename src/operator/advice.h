#pragma once

#include <span>
#include <string_view>

namespace savorywick {

// What a reason in the report means to an operator and what to do about it.
struct Advice
{
    std::string_view reason;
    std::string_view meaning;
    std::string_view action;
};

// Returns all reasons that have advice; docs/OPERATIONS.md has a line for each.
std::span<const Advice> allAdvice();

// Returns the advice for a reason; one that says so if the reason is not known.
Advice adviceFor(std::string_view reason);

} // namespace savorywick
