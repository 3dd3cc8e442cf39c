#pragma once

#include "savorywick/clock.h"

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>

namespace savorywick {

// Carries one reply from an actor to a request thread that may stop waiting for it.
//
// Exactly one side wins: either give() returns true and await() returns the reply, or await()
// returns nothing and give() returns false. Thread-safe.
//
// Example:
//   auto slot = std::make_shared<ReplySlot<int>>();
//   anon_send(actor, Question{slot});
//   if (const auto reply = slot->await(Millis{500}))
//       use(*reply);
template<typename T>
class ReplySlot
{
public:
    // Hands over the reply. Returns false if nobody waits for it any more.
    bool give(T reply)
    {
        const std::lock_guard lock(m_mutex);
        if (m_abandoned)
            return false;
        m_reply = std::move(reply);
        m_given.notify_one();
        return true;
    }

    // Returns the reply, or nothing if it does not come within `limit`; it is then refused.
    std::optional<T> await(Millis limit)
    {
        std::unique_lock lock(m_mutex);
        const std::chrono::milliseconds span(limit.count());
        m_given.wait_for(lock, span, [this] { return m_reply.has_value(); });
        m_abandoned = !m_reply.has_value();
        return std::move(m_reply);
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_given;
    std::optional<T> m_reply;
    bool m_abandoned = false;
};

template<typename T>
using ReplySlotPtr = std::shared_ptr<ReplySlot<T>>;

} // namespace savorywick
