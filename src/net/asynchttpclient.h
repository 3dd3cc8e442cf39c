#pragma once

#include "core/httpclient.h"
#include "net/connectionallocator.h"
#include "net/eventloop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace savorywick {

struct AsyncHttpClientSettings
{
    // A request whose connection is not established in this time ends as NotSent: the peer cannot
    // have received it.
    Millis connectTimeout{300};
    // A request that waits for a connection does so for at most half of its timeout.
    ConnectionLimits connections;
};

// Sends HTTP requests over a pool of keep-alive connections on an EventLoop.
//
// Use it to call many peers from one thread without blocking. Each connection carries one request
// at a time and is reused only after a complete response; a connection that the peer closes while
// idle leaves the pool. The number of connections is limited: see ConnectionAllocator. When a
// request times out, the idle connections to that peer leave the pool too, since the same network
// failure may affect all of them. Not thread-safe.
//
// Example:
//   AsyncHttpClient client(loop);
//   client.exchange({.address = "10.0.0.7:8080", .path = "/health"},
//                   [](const auto &response) { report(response.status); });
class AsyncHttpClient
{
public:
    using Callback = std::function<void(const HttpResult &)>;

    // The number of connections opened, of requests that had to wait for one, and of requests by
    // outcome, since construction.
    struct Counters
    {
        std::uint64_t connectionsOpened = 0;
        std::uint64_t waited = 0;
        std::uint64_t waitedTooLong = 0; // They ended as NotSent.
        std::uint64_t answered = 0;
        std::uint64_t notSent = 0;
        std::uint64_t broken = 0;
        std::uint64_t timedOut = 0;
    };

    explicit AsyncHttpClient(EventLoop &loop, const AsyncHttpClientSettings &settings = {});
    ~AsyncHttpClient();
    AsyncHttpClient(const AsyncHttpClient &) = delete;
    AsyncHttpClient &operator=(const AsyncHttpClient &) = delete;

    // Sends the request and runs `callback` exactly once with the response or the failure, never
    // before this function has returned. `callback` does not run after the client is destroyed.
    // `call.requiredResponseHeader` is not checked.
    void exchange(HttpCall call, Callback callback);

    // Removes the idle connections to `address` from the pool, so that no request reuses them.
    void dropIdle(const std::string &address);

    // Returns the counters. The reference is valid as long as the client.
    const Counters &counters() const;
    // Returns the number of open connections, idle or not.
    std::size_t openConnections() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace savorywick
