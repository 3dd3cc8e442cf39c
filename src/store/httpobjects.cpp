#include "store/httpobjects.h"

#include "savorywick/errors.h"

namespace savorywick {

HttpObjects::HttpObjects(HttpClient &client, std::string address, Millis timeout)
    : m_client(client)
    , m_address(std::move(address))
    , m_timeout(timeout)
{ }

void HttpObjects::put(std::string_view name, std::string_view bytes)
{
    sendRequest("PUT", name, bytes);
}

std::optional<std::string> HttpObjects::fetch(std::string_view name)
{
    HttpAnswer response = sendRequest("GET", name, {});
    if (response.status == 404)
        return std::nullopt;
    return std::move(response.body);
}

void HttpObjects::remove(std::string_view name)
{
    sendRequest("DELETE", name, {});
}

HttpAnswer HttpObjects::sendRequest(std::string_view method, std::string_view name,
                                    std::string_view bytes)
{
    HttpAnswer response = m_client.exchange({.address = m_address,
                                             .method = std::string(method),
                                             .path = "/objects/" + std::string(name),
                                             .body = std::string(bytes),
                                             .contentType = "application/octet-stream",
                                             .timeout = m_timeout});
    const bool absent = method != "PUT" && response.status == 404;
    const bool succeeded = response.status >= 200 && response.status < 300;
    if (response.outcome != HttpOutcome::Answered || !(succeeded || absent))
        throw Error(ErrorKind::Unavailable, "the object store is unavailable",
                    "retry when the platform reports it available");
    return response;
}

} // namespace savorywick
