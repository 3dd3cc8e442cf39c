#pragma once

#include "core/httpclient.h"
#include "savorywick/platform.h"

namespace savorywick {

// Reads the membership list from the platform's membership service over HTTP.
//
// Use it where the platform serves the protocol of docs/PROTOCOLS.md. Thread-safe; calls block.
//
// Example:
//   HttpMembership membership(client, "10.0.0.7:7000", Millis{500});
//   for (const HostInfo &host : membership.list())
//       use(host);
class HttpMembership final : public Membership
{
public:
    // `address` is the IP address and port of the service, `timeout` the limit of each request.
    // The client must outlive this object.
    HttpMembership(HttpClient &client, std::string address, Millis timeout);

    // Returns the hosts of the current list. Throws Error(Unavailable) if the service is
    // unreachable, times out or responds with another status than 200.
    std::vector<HostInfo> list() override;

private:
    HttpClient &m_client;
    std::string m_address;
    Millis m_timeout;
};

} // namespace savorywick
