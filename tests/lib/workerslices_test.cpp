#include "savorywick/workerslices.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace savorywick;

namespace {

constexpr int shards = 3;
constexpr Millis forgetAfter{3'600'000};

HostInfo worker(const std::string &id, int accelerators)
{
    HostInfo host;
    host.id = id;
    host.role = HostRole::Worker;
    host.cores = 64;
    host.accelerators = accelerators;
    return host;
}

// The rows of a table that commits one transaction after another.
struct FakeRows
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

    void showTo(WorkerSlices &slices) const
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

TEST_CASE("Two racing deciders never give one worker to two shards nor move one")
{
    CHECK(rc::check("every listed worker is in exactly one slice and stays there", [] {
        FakeRows table;
        std::vector<WorkerSlices> deciders(2, WorkerSlices(shards, forgetAfter));
        std::map<std::string, int> home;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1'000));
        std::vector<HostInfo> hosts;
        for (const int it : steps) {
            if (it % 3 == 0)
                hosts.push_back(worker("w" + std::to_string(hosts.size()), it % 2));
            WorkerSlices &decider = deciders[static_cast<std::size_t>(it % 2)];
            if (it % 5 != 0) // Otherwise it decides on what it saw before.
                table.showTo(decider);
            if (const auto t = decider.assign(hosts, Instant{it}))
                table.commit(*t);
            for (int shard = 0; shard < shards; ++shard) {
                for (const std::string &id : parseSliceRow(table.at(sliceKey(shard)))) {
                    const int first = home.emplace(id, shard).first->second;
                    RC_ASSERT(first == shard);
                }
            }
        }
    }));
}

TEST_CASE("Workers of each size are spread evenly over the shards")
{
    FakeRows table;
    WorkerSlices slices(shards, forgetAfter);
    table.showTo(slices);
    std::vector<HostInfo> hosts;
    hosts.reserve(65);
    for (int i = 0; i < 65; ++i)
        hosts.push_back(worker("w" + std::to_string(i), i % 5 == 0 ? 4 : 0));
    REQUIRE(table.commit(*slices.assign(hosts, Instant{})));
    table.showTo(slices);
    for (int shard = 0; shard < shards; ++shard) {
        CAPTURE(shard);
        const auto &slice = slices.slice(shard);
        CHECK(slice.size() >= 21);
        CHECK(slice.size() <= 22);
        const auto rich = std::count_if(hosts.begin(), hosts.end(), [&](const HostInfo &it) {
            return it.accelerators > 0 && slice.contains(it.id);
        });
        CHECK(rich >= 4);
        CHECK(rich <= 5);
    }
    CHECK_FALSE(slices.assign(hosts, Instant{1}).has_value());
}

TEST_CASE("A worker loses its shard only after it was missing for the whole span")
{
    FakeRows table;
    WorkerSlices slices(shards, forgetAfter);
    table.showTo(slices);
    const std::vector<HostInfo> hosts{worker("w", 0)};
    REQUIRE(table.commit(*slices.assign(hosts, Instant{})));
    table.showTo(slices);
    for (const Millis missing : {Millis{0}, forgetAfter - Millis{1}}) {
        if (const auto t = slices.assign({}, Instant{1'000} + missing))
            REQUIRE(table.commit(*t)); // The summary no longer counts the worker.
        table.showTo(slices);
        CHECK(slices.slice(0).contains("w"));
    }
    REQUIRE(table.commit(*slices.assign({}, Instant{1'000} + forgetAfter)));
    table.showTo(slices);
    CHECK(slices.slice(0).empty());
}

TEST_CASE("A run is sent only to a shard with a live worker that could hold it")
{
    FakeRows table;
    WorkerSlices slices(shards, forgetAfter);
    table.showTo(slices);
    std::vector<HostInfo> hosts{worker("plain", 0), worker("rich", 4)};
    REQUIRE(table.commit(*slices.assign(hosts, Instant{})));
    const auto choose = [&](const Resources &need, std::uint64_t draw) {
        return SliceSummary::parse(table.at(std::string(sliceIndexKey))).choose(need, draw);
    };
    const int richShard = parseSliceRow(table.at(sliceKey(0))).contains("rich") ? 0 : 1;
    for (std::uint64_t draw = 0; draw < 8; ++draw)
        CHECK(choose({.cores = 1, .accelerators = 1}, draw) == richShard);
    CHECK_FALSE(choose({.cores = 65}, 0).has_value());

    hosts[1].state = HostState::Leaving;
    table.showTo(slices);
    REQUIRE(table.commit(*slices.assign(hosts, Instant{1})));
    CHECK_FALSE(choose({.cores = 1, .accelerators = 1}, 0).has_value());
}
