// The part of ShardRunner that stores snapshots of the shard's state.

#include "core/log.h"
#include "node/shardrunner.h"

#include <string>

namespace savorywick {

void ShardRunner::storeSnapshot()
{
    if (m_storingSnapshot || m_journal.releasing())
        return;
    if (m_journal.snapshotDue()) {
        std::string state;
        for (const std::string &line : m_coordinator.snapshot())
            state += line + "\n";
        m_journal.beginSnapshot(std::move(state));
    }
    const auto object = m_journal.snapshotToStore();
    if (!object)
        return;
    m_storingSnapshot = true;
    m_dependencies.objects.put(object->name, object->bytes,
                               [weak = weak_from_this(), bytes = object->bytes.size(),
                                sentAt = m_dependencies.clock.now()](bool stored) {
                                   const auto self = weak.lock();
                                   if (!self || self->m_ended)
                                       return;
                                   self->logSnapshot(stored, bytes, sentAt);
                                   self->finishUpload(stored);
                               });
}

void ShardRunner::finishUpload(bool stored)
{
    if (stored) {
        m_storingSnapshot = false;
        m_journal.markSnapshotStored();
        return scheduleProcessing();
    }
    m_dependencies.loop.runAfter(m_settings.snapshotRetryDelay, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self || self->m_ended)
            return;
        self->m_storingSnapshot = false;
        self->scheduleProcessing();
    });
}

void ShardRunner::logSnapshot(bool stored, std::size_t bytes, Instant sentAt) const
{
    (stored ? logInfo : logWarning)(stored ? "snapshot-stored" : "snapshot-not-stored",
                                    {{"shard", shard()},
                                     {"bytes", static_cast<std::int64_t>(bytes)},
                                     {"tookMs", (m_dependencies.clock.now() - sentAt).count()}});
}

void ShardRunner::removeOldSnapshot()
{
    if (const auto name = m_journal.takeObsoleteObject())
        m_dependencies.objects.remove(*name);
}

} // namespace savorywick
