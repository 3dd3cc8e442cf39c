#include "store/httpobjectstore.h"

#include "savorywick/errors.h"

namespace savorywick {

HttpObjectStore::HttpObjectStore(HttpClient &client, std::string address, Millis timeout)
    : m_client(client)
    , m_address(std::move(address))
    , m_timeout(timeout)
{ }

void HttpObjectStore::put(std::string_view name, std::string_view bytes)
{
    sendRequest("PUT", name, bytes);
}

std::optional<std::string> HttpObjectStore::fetch(std::string_view name)
{
    HttpResult response = sendRequest("GET", name, {});
    if (response.status == 404)
        return std::nullopt;
    return std::move(response.body);
}

void HttpObjectStore::remove(std::string_view name)
{
    sendRequest("DELETE", name, {});
}

HttpResult HttpObjectStore::sendRequest(std::string_view method, std::string_view name,
                                        std::string_view bytes)
{
    HttpResult response = m_client.exchange({.address = m_address,
                                             .method = std::string(method),
                                             .path = "/objects/" + std::string(name),
                                             .body = std::string(bytes),
                                             .contentType = "application/octet-stream",
                                             .timeout = m_timeout});
    const bool absent = method != "PUT" && response.status == 404;
    const bool succeeded = response.status >= 200 && response.status < 300;
    if (response.outcome != HttpOutcome::ResponseReceived || !(succeeded || absent))
        throw Error(ErrorKind::Unavailable, "the object store is unavailable",
                    "retry when the platform reports it available");
    return response;
}

} // namespace savorywick
