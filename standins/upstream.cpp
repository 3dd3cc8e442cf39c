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

    Reply serve(const Call &call)
    {
        if (call.connection > m_host.connections)
            return Reply{.delivery = Delivery::Dropped};
        auto slot = takeSlot(call);
        if (!slot)
            return refusal(503, "no-slot");
        std::this_thread::sleep_for(m_serviceTime);
        Reply reply = answer(call);
        reply.held = std::move(slot);
        return reply;
    }

    Json::Value health()
    {
        const std::lock_guard lock{m_mutex};
        return object({{"slotsInUse", m_slotsInUse}});
    }

    Json::Value stats()
    {
        const std::lock_guard lock{m_mutex};
        return object({{"served", m_served},
                       {"maxSlotsUsed", m_maxSlotsUsed},
                       {"runs", m_runs},
                       {"runsByBody", m_runsByBody}});
    }

private:
    // Returns a token that frees the slot when it goes, or null if every slot is taken.
    std::shared_ptr<void> takeSlot(const Call &call)
    {
        const std::lock_guard lock{m_mutex};
        if (m_slotsInUse == m_host.slots)
            return nullptr;
        m_maxSlotsUsed = std::max(m_maxSlotsUsed, ++m_slotsInUse);
        m_runs[call.requestId] = m_runs[call.requestId].asInt() + 1;
        m_runsByBody[call.body] = m_runsByBody[call.body].asInt() + 1;
        const auto release = [self = shared_from_this()](void *) {
            const std::lock_guard lock{self->m_mutex};
            --self->m_slotsInUse;
        };
        return {this, release};
    }

    // Returns the request's own answer, or what the faults put in its place.
    Reply answer(const Call &call)
    {
        Reply reply = jsonReply(
            object({{"requestId", call.requestId}, {"instance", m_host.id}, {"echo", call.body}}));
        reply.headers["X-Request-Id"] = call.requestId;
        reply.tookEffect = true;
        const std::lock_guard lock{m_mutex};
        ++m_served;
        std::swap(reply, m_previous);
        if (m_faults.value("crossAnswers") == 0)
            reply = m_previous;
        if (m_faults.value("wrongId") > 0)
            reply.headers["X-Request-Id"] = "wrong-" + call.requestId;
        if (m_faults.value("failAll") > 0)
            reply.status = 500;
        if (m_faults.value("shortBody") > 0)
            reply.delivery = Delivery::Half;
        return reply;
    }

    Faults &m_faults;
    const HostInfo m_host;
    const std::chrono::milliseconds m_serviceTime;
    std::mutex m_mutex;
    int m_slotsInUse = 0;
    int m_maxSlotsUsed = 0;
    int m_served = 0;
    Json::Value m_runs{Json::objectValue};
    Json::Value m_runsByBody{Json::objectValue};
    Reply m_previous;
};

} // namespace

void addUpstream(Server &server, const HostInfo &host, std::chrono::milliseconds serviceTime)
{
    const auto it = std::make_shared<Upstream>(server.faults(), host, serviceTime);
    server.route("POST", "/serve", [it](const Call &call) { return it->serve(call); });
    server.route("GET", "/health", [it](const Call &) { return jsonReply(it->health()); });
    server.plainRoute("GET", "/stats", [it](const Call &) { return jsonReply(it->stats()); });
}

} // namespace savorywick::standin
