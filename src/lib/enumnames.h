#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace savorywick::internal {

// The name of an enumerator in stored records.
//
// Use a table of them, with one entry for each enumerator, where a name must be written and read
// back, so that both directions share one list.
//
// Example:
//   constexpr auto names = std::to_array<EnumName<RecordKind>>(
//       {{RecordKind::Submit, "submit"}, {RecordKind::Watch, "watch"}});
//   json["k"] = std::string(nameOf(names, kind));
template<typename Enum>
struct EnumName
{
    Enum value;
    std::string_view name;
};

// Returns the name of `value`, or an empty text if the table doesn't hold it.
template<typename Enum, std::size_t size>
constexpr std::string_view nameOf(const std::array<EnumName<Enum>, size> &names, Enum value)
{
    const auto it = std::ranges::find(names, value, &EnumName<Enum>::value);
    return it == names.end() ? std::string_view() : it->name;
}

// Returns the enumerator that is called `name`, or nothing if the table doesn't hold it.
template<typename Enum, std::size_t size>
constexpr std::optional<Enum> fromName(const std::array<EnumName<Enum>, size> &names,
                                       std::string_view name)
{
    const auto it = std::ranges::find(names, name, &EnumName<Enum>::name);
    return it == names.end() ? std::optional<Enum>() : it->value;
}

} // namespace savorywick::internal
