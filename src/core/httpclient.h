#pragma once

#include "core/http.h"
#include "savorywick/clock.h"

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

// Which request gets a connection first when there are fewer connections than requests. The order
// of the values is that of service.
enum class HttpUrgency {
    Urgent, // It keeps or ends something that exists, such as a lease.
    Normal,
};

// A request to a server, with the address, the limits and the checks of its response.
struct HttpCall
{
    std::string address; // "IP:PORT" of the server.
    std::string method = "GET";
    std::string path = "/";
    HttpHeaders headers;
    std::string body;
    std::string contentType = "application/json"; // Of the request's body.
    Millis timeout{2'000}; // For the whole call, unless `stallTimeout` is set.
    // If set, `timeout` is for the first byte of the response, and this for each pause after it: a
    // long response over a slow link is not cut off. Only AsyncHttpClient supports it.
    std::optional<Millis> stallTimeout;
    HttpUrgency urgency = HttpUrgency::Normal; // Only AsyncHttpClient regards it.
    std::size_t maxResponseBytes = 64U << 20U; // Of the response's body; a larger one is an error.
    // If its name is not empty, the response must have this header with this value. Servers return
    // the request's id in such a header, which detects a response that belongs to another request.
    HttpHeader requiredResponseHeader;
};

// How a call ended, and with it whether the server may have processed the request.
enum class HttpOutcome {
    // A complete response arrived; its status tells whether the request succeeded.
    ResponseReceived,
    // No connection could be established, so the server has not received the request.
    NotSent,
    // The connection failed or the response was truncated; the server may have processed the
    // request.
    ConnectionLost,
    // No complete response arrived before the time-out; the server may have processed the request.
    TimedOut,
    // The response lacks the required header; the server may have processed the request.
    ResponseMismatch,
};

// The outcome of a call and, if a complete response arrived, that response.
struct HttpResult
{
    HttpOutcome outcome = HttpOutcome::NotSent;
    int status = 0; // The HTTP status code; 0 without a response.
    HttpHeaders headers;
    std::string body;
    // Without a response: the server's host refused or closed the connection, so it is reachable,
    // unlike one that is silent. Only AsyncHttpClient tells.
    bool connectionClosed = false;
};

// Blocking HTTP/1.1 client with a pool of keep-alive connections.
//
// Use it where a thread may wait for the response. Each connection carries one request at a time
// and returns to the pool only after a complete response that matches its request. A response
// that arrives late, or belongs to another request, can therefore never be read as the response to
// the next one. Thread-safe.
//
// Example:
//   HttpClient client;
//   const HttpResult result = client.exchange({.address = "127.0.0.1:8080", .path = "/health"});
//   if (result.outcome == HttpOutcome::ResponseReceived)
//       handle(result.status, result.body);
class HttpClient
{
public:
    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // Sends a request and returns its outcome with the response. Blocks until the response is
    // complete, the connection fails or the time-out passes. Never throws for a server that is
    // down, slow or sends a malformed response.
    HttpResult exchange(const HttpCall &call);

private:
    struct Connection;
    // Returns a pooled connection to `address`, or null if there is none.
    std::unique_ptr<Connection> acquireIdleConnection(const std::string &address);
    // Returns a connection to the pool, or closes it if the pool of `address` is full.
    void releaseIdleConnection(const std::string &address, std::unique_ptr<Connection> connection);

    std::mutex m_mutex;
    std::map<std::string, std::vector<std::unique_ptr<Connection>>> m_idleConnections;
};

} // namespace savorywick
