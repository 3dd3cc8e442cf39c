#pragma once

#include "net/asynchttpclient.h"
#include "net/asynchttpserver.h"
#include "node/shardrequest.h"
#include "savorywick/clock.h"

#include <functional>
#include <map>
#include <string>

namespace savorywick {

// Sends requests to shard owners in other entries.
//
// Requests are HTTP messages with short text bodies; a job is encoded as its journal record. A
// request that may change state tells how long its caller still waits for the answer.
// JSON-RPC is not used because its library dispatches synchronously, while a reply here has to wait
// for a commit. After a connection failure only one request per `reconnectInterval` tries the entry
// again. Other requests fail immediately with NotOwner, so that no caller waits for an entry that
// has gone. Not thread-safe.
class ShardClient
{
public:
    // The time between attempts to reach an unreachable entry.
    static constexpr Millis reconnectInterval{250};

    // All references must outlive this object.
    ShardClient(AsyncHttpClient &http, const Clock &clock)
        : m_http(http)
        , m_clock(clock)
    { }

    // Sends the request to the entry at `peer` and passes its reply to `onReply`. The outcome is
    // NotOwner if the entry certainly did not receive the request, and Undecided if no complete
    // reply arrived within the timeout.
    void send(const std::string &peer, int shard, const ShardRequest &request, Millis timeout,
              ShardReplyCallback onReply);
    // Notifies the entry that shards have become free. Delivery is not confirmed.
    void notifyShardsFreed(const std::string &peer);

private:
    // Returns true if and only if a request may be sent to the peer now.
    bool mayContact(const std::string &peer);
    void recordOutcome(const std::string &peer, HttpOutcome outcome);

    AsyncHttpClient &m_http;
    const Clock &m_clock;
    std::map<std::string, Instant> m_nextAttemptAt; // Holds only unreachable peers.
};

// Serves the requests that ShardClient sends. Not thread-safe.
class ShardServer
{
public:
    // Callbacks, each called while handle() runs.
    struct Listeners
    {
        std::function<void(int shard, const ShardRequest &, ShardReplyCallback)>
            shardRequested; // Must call the callback exactly once.
        std::function<void()> shardsFreed; // Another entry has given up shards.
        // Returns the present time. Without it, the callers' remaining time is not passed on.
        std::function<Instant()> now = {};
    };

    explicit ShardServer(Listeners listeners)
        : m_listeners(std::move(listeners))
    { }

    // Decodes the request, calls the listener and responds with its reply. Responds with status 400
    // to anything that ShardClient does not send.
    void handle(const HttpRequest &request, const AsyncHttpServer::Responder &respond) const;

private:
    Listeners m_listeners;
};

} // namespace savorywick
