#include "entry/storeactor.h"

#include "core/log.h"
#include "savorywick/errors.h"

namespace savorywick {

namespace {

constexpr std::chrono::milliseconds loadRetry{500};
constexpr std::chrono::milliseconds readRetry{100};
constexpr std::size_t segmentsPerScan = 200;

} // namespace

StoreActor::StoreActor(caf::actor_config &config, Table *table, ObjectStore *objects)
    : caf::event_based_actor(config)
    , m_table(*table)
    , m_objects(*objects)
{ }

caf::behavior StoreActor::make_behavior()
{
    return {
        [this](const CommitOrder &order) { return CommitEnded{m_table.commit(order.transaction)}; },
        [this](const ReadRowOrder &order) {
            const auto to = caf::actor_cast<caf::actor>(current_sender());
            try {
                const std::vector<std::string> keys{order.key};
                send(to, RowRead{m_table.read(keys).front()});
            } catch (const Error &) {
                // The question stays open until the store answers it.
                delayed_anon_send(this, readRetry, order, to);
            }
        },
        [this](const ReadRowOrder &order, const caf::actor &to) {
            try {
                const std::vector<std::string> keys{order.key};
                send(to, RowRead{m_table.read(keys).front()});
            } catch (const Error &) {
                delayed_anon_send(this, readRetry, order, to);
            }
        },
        [this](const PutOrder &order) {
            try {
                m_objects.put(order.object.name, order.object.bytes);
                return ObjectPut{true};
            } catch (const Error &) {
                return ObjectPut{false};
            }
        },
        [this](const RemoveOrder &order) {
            try {
                m_objects.remove(order.name);
            } catch (const Error &error) {
                logWarning("snapshot-not-removed", {{"object", order.name}});
            }
        },
        [this](const LoadOrder &order) {
            load(order.owned, caf::actor_cast<caf::actor>(current_sender()));
        },
        [this](const LoadOrder &order, const caf::actor &to) { load(order.owned, to); },
    };
}

void StoreActor::load(const OwnedShard &owned, const caf::actor &to)
{
    try {
        JournalReader reader(owned);
        ShardLoaded loaded;
        if (!reader.snapshotName().empty()) {
            auto bytes = m_objects.fetch(reader.snapshotName());
            if (!bytes)
                throw Error(ErrorKind::NotFound,
                            "snapshot '" + reader.snapshotName() + "' is missing",
                            "restore it in the object store");
            loaded.snapshot = std::move(*bytes);
        }
        while (!reader.finished()) {
            const auto rows =
                m_table.scan(reader.scanPrefix(), reader.scanAfter(), segmentsPerScan);
            for (std::string &it : reader.parseSegments(rows))
                loaded.records.push_back(std::move(it));
        }
        send(to, std::move(loaded));
    } catch (const Error &error) {
        logWarning("shard-load-failed", {{"shard", owned.shard}, {"why", error.what()}});
        delayed_anon_send(this, loadRetry, LoadOrder{owned}, to);
    }
}

} // namespace savorywick
