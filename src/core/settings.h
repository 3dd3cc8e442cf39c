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

// The addresses of the platform's services, each "IP:PORT".
struct PlatformAddresses
{
    std::string table;
    std::string objects;
    std::string membership;
};

// The timing of the leases of entries and workers.
//
// The holder of a lease may act on it for the term after its last renewal. Others wait for the term
// plus the margin before they treat the lease as expired.
struct LeaseTimes
{
    Millis entryTerm{9'000};
    Millis entryRenewal{3'000};
    Millis entryMargin{1'000};
    Millis workerTerm{10'000};
    Millis workerRenewal{3'000};
    Millis workerMargin{1'000};
};

// The intervals at which an entry polls shared state, and the age at which that state is too old.
struct PollSettings
{
    Millis membership{1'000};
    Millis documents{1'000};
    Millis freezeBound{3'000}; // A longer gap between two ticks means that the process was frozen.
    Millis entryListAge{3'000}; // With an older list of entries, upstream slots are not used.
};

// The limits that an entry enforces. docs/SETTINGS.md says what happens at each limit.
struct LimitSettings
{
    int queueRequests = 2'000;
    std::int64_t queueBytes = 64 << 20;
    std::int64_t bodyBytes = 1 << 20;
    int callerConnections = 1'024;
    int peerConnections = 512;
    Millis requestDeadline{30'000}; // The longest deadline that a service document may set.
    Millis attempt{3'000}; // The time-out of one attempt of a request at one upstream instance.
    Millis slotHold{2'000}; // How long a slot stays in use after an attempt on it timed out.
    Millis headerRead{5'000};
    Millis idleConnection{60'000};
    Millis platformTimeout{2'000};
    Millis workerTimeout{2'000};
    Millis peerTimeout{1'000};
    Millis claimRetention{86'400'000};
    Millis runRetention{604'800'000}; // How long finished runs and watchers are kept.
    Millis commitEvery{50}; // The mean interval between the commits of a shard under load.
    int snapshotSegments = 256; // A new snapshot is written after this many journal segments.
};

// The secret by which a team authenticates its edits of service documents. Never log it.
struct TeamKey
{
    std::string team;
    std::string key;
};

// The contents of an entry's settings file. An optional member that is absent has the default given
// here.
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

// Describes an integer setting: its place in the file, its inclusive range and its default.
struct IntegerSetting
{
    std::string_view section; // Empty for a member of the root object.
    std::string_view key;
    std::int64_t min = 0;
    std::int64_t max = 0;
    std::int64_t defaultValue = 0;
};

// Returns all integer settings that the file may hold. Tests compare docs/SETTINGS.md with them.
std::vector<IntegerSetting> integerSettings();

// Parses settings from JSON text, in which comments are allowed. Returns nothing, and adds every
// fault found to `faults`, if the text is not valid.
std::optional<Settings> parseSettings(std::string_view text, ValidationErrors &faults);

// Returns the settings in the file `path`. Throws Error(InvalidInput) if they are not valid: its
// problem() has a line for each fault, with the file, the path inside it, what was found and what
// to write instead. Throws Error(NotFound) if the file can't be read.
Settings loadSettings(const std::string &path);

// Returns the contents of the file `path`. Throws Error(NotFound) if it can't be read.
std::string readFile(const std::string &path);

// Returns true if and only if `key` is the key of `team`. The time taken doesn't depend on how many
// bytes of `key` are correct, to prevent timing attacks.
bool isValidTeamKey(const Settings &settings, std::string_view team, std::string_view key);

// A parsed "IP:PORT".
struct SocketAddress
{
    std::string ip; // Without brackets.
    int port = 0;
};

// Parses "IP:PORT", or "[IP]:PORT" for IPv6. Returns nothing if the text is malformed. Host names
// are not resolved.
std::optional<SocketAddress> parseSocketAddress(std::string_view text);

} // namespace savorywick
