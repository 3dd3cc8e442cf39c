#pragma once

#include <json/json.h>

#include <string>
#include <string_view>

namespace savorywick::platform {

// Returns `value` as compact JSON text.
inline std::string toText(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

// Returns the JSON value in `text`, or a null value if it is no JSON.
inline Json::Value fromText(std::string_view text)
{
    Json::Value value;
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr))
        return {};
    return value;
}

} // namespace savorywick::platform
