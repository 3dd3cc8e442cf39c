#pragma once

#include "core/log.h"
#include "savorywick/clock.h"
#include "savorywick/validationerrors.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

// Where the platform's services answer, each "IP:PORT".
struct PlatformAddresses
{
    std::string table;
    std::string objects;
    std::string membership;
};

// The leases of entries and workers. Terms are what the holder may rely on; margins are added by
// whoever waits for a lease to lapse.
struct LeaseTimes
{
    Millis entryTerm{9'000};
    Millis entryRenewal{3'000};
    Millis entryMargin{1'000};
    Millis workerTerm{10'000};
    Millis workerRenewal{3'000};
    Millis workerMargin{1'000};
};

// How often an entry looks at what others change.
struct PollSettings
{
    Millis membership{1'000};
    Millis documents{1'000};
    Millis freezeBound{3'000}; // A gap between two ticks above this counts as a freeze.
    Millis entryListAge{3'000}; // Upstream slots are not used by an older list of entries.
};

// What an entry refuses to exceed. docs/SETTINGS.md says what happens at each limit.
struct LimitSettings
{
    int queueRequests = 2'000;
    std::int64_t queueBytes = 64 << 20;
    std::int64_t bodyBytes = 1 << 20;
    int callerConnections = 1'024;
    int peerConnections = 512;
    Millis requestDeadline{30'000}; // The longest that any service document may allow.
    Millis attempt{3'000}; // One try of a request at one instance.
    Millis slotHold{2'000}; // A slot is kept so long after a try there timed out.
    Millis headerRead{5'000};
    Millis idleConnection{60'000};
    Millis platformTimeout{2'000};
    Millis workerTimeout{2'000};
    Millis peerTimeout{1'000};
    Millis claimRetention{86'400'000};
    Millis runRetention{604'800'000}; // Of finished runs and watchers.
    Millis commitEvery{50}; // The mean time between a shard's commits under load.
    int snapshotSegments = 256; // Journal segments before a new snapshot.
};

// The secret with which a team proves that an edit is its own. Never log it.
struct TeamKey
{
    std::string team;
    std::string key;
};

// All that an entry learns from its settings file.
//
// Example:
//   const Settings settings = loadSettings("entry.json");
struct Settings
{
    std::string id;
    std::string availabilityZone;
    std::string region;
    std::string callersListen; // "IP:PORT"; port 0 lets the system choose.
    std::string peersListen; // "IP:PORT"; port 0 lets the system choose.
    PlatformAddresses platform;
    int shardCount = 64; // Must be the same in every entry that shares a table.
    LeaseTimes leases;
    PollSettings polls;
    LimitSettings limits;
    Millis shutdownBound{45'000};
    std::vector<TeamKey> teamKeys;
    LogLevel logLevel = LogLevel::Info;
};

// One number of the settings file: where it stands, its range and its default.
struct NumberSetting
{
    std::string_view section; // Empty for the root.
    std::string_view key;
    std::int64_t min = 0;
    std::int64_t max = 0;
    std::int64_t defaultValue = 0;
};

// Returns every number that the settings file may hold, for documentation and its check.
std::vector<NumberSetting> numberSettings();

// Returns the settings that `text` holds, or nothing after adding every fault found.
std::optional<Settings> parseSettings(std::string_view text, ValidationErrors &faults);

// Returns the settings of a file. Throws Error(InvalidInput) whose fault has one line a fault with
// the file, the path inside it, what was found and what to write instead; Error(NotFound) if the
// file can't be read.
Settings loadSettings(const std::string &path);

// Returns the bytes of a file. Throws Error(NotFound) if it can't be read.
std::string readFile(const std::string &path);

// Returns if and only if `key` is the key of `team`; the time taken doesn't depend on how much of
// the key is right.
bool isTeamKey(const Settings &settings, std::string_view team, std::string_view key);

// An "IP:PORT" taken apart.
struct SocketAddress
{
    std::string ip;
    int port = 0;
};

// Returns the parts of "IP:PORT" ("[IP]:PORT" for version 6), or nothing if it is malformed.
std::optional<SocketAddress> parseSocketAddress(std::string_view text);

} // namespace savorywick
