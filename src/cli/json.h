#pragma once

#include <json/json.h>

#include <string>
#include <string_view>

namespace savorywick {

// Returns the JSON object in `text`, or an empty one if there is none.
Json::Value parseAnswer(std::string_view text);

// Returns `value` as one line.
std::string toLine(const Json::Value &value);

} // namespace savorywick
