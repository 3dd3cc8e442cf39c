#pragma once

#include <json/json.h>

#include <string>
#include <string_view>

namespace savorywick {

// Returns the JSON object in `text`, or an empty object if `text` is not a JSON object.
Json::Value parseJsonObject(std::string_view text);

// Returns `value` as JSON on one line, without a trailing newline.
std::string toJsonLine(const Json::Value &value);

} // namespace savorywick
