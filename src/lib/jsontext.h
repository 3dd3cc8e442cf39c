#pragma once

#include <json/json.h>

#include <string>
#include <string_view>

namespace savorywick::internal {

// Returns `value` as JSON text on one line, without indentation, with its members sorted by name
// and with characters beyond ASCII as UTF-8. Thread-safe.
std::string toJsonText(const Json::Value &value);

// Returns the JSON value in `text`, or a null value if `text` is not valid JSON. Thread-safe.
Json::Value parseJsonText(std::string_view text);

} // namespace savorywick::internal
