#include "entry/daemon.h"

#include "core/log.h"
#include "core/steadyclock.h"
#include "entry/api.h"
#include "entry/entrysettings.h"
#include "entry/liveworkservice.h"
#include "entry/periodic.h"
#include "entry/reportservice.h"
#include "entry/workerpoll.h"
#include "peer/peerserver.h"
#include "savorywick/errors.h"
#include "store/httpmembership.h"
#include "store/httpobjects.h"
#include "store/httptable.h"
#include "store/json.h"

#include <csignal>
#include <thread>

#include <unistd.h>

namespace savorywick {

namespace {

constexpr Millis urgentTick{10};
constexpr Millis urgentRefresh{250};
constexpr Millis leaseStep{100};
constexpr Millis listConfirmation{200};
constexpr Millis freezeTick{200};
constexpr Millis drainPoll{20};
constexpr Millis quietSpan{300}; // Without any connection.
constexpr Millis idleSpan{2'000}; // With connections that bring nothing.
// The balancer goes on sending for a moment after readiness has gone off.
constexpr Millis balancerLag{1'000};
constexpr int exitStopped = 0;
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

PeerEntry selfOf(const Settings &settings, const std::string &callers, const std::string &peers)
{
    PeerEntry self;
    self.name = settings.id;
    self.callers = callers;
    self.peers = peers;
    self.availabilityZone = settings.availabilityZone;
    self.region = settings.region;
    return self;
}

// Returns how long an entry may serve after its row is gone: a neighbour may confirm its list for
// two more looks at the rows, and the list is then good for its age.
Millis lingeringOf(const Settings &settings)
{
    return settings.polls.entryListAge + leaseSettings(settings).observeEvery * 2;
}

// Everything that one entry consists of. Members are destroyed in reverse order.
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
    void awaitQuiet(Instant limit);
    bool ready();

    const Settings m_settings;
    const SteadyClock m_clock;
    Metrics m_metrics;
    HttpClient m_http;
    HttpTable m_table;
    HttpObjects m_objects;
    HttpMembership m_membership;
    HttpUpstreamClient m_upstreams;
    HttpWorkerClient m_workers;
    PeerClient m_peers;
    Topology m_topology;
    Forwarder m_forwarder;
    DocumentService m_documents;
    std::unique_ptr<LeaseLoop> m_leases; // Told of by m_host's actors.
    ShardHost m_host;
    LiveWorkService m_liveWork;
    DocumentApi m_documentApi;
    WorkerPoll m_workerPoll;
    RequestService m_requests;
    RunService m_runs;
    std::unique_ptr<ReportService> m_report;
    Api m_api;
    std::atomic<bool> m_draining{false};
    std::atomic<int> m_inFlight{0};
    HttpServer m_callerServer;
    PeerServer m_peerServer;
    Periodic m_periodic;
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
                   lingeringOf(settings)},
                  m_clock, m_table, m_peers, m_topology)
    , m_host(hostSettings(settings), m_clock, m_table, m_objects, m_workers, m_topology,
             [this](int shard) {
                 if (m_leases)
                     m_leases->shardOver(shard);
             })
    , m_liveWork(settings.shardCount, m_clock, m_host, m_topology, m_peers)
    , m_documentApi(m_settings, m_documents, m_liveWork)
    , m_workerPoll(settings.shardCount, m_clock, m_membership, m_table, m_topology, m_host,
                   m_documents)
    , m_requests(requestSettings(settings), m_clock, m_documents, m_host, m_topology, m_upstreams,
                 m_forwarder, m_metrics)
    , m_runs({settings.shardCount, Millis{5'000}}, m_documents, m_host, m_topology, m_forwarder,
             m_workerPoll)
    , m_api({&m_clock, &m_metrics, &m_documents, &m_documentApi, &m_requests, &m_runs,
             [this] { return m_report->whole(); }, [this] { return ready(); }})
    , m_callerServer(
          callerLimits(settings),
          [this](const HttpRequest &request) {
              ++m_inFlight;
              HttpResponse response = m_api.serve(request);
              --m_inFlight;
              return response;
          },
          [this](int status) { return m_api.refuse(status); })
    , m_peerServer(peerLimits(settings))
{ }

void Daemon::run()
{
    addPeerMethods();
    listen();
    startPolling();
    while (stopSignals == 0)
        sleepFor(drainPoll);
    logInfo("draining");
    drain();
    // Idle connections still have threads that wait for their time-out; nothing is left to do.
    ::_exit(exitStopped);
}

void Daemon::addPeerMethods()
{
    m_peerServer.add("documentChanged", [this](const std::string &parameters) {
        const Json::Value value = store::parseJsonText(parameters);
        const std::string service = value["service"].asString();
        Json::Value result;
        result["inForce"] =
            Json::UInt64(m_documents.onPush({service, value["revision"].asUInt64()}));
        result["inForceForMs"] = Json::Int64(m_documents.inForceFor(service).count());
        return store::toJsonText(result);
    });
    m_peerServer.add("forward", [this](const std::string &parameters) {
        ++m_inFlight;
        const HttpResponse response = m_api.serveForwarded(Forwarder::unpack(parameters));
        --m_inFlight;
        return Forwarder::pack(response, m_requests.freeSlots());
    });
    m_peerServer.add("compareLists", [this](const std::string &parameters) {
        const auto theirs = parseListView(parameters);
        return theirs ? listViewText(m_leases->noteQuestion(*theirs)) : std::string("{}");
    });
    m_peerServer.add("liveWork", [this](const std::string &parameters) {
        return m_liveWork.own(store::parseJsonText(parameters)["service"].asString());
    });
    m_peerServer.add("report", [this](const std::string &) { return m_report->own(); });
}

void Daemon::listen()
{
    // Peers may call as soon as the address is in the table, so the server must be up before.
    const std::string peers = m_peerServer.listen(m_settings.peersListen);
    const std::string callers = m_callerServer.listen(m_settings.callersListen);
    m_leases =
        std::make_unique<LeaseLoop>(leaseSettings(m_settings), m_clock, m_table, m_peers,
                                    m_topology, m_host, selfOf(m_settings, callers, peers),
                                    LeaseLoop::Listeners{[this] { return m_documents.sequence(); },
                                                         [this](const std::string &session) {
                                                             m_requests.setSession(session);
                                                         }});
    ReportService::Parts parts;
    parts.entry = m_settings.id;
    parts.availabilityZone = m_settings.availabilityZone;
    parts.region = m_settings.region;
    parts.shards = m_settings.shardCount;
    parts.clock = &m_clock;
    parts.metrics = &m_metrics;
    parts.documents = &m_documents;
    parts.host = &m_host;
    parts.leases = m_leases.get();
    parts.topology = &m_topology;
    parts.peers = &m_peers;
    parts.ready = [this] { return ready(); };
    m_report = std::make_unique<ReportService>(parts);
    printListening(m_settings.id, callers, peers);
    logInfo("listening", {{"callers", callers}, {"peers", peers}});
}

void Daemon::startPolling()
{
    m_periodic.every(leaseStep, [this] { m_leases->step(); });
    m_periodic.every(listConfirmation, [this] { m_leases->confirmList(); });
    m_periodic.every(m_settings.polls.documents, [this] { m_documents.poll(); });
    m_periodic.every(freezeTick, [this] { m_documents.tick(); });
    m_periodic.every(m_settings.polls.membership, [this] { m_workerPoll.poll(); });
    m_periodic.every(urgentRefresh, [this] { m_requests.refresh(m_leases->listTakenAt()); });
    m_periodic.every(urgentTick, [this] { m_requests.tick(); });
}

void Daemon::drain()
{
    const Instant limit = m_clock.now() + m_settings.shutdownBound;
    m_draining = true;
    sleepFor(balancerLag);
    m_callerServer.refuseNewConnections();
    awaitQuiet(limit);
    // Peers are served until the shards are handed over.
    m_leases->drain();
    while (!m_host.shards().empty() && m_clock.now() < limit)
        sleepFor(drainPoll);
    awaitQuiet(limit);
    m_periodic.stop();
    const bool released = m_leases->farewell();
    logInfo("stopped", {{"released", released}});
}

// Waits until nothing has been in flight for a moment. A connection that is open may still bring a
// request although it was told to close, so as long as there are any the moment is longer.
void Daemon::awaitQuiet(Instant limit)
{
    Instant idleSince = m_clock.now();
    Instant closedSince = idleSince;
    for (Instant now = idleSince; now < limit; now = m_clock.now()) {
        if (m_inFlight > 0)
            idleSince = now;
        if (m_inFlight > 0 || m_callerServer.openConnections() > 0)
            closedSince = now;
        if (now - closedSince >= quietSpan || now - idleSince >= idleSpan)
            return;
        sleepFor(drainPoll);
    }
}

bool Daemon::ready()
{
    const bool settled = m_host.ready() >= m_leases->fewestShards();
    return !m_draining && m_documents.isComplete() && m_workerPoll.listRead()
        && (settled || !m_leases->storeUp()) && m_requests.settled();
}

} // namespace

void runEntry(const Settings &settings)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, onStopSignal);
    std::signal(SIGINT, onStopSignal);
    startLog(settings.logLevel, settings.id);
    Daemon daemon(settings);
    daemon.run();
}

} // namespace savorywick
