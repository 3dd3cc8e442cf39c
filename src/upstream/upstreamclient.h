#pragma once

#include "core/httpclient.h"

#include <string>

namespace savorywick {

// One attempt to run a request on one instance of a service.
struct UpstreamRequest
{
    std::string address; // The instance's IP address and port.
    std::string requestId; // Sent with the request; the response must carry the same id.
    std::string body;
    Millis timeout{0}; // The limit of this attempt, which is also sent to the instance.
};

// The outcome of an attempt. It says whether the instance may have run the request.
enum class UpstreamOutcome {
    Answered, // A complete response with the request's id and a status below 500.
    NotSent, // The instance cannot have received the request.
    Refused, // The instance had no free slot and did not run the request (status 503).
    ServerError, // The instance reported an error of its own (status 5xx); the request was run.
    ConnectionLost, // The connection was lost before the response was complete; it may have been
                    // run.
    TimedOut, // There was no complete response within the timeout; it may have been run.
    ResponseMismatch, // The response lacks the request's id; the request may have been run.
};

// The response to an attempt. `status` and `body` are set only if there was a response.
struct UpstreamResponse
{
    UpstreamOutcome outcome = UpstreamOutcome::NotSent;
    int status = 0; // The HTTP status code.
    std::string body;
};

// Sends requests to instances of a service.
//
// Implement it for the protocol that the instances speak. Implementations are thread-safe and block
// the calling thread.
//
// Example:
//   const auto response = client.send({"10.0.0.8:7000", requestId, body, Millis{200}});
//   if (response.outcome == UpstreamOutcome::Answered)
//       use(response.body);
class UpstreamClient
{
public:
    virtual ~UpstreamClient() = default;

    // Sends the request and returns the response or the failure. Does not throw if the instance is
    // down, slow or faulty.
    virtual UpstreamResponse send(const UpstreamRequest &request) = 0;
};

// Sends requests over HTTP, by the protocol of docs/PROTOCOLS.md.
class HttpUpstreamClient final : public UpstreamClient
{
public:
    // The client must outlive this object.
    explicit HttpUpstreamClient(HttpClient &client)
        : m_client(client)
    { }

    UpstreamResponse send(const UpstreamRequest &request) override;

private:
    HttpClient &m_client;
};

} // namespace savorywick
