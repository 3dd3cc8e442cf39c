#pragma once

#include "core/httpclient.h"
#include "savorywick/platform.h"

namespace savorywick {

// Stores snapshots and checkpoints in the platform's object store over HTTP.
//
// Use it where the platform serves the protocol of docs/PROTOCOLS.md. Thread-safe; calls block.
// Every call throws Error(Unavailable) if the store is unreachable, times out or responds with an
// error status. Names are sent in the URL path as they are, without percent-encoding.
//
// Example:
//   HttpObjectStore objects(client, "10.0.0.7:7000", Millis{2'000});
//   objects.put("snapshot/0007/12", bytes);
class HttpObjectStore final : public ObjectStore
{
public:
    // `address` is the IP address and port of the service, `timeout` the limit of each request.
    // The client must outlive this object.
    HttpObjectStore(HttpClient &client, std::string address, Millis timeout);

    void put(std::string_view name, std::string_view bytes) override;
    std::optional<std::string> fetch(std::string_view name) override;
    void remove(std::string_view name) override;

private:
    // Returns the response, which has a 2xx status, or 404 unless the method is PUT.
    HttpResult sendRequest(std::string_view method, std::string_view name, std::string_view bytes);

    HttpClient &m_client;
    std::string m_address;
    Millis m_timeout;
};

} // namespace savorywick
