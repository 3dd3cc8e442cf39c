#pragma once

#include "savorywick/faults.h"

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

// The whole numbers that a member may hold, both ends included.
struct Range
{
    std::int64_t min = 0;
    std::int64_t max = 0;
};

// Reads one JSON object strictly and adds everything that is wrong with it to a FaultList.
//
// Every member asked for counts as known; refuseUnknownKeys() then reports the others with the
// nearest known key. A member that is absent or wrong yields the fallback, so that reading goes on
// and finds all faults at once. The value and the list must outlive the reader. Not thread-safe.
//
// Example:
//   ObjectReader reader(root, "", faults);
//   settings.shardCount = reader.integer("shardCount", {1, 9999}, 64);
//   reader.refuseUnknownKeys();
class ObjectReader
{
public:
    // `path` is where the object stands in its document; empty for the root.
    ObjectReader(const Json::Value &value, std::string path, FaultList &faults);

    // Returns if and only if the member is present; it counts as known from then on.
    bool has(std::string_view key);

    // Returns the member, or adds a fault if it is absent, empty or no string.
    std::string text(std::string_view key);
    // Returns the member, or `fallback` if it is absent.
    std::string text(std::string_view key, std::string_view fallback);
    // Returns the member as text() does, but shows nothing of it in a fault.
    std::string secret(std::string_view key);
    // Returns the position of the member in `choices`, or `fallback` if it is absent.
    std::size_t choice(std::string_view key, std::span<const std::string_view> choices,
                       std::size_t fallback);
    // Returns the member, which must be a whole number in `range`; a fault if it is absent.
    std::int64_t integer(std::string_view key, Range range);
    // Returns the member, or `fallback` if it is absent.
    std::int64_t integer(std::string_view key, Range range, std::int64_t fallback);
    // Returns the member, or adds a fault if it is absent.
    bool flag(std::string_view key);
    // Returns the member, or `fallback` if it is absent.
    bool flag(std::string_view key, bool fallback);

    // Returns a reader of the member; a fault if it is absent. The reader is empty on a fault.
    ObjectReader object(std::string_view key);
    // Returns a reader of the member, or an empty one if it is absent.
    ObjectReader optionalObject(std::string_view key);
    // Returns the keys of this object in order; all count as known.
    std::vector<std::string> keys();

    // Adds a fault at the member `key`, or at this object if it is empty.
    void fault(std::string_view key, std::string_view found, std::string_view remedy);
    // Returns the path of a member, such as "limits.queueBytes".
    std::string pathOf(std::string_view key) const;

    // Adds a fault for every member that nobody asked for.
    void refuseUnknownKeys();

private:
    const Json::Value *find(std::string_view key);
    void faultAbsent(std::string_view key, std::string_view remedy);
    std::optional<std::string> textOf(std::string_view key);
    std::optional<std::int64_t> integerOf(std::string_view key, Range range);
    std::optional<bool> flagOf(std::string_view key);
    std::string nearestKnown(std::string_view key) const;

    const Json::Value *m_value; // Null if what stood there was no object.
    std::string m_path;
    FaultList *m_faults;
    std::set<std::string, std::less<>> m_known;
};

// Frees a value without its definition in sight.
struct JsonDeleter
{
    void operator()(Json::Value *value) const;
};
using JsonPointer = std::unique_ptr<Json::Value, JsonDeleter>;

// Returns the JSON object with comments that `text` holds, or null after adding the faults.
// Refuses duplicate keys, text after the object and nesting deeper than 32.
JsonPointer parseObject(std::string_view text, FaultList &faults);

} // namespace savorywick::internal
