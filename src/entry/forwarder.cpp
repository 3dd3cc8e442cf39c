#include "entry/forwarder.h"

#include "store/json.h"

#include <boost/algorithm/hex.hpp>

#include <iterator>

namespace savorywick {

namespace {

// Headers and bodies are sent as hexadecimal digits because they may hold any bytes, while JSON
// text must be valid UTF-8.
std::string toHex(const std::string &bytes)
{
    std::string hex;
    boost::algorithm::hex_lower(bytes, std::back_inserter(hex));
    return hex;
}

std::string fromHex(const std::string &hex)
{
    std::string bytes;
    boost::algorithm::unhex(hex, std::back_inserter(bytes));
    return bytes;
}

Json::Value headersJson(const HttpHeaders &headers)
{
    Json::Value list = Json::arrayValue;
    for (const HttpHeader &it : headers) {
        Json::Value pair = Json::arrayValue;
        pair.append(toHex(it.name));
        pair.append(toHex(it.value));
        list.append(std::move(pair));
    }
    return list;
}

HttpHeaders headersFrom(const Json::Value &list)
{
    HttpHeaders headers;
    for (const Json::Value &it : list)
        headers.push_back({fromHex(it[0].asString()), fromHex(it[1].asString())});
    return headers;
}

} // namespace

Forwarder::Result Forwarder::send(const std::string &address, const CallerRequest &request,
                                  Millis timeout)
{
    Json::Value parameters;
    parameters["method"] = request.http.method;
    parameters["path"] = request.http.path;
    parameters["headers"] = headersJson(request.http.headers);
    parameters["body"] = toHex(request.http.body);
    parameters["requestId"] = request.requestId;
    const PeerReply reply =
        m_peers.call(address, "forward", store::toJsonText(parameters), timeout);
    Result result{reply.outcome, {}, 0};
    if (reply.outcome != PeerOutcome::Answered)
        return result;
    const Json::Value value = store::parseJsonText(reply.result);
    result.response.status = value["status"].asInt();
    result.response.headers = headersFrom(value["headers"]);
    result.response.body = fromHex(value["body"].asString());
    result.response.contentType = value["contentType"].asString();
    result.freeSlots = value["freeSlots"].asInt();
    return result;
}

CallerRequest Forwarder::decodeRequest(const std::string &parameters)
{
    const Json::Value value = store::parseJsonText(parameters);
    CallerRequest request;
    request.http.method = value["method"].asString();
    request.http.path = value["path"].asString();
    request.http.headers = headersFrom(value["headers"]);
    request.http.body = fromHex(value["body"].asString());
    request.requestId = value["requestId"].asString();
    request.forwarded = true;
    return request;
}

std::string Forwarder::encodeResponse(const HttpResponse &response, int freeSlots)
{
    Json::Value value;
    value["status"] = response.status;
    value["headers"] = headersJson(response.headers);
    value["body"] = toHex(response.body);
    value["contentType"] = response.contentType;
    value["freeSlots"] = freeSlots;
    return store::toJsonText(value);
}

} // namespace savorywick
