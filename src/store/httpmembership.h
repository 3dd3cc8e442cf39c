#pragma once

#include "core/httpclient.h"
#include "savorywick/platform.h"

namespace savorywick {

// The membership list, met over the wire of docs/PROTOCOLS.md. Thread-safe; calls block.
class HttpMembership final : public Membership
{
public:
    // The client must outlive this object.
    HttpMembership(HttpClient &client, std::string address, Millis timeout);

    std::vector<HostInfo> list() override;

private:
    HttpClient &m_client;
    std::string m_address;
    Millis m_timeout;
};

} // namespace savorywick
