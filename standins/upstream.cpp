#include "routes.h"

#include "json.h"

#include <algorithm>
#include <map>
#include <memory>
#include <mutex>
#include <string>
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

    Reply serve(const Call &call);
    Json::Value health();
    Json::Value stats();

private:
    std::shared_ptr<void> takeSlot(const std::string &requestId);
    void releaseSlot();
    Reply answer(const Call &call);

    Faults &m_faults;
    const HostInfo m_host;
    const std::chrono::milliseconds m_serviceTime;
    std::mutex m_mutex;
    int m_slotsInUse = 0;
    int m_maxSlotsUsed = 0;
    int m_served = 0;
    std::map<std::string, int> m_runs;
    Reply m_previous;
};

// Returns a token that frees the slot when it goes, or nothing if every slot is taken.
std::shared_ptr<void> Upstream::takeSlot(const std::string &requestId)
{
    const std::lock_guard lock{m_mutex};
    if (m_slotsInUse == m_host.slots) {
        return nullptr;
    }
    ++m_slotsInUse;
    m_maxSlotsUsed = std::max(m_maxSlotsUsed, m_slotsInUse);
    ++m_runs[requestId];
    return {static_cast<void *>(this),
            [self = shared_from_this()](void *) { self->releaseSlot(); }};
}

void Upstream::releaseSlot()
{
    const std::lock_guard lock{m_mutex};
    --m_slotsInUse;
}

// Returns the request's own answer, or what the faults put in its place.
Reply Upstream::answer(const Call &call)
{
    Json::Value value;
    value["requestId"] = call.requestId;
    value["instance"] = m_host.id;
    value["echo"] = call.body;
    Reply reply = jsonReply(value);
    reply.headers["X-Request-Id"] = call.requestId;
    const std::lock_guard lock{m_mutex};
    ++m_served;
    std::swap(reply, m_previous);
    if (!m_faults.on("crossAnswers")) {
        reply = m_previous;
    }
    if (m_faults.on("wrongId")) {
        reply.headers["X-Request-Id"] = "wrong-" + call.requestId;
    }
    if (m_faults.on("failAll")) {
        reply.status = 500;
    }
    if (m_faults.on("shortBody")) {
        reply.delivery = Delivery::Half;
    }
    return reply;
}

Reply Upstream::serve(const Call &call)
{
    if (call.connection > m_host.connections) {
        return Reply{.delivery = Delivery::Dropped};
    }
    auto slot = takeSlot(call.requestId);
    if (!slot) {
        Json::Value value;
        value["reason"] = "no-slot";
        return jsonReply(value, 503);
    }
    std::this_thread::sleep_for(m_serviceTime);
    Reply reply = answer(call);
    reply.held = std::move(slot);
    return reply;
}

Json::Value Upstream::health()
{
    const std::lock_guard lock{m_mutex};
    Json::Value value;
    value["slotsInUse"] = m_slotsInUse;
    return value;
}

Json::Value Upstream::stats()
{
    const std::lock_guard lock{m_mutex};
    Json::Value value;
    value["served"] = m_served;
    value["maxSlotsUsed"] = m_maxSlotsUsed;
    value["runs"] = Json::Value{Json::objectValue};
    for (const auto &[id, n] : m_runs) {
        value["runs"][id] = n;
    }
    return value;
}

} // namespace

void addUpstream(Server &server, const HostInfo &host, std::chrono::milliseconds serviceTime)
{
    const auto upstream = std::make_shared<Upstream>(server.faults(), host, serviceTime);
    server.route(
        "POST", "/serve", [upstream](const Call &it) { return upstream->serve(it); },
        Effect::Takes);
    server.route("GET", "/health",
                 [upstream](const Call &) { return jsonReply(upstream->health()); });
    server.stats([upstream] { return upstream->stats(); });
}

} // namespace savorywick::standin
