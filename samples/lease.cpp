// A fenced lease over any table: an owner that pauses loses its shards and never acts again.
#include "savorywick/shardlease.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <mutex>

using namespace savorywick;

namespace {

// Implement Table over the store that you have; this one keeps its rows in memory.
class MemoryTable final : public Table
{
public:
    CommitResult commit(const Transaction &transaction) override
    {
        const std::lock_guard lock(m_mutex);
        const bool holds =
            std::all_of(transaction.conditions.begin(), transaction.conditions.end(),
                        [this](const Condition &it) { return find(it.key).version == it.version; });
        if (!holds)
            return {CommitOutcome::Conflict};
        ++m_version;
        for (const Write &it : transaction.writes)
            apply(it);
        return {CommitOutcome::Committed, m_version};
    }

    std::vector<Row> read(std::span<const std::string> keys) override
    {
        const std::lock_guard lock(m_mutex);
        std::vector<Row> result;
        for (const std::string &it : keys)
            result.push_back(find(it));
        return result;
    }

    std::vector<Row> scan(std::string_view prefix, std::string_view after,
                          std::size_t limit) override
    {
        const std::lock_guard lock(m_mutex);
        std::vector<Row> result;
        for (const auto &[key, row] : m_rows) {
            if (result.size() < limit && key.starts_with(prefix) && key > after)
                result.push_back(row);
        }
        return result;
    }

private:
    Row find(const std::string &key) const
    {
        const auto it = m_rows.find(key);
        return it == m_rows.end() ? Row{key, "", 0} : it->second;
    }

    void apply(const Write &write)
    {
        if (write.value)
            m_rows[write.key] = {write.key, *write.value, m_version};
        else
            m_rows.erase(write.key);
    }

    std::mutex m_mutex;
    std::map<std::string, Row> m_rows;
    std::uint64_t m_version = 0;
};

constexpr std::size_t scanLimit = 1'000;

// Does what an owner does about once a second.
void step(ShardLeaseManager &keeper, Table &table, Instant now)
{
    if (const auto renewal = keeper.nextRenewal(now))
        keeper.handleRenewalResult(table.commit(*renewal), now);
    if (keeper.needsReadBack()) {
        const std::vector<std::string> key{"entry/" + keeper.session()};
        keeper.handleReadBack(table.read(key).front(), now);
    }
    if (keeper.fenced())
        return;
    keeper.observe(table.scan("entry/", "", scanLimit), table.scan("shard/", "", scanLimit), now);
    for (const Transaction &it : keeper.expiryTransactions(now))
        table.commit(it);
    for (const ShardClaim &it : keeper.claimFreeShards(now))
        keeper.handleClaimResult(it, table.commit(it.transaction));
}

void print(const char *when, const ShardLeaseManager &keeper, Instant now)
{
    std::printf("%s: %s has %zu shards, may act: %s\n", when, keeper.session().c_str(),
                keeper.ownedShards().size(), keeper.holdsLease(now) ? "yes" : "no");
}

} // namespace

int main()
{
    MemoryTable table;
    ManualClock clock;
    const ShardLeaseSettings settings{.shardCount = 4};
    ShardLeaseManager first("entry-a.1", "127.0.0.1:8090", settings);
    step(first, table, clock.now());
    print("at first", first, clock.now());
    const bool owned = first.ownedShards().size() == 4 && first.holdsLease(clock.now());

    // The first owner is paused; a second process watches its row stand still.
    ShardLeaseManager second("entry-b.1", "127.0.0.1:8091", settings);
    bool neverBoth = true;
    for (int n = 0; n < 15; ++n) {
        clock.advance(Millis{1'000});
        step(second, table, clock.now());
        const bool secondActs = second.holdsLease(clock.now()) && !second.ownedShards().empty();
        neverBoth = neverBoth && !(first.holdsLease(clock.now()) && secondActs);
    }
    print("15 s later", first, clock.now());
    print("15 s later", second, clock.now());

    step(first, table, clock.now());
    std::printf("awake again: %s is fenced: %s\n", first.session().c_str(),
                first.fenced() ? "yes" : "no");
    const bool taken = second.ownedShards().size() == 4 && second.holdsLease(clock.now());
    return owned && neverBoth && taken && first.fenced() && !first.holdsLease(clock.now()) ? 0 : 1;
}
