// Shows how shard leases work over any transactional table. A process that pauses for longer than
// its lease loses its shards to another process and, once it resumes, finds itself fenced.
#include "savorywick/shardlease.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <mutex>

using namespace savorywick;

namespace {

// A table that keeps its rows in memory. In production, implement Table over a durable store that
// commits transactions atomically.
class MemoryTable final : public Table
{
public:
    CommitResult commit(const Transaction &transaction) override
    {
        const std::lock_guard lock(m_mutex);
        const bool conditionsMet =
            std::all_of(transaction.conditions.begin(), transaction.conditions.end(),
                        [this](const Condition &it) { return find(it.key).version == it.version; });
        if (!conditionsMet)
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
    // Returns the row, or an empty one of version 0 if there is none.
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

constexpr int shardCount = 4;
constexpr std::size_t scanLimitRows = 1'000;
constexpr int pauseSeconds = 15; // Longer than the default lease term and its margin, 10 s.

// Renews the lease, expires sessions that stopped renewing and claims free shards. Call it about
// once per second.
void updateLease(ShardLeaseManager &manager, Table &table, Instant now)
{
    if (const auto renewal = manager.nextRenewal(now))
        manager.handleRenewalResult(table.commit(*renewal), now);
    if (manager.needsReadBack()) {
        const std::vector<std::string> key{"entry/" + manager.session()};
        manager.handleReadBack(table.read(key).front(), now);
    }
    if (manager.fenced())
        return;
    manager.observe(table.scan("entry/", "", scanLimitRows),
                    table.scan("shard/", "", scanLimitRows), now);
    for (const Transaction &it : manager.expiryTransactions(now))
        table.commit(it);
    for (const ShardClaim &it : manager.claimFreeShards(now))
        manager.handleClaimResult(it, table.commit(it.transaction));
}

void printState(const char *when, const ShardLeaseManager &manager, Instant now)
{
    std::printf("%s: %s owns %zu shards, may act as owner: %s\n", when, manager.session().c_str(),
                manager.ownedShards().size(), manager.holdsLease(now) ? "yes" : "no");
}

} // namespace

int main()
{
    MemoryTable table;
    ManualClock clock;
    const ShardLeaseSettings settings{.shardCount = shardCount};
    ShardLeaseManager first("entry-a.1", "127.0.0.1:8090", settings);
    updateLease(first, table, clock.now());
    printState("at the start", first, clock.now());
    const bool firstOwnsAll =
        first.ownedShards().size() == shardCount && first.holdsLease(clock.now());

    // The first owner is paused, so its row no longer changes; the second process expires it.
    ShardLeaseManager second("entry-b.1", "127.0.0.1:8091", settings);
    bool mutuallyExclusive = true;
    for (int n = 0; n < pauseSeconds; ++n) {
        clock.advance(Millis{1'000});
        updateLease(second, table, clock.now());
        const bool secondActs = second.holdsLease(clock.now()) && !second.ownedShards().empty();
        mutuallyExclusive = mutuallyExclusive && !(first.holdsLease(clock.now()) && secondActs);
    }
    printState("15 s later", first, clock.now());
    printState("15 s later", second, clock.now());

    updateLease(first, table, clock.now());
    std::printf("after the pause: %s is fenced: %s\n", first.session().c_str(),
                first.fenced() ? "yes" : "no");
    const bool secondOwnsAll =
        second.ownedShards().size() == shardCount && second.holdsLease(clock.now());
    const bool firstIsFenced = first.fenced() && !first.holdsLease(clock.now());
    return firstOwnsAll && mutuallyExclusive && secondOwnsAll && firstIsFenced ? 0 : 1;
}
