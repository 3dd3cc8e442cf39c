#include "cli/json.h"

#include "lib/jsontext.h"

namespace savorywick {

Json::Value parseJsonObject(std::string_view text)
{
    const Json::Value value = internal::parseJsonText(text);
    return value.isObject() ? value : Json::Value(Json::objectValue);
}

std::string toJsonLine(const Json::Value &value)
{
    return internal::toJsonText(value);
}

} // namespace savorywick
