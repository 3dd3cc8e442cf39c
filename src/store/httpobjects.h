#pragma once

#include "core/httpclient.h"
#include "savorywick/platform.h"

namespace savorywick {

// The object store, met over the wire of docs/PROTOCOLS.md. Thread-safe; calls block.
class HttpObjects final : public ObjectStore
{
public:
    // The client must outlive this object.
    HttpObjects(HttpClient &client, std::string address, Millis timeout);

    void put(std::string_view name, std::string_view bytes) override;
    std::optional<std::string> fetch(std::string_view name) override;
    void remove(std::string_view name) override;

private:
    HttpAnswer call(std::string_view method, std::string_view name, std::string_view bytes);

    HttpClient &m_client;
    std::string m_address;
    Millis m_timeout;
};

} // namespace savorywick
