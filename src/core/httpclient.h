#pragma once

#include "core/http.h"
#include "savorywick/clock.h"

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

// One call to a peer.
struct HttpCall
{
    std::string address; // IP number and port.
    std::string method = "GET";
    std::string path = "/";
    HttpHeaders headers;
    std::string body;
    std::string contentType = "application/json";
    Millis timeout{2'000}; // For the whole call.
    std::size_t maxAnswerBytes = 64U << 20U;
    // If named, the answer must carry this header with this value; otherwise it is another call's.
    HttpHeader echo;
};

enum class HttpOutcome {
    Answered, // A whole answer arrived; see the status.
    NotSent, // No connection could be made; the peer has surely not seen the call.
    Broken, // The connection failed after the call may have been sent, or the answer was cut short.
    TimedOut, // No whole answer within the time-out; the peer may have run the call.
    Crossed, // The answer lacks the echo that was asked for; the peer may have run the call.
};

struct HttpAnswer
{
    HttpOutcome outcome = HttpOutcome::NotSent;
    int status = 0;
    HttpHeaders headers;
    std::string body;
};

// Calls peers over kept-alive connections, one call in flight a connection.
//
// A connection is given back to the pool only after a whole answer, so that a late or crossed
// answer can never be read by the next call. Thread-safe; calls block the calling thread.
//
// Example:
//   HttpClient client;
//   const HttpAnswer a = client.exchange({.address = "127.0.0.1:8080", .path = "/health"});
class HttpClient
{
public:
    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // Returns how the call ended. Never throws for a peer that is down, slow or wrong.
    HttpAnswer exchange(const HttpCall &call);

private:
    struct Connection;
    std::unique_ptr<Connection> takeIdle(const std::string &address);
    void keepIdle(const std::string &address, std::unique_ptr<Connection> connection);

    std::mutex m_mutex;
    std::map<std::string, std::vector<std::unique_ptr<Connection>>> m_idle;
};

} // namespace savorywick
