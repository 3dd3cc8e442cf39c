#include "savorywick/internal/objectreader.h"

#include <json/json.h>

#include <algorithm>
#include <numeric>
#include <sstream>

namespace savorywick::internal {

namespace {

constexpr int maxNestingLevels = 32;
constexpr std::size_t maxQuotedBytes = 40; // Of an invalid value in a fault.

const Json::Value &emptyObject()
{
    static const Json::Value value(Json::objectValue);
    return value;
}

// Returns a short description of a value, for the text of a fault.
std::string describe(const Json::Value &value)
{
    if (value.isNull())
        return "null";
    if (value.isObject())
        return "an object";
    if (value.isArray())
        return "a list";
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    std::string buf = Json::writeString(builder, value);
    if (buf.size() > maxQuotedBytes)
        buf = buf.substr(0, maxQuotedBytes) + "...";
    return buf;
}

std::string rangeRemedy(IntegerRange range)
{
    return "write a whole number from " + std::to_string(range.min) + " to "
        + std::to_string(range.max);
}

// Returns the Levenshtein distance between two words.
std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1); // One row of the dynamic programming table.
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t substituted = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substituted});
        }
    }
    return row[b.size()];
}

Json::CharReaderBuilder strictReaderBuilder()
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["allowComments"] = true;
    builder["collectComments"] = false;
    builder["stackLimit"] = maxNestingLevels;
    return builder;
}

std::string syntaxRemedy(std::string_view message)
{
    if (message.starts_with("Duplicate key"))
        return "keep one of the two";
    if (message.starts_with("Extra non-whitespace"))
        return "remove what follows the closing brace";
    return "write JSON; comments are allowed, trailing commas are not";
}

// Adds a fault for the first error that JsonCpp reports: a line "* Line 3, Column 5", then a line
// with the message. Later errors are usually consequences of the first one.
void addSyntaxFault(const std::string &errors, ValidationErrors &faults)
{
    std::istringstream stream(errors);
    std::string position;
    std::string message;
    std::getline(stream, position);
    std::getline(stream, message);
    constexpr std::size_t labelBytes = 6; // Of each label in the list.
    for (const char *it : {"* Line", "Column"}) {
        const auto at = position.find(it);
        if (at != std::string::npos)
            position.replace(at, labelBytes, it[0] == '*' ? "line" : "column");
    }
    message.erase(0, message.find_first_not_of(' '));
    faults.add(position, message, syntaxRemedy(message));
}

} // namespace

void JsonValueDeleter::operator()(Json::Value *value) const
{
    delete value;
}

JsonValuePointer parseJsonObject(std::string_view text, ValidationErrors &faults)
{
    JsonValuePointer root(new Json::Value);
    const std::unique_ptr<Json::CharReader> reader(strictReaderBuilder().newCharReader());
    try {
        std::string errors;
        const char *begin = text.data();
        const bool parsed = reader->parse(begin, begin + text.size(), root.get(), &errors);
        if (parsed && root->isObject())
            return root;
        if (parsed)
            faults.add("", "the text is not a JSON object", "write one object in braces");
        else
            addSyntaxFault(errors, faults);
    } catch (const Json::Exception &) {
        faults.add("", "this nests deeper than " + std::to_string(maxNestingLevels) + " levels",
                   "write JSON that nests less deeply");
    }
    return nullptr;
}

ObjectReader::ObjectReader(const Json::Value &value, std::string path, ValidationErrors &faults)
    : m_value(value.isObject() ? &value : nullptr)
    , m_path(std::move(path))
    , m_faults(&faults)
{
    if (!m_value)
        m_faults->add(m_path, describe(value) + " stands where an object is needed",
                      "write an object in braces");
}

bool ObjectReader::has(std::string_view key)
{
    return find(key) != nullptr;
}

const Json::Value *ObjectReader::find(std::string_view key)
{
    m_knownKeys.emplace(key);
    return m_value ? m_value->find(key.data(), key.data() + key.size()) : nullptr;
}

void ObjectReader::checkPresent(std::string_view key, std::string_view remedy)
{
    if (m_value && !has(key))
        addFault(key, "this is missing", remedy);
}

std::optional<std::string> ObjectReader::readString(std::string_view key)
{
    const Json::Value *value = find(key);
    if (!value)
        return std::nullopt;
    if (value->isString() && !value->asString().empty())
        return value->asString();
    addFault(key, describe(*value) + " is no text", "write a string of at least one character");
    return std::nullopt;
}

std::string ObjectReader::string(std::string_view key)
{
    checkPresent(key, "write a string of at least one character");
    return readString(key).value_or("");
}

