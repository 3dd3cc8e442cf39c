#pragma once

#include <json/reader.h>
#include <json/writer.h>

#include <initializer_list>
#include <memory>
#include <stdexcept>
#include <string>

namespace savorywick::standin {

// One member of a JSON object.
struct Field
{
    const char *name;
    Json::Value value;
};

// Returns a JSON object with these members.
inline Json::Value jsonObject(std::initializer_list<Field> fields)
{
    Json::Value value{Json::objectValue};
    for (const Field &it : fields)
        value[it.name] = it.value;
    return value;
}

// Returns `text` parsed as a JSON object. Throws std::invalid_argument if it is anything else.
inline Json::Value parseObject(const std::string &text)
{
    const std::unique_ptr<Json::CharReader> reader{Json::CharReaderBuilder{}.newCharReader()};
    Json::Value value;
    const bool ok = reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
    if (!ok || !value.isObject())
        throw std::invalid_argument("the body must be a JSON object");
    return value;
}

// Returns `value` as JSON on one line.
inline std::string toCompactJson(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value);
}

} // namespace savorywick::standin
