#pragma once

#include "savorywick/validationerrors.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Json { // NOLINT(readability-identifier-naming): the library's own name.
class Value;
}

namespace savorywick::internal {

// An inclusive range of integers.
struct IntegerRange
{
    std::int64_t min = 0;
    std::int64_t max = 0;
};

// Reads the members of one JSON object and adds every fault that it finds to a ValidationErrors.
// Use it to validate a document written by people, who should see all of its faults at once.
//
// A required member that is absent or invalid yields an empty string, false, the lowest allowed
// number or an empty reader, and an invalid optional member its fallback, so that reading can
// continue after a fault. Every key that was asked for counts as known; rejectUnknownKeys() then
// reports the others. The value and the fault list must outlive the reader. Not thread-safe.
//
// Example:
//   ObjectReader reader(root, "", faults);
//   settings.shardCount = reader.integer("shardCount", {1, 9999}, 64);
//   reader.rejectUnknownKeys();
class ObjectReader
{
public:
    // Creates a reader of `value`. `path` is the path of the object in its document, empty for the
    // root. Adds a fault if `value` is not an object; the reader is then empty.
    ObjectReader(const Json::Value &value, std::string path, ValidationErrors &faults);

    // Returns true if and only if the member is present.
    bool has(std::string_view key);

    // Returns a required, non-empty string.
    std::string string(std::string_view key);
    // Returns an optional, non-empty string, or `fallback`.
    std::string string(std::string_view key, std::string_view fallback);
    // Returns a required, non-empty string. Unlike string(), never quotes the value in a fault.
    std::string secret(std::string_view key);
    // Returns the index in `choices` of an optional string, or `fallback`.
    std::size_t choice(std::string_view key, std::span<const std::string_view> choices,
                       std::size_t fallback);
    // Returns a required integer in `range`.
    std::int64_t integer(std::string_view key, IntegerRange range);
    // Returns an optional integer in `range`, or `fallback`.
    std::int64_t integer(std::string_view key, IntegerRange range, std::int64_t fallback);
    // Returns a required boolean.
    bool boolean(std::string_view key);
    // Returns an optional boolean, or `fallback`.
    bool boolean(std::string_view key, bool fallback);

    // Returns a reader of a required object.
    ObjectReader object(std::string_view key);
    // Returns a reader of an optional object, or an empty reader.
    ObjectReader optionalObject(std::string_view key);
    // Returns the keys of this object, sorted. All of them count as known from then on.
    std::vector<std::string> keys();

    // Adds a fault at the member `key`, or at this object if `key` is empty. `found` describes the
    // fault and `remedy` what to write instead.
    void addFault(std::string_view key, std::string_view found, std::string_view remedy);
    // Returns the path of a member, such as "limits.queueBytes".
    std::string pathOf(std::string_view key) const;

    // Adds a fault for every member whose key was not asked for, naming the most similar known key.
    void rejectUnknownKeys();

private:
    const Json::Value *find(std::string_view key);
    void checkPresent(std::string_view key, std::string_view remedy);
    std::optional<std::string> readString(std::string_view key);
    std::optional<std::int64_t> readInteger(std::string_view key, IntegerRange range);
    std::optional<bool> readBoolean(std::string_view key);
    std::string mostSimilarKnownKey(std::string_view key) const;

    const Json::Value *m_value; // Null if the value is not an object.
    std::string m_path;
    ValidationErrors *m_faults;
    std::set<std::string, std::less<>> m_knownKeys;
};

// Deletes a Json::Value where only its declaration is visible.
struct JsonValueDeleter
{
    void operator()(Json::Value *value) const;
};
using JsonValuePointer = std::unique_ptr<Json::Value, JsonValueDeleter>;

// Parses `text`, a JSON object with optional comments. Returns null after adding a fault if it is
// malformed, has duplicate keys, continues after the object or nests deeper than 32 levels.
JsonValuePointer parseJsonObject(std::string_view text, ValidationErrors &faults);

} // namespace savorywick::internal
