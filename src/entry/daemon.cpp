#include "entry/daemon.h"

#include "core/log.h"
#include "core/steadyclock.h"
#include "entry/apirouter.h"
#include "entry/entrysettings.h"
#include "entry/liveworkservice.h"
#include "entry/periodicexecutor.h"
#include "entry/reportservice.h"
#include "entry/workerpoller.h"
#include "peer/peerserver.h"
#include "savorywick/errors.h"
#include "store/httpmembership.h"
#include "store/httpobjectstore.h"
#include "store/httptable.h"
#include "store/json.h"

#include <csignal>
#include <thread>

#include <unistd.h>

namespace savorywick {

namespace {

constexpr Millis dispatcherTickInterval{10};
constexpr Millis dispatcherRefreshInterval{250};
constexpr Millis leaseStepInterval{100};
constexpr Millis listConfirmationInterval{200};
constexpr Millis heartbeatInterval{200};
constexpr Millis drainPollInterval{20};
constexpr Millis noConnectionsPeriod{300}; // Idle after this long without open connections.
constexpr Millis noRequestsPeriod{2'000}; // Idle after this long without requests.
// The load balancer still sends new connections shortly after the readiness check begins to fail.
constexpr Millis loadBalancerDelay{1'000};
constexpr int exitDrained = 0;
constexpr int exitNotDrained = 4;

volatile std::sig_atomic_t stopSignals = 0;

void onStopSignal(int /*signal*/)
{
    stopSignals = stopSignals + 1;
    if (stopSignals > 1)
        ::_exit(exitNotDrained);
}

void sleepFor(Millis span)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(span.count()));
}

PeerEntry makePeerEntry(const Settings &settings, const std::string &callers,
                        const std::string &peers)
{
    PeerEntry entry;
    entry.name = settings.id;
    entry.callerAddress = callers;
    entry.peerAddress = peers;
    entry.availabilityZone = settings.availabilityZone;
    entry.region = settings.region;
    return entry;
}

// Returns how long an entry may still serve after its row is gone from the table: another entry may
// confirm its list of entries until the second next observation of the rows, and a confirmed list
// stays valid for `entryListAge`.
Millis removedEntryGraceOf(const Settings &settings)
{
    return settings.polls.entryListAge + leaseLoopSettings(settings).observeInterval * 2;
}

// Owns and connects all components of one entry. Members are destroyed in reverse order.
class Daemon
{
public:
    explicit Daemon(const Settings &settings);

    // Serves until a stop signal, drains, and ends the process.
    [[noreturn]] void run();

private:
    void addPeerMethods();
    void listen();
    void startPolling();
    void drain();
    void waitUntilIdle(Instant limit);
    bool ready();

