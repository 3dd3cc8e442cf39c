#include "cli/cli.h"
#include "cli/json.h"
#include "core/settings.h"
#include "savorywick/errors.h"
#include "savorywick/internal/objectreader.h"
#include "savorywick/servicedocument.h"

#include <ostream>

namespace savorywick {

namespace {

struct FileCheckResult
{
    std::string file;
    bool isDocument = false;
    ValidationErrors faults;
};

// A service document names its service; settings never do. The member "requests" identifies a
// document whose service is missing.
bool looksLikeDocument(const std::string &text)
{
    ValidationErrors ignored;
    const internal::JsonValuePointer root = internal::parseJsonObject(text, ignored);
    return root && (root->isMember("service") || root->isMember("requests"));
}

FileCheckResult checkFile(const std::string &file)
{
    FileCheckResult checked;
    checked.file = file;
    try {
        const std::string text = readFile(file);
        checked.isDocument = looksLikeDocument(text);
        if (checked.isDocument)
            checked.faults = parseServiceDocument(text).faults;
        else
            parseSettings(text, checked.faults);
    } catch (const Error &e) {
        checked.faults.add("", "this file can't be read", e.remedy());
    }
    return checked;
}

Json::Value toJson(const FileCheckResult &checked)
{
    Json::Value json;
    json["file"] = checked.file;
    json["kind"] = checked.isDocument ? "document" : "settings";
    json["faults"] = Json::arrayValue;
    for (const ValidationError &it : checked.faults.errors()) {
        Json::Value fault;
        fault["path"] = it.path;
        fault["found"] = it.problem;
        fault["remedy"] = it.remedy;
        json["faults"].append(std::move(fault));
    }
    return json;
}

void printResult(const FileCheckResult &checked, CommandOutput &output)
{
    output.err << checked.faults.format(checked.file);
    if (checked.faults.empty())
        output.out << checked.file << ": valid "
                   << (checked.isDocument ? "service document" : "settings") << "\n";
}

} // namespace

ExitCode checkFiles(const CheckOptions &options, CommandOutput &output)
{
    bool valid = true;
    Json::Value json;
    for (const std::string &it : options.files) {
        const FileCheckResult checked = checkFile(it);
        valid = valid && checked.faults.empty();
        if (output.json)
            json["files"].append(toJson(checked));
        else
            printResult(checked, output);
    }
    if (output.json)
        output.out << toJsonLine(json) << "\n";
    return valid ? ExitCode::Ok : ExitCode::InvalidInput;
}

} // namespace savorywick
