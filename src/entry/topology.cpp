#include "entry/topology.h"

#include "savorywick/errors.h"
#include "store/json.h"

namespace savorywick {

namespace {

constexpr std::string_view entryPrefix = "entry/";
// Must be longer than any period that entriesListedWithin() is called with.
constexpr Millis departedEntryRetention{300'000};

} // namespace

void Topology::setHosts(std::vector<HostInfo> hosts)
{
    auto fresh = std::make_shared<std::vector<HostInfo>>(std::move(hosts));
    const std::lock_guard lock(m_mutex);
    for (const HostInfo &it : *fresh)
        m_addresses[it.id] = it.address;
    m_hosts = std::move(fresh);
}

void Topology::setEntries(std::vector<PeerEntry> entries, Instant now)
{
    auto fresh = std::make_shared<std::vector<PeerEntry>>(std::move(entries));
    const std::lock_guard lock(m_mutex);
    m_entriesFirstReadAt = m_entriesFirstReadAt.value_or(now);
    std::erase_if(m_lastListedAt,
                  [&](const auto &it) { return now - it.second > departedEntryRetention; });
    for (const PeerEntry &it : *fresh)
        m_lastListedAt[it.name] = now;
    m_entries = std::move(fresh);
}

void Topology::setOwners(const std::vector<Row> &shardRows)
{
    std::map<int, ShardOwner> owners;
    for (const Row &it : shardRows) {
        const ShardRow row = parseShardRow(it);
        if (!row.owner.empty())
            owners[parseShardKey(it.key)] = {row.owner, row.peer};
    }
    const std::lock_guard lock(m_mutex);
    m_owners = std::move(owners);
}

void Topology::setOwner(int shard, ShardOwner owner)
{
    const std::lock_guard lock(m_mutex);
    m_owners[shard] = std::move(owner);
}

Topology::Hosts Topology::hosts() const
{
    const std::lock_guard lock(m_mutex);
    return m_hosts;
}

Topology::Entries Topology::entries() const
{
    const std::lock_guard lock(m_mutex);
    return m_entries;
}

std::optional<std::vector<std::string>> Topology::entriesListedWithin(Millis period,
                                                                      Instant now) const
{
    const std::lock_guard lock(m_mutex);
    if (!m_entriesFirstReadAt || now - *m_entriesFirstReadAt < period)
        return std::nullopt;
    std::vector<std::string> names;
    for (const auto &it : m_lastListedAt) {
        if (now - it.second <= period)
            names.push_back(it.first);
    }
    return names;
}

std::optional<ShardOwner> Topology::owner(int shard) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_owners.find(shard);
    if (it == m_owners.end())
        return std::nullopt;
    return it->second;
}

std::string Topology::addressOf(const std::string &host) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_addresses.find(host);
    return it == m_addresses.end() ? std::string() : it->second;
}

PeerEntry parseEntryRow(const Row &row)
{
    const Json::Value value = store::parseJsonText(row.value);
    if (!value.isObject() || row.key.size() <= entryPrefix.size())
        throw Error(ErrorKind::InvalidInput, "row '" + row.key + "' is not a valid entry row",
                    "remove the row from the table; the entry writes it again");
    PeerEntry entry;
    entry.session = row.key.substr(entryPrefix.size());
    entry.name = value["name"].asString();
    entry.callerAddress = value["callers"].asString();
    entry.peerAddress = value["peers"].asString();
    entry.availabilityZone = value["zone"].asString();
    entry.region = value["region"].asString();
    entry.documentIndexVersion = value["documentsSeen"].asUInt64();
    entry.draining = value["draining"].asBool();
    return entry;
}

std::string entryRowFields(const PeerEntry &entry)
{
    Json::Value value;
    value["name"] = entry.name;
    value["callers"] = entry.callerAddress;
    value["peers"] = entry.peerAddress;
    value["zone"] = entry.availabilityZone;
    value["region"] = entry.region;
    value["documentsSeen"] = Json::UInt64(entry.documentIndexVersion);
    value["draining"] = entry.draining;
    return store::toJsonText(value);
}

std::string formatListView(const EntryListFingerprint &view)
{
    Json::Value value;
    value["digest"] = Json::UInt64(view.digest);
    value["entries"] = Json::UInt64(view.entryCount);
    return store::toJsonText(value);
}

std::optional<EntryListFingerprint> parseListView(std::string_view text)
{
    const Json::Value value = store::parseJsonText(text);
    if (!value.isObject() || !value["digest"].isUInt64() || !value["entries"].isUInt64())
        return std::nullopt;
    return EntryListFingerprint{value["digest"].asUInt64(), value["entries"].asUInt64()};
}

} // namespace savorywick
