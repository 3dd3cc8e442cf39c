#pragma once

#include "savorywick/clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace savorywick {

// What an entry takes for the list of live entries: two views are equal if and only if the lists
// are.
struct ListView
{
    std::uint64_t digest = 0; // Of the entries' ids, in any order.
    std::size_t entries = 0;
    bool operator==(const ListView &) const = default;
};

// Returns the view of a list of ids, the same in every process.
ListView listViewOf(std::span<const std::string> ids);

// Says since when an entry's list of live entries is known to be good, for SlotShares::update().
//
// When the table service is down nobody gets a new list. Then the entries ask each other, and the
// list stays good while more than half of them agree on it without a gap. docs/design/urgent.md
// says what this leaves open when the table is down for only some.
//
// Not thread-safe.
//
// Example:
//   ListTrust trust(Millis{3'000});
//   trust.noteRead(listViewOf(ids), takenAt);
//   if (trust.noteAnswer("entry-b", theirView, askedAt, now))
//       shares.update(entries, instances, *trust.goodSince(), now);
class ListTrust
{
public:
    // `longestAge` as in SlotSharesSettings::longestListAge.
    explicit ListTrust(Millis longestAge);

    // Notes a list that was read. `takenAt` as in SlotShares::update().
    void noteRead(const ListView &view, Instant takenAt);
    // Notes the view of a peer that asks for ours. Of two lists that differ the longer one counts,
    // so this may set goodSince() back.
    void noteQuestion(const ListView &theirs);
    // Notes a peer's view, told in answer to a question that was sent at `askedAt`. Ask all other
    // entries of the list several times within the longest age while it can't be read; an entry
    // that is shutting down does not ask. A list that has become too old is not good again.
    void noteAnswer(std::string_view peer, const ListView &theirs, Instant askedAt, Instant now);

    // Returns the list's view as peers are told of it.
    ListView view() const { return m_view; }
    // Returns when the list was surely good; nothing before the first one.
    std::optional<Instant> goodSince() const { return m_goodSince; }

private:
    void workOut();

    Millis m_longestAge;
    ListView m_view;
    std::size_t m_longestListHeard = 0; // Entries, in a list that differs from ours.
    std::map<std::string, Instant, std::less<>> m_agreedAt; // By peer, when it was asked.
    std::optional<Instant> m_takenAt;
    std::optional<Instant> m_goodSince;
};

} // namespace savorywick
