#pragma once

#include <json/json.h>

#include <string>
#include <string_view>

namespace savorywick::internal {

// Returns `value` as compact JSON text on one line. Thread-safe.
std::string toText(const Json::Value &value);

// Returns the JSON value in `text`, or a null value if it is no JSON. Thread-safe.
Json::Value fromText(std::string_view text);

} // namespace savorywick::internal
