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

constexpr std::int64_t dayMs = 86'400'000;
constexpr std::int64_t mib = 1 << 20;
constexpr int maxPort = 65'535;
constexpr std::size_t minTeamKeyBytes = 16;

// Ties one number of the file to its place in Settings.
struct NumberField
{
    std::string_view section;
    std::string_view key;
    internal::IntegerRange range;
    std::function<std::int64_t(const Settings &)> read;
    std::function<void(Settings &, std::int64_t)> write;
};

std::int64_t toNumber(Millis span)
{
    return span.count();
}
std::int64_t toNumber(std::int64_t n)
{
    return n;
}

template<typename Section, typename Value>
NumberField field(std::string_view section, std::string_view key, internal::IntegerRange range,
                  Section Settings::*part, Value Section::*member)
{
    return {section, key, range,
            [part, member](const Settings &s) { return toNumber(s.*part.*member); },
            [part, member](Settings &s, std::int64_t n) { s.*part.*member = Value(n); }};
}

template<typename Value>
NumberField field(std::string_view key, internal::IntegerRange range, Value Settings::*member)
{
    return {"", key, range, [member](const Settings &s) { return toNumber(s.*member); },
            [member](Settings &s, std::int64_t n) { s.*member = Value(n); }};
}

std::vector<NumberField> leaseFields()
{
    const auto part = &Settings::leases;
    using Leases = LeaseTimes;
    return {
        field("leases", "entryTermMs", {1'000, 120'000}, part, &Leases::entryTerm),
        field("leases", "entryRenewalMs", {100, 60'000}, part, &Leases::entryRenewal),
        field("leases", "entryMarginMs", {10, 60'000}, part, &Leases::entryMargin),
        field("leases", "workerTermMs", {1'000, 120'000}, part, &Leases::workerTerm),
        field("leases", "workerRenewalMs", {100, 60'000}, part, &Leases::workerRenewal),
        field("leases", "workerMarginMs", {10, 60'000}, part, &Leases::workerMargin),
    };
}

std::vector<NumberField> pollFields()
{
    const auto part = &Settings::polls;
    return {
        field("polls", "membershipMs", {100, 10'000}, part, &PollSettings::membership),
        field("polls", "documentsMs", {100, 10'000}, part, &PollSettings::documents),
        field("polls", "freezeBoundMs", {200, 60'000}, part, &PollSettings::freezeBound),
        field("polls", "entryListAgeMs", {500, 60'000}, part, &PollSettings::entryListAge),
    };
}

std::vector<NumberField> sizeLimitFields()
{
    const auto part = &Settings::limits;
    using Limits = LimitSettings;
    return {
        field("limits", "queueRequests", {1, 1'000'000}, part, &Limits::queueRequests),
        field("limits", "queueBytes", {1'024, 16'384 * mib}, part, &Limits::queueBytes),
        field("limits", "bodyBytes", {1'024, 256 * mib}, part, &Limits::bodyBytes),
        field("limits", "callerConnections", {1, 65'536}, part, &Limits::callerConnections),
        field("limits", "peerConnections", {1, 65'536}, part, &Limits::peerConnections),
        field("limits", "snapshotSegments", {10, 4'096}, part, &Limits::snapshotSegments),
    };
}

std::vector<NumberField> timeLimitFields()
{
    const auto part = &Settings::limits;
    using Limits = LimitSettings;
    return {
        field("limits", "requestDeadlineMs", {1, 600'000}, part, &Limits::requestDeadline),
        field("limits", "attemptMs", {10, 60'000}, part, &Limits::attempt),
        field("limits", "slotHoldMs", {0, 60'000}, part, &Limits::slotHold),
        field("limits", "headerReadMs", {100, 60'000}, part, &Limits::headerRead),
        field("limits", "idleConnectionMs", {1'000, 3'600'000}, part, &Limits::idleConnection),
        field("limits", "platformTimeoutMs", {50, 60'000}, part, &Limits::platformTimeout),
        field("limits", "workerTimeoutMs", {50, 60'000}, part, &Limits::workerTimeout),
        field("limits", "peerTimeoutMs", {50, 60'000}, part, &Limits::peerTimeout),
        field("limits", "claimRetentionMs", {60'000, 30 * dayMs}, part, &Limits::claimRetention),
        field("limits", "runRetentionMs", {60'000, 365 * dayMs}, part, &Limits::runRetention),
        field("limits", "commitEveryMs", {0, 1'000}, part, &Limits::commitEvery),
    };
}

std::vector<NumberField> numberFields()
{
    std::vector<NumberField> all = {
        field("shardCount", {1, 9'999}, &Settings::shardCount),
        field("shutdownBoundMs", {100, 600'000}, &Settings::shutdownBound),
    };
    for (const auto &part : {leaseFields(), pollFields(), sizeLimitFields(), timeLimitFields()})
        all.insert(all.end(), part.begin(), part.end());
    return all;
}

void readNumbers(ObjectReader &reader, std::string_view section, Settings &settings)
{
    for (const NumberField &it : numberFields()) {
        if (it.section == section)
            it.write(settings, reader.integer(it.key, it.range, it.read(settings)));
    }
}

void readNumberSection(ObjectReader &root, std::string_view section, Settings &settings)
{
    ObjectReader reader = root.optionalObject(section);
    readNumbers(reader, section, settings);
    reader.rejectUnknownKeys();
}

enum class PortZero { Allowed, Refused };

std::string readAddress(ObjectReader &reader, std::string_view key, PortZero portZero)
{
    const bool present = reader.has(key);
    std::string text = reader.string(key);
    if (!present || text.empty())
        return text;
    const auto address = parseSocketAddress(text);
    if (!address)
        reader.addFault(key, "\"" + text + "\" is no IP number and port",
                        "write it as in \"127.0.0.1:8080\"; names are not looked up");
    else if (address->port == 0 && portZero == PortZero::Refused)
        reader.addFault(key, "port 0 can't be called",
                        "write the port that the service answers on");
    return text;
}

std::string readName(ObjectReader &reader, std::string_view key)
{
    const bool present = reader.has(key);
    std::string name = reader.string(key);
    const auto allowed = [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '.'; };
    if (present && !std::all_of(name.begin(), name.end(), allowed))
        reader.addFault(key, "\"" + name + "\" holds other characters than a name may",
                        "write letters, digits, hyphens and full stops only");
    return name;
}

PlatformAddresses readPlatform(ObjectReader &root)
{
    ObjectReader reader = root.object("platform");
    PlatformAddresses platform;
    platform.table = readAddress(reader, "table", PortZero::Refused);
    platform.objects = readAddress(reader, "objects", PortZero::Refused);
    platform.membership = readAddress(reader, "membership", PortZero::Refused);
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
    constexpr std::array<std::string_view, 4> names{"debug", "info", "warning", "error"};
    return static_cast<LogLevel>(root.choice("logLevel", names, 1));
}

std::string msText(Millis span)
{
    return std::to_string(span.count());
}

// Adds a fault if `smaller` times `factor` is above `larger`; both are paths with their values.
struct Bound
{
    std::string_view smallerPath;
    Millis smaller;
    int factor;
    std::string_view largerPath;
    Millis larger;
};

void checkBound(const Bound &bound, ValidationErrors &faults)
{
    if (bound.smaller * bound.factor <= bound.larger)
        return;
    const Millis most = bound.larger / bound.factor;
    const std::string times = bound.factor == 1 ? "" : std::to_string(bound.factor) + " times ";
    faults.add(bound.smallerPath,
               times + msText(bound.smaller) + " is above " + std::string(bound.largerPath) + ", "
                   + msText(bound.larger),
               "write at most " + msText(most) + ", or raise " + std::string(bound.largerPath));
}

void checkContradictions(const Settings &settings, ValidationErrors &faults)
{
    const LeaseTimes &leases = settings.leases;
    const LimitSettings &limits = settings.limits;
    const std::array<Bound, 7> bounds{{
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
    for (const Bound &it : bounds)
        checkBound(it, faults);
    if (limits.bodyBytes > limits.queueBytes)
        faults.add("limits.queueBytes",
                   std::to_string(limits.queueBytes) + " holds no body of limits.bodyBytes, "
                       + std::to_string(limits.bodyBytes),
                   "write at least " + std::to_string(limits.bodyBytes));
    const auto callers = parseSocketAddress(settings.callersListen);
    if (callers && callers->port != 0 && settings.callersListen == settings.peersListen)
        faults.add("peersListen", "\"" + settings.peersListen + "\" is callersListen as well",
                   "write another port");
}

} // namespace

std::vector<NumberSetting> numberSettings()
{
    const Settings defaults;
    std::vector<NumberSetting> all;
    for (const NumberField &it : numberFields())
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
    readNumbers(reader, "", settings);
    readNumberSection(reader, "leases", settings);
    readNumberSection(reader, "polls", settings);
    readNumberSection(reader, "limits", settings);
    settings.teamKeys = readTeamKeys(reader);
    settings.logLevel = readLogLevel(reader);
    reader.rejectUnknownKeys();
    checkContradictions(settings, faults);
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
                "run 'savorywick check " + path + "' after mending");
}

bool isTeamKey(const Settings &settings, std::string_view team, std::string_view key)
{
    bool found = false;
    for (const TeamKey &it : settings.teamKeys) {
        if (it.team != team)
            continue;
        // Looks at every byte of the presented key, whatever differs before it.
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
    const bool whole = parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size();
    if (!whole || port < 0 || port > maxPort)
        return std::nullopt;
    return SocketAddress{ip, port};
}

} // namespace savorywick
