#include "routes.h"

#include <algorithm>
#include <thread>

namespace savorywick::standin {

namespace {

class Upstream : public std::enable_shared_from_this<Upstream>
{
public:
    Upstream(Faults &faults, HostInfo host, std::chrono::milliseconds serviceTime)
        : m_faults(faults)
        , m_host(std::move(host))
        , m_serviceTime(serviceTime)
    { }

    Response serve(const Request &request)
    {
        if (request.openConnections > m_host.connections)
            return Response{.delivery = Delivery::Dropped};
        auto slot = acquireSlot(request);
        if (!slot)
            return errorResponse(503, "no-slot");
        std::this_thread::sleep_for(m_serviceTime);
        Response response = makeResponse(request);
        response.resource = std::move(slot);
        return response;
    }

    Json::Value health()
    {
        const std::lock_guard lock{m_mutex};
        return jsonObject({{"slotsInUse", m_slotsInUse}});
    }

    Json::Value stats()
    {
        const std::lock_guard lock{m_mutex};
        return jsonObject({{"served", m_served},
                           {"maxSlotsUsed", m_maxSlotsUsed},
                           {"runs", m_executionsById},
                           {"runsByBody", m_executionsByBody}});
    }

private:
    // Returns a token whose release frees the slot, or null if all slots are in use.
    std::shared_ptr<void> acquireSlot(const Request &request)
    {
        const std::lock_guard lock{m_mutex};
        if (m_slotsInUse == m_host.slots)
            return nullptr;
        m_maxSlotsUsed = std::max(m_maxSlotsUsed, ++m_slotsInUse);
        m_executionsById[request.requestId] = m_executionsById[request.requestId].asInt() + 1;
        m_executionsByBody[request.body] = m_executionsByBody[request.body].asInt() + 1;
        const auto release = [self = shared_from_this()](void *) {
            const std::lock_guard lock{self->m_mutex};
            --self->m_slotsInUse;
        };
        return {this, release};
    }

    // Returns the response to `request`, altered as the faults specify. The fault `crossAnswers`
    // replaces it by the response to the previous request.
    Response makeResponse(const Request &request)
    {
        Response response = jsonResponse(jsonObject(
            {{"requestId", request.requestId}, {"instance", m_host.id}, {"echo", request.body}}));
        response.headers["X-Request-Id"] = request.requestId;
        response.tookEffect = true;
        const std::lock_guard lock{m_mutex};
        ++m_served;
        std::swap(response, m_previousResponse);
        if (m_faults.value("crossAnswers") == 0)
            response = m_previousResponse;
        if (m_faults.value("wrongId") > 0)
            response.headers["X-Request-Id"] = "wrong-" + request.requestId;
        if (m_faults.value("failAll") > 0)
            response.status = 500;
        if (m_faults.value("shortBody") > 0)
            response.delivery = Delivery::Truncated;
        return response;
    }

    Faults &m_faults;
    const HostInfo m_host;
    const std::chrono::milliseconds m_serviceTime;
    std::mutex m_mutex;
    int m_slotsInUse = 0;
    int m_maxSlotsUsed = 0;
    int m_served = 0;
    Json::Value m_executionsById{Json::objectValue};
    Json::Value m_executionsByBody{Json::objectValue};
    Response m_previousResponse;
};

} // namespace

void addUpstream(Server &server, const HostInfo &host, std::chrono::milliseconds serviceTime)
{
    const auto it = std::make_shared<Upstream>(server.faults(), host, serviceTime);
    server.route("POST", "/serve", [it](const Request &request) { return it->serve(request); });
    server.route("GET", "/health", [it](const Request &) { return jsonResponse(it->health()); });
    server.routeWithoutFaults("GET", "/stats",
                              [it](const Request &) { return jsonResponse(it->stats()); });
}

} // namespace savorywick::standin
