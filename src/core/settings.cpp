#include "core/settings.h"

#include "savorywick/errors.h"
#include "savorywick/internal/objectreader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <functional>
#include <sstream>

namespace savorywick {

namespace {

using internal::ObjectReader;

constexpr std::int64_t millisPerDay = 86'400'000;
constexpr std::int64_t bytesPerMib = 1 << 20;
constexpr int maxPort = 65'535;
constexpr std::size_t minTeamKeyBytes = 16;

// Maps an integer setting, by its section and key in the file, to its member in Settings.
struct IntegerField
{
    std::string_view section;
    std::string_view key;
    internal::IntegerRange range;
    std::function<std::int64_t(const Settings &)> read;
    std::function<void(Settings &, std::int64_t)> write;
};

std::int64_t toInteger(Millis duration)
{
    return duration.count();
}
std::int64_t toInteger(std::int64_t n)
{
    return n;
}

template<typename Section, typename Value>
IntegerField field(std::string_view section, std::string_view key, internal::IntegerRange range,
                   Section Settings::*sectionMember, Value Section::*member)
{
    return {
        section, key, range,
        [sectionMember, member](const Settings &s) { return toInteger(s.*sectionMember.*member); },
        [sectionMember, member](Settings &s, std::int64_t n) {
            s.*sectionMember.*member = Value(n);
        }};
}

template<typename Value>
IntegerField field(std::string_view key, internal::IntegerRange range, Value Settings::*member)
{
    return {"", key, range, [member](const Settings &s) { return toInteger(s.*member); },
            [member](Settings &s, std::int64_t n) { s.*member = Value(n); }};
}

std::vector<IntegerField> leaseFields()
{
    const auto section = &Settings::leases;
    using Leases = LeaseTimes;
    return {
        field("leases", "entryTermMs", {1'000, 120'000}, section, &Leases::entryTerm),
        field("leases", "entryRenewalMs", {100, 60'000}, section, &Leases::entryRenewal),
        field("leases", "entryMarginMs", {10, 60'000}, section, &Leases::entryMargin),
        field("leases", "workerTermMs", {1'000, 120'000}, section, &Leases::workerTerm),
        field("leases", "workerRenewalMs", {100, 60'000}, section, &Leases::workerRenewal),
        field("leases", "workerMarginMs", {10, 60'000}, section, &Leases::workerMargin),
    };
}

std::vector<IntegerField> pollFields()
{
    const auto section = &Settings::polls;
    return {
        field("polls", "membershipMs", {100, 10'000}, section, &PollSettings::membership),
        field("polls", "documentsMs", {100, 10'000}, section, &PollSettings::documents),
        field("polls", "freezeBoundMs", {200, 60'000}, section, &PollSettings::freezeBound),
        field("polls", "entryListAgeMs", {500, 60'000}, section, &PollSettings::entryListAge),
    };
}

std::vector<IntegerField> sizeLimitFields()
{
    const auto section = &Settings::limits;
    using Limits = LimitSettings;
    return {
        field("limits", "queueRequests", {1, 1'000'000}, section, &Limits::queueRequests),
        field("limits", "queueBytes", {1'024, 16'384 * bytesPerMib}, section, &Limits::queueBytes),
        field("limits", "bodyBytes", {1'024, 256 * bytesPerMib}, section, &Limits::bodyBytes),
        field("limits", "callerConnections", {1, 65'536}, section, &Limits::callerConnections),
        field("limits", "peerConnections", {1, 65'536}, section, &Limits::peerConnections),
        field("limits", "snapshotSegments", {10, 4'096}, section, &Limits::snapshotSegments),
    };
}

std::vector<IntegerField> timeLimitFields()
{
    const auto section = &Settings::limits;
    using Limits = LimitSettings;
    return {
        field("limits", "requestDeadlineMs", {1, 600'000}, section, &Limits::requestDeadline),
        field("limits", "attemptMs", {10, 60'000}, section, &Limits::attempt),
        field("limits", "slotHoldMs", {0, 60'000}, section, &Limits::slotHold),
        field("limits", "headerReadMs", {100, 60'000}, section, &Limits::headerRead),
        field("limits", "idleConnectionMs", {1'000, 3'600'000}, section, &Limits::idleConnection),
        field("limits", "platformTimeoutMs", {50, 60'000}, section, &Limits::platformTimeout),
        field("limits", "workerTimeoutMs", {50, 60'000}, section, &Limits::workerTimeout),
        field("limits", "peerTimeoutMs", {50, 60'000}, section, &Limits::peerTimeout),
        field("limits", "claimRetentionMs", {60'000, 30 * millisPerDay}, section,
              &Limits::claimRetention),
        field("limits", "runRetentionMs", {60'000, 365 * millisPerDay}, section,
              &Limits::runRetention),
        field("limits", "commitEveryMs", {0, 1'000}, section, &Limits::commitEvery),
    };
}

std::vector<IntegerField> integerFields()
{
    std::vector<IntegerField> fields = {
        field("shardCount", {1, 9'999}, &Settings::shardCount),
        field("shutdownBoundMs", {100, 600'000}, &Settings::shutdownBound),
    };
    for (const auto &it : {leaseFields(), pollFields(), sizeLimitFields(), timeLimitFields()})
        fields.insert(fields.end(), it.begin(), it.end());
    return fields;
}

void readIntegers(ObjectReader &reader, std::string_view section, Settings &settings)
{
    for (const IntegerField &it : integerFields()) {
        if (it.section == section)
            it.write(settings, reader.integer(it.key, it.range, it.read(settings)));
    }
}

void readIntegerSection(ObjectReader &root, std::string_view section, Settings &settings)
{
    ObjectReader reader = root.optionalObject(section);
    readIntegers(reader, section, settings);
    reader.rejectUnknownKeys();
}

// Whether an address may have port 0, which lets the system choose a port to listen on.
enum class PortZero { Allowed, Rejected };

std::string readAddress(ObjectReader &reader, std::string_view key, PortZero portZero)
{
    const bool present = reader.has(key);
    std::string text = reader.string(key);
    if (!present || text.empty())
        return text;
    const auto address = parseSocketAddress(text);
    if (!address)
        reader.addFault(key, "\"" + text + "\" is not an IP address and port",
                        "write it as in \"127.0.0.1:8080\"; host names are not resolved");
    else if (address->port == 0 && portZero == PortZero::Rejected)
        reader.addFault(key, "port 0 can't be connected to",
                        "write the port that the service listens on");
    return text;
}

std::string readName(ObjectReader &reader, std::string_view key)
{
    const bool present = reader.has(key);
    std::string name = reader.string(key);
    const auto isAllowed = [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '.'; };
    if (present && !std::all_of(name.begin(), name.end(), isAllowed))
        reader.addFault(key, "\"" + name + "\" contains characters that a name may not have",
                        "use only letters, digits, hyphens and periods");
    return name;
}

PlatformAddresses readPlatform(ObjectReader &root)
{
    ObjectReader reader = root.object("platform");
    PlatformAddresses platform;
    platform.table = readAddress(reader, "table", PortZero::Rejected);
    platform.objects = readAddress(reader, "objects", PortZero::Rejected);
    platform.membership = readAddress(reader, "membership", PortZero::Rejected);
    reader.rejectUnknownKeys();
    return platform;
}

std::vector<TeamKey> readTeamKeys(ObjectReader &root)
{
    ObjectReader reader = root.optionalObject("teamKeys");
    std::vector<TeamKey> teamKeys;
    for (const std::string &it : reader.keys()) {
        const std::string key = reader.secret(it);
        if (!key.empty() && key.size() < minTeamKeyBytes)
            reader.addFault(it, "this key is shorter than 16 characters",
                            "write a random key of at least 16 characters");
        teamKeys.push_back({it, key});
    }
    return teamKeys;
}

LogLevel readLogLevel(ObjectReader &root)
{
    // In the order of the enumerators of LogLevel.
    constexpr std::array<std::string_view, 4> names{"debug", "info", "warning", "error"};
    constexpr auto defaultLevel = static_cast<std::size_t>(LogLevel::Info);
    return static_cast<LogLevel>(root.choice("logLevel", names, defaultLevel));
}

std::string millisText(Millis duration)
{
    return std::to_string(duration.count());
}

// A rule between two settings: `smaller` times `factor` must not exceed `larger`. The paths name
// the settings in faults.
struct RatioRule
{
    std::string_view smallerPath;
    Millis smaller;
    int factor;
    std::string_view largerPath;
    Millis larger;
};

// Adds a fault if the settings break the rule.
void checkRatio(const RatioRule &rule, ValidationErrors &faults)
{
    if (rule.smaller * rule.factor <= rule.larger)
        return;
    const Millis maximum = rule.larger / rule.factor;
    const std::string multiplier = rule.factor == 1 ? "" : std::to_string(rule.factor) + " times ";
    faults.add(rule.smallerPath,
               multiplier + millisText(rule.smaller) + " exceeds " + std::string(rule.largerPath)
                   + ", " + millisText(rule.larger),
               "write at most " + millisText(maximum) + ", or raise "
                   + std::string(rule.largerPath));
}

// Adds a fault for each pair of settings that contradict each other.
void checkConsistency(const Settings &settings, ValidationErrors &faults)
{
    const LeaseTimes &leases = settings.leases;
    const LimitSettings &limits = settings.limits;
    const std::array<RatioRule, 7> rules{{
        {"leases.entryRenewalMs", leases.entryRenewal, 2, "leases.entryTermMs", leases.entryTerm},
        {"leases.workerRenewalMs", leases.workerRenewal, 2, "leases.workerTermMs",
         leases.workerTerm},
        {"limits.platformTimeoutMs", limits.platformTimeout, 2, "leases.entryTermMs",
         leases.entryTerm},
        {"limits.workerTimeoutMs", limits.workerTimeout, 2, "leases.workerTermMs",
         leases.workerTerm},
        {"polls.documentsMs", settings.polls.documents, 1, "polls.freezeBoundMs",
         settings.polls.freezeBound},
        {"polls.freezeBoundMs", settings.polls.freezeBound, 2, "leases.entryTermMs",
         leases.entryTerm},
        {"limits.requestDeadlineMs", limits.requestDeadline, 1, "shutdownBoundMs",
         settings.shutdownBound},
    }};
    for (const RatioRule &it : rules)
        checkRatio(it, faults);
    if (limits.bodyBytes > limits.queueBytes)
        faults.add("limits.queueBytes",
                   std::to_string(limits.queueBytes) + " is less than limits.bodyBytes, "
                       + std::to_string(limits.bodyBytes),
                   "write at least " + std::to_string(limits.bodyBytes));
    const auto callers = parseSocketAddress(settings.callersListen);
    if (callers && callers->port != 0 && settings.callersListen == settings.peersListen)
        faults.add("peersListen",
                   "\"" + settings.peersListen + "\" is already used by callersListen",
                   "write another port");
}

} // namespace

std::vector<IntegerSetting> integerSettings()
{
    const Settings defaults;
    std::vector<IntegerSetting> all;
    for (const IntegerField &it : integerFields())
        all.push_back({it.section, it.key, it.range.min, it.range.max, it.read(defaults)});
    return all;
}

std::optional<Settings> parseSettings(std::string_view text, ValidationErrors &faults)
{
    const internal::JsonValuePointer root = internal::parseJsonObject(text, faults);
    if (!root)
        return std::nullopt;
    ObjectReader reader(*root, "", faults);
    Settings settings;
    settings.id = readName(reader, "id");
    settings.availabilityZone = readName(reader, "availabilityZone");
    settings.region = readName(reader, "region");
    settings.callersListen = readAddress(reader, "callersListen", PortZero::Allowed);
    settings.peersListen = readAddress(reader, "peersListen", PortZero::Allowed);
    settings.platform = readPlatform(reader);
    readIntegers(reader, "", settings);
    readIntegerSection(reader, "leases", settings);
    readIntegerSection(reader, "polls", settings);
    readIntegerSection(reader, "limits", settings);
    settings.teamKeys = readTeamKeys(reader);
    settings.logLevel = readLogLevel(reader);
    reader.rejectUnknownKeys();
    checkConsistency(settings, faults);
    if (!faults.empty())
        return std::nullopt;
    return settings;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream buf;
    if (file)
        buf << file.rdbuf();
    if (!file)
        throw Error(ErrorKind::NotFound, path + ": this file can't be read",
                    "give the path of a readable file");
    return buf.str();
}

Settings loadSettings(const std::string &path)
{
    ValidationErrors faults;
    const auto settings = parseSettings(readFile(path), faults);
    if (settings)
        return *settings;
    std::string lines = faults.format(path);
    lines.pop_back();
    throw Error(ErrorKind::InvalidInput, lines,
                "run 'savorywick check " + path + "' after correcting it");
}

bool isValidTeamKey(const Settings &settings, std::string_view team, std::string_view key)
{
    bool found = false;
    for (const TeamKey &it : settings.teamKeys) {
        if (it.team != team)
            continue;
        // Compares every byte of the presented key, even after a difference, so that the time taken
        // doesn't reveal the position of the first wrong byte.
        std::size_t difference = it.key.size() ^ key.size();
        for (std::size_t i = 0; i < key.size(); ++i)
            difference |= static_cast<unsigned char>(key[i] ^ it.key[i % it.key.size()]);
        found = difference == 0;
    }
    return found;
}

std::optional<SocketAddress> parseSocketAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string ip(text.substr(0, colon));
    const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (bracketed)
        ip = ip.substr(1, ip.size() - 2);
    in6_addr binary{};
    if (inet_pton(bracketed ? AF_INET6 : AF_INET, ip.c_str(), &binary) != 1)
        return std::nullopt;
    const std::string_view digits = text.substr(colon + 1);
    int port = -1;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    const bool isNumber = parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size();
    if (!isNumber || port < 0 || port > maxPort)
        return std::nullopt;
    return SocketAddress{ip, port};
}

} // namespace savorywick
