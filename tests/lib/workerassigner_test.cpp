#include "savorywick/workerassigner.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace savorywick;

namespace {

constexpr int shards = 3;
constexpr Millis removalDelay{3'600'000};

HostInfo worker(const std::string &id, int accelerators)
{
    HostInfo host;
    host.id = id;
    host.role = HostRole::Worker;
    host.cores = 64;
    host.accelerators = accelerators;
    return host;
}

// A table that commits one transaction after another.
struct FakeTableRows
{
    std::map<std::string, Row> rows;
    std::uint64_t version = 0;

    Row at(const std::string &key) const
    {
        const auto it = rows.find(key);
        return it == rows.end() ? Row{key, {}, 0} : it->second;
    }

    bool commit(const Transaction &t)
    {
        for (const Condition &it : t.conditions) {
            if (at(it.key).version != it.version)
                return false;
        }
        ++version;
        for (const Write &it : t.writes)
            rows[it.key] = {it.key, *it.value, version};
        return true;
    }

    void letObserve(WorkerAssigner &slices) const
    {
        std::vector<Row> list;
        for (const auto &it : rows) {
            if (it.first.starts_with(slicePrefix))
                list.push_back(it.second);
        }
        slices.observe(at(std::string(sliceIndexKey)), list);
    }
};

} // namespace

TEST_CASE("Two concurrent assigners never give one worker to two shards nor move a worker")
{
    CHECK(rc::check("every listed worker is in exactly one slice and stays there", [] {
        FakeTableRows table;
        std::vector<WorkerAssigner> assigners(2, WorkerAssigner(shards, removalDelay));
        std::map<std::string, int> shardOf;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1'000));
        std::vector<HostInfo> hosts;
        for (const int it : steps) {
            if (it % 3 == 0)
                hosts.push_back(worker("w" + std::to_string(hosts.size()), it % 2));
            WorkerAssigner &assigner = assigners[static_cast<std::size_t>(it % 2)];
            if (it % 5 != 0) // Otherwise it assigns by the rows that it observed before.
                table.letObserve(assigner);
            if (const auto t = assigner.assign(hosts, Instant{it}))
                table.commit(*t);
            for (int shard = 0; shard < shards; ++shard) {
                for (const std::string &id : parseSliceRow(table.at(sliceKey(shard)))) {
                    const int first = shardOf.emplace(id, shard).first->second;
                    RC_ASSERT(first == shard);
                }
            }
        }
    }));
}

TEST_CASE("Workers of each size are spread evenly over the shards")
{
    FakeTableRows table;
    WorkerAssigner slices(shards, removalDelay);
    table.letObserve(slices);
    std::vector<HostInfo> hosts;
    hosts.reserve(65);
    for (int i = 0; i < 65; ++i)
        hosts.push_back(worker("w" + std::to_string(i), i % 5 == 0 ? 4 : 0));
    REQUIRE(table.commit(*slices.assign(hosts, Instant{})));
    table.letObserve(slices);
    for (int shard = 0; shard < shards; ++shard) {
        CAPTURE(shard);
        const auto &slice = slices.workersOf(shard);
        CHECK(slice.size() >= 21);
        CHECK(slice.size() <= 22);
        const auto withAccelerators =
            std::count_if(hosts.begin(), hosts.end(), [&](const HostInfo &it) {
                return it.accelerators > 0 && slice.contains(it.id);
            });
        CHECK(withAccelerators >= 4);
        CHECK(withAccelerators <= 5);
    }
    CHECK_FALSE(slices.assign(hosts, Instant{1}).has_value());
}

TEST_CASE("A worker is removed from its shard only after it was missing for the removal delay")
{
    FakeTableRows table;
    WorkerAssigner slices(shards, removalDelay);
    table.letObserve(slices);
    const std::vector<HostInfo> hosts{worker("w", 0)};
    REQUIRE(table.commit(*slices.assign(hosts, Instant{})));
    table.letObserve(slices);
    for (const Millis missing : {Millis{0}, removalDelay - Millis{1}}) {
        // The first transaction updates the summary, which counts only live workers.
        if (const auto t = slices.assign({}, Instant{1'000} + missing))
            REQUIRE(table.commit(*t));
        table.letObserve(slices);
        CHECK(slices.workersOf(0).contains("w"));
    }
    REQUIRE(table.commit(*slices.assign({}, Instant{1'000} + removalDelay)));
    table.letObserve(slices);
    CHECK(slices.workersOf(0).empty());
}

TEST_CASE("A shard is chosen for a run only if it has a live worker that could hold the run")
{
    FakeTableRows table;
    WorkerAssigner slices(shards, removalDelay);
    table.letObserve(slices);
    std::vector<HostInfo> hosts{worker("plain", 0), worker("gpu", 4)};
    REQUIRE(table.commit(*slices.assign(hosts, Instant{})));
    const auto choose = [&](const Resources &need, std::uint64_t draw) {
        return ShardWorkerCounts::parse(table.at(std::string(sliceIndexKey)))
            .chooseShard(need, draw);
    };
    const int gpuShard = parseSliceRow(table.at(sliceKey(0))).contains("gpu") ? 0 : 1;
    for (std::uint64_t draw = 0; draw < 8; ++draw)
        CHECK(choose({.cores = 1, .accelerators = 1}, draw) == gpuShard);
    CHECK_FALSE(choose({.cores = 65}, 0).has_value());

    hosts[1].state = HostState::Leaving;
    table.letObserve(slices);
    REQUIRE(table.commit(*slices.assign(hosts, Instant{1})));
    CHECK_FALSE(choose({.cores = 1, .accelerators = 1}, 0).has_value());
}
