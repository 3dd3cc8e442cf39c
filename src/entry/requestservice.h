#pragma once

#include "entry/callerrequest.h"
#include "entry/documentservice.h"
#include "entry/forwarder.h"
#include "entry/leasecontroller.h"
#include "entry/requestdispatcher.h"
#include "entry/shardsupervisor.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace savorywick {

struct RequestServiceSettings
{
    RequestDispatcherSettings dispatcher; // `service` and `session` are set for each dispatcher.
    int shardCount = 16;
    Millis maxDeadline{30'000}; // Upper bound of X-Deadline-Ms for every request class.
};

// Serves latency-critical requests: validates them against the service's document, opens a durable
// claim for those that may not be repeated, and runs them through the dispatcher of their service.
//
// Thread-safe; serve() blocks until the final answer.
class RequestService
{
public:
    // All references must outlive this object.
    RequestService(RequestServiceSettings settings, const Clock &clock, DocumentService &documents,
                   ShardSupervisor &shards, const Topology &topology, UpstreamClient &upstreams,
                   Forwarder &forwarder, MetricsRegistry &metrics);

    // Returns the final response. The service must have a document in force.
    HttpResponse serve(const CallerRequest &request);

    // Passes the topology, as read at `takenAt`, to the dispatcher of every service; creates the
    // dispatchers of new services.
    void refresh(Instant takenAt);
    // Expires and starts queued requests in every dispatcher. Call it every few milliseconds.
    void tick();
    // Begins a new session of this entry in every dispatcher.
    void setSession(const std::string &session);
    // Returns the total number of free slots of all services.
    int freeSlots();
    // Returns true if and only if this entry may use slots of every service that has instances.
    bool slotsReady();

private:
    struct ValidatedRequest;

    std::optional<HttpResponse> validate(const CallerRequest &request,
                                         ValidatedRequest &validated) const;
    HttpResponse serveRepeatable(const CallerRequest &request, const ValidatedRequest &validated);
    HttpResponse serveAtMostOnce(const CallerRequest &request, const ValidatedRequest &validated);
    HttpResponse forwardToOwner(const CallerRequest &request, const ValidatedRequest &validated,
                                int shard);
    HttpResponse serveClaimed(const CallerRequest &request, const ValidatedRequest &validated,
                              int shard);
    std::shared_ptr<RequestDispatcher> dispatcherFor(const std::string &service);

    RequestServiceSettings m_settings;
    const Clock &m_clock;
    DocumentService &m_documents;
    ShardSupervisor &m_shards;
    const Topology &m_topology;
    UpstreamClient &m_upstreams;
    Forwarder &m_forwarder;
    MetricsRegistry &m_metrics;

    std::mutex m_mutex;
    std::string m_session;
    std::map<std::string, std::shared_ptr<RequestDispatcher>> m_dispatchers; // Keyed by service.
};

} // namespace savorywick