    const Settings m_settings;
    const SteadyClock m_clock;
    MetricsRegistry m_metrics;
    HttpClient m_http;
    HttpTable m_table;
    HttpObjectStore m_objects;
    HttpMembership m_membership;
    HttpUpstreamClient m_upstreams;
    HttpWorkerClient m_workers;
    PeerClient m_peers;
    Topology m_topology;
    Forwarder m_forwarder;
    DocumentService m_documents;
    std::unique_ptr<LeaseController>
        m_leases; // Notified by m_host's actors, so it must outlive m_host.
    ShardSupervisor m_host;
    LiveWorkService m_liveWork;
    DocumentHandler m_documentHandler;
    WorkerPoller m_workerPoll;
    RequestService m_requests;
    RunService m_runs;
    std::unique_ptr<ReportService> m_report;
    ApiRouter m_apiRouter;
    std::atomic<bool> m_draining{false};
    std::atomic<int> m_inFlight{0};
    HttpServer m_callerServer;
    PeerServer m_peerServer;
    PeriodicExecutor m_periodic;
};

Daemon::Daemon(const Settings &settings)
    : m_settings(settings)
    , m_table(m_http, settings.platform.table, settings.limits.platformTimeout)
    , m_objects(m_http, settings.platform.objects, settings.limits.platformTimeout)
    , m_membership(m_http, settings.platform.membership, settings.limits.platformTimeout)
    , m_upstreams(m_http)
    , m_workers(m_http, settings.limits.workerTimeout)
    , m_peers(m_http)
    , m_forwarder(m_peers)
    , m_documents({settings.id, settings.limits.peerTimeout, settings.polls.freezeBound,
                   removedEntryGraceOf(settings)},
                  m_clock, m_table, m_peers, m_topology)
    , m_host(shardHostSettings(settings), m_clock, m_table, m_objects, m_workers, m_topology,
             [this](int shard) {
                 if (m_leases)
                     m_leases->noteShardStopped(shard);
             })
    , m_liveWork(settings.shardCount, m_clock, m_host, m_topology, m_peers)
    , m_documentHandler(m_settings, m_documents, m_liveWork)
    , m_workerPoll(settings.shardCount, m_clock, m_membership, m_table, m_topology, m_host,
                   m_documents)
    , m_requests(requestServiceSettings(settings), m_clock, m_documents, m_host, m_topology,
                 m_upstreams, m_forwarder, m_metrics)
    , m_runs({settings.shardCount, Millis{5'000}}, m_documents, m_host, m_topology, m_forwarder,
             m_workerPoll)
    , m_apiRouter({&m_clock, &m_metrics, &m_documents, &m_documentHandler, &m_requests, &m_runs,
                   [this] { return m_report->clusterReport(); }, [this] { return ready(); }})
    , m_callerServer(
          callerServerLimits(settings),
          [this](const HttpRequest &request) {
              ++m_inFlight;
              HttpResponse response = m_apiRouter.handle(request);
              --m_inFlight;
              return response;
          },
          [this](int status) { return m_apiRouter.respondToProtocolError(status); })
    , m_peerServer(peerServerLimits(settings))
{ }

void Daemon::run()
{
    addPeerMethods();
    listen();
    startPolling();
    while (stopSignals == 0)
        sleepFor(drainPollInterval);
    logInfo("draining");
    drain();
    // Threads of idle connections may still wait for their time-out. All work is done, so the
    // process exits without joining them.
    ::_exit(exitDrained);
}

void Daemon::addPeerMethods()
{
    m_peerServer.addMethod("documentChanged", [this](const std::string &parameters) {
        const Json::Value value = store::parseJsonText(parameters);
        const std::string service = value["service"].asString();
        Json::Value result;
        result["inForce"] =
            Json::UInt64(m_documents.onPushNotification({service, value["revision"].asUInt64()}));
        result["inForceForMs"] = Json::Int64(m_documents.timeInForce(service).count());
        return store::toJsonText(result);
    });
    m_peerServer.addMethod("forward", [this](const std::string &parameters) {
        ++m_inFlight;
        const HttpResponse response =
            m_apiRouter.handleForwarded(Forwarder::decodeRequest(parameters));
        --m_inFlight;
        return Forwarder::encodeResponse(response, m_requests.freeSlots());
    });
    m_peerServer.addMethod("compareLists", [this](const std::string &parameters) {
        const auto theirs = parseListView(parameters);
        return theirs ? formatListView(m_leases->handleCompareLists(*theirs)) : std::string("{}");
    });
    m_peerServer.addMethod("liveWork", [this](const std::string &parameters) {
        return m_liveWork.countLocal(store::parseJsonText(parameters)["service"].asString());
    });
    m_peerServer.addMethod("report",
                           [this](const std::string &) { return m_report->entryReport(); });
}

void Daemon::listen()
{
    // Peers may call as soon as the lease loop has published the address in the table, so the peer
    // server must listen before.
    const std::string peers = m_peerServer.listen(m_settings.peersListen);
    const std::string callers = m_callerServer.listen(m_settings.callersListen);
    m_leases = std::make_unique<LeaseController>(
        leaseLoopSettings(m_settings), m_clock, m_table, m_peers, m_topology, m_host,
        makePeerEntry(m_settings, callers, peers),
        LeaseController::Callbacks{
            [this] { return m_documents.sequence(); },
            [this](const std::string &session) { m_requests.setSession(session); }});
    ReportService::Dependencies dependencies;
    dependencies.entry = m_settings.id;
    dependencies.availabilityZone = m_settings.availabilityZone;
    dependencies.region = m_settings.region;
    dependencies.shardCount = m_settings.shardCount;
    dependencies.clock = &m_clock;
    dependencies.metrics = &m_metrics;
    dependencies.documents = &m_documents;
    dependencies.host = &m_host;
    dependencies.leases = m_leases.get();
    dependencies.topology = &m_topology;
    dependencies.peers = &m_peers;
    dependencies.ready = [this] { return ready(); };
    m_report = std::make_unique<ReportService>(dependencies);
    printBoundAddresses(m_settings.id, callers, peers);
    logInfo("listening", {{"callers", callers}, {"peers", peers}});
}

void Daemon::startPolling()
{
    m_periodic.schedule(leaseStepInterval, [this] { m_leases->runOnce(); });
    m_periodic.schedule(listConfirmationInterval, [this] { m_leases->confirmEntryList(); });
    m_periodic.schedule(m_settings.polls.documents, [this] { m_documents.poll(); });
    m_periodic.schedule(heartbeatInterval, [this] { m_documents.recordHeartbeat(); });
    m_periodic.schedule(m_settings.polls.membership, [this] { m_workerPoll.poll(); });
    m_periodic.schedule(dispatcherRefreshInterval,
                        [this] { m_requests.refresh(m_leases->listConfirmedAt()); });
    m_periodic.schedule(dispatcherTickInterval, [this] { m_requests.tick(); });
}

void Daemon::drain()
{
    const Instant limit = m_clock.now() + m_settings.shutdownBound;
    m_draining = true;
    sleepFor(loadBalancerDelay);
    m_callerServer.refuseNewConnections();
    waitUntilIdle(limit);
    // The peer server keeps serving until the shards are released; peers still forward requests.
    m_leases->drain();
    while (!m_host.shards().empty() && m_clock.now() < limit)
        sleepFor(drainPollInterval);
    waitUntilIdle(limit);
    m_periodic.stop();
    const bool released = m_leases->endSession();
    logInfo("stopped", {{"released", released}});
}

// Waits until no request has been in flight for a while, at most until `limit`. Clients may still
// send a request over an open connection although they were asked to close it, so the wait is
// longer while connections are open.
void Daemon::waitUntilIdle(Instant limit)
{
    Instant idleSince = m_clock.now();
    Instant closedSince = idleSince;
    for (Instant now = idleSince; now < limit; now = m_clock.now()) {
        if (m_inFlight > 0)
            idleSince = now;
        if (m_inFlight > 0 || m_callerServer.openConnections() > 0)
            closedSince = now;
        if (now - closedSince >= noConnectionsPeriod || now - idleSince >= noRequestsPeriod)
            return;
        sleepFor(drainPollInterval);
    }
}

bool Daemon::ready()
{
    const bool shardsReady = m_host.readyCount() >= m_leases->minShardCount();
    return !m_draining && m_documents.isComplete() && m_workerPoll.hasReadMembership()
        && (shardsReady || !m_leases->isStoreAvailable()) && m_requests.slotsReady();
}

} // namespace

void runEntry(const Settings &settings)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, onStopSignal);
    std::signal(SIGINT, onStopSignal);
    configureLogging(settings.logLevel, settings.id);
    Daemon daemon(settings);
    daemon.run();
}

} // namespace savorywick
