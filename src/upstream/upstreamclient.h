#pragma once

#include "core/httpclient.h"

#include <string>

namespace savorywick {

// One try of one request at one instance.
struct UpstreamCall
{
    std::string address;
    std::string requestId;
    std::string body;
    Millis remaining{0}; // Time until the caller's deadline.
};

enum class UpstreamOutcome {
    Answered, // A whole answer that echoes the request's id.
    NotSent, // The instance has surely not seen the request.
    Refused, // The instance said that it did not run the request: no slot was free.
    Failed, // The instance answered with an error of its own; the request was run.
    Broken, // The connection failed or the answer was cut short; it may have been run.
    TimedOut, // No answer in time; it may have been run.
    WrongAnswer, // The answer belongs to another request; this one may have been run.
};

struct UpstreamAnswer
{
    UpstreamOutcome outcome = UpstreamOutcome::NotSent;
    int status = 0;
    std::string body;
};

// Sends requests to instances of a service.
//
// Implement it for the wire that the instances speak. Thread-safe; calls block.
class UpstreamClient
{
public:
    virtual ~UpstreamClient() = default;

    // Returns how the try ended. Never throws for an instance that is down, slow or wrong.
    virtual UpstreamAnswer serve(const UpstreamCall &call) = 0;
};

// Speaks the wire of docs/PROTOCOLS.md.
class HttpUpstreamClient final : public UpstreamClient
{
public:
    // The client must outlive this object.
    explicit HttpUpstreamClient(HttpClient &client)
        : m_client(client)
    { }

    UpstreamAnswer serve(const UpstreamCall &call) override;

private:
    HttpClient &m_client;
};

} // namespace savorywick