std::string ObjectReader::string(std::string_view key, std::string_view fallback)
{
    return readString(key).value_or(std::string(fallback));
}

std::string ObjectReader::secret(std::string_view key)
{
    constexpr std::string_view remedy = "write a string of at least one character";
    checkPresent(key, remedy);
    const Json::Value *value = find(key);
    if (!value)
        return "";
    if (value->isString() && !value->asString().empty())
        return value->asString();
    addFault(key, "the value is not a string", remedy);
    return "";
}

std::size_t ObjectReader::choice(std::string_view key, std::span<const std::string_view> choices,
                                 std::size_t fallback)
{
    const Json::Value *value = find(key);
    if (!value)
        return fallback;
    std::string remedy = "write one of";
    for (std::size_t i = 0; i < choices.size(); ++i) {
        if (value->isString() && value->asString() == choices[i])
            return i;
        remedy.append(i == 0 ? " \"" : ", \"").append(choices[i]).append("\"");
    }
    addFault(key, describe(*value) + " is unknown here", remedy);
    return fallback;
}

std::optional<std::int64_t> ObjectReader::readInteger(std::string_view key, IntegerRange range)
{
    const Json::Value *value = find(key);
    if (!value)
        return std::nullopt;
    const bool isInteger = value->type() == Json::intValue || value->type() == Json::uintValue;
    if (!isInteger) {
        addFault(key, describe(*value) + " is no whole number", rangeRemedy(range));
        return std::nullopt;
    }
    if (!value->isInt64() || value->asInt64() < range.min || value->asInt64() > range.max) {
        addFault(key, describe(*value) + " is out of range", rangeRemedy(range));
        return std::nullopt;
    }
    return value->asInt64();
}

std::int64_t ObjectReader::integer(std::string_view key, IntegerRange range)
{
    checkPresent(key, rangeRemedy(range));
    return readInteger(key, range).value_or(range.min);
}

std::int64_t ObjectReader::integer(std::string_view key, IntegerRange range, std::int64_t fallback)
{
    return readInteger(key, range).value_or(fallback);
}

std::optional<bool> ObjectReader::readBoolean(std::string_view key)
{
    const Json::Value *value = find(key);
    if (!value)
        return std::nullopt;
    if (value->isBool())
        return value->asBool();
    addFault(key, describe(*value) + " is neither true nor false", "write true or false");
    return std::nullopt;
}

bool ObjectReader::boolean(std::string_view key)
{
    checkPresent(key, "write true or false");
    return readBoolean(key).value_or(false);
}

bool ObjectReader::boolean(std::string_view key, bool fallback)
{
    return readBoolean(key).value_or(fallback);
}

ObjectReader ObjectReader::object(std::string_view key)
{
    checkPresent(key, "write an object in braces");
    const bool present = has(key);
    ObjectReader child = optionalObject(key);
    if (!present)
        child.m_value = nullptr; // Avoids a second fault for each required member of the object.
    return child;
}

ObjectReader ObjectReader::optionalObject(std::string_view key)
{
    const Json::Value *value = find(key);
    return {value ? *value : emptyObject(), pathOf(key), *m_faults};
}

std::vector<std::string> ObjectReader::keys()
{
    if (!m_value)
        return {};
    std::vector<std::string> names = m_value->getMemberNames();
    m_knownKeys.insert(names.begin(), names.end());
    return names;
}

void ObjectReader::addFault(std::string_view key, std::string_view found, std::string_view remedy)
{
    m_faults->add(pathOf(key), found, remedy);
}

std::string ObjectReader::pathOf(std::string_view key) const
{
    if (key.empty() || m_path.empty())
        return m_path + std::string(key);
    return m_path + "." + std::string(key);
}

void ObjectReader::rejectUnknownKeys()
{
    if (!m_value)
        return;
    for (const std::string &it : m_value->getMemberNames()) {
        if (m_knownKeys.contains(it))
            continue;
        const std::string similar = mostSimilarKnownKey(it);
        const std::string remedy = similar.empty()
            ? std::string("remove it; no key is allowed here")
            : "write \"" + similar + "\", the nearest known key, or remove it";
        addFault(it, "this key is unknown", remedy);
    }
}

std::string ObjectReader::mostSimilarKnownKey(std::string_view key) const
{
    const auto moreSimilar = [key](const std::string &a, const std::string &b) {
        return editDistance(key, a) < editDistance(key, b);
    };
    const auto it = std::min_element(m_knownKeys.begin(), m_knownKeys.end(), moreSimilar);
    return it == m_knownKeys.end() ? std::string() : *it;
}

} // namespace savorywick::internal
