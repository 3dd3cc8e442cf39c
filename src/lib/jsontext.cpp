#include "jsontext.h"

#include <memory>

namespace savorywick::internal {

std::string toJsonText(const Json::Value &value)
{
    static const Json::StreamWriterBuilder builder = [] {
        Json::StreamWriterBuilder b;
        b["indentation"] = "";
        b["emitUTF8"] = true;
        return b;
    }();
    return Json::writeString(builder, value);
}

Json::Value parseJsonText(std::string_view text)
{
    thread_local const std::unique_ptr<Json::CharReader> reader(
        Json::CharReaderBuilder().newCharReader());
    Json::Value value;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &value, nullptr))
            return value;
    } catch (const Json::Exception &) {
        return {}; // The text is nested too deeply.
    }
    return {};
}

} // namespace savorywick::internal
