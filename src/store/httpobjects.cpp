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
    call("PUT", name, bytes);
}

std::optional<std::string> HttpObjects::fetch(std::string_view name)
{
    HttpAnswer answer = call("GET", name, {});
    if (answer.status == 404)
        return std::nullopt;
    return std::move(answer.body);
}

void HttpObjects::remove(std::string_view name)
{
    call("DELETE", name, {});
}

HttpAnswer HttpObjects::call(std::string_view method, std::string_view name, std::string_view bytes)
{
    HttpAnswer answer = m_client.exchange({.address = m_address,
                                           .method = std::string(method),
                                           .path = "/objects/" + std::string(name),
                                           .body = std::string(bytes),
                                           .contentType = "application/octet-stream",
                                           .timeout = m_timeout});
    const bool absent = method != "PUT" && answer.status == 404;
    const bool done = answer.status >= 200 && answer.status < 300;
    if (answer.outcome != HttpOutcome::Answered || !(done || absent))
        throw Error(ErrorKind::Unavailable, "the object store does not answer",
                    "try again once the platform says that it is up");
    return answer;
}

} // namespace savorywick
