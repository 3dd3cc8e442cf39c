#pragma once

#include "savorywick/clock.h"

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>

namespace savorywick {

// One-shot channel that carries a reply from an actor to a request thread that waits with a
// timeout.
//
// Sender and receiver always agree on the result: either send() returns true and receive() returns
// the reply, or receive() times out with nothing and send() returns false. Thread-safe. Call each
// function at most once.
//
// Example:
//   auto channel = std::make_shared<ReplyChannel<ShardReport>>();
//   supervisor.send(shard, QueryReport{channel});
//   if (const auto report = channel->receive(Millis{500}))
//       use(*report);
template<typename T>
class ReplyChannel
{
public:
    // Passes the reply to the receiver. Returns false if receive() has timed out before.
    bool send(T reply)
    {
        const std::lock_guard lock(m_mutex);
        if (m_abandoned)
            return false;
        m_reply = std::move(reply);
        m_replyReady.notify_one();
        return true;
    }

    // Waits at most `timeout` for the reply and returns it, or nothing on a timeout. A reply that
    // is sent after a timeout is rejected.
    std::optional<T> receive(Millis timeout)
    {
        std::unique_lock lock(m_mutex);
        const std::chrono::milliseconds duration(timeout.count());
        m_replyReady.wait_for(lock, duration, [this] { return m_reply.has_value(); });
        m_abandoned = !m_reply.has_value();
        return std::move(m_reply);
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_replyReady;
    std::optional<T> m_reply;
    bool m_abandoned = false;
};

template<typename T>
using ReplyChannelPtr = std::shared_ptr<ReplyChannel<T>>;

} // namespace savorywick
