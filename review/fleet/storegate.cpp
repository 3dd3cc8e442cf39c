#include "storegate.h"

#include "platform/base64.h"
#include "platform/json.h"
#include "platform/rows.h"

#include <utility>

namespace savorywick::review {

namespace {

constexpr Millis callTimeout{35'000}; // Longer than the longest wait for changes.
constexpr std::size_t maxObjectBytes = 16U << 20U;

AsyncHttpServerLimits gateLimits()
{
    AsyncHttpServerLimits limits;
    limits.maxBodyBytes = maxObjectBytes;
    return limits;
}

std::string pathOf(const HttpRequest &request)
{
    std::string path = request.path;
    char separator = '?';
    for (const HttpHeader &it : request.queryParameters) {
        path += separator + it.name + "=" + platform::percentEncode(it.value);
        separator = '&';
    }
    return path;
}

} // namespace

StoreGate::StoreGate(EventLoop &loop, const std::string &address, std::string store)
    : m_store(std::move(store))
    , m_client(loop)
    , m_server(loop, gateLimits(),
               [this](const HttpRequest &request, const AsyncHttpServer::Responder &respond) {
                   handle(request, respond);
               })
{
    m_server.listen(address);
}

void StoreGate::handle(const HttpRequest &request, const AsyncHttpServer::Responder &respond)
{
    if (m_turnsAway)
        return respond({.status = 503, .headers = {}, .body = "{}"});
    HttpCall call;
    call.address = m_store;
    call.method = request.method;
    call.path = pathOf(request);
    call.body = request.body;
    call.timeout = callTimeout;
    m_client.exchange(std::move(call), [this, request, respond](const HttpResult &answer) {
        if (answer.outcome != HttpOutcome::ResponseReceived)
            return; // The store leaves the call unanswered.
        if (m_listener)
            m_listener(request, answer);
        if (m_turnsAway && request.path == "/api/rows-feed")
            return respond({.status = 503, .headers = {}, .body = "{}"});
        respond({.status = answer.status, .headers = {}, .body = answer.body});
    });
}

bool isClaim(const HttpRequest &request)
{
    if (request.path != "/api/rows-tx")
        return false;
    const auto json = platform::parseJson(request.body);
    if (!json)
        return false;
    for (const Json::Value &it : platform::memberOrNull(*json, "puts")) {
        const auto value = platform::stringMember(it, "value");
        const auto text = value ? platform::decodeBase64(*value) : std::nullopt;
        if (platform::stringMember(it, "table") == "shard" && text
            && text->find(":claim:") != std::string::npos)
            return true;
    }
    return false;
}

} // namespace savorywick::review
