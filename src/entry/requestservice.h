#pragma once

#include "entry/callercontext.h"
#include "entry/documentservice.h"
#include "entry/forwarder.h"
#include "entry/leaseloop.h"
#include "entry/shardhost.h"
#include "entry/urgentdispatcher.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace savorywick {

struct RequestServiceSettings
{
    UrgentSettings urgent; // Without the service's name and the session.
    int shards = 16;
    Millis longestDeadline{30'000};
};

// Serves urgent requests: checks them against the service's document, claims those that may not be
// repeated, and lets a dispatcher carry them out.
//
// Thread-safe; serve() blocks until the final answer.
class RequestService
{
public:
    // All references must outlive this object.
    RequestService(RequestServiceSettings settings, const Clock &clock, DocumentService &documents,
                   ShardHost &shards, const Topology &topology, UpstreamClient &upstreams,
                   Forwarder &forwarder, Metrics &metrics);

    HttpResponse serve(const CallerRequest &request);

    // Takes in the entries and hosts as known at `takenAt`, and the documents in force.
    void refresh(Instant takenAt);
    // Lets every dispatcher give up and start what is due. Call every few ms.
    void tick();
    void setSession(const std::string &session);
    // Returns the free slots of all services together.
    int freeSlots();
    // Returns true if and only if every service that has instances has slots to use here.
    bool settled();

private:
    struct Checked; // A request that its document allows.

    std::optional<HttpResponse> check(const CallerRequest &request, Checked &checked) const;
    HttpResponse serveRepeatable(const CallerRequest &request, const Checked &checked);
    HttpResponse serveOnce(const CallerRequest &request, const Checked &checked);
    HttpResponse forwardToOwner(const CallerRequest &request, const Checked &checked, int shard);
    HttpResponse serveClaimed(const CallerRequest &request, const Checked &checked, int shard);
    std::shared_ptr<UrgentDispatcher> dispatcher(const std::string &service);

    RequestServiceSettings m_settings;
    const Clock &m_clock;
    DocumentService &m_documents;
    ShardHost &m_shards;
    const Topology &m_topology;
    UpstreamClient &m_upstreams;
    Forwarder &m_forwarder;
    Metrics &m_metrics;

    std::mutex m_mutex;
    std::string m_session;
    std::map<std::string, std::shared_ptr<UrgentDispatcher>> m_dispatchers; // By service.
};

} // namespace savorywick
