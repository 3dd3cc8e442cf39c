#include "entry/storeactor.h"

#include "core/log.h"
#include "savorywick/errors.h"

namespace savorywick {

namespace {

constexpr std::chrono::milliseconds loadRetryDelay{500};
constexpr std::chrono::milliseconds readRetryDelay{100};
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
        [this](const CommitRequest &request) {
            return CommitResponse{m_table.commit(request.transaction)};
        },
        [this](const ReadRowRequest &request) {
            const auto to = caf::actor_cast<caf::actor>(current_sender());
            try {
                const std::vector<std::string> keys{request.key};
                send(to, ReadRowResponse{m_table.read(keys).front()});
            } catch (const Error &) {
                // The engine waits for the row, so the read is retried until it succeeds.
                delayed_anon_send(this, readRetryDelay, request, to);
            }
        },
        [this](const ReadRowRequest &request, const caf::actor &to) {
            try {
                const std::vector<std::string> keys{request.key};
                send(to, ReadRowResponse{m_table.read(keys).front()});
            } catch (const Error &) {
                delayed_anon_send(this, readRetryDelay, request, to);
            }
        },
        [this](const PutObjectRequest &request) {
            try {
                m_objects.put(request.object.name, request.object.bytes);
                return PutObjectResponse{true};
            } catch (const Error &) {
                return PutObjectResponse{false};
            }
        },
        [this](const RemoveObjectRequest &request) {
            try {
                m_objects.remove(request.name);
            } catch (const Error &error) {
                logWarning("snapshot-not-removed", {{"object", request.name}});
            }
        },
        [this](const LoadShardRequest &request) {
            load(request.owned, caf::actor_cast<caf::actor>(current_sender()));
        },
        [this](const LoadShardRequest &request, const caf::actor &to) { load(request.owned, to); },
    };
}

void StoreActor::load(const OwnedShard &owned, const caf::actor &to)
{
    try {
        JournalReader reader(owned);
        LoadShardResponse loaded;
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
        delayed_anon_send(this, loadRetryDelay, LoadShardRequest{owned}, to);
    }
}

} // namespace savorywick
