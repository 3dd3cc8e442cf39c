#include "store/httpmembership.h"

#include "savorywick/errors.h"
#include "store/json.h"

namespace savorywick {

namespace {

HostRole parseRole(const std::string &text)
{
    if (text == "worker")
        return HostRole::Worker;
    return text == "entry" ? HostRole::Entry : HostRole::Upstream;
}

HostInfo parseHost(const Json::Value &value)
{
    HostInfo host;
    host.id = value["id"].asString();
    host.role = parseRole(value["role"].asString());
    host.state = value["state"].asString() == "leaving" ? HostState::Leaving : HostState::Live;
    host.address = value["address"].asString();
    host.availabilityZone = value["availabilityZone"].asString();
    host.region = value["region"].asString();
    host.rack = value["rack"].asString();
    host.service = value["service"].asString();
    host.slots = value["slots"].asInt();
    host.connections = value["connections"].asInt();
    host.cores = value["cores"].asInt();
    host.memoryMb = value["memoryMb"].asInt();
    host.accelerators = value["accelerators"].asInt();
    return host;
}

} // namespace

HttpMembership::HttpMembership(HttpClient &client, std::string address, Millis timeout)
    : m_client(client)
    , m_address(std::move(address))
    , m_timeout(timeout)
{ }

std::vector<HostInfo> HttpMembership::list()
{
    const HttpResult response =
        m_client.exchange({.address = m_address, .path = "/membership", .timeout = m_timeout});
    if (response.outcome != HttpOutcome::ResponseReceived || response.status != 200)
        throw Error(ErrorKind::Unavailable, "the membership service is unavailable",
                    "use the last known list and retry later");
    std::vector<HostInfo> hosts;
    const Json::Value body = store::parseJsonText(response.body);
    for (const Json::Value &it : body["hosts"])
        hosts.push_back(parseHost(it));
    return hosts;
}

} // namespace savorywick
