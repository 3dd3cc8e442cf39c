#include "cli/json.h"

#include <memory>

namespace savorywick {

Json::Value parseAnswer(std::string_view text)
{
    Json::Value value;
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    const bool parsed = reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
    return parsed && value.isObject() ? value : Json::Value(Json::objectValue);
}

std::string toLine(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

} // namespace savorywick
