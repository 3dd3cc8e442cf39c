#include "routes.h"
#include "taskset.h"

#include <deque>
#include <random>
#include <thread>

namespace savorywick::standin {

namespace {

constexpr std::chrono::milliseconds updateInterval{10};
constexpr std::int64_t usageHistoryMs = 60'000;
constexpr std::int64_t usageSampleIntervalMs = 100;
// The reported latency of urgent requests rises linearly with the share of cores that tasks use.
constexpr double idleUrgentP99Ms = 10;
constexpr double fullUrgentP99Ms = 60;

// Returns the machine's monotonic time. It advances while the process is paused and is the same in
// all processes, so that intervals of different workers can be compared.
std::int64_t nowMs()
{
    const auto span = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

// Returns the run's payload, which can set the task's real duration and outcome. Returns an empty
// object if the payload isn't a JSON object.
Json::Value parsePayload(const Json::Value &body)
{
    try {
        return parseObject(body["payload"].asString());
    } catch (const std::invalid_argument &) {
        return jsonObject({});
    }
}

Resources requestedResources(const Json::Value &body)
{
    return {body["cores"].asInt(), body["memoryMb"].asInt(), body["accelerators"].asInt()};
}

std::string newIncarnation()
{
    return std::to_string(std::random_device{}()) + "-" + std::to_string(nowMs());
}

// A worker with a lease, fenced by epochs. advance(), dispatch() and stats() are thread-safe;
// dispatch() calls a handler with the mutex held.
class Worker
{
public:
    Worker(Faults &faults, const HostInfo &host)
        : m_faults(faults)
        , m_capacity{host.cores, host.memoryMb, host.accelerators}
        , m_incarnation(newIncarnation())
    { }

    using Handler = Response (Worker::*)(const Json::Value &);

    // Updates the state to the current time. Every call does so first, so that a process that was
    // paused past its lease stops its tasks before it does anything else.
    void advance();
    // Handles one call. Refuses it if its epoch is lower than the highest seen for its shard.
    Response dispatch(Handler handler, const Request &request);
    Json::Value stats();

    Response lease(const Json::Value &body);
    Response start(const Json::Value &body);
    Response stop(const Json::Value &body);
    Response checkpoint(const Json::Value &body);
    Response throttle(const Json::Value &body);

private:
    struct UsageSample
    {
        std::int64_t atMs = 0;
        Resources used;
    };

    void advanceLocked();
    Json::Value usage() const;
    Task *find(const Json::Value &body)
    {
        return m_tasks.find(body["task"].asString(), body["attempt"].asInt64());
    }

    Faults &m_faults;
    const Resources m_capacity;
    std::string m_incarnation; // Changes when the lease expires, since that stops all tasks.
    std::mutex m_mutex;
    TaskSet m_tasks;
    std::map<int, std::uint64_t> m_highestEpochs; // By shard.
    std::int64_t m_leaseEndMs = 0;
    int m_lapses = 0;
    std::deque<UsageSample> m_usage;
};

void Worker::advance()
{
    const std::lock_guard lock{m_mutex};
    advanceLocked();
}

void Worker::advanceLocked()
{
    const std::int64_t now = nowMs();
    if (m_leaseEndMs != 0 && now >= m_leaseEndMs) {
        m_leaseEndMs = 0;
        ++m_lapses;
        m_incarnation = newIncarnation();
        m_tasks.stopAll();
    }
    m_tasks.advance(now);
    if (m_usage.empty() || now - m_usage.back().atMs >= usageSampleIntervalMs)
        m_usage.push_back({now, m_tasks.used()});
    while (now - m_usage.front().atMs > usageHistoryMs)
        m_usage.pop_front();
}

Response Worker::dispatch(Handler handler, const Request &request)
{
    const auto body = parseObject(request.body);
    const std::lock_guard lock{m_mutex};
    advanceLocked();
    auto &highestEpoch = m_highestEpochs[body["shard"].asInt()];
    if (body["epoch"].asUInt64() < highestEpoch)
        return errorResponse(409, "stale-epoch");
    highestEpoch = body["epoch"].asUInt64();
    return (this->*handler)(body);
}

Json::Value Worker::usage() const
{
    const std::int64_t sampledUntilMs = nowMs() - m_faults.value("usageLagMs");
    Resources used;
    for (const UsageSample &it : m_usage) {
        if (it.atMs <= sampledUntilMs)
            used = it.used;
    }
    const double usedCoreFraction =
        m_capacity.cores == 0 ? 0 : double(used.cores) / m_capacity.cores;
    const double p99Ms = idleUrgentP99Ms + usedCoreFraction * (fullUrgentP99Ms - idleUrgentP99Ms);
    return jsonObject({{"cores", used.cores},
                       {"memoryMb", used.memoryMb},
                       {"accelerators", used.accelerators},
                       {"urgentP99Ms", p99Ms}});
}

Response Worker::lease(const Json::Value &body)
{
    // A renewal that was queued while this process was paused may name an expired incarnation.
    const std::string requestedIncarnation = body["incarnation"].asString();
    if (requestedIncarnation.empty() || requestedIncarnation == m_incarnation)
        m_leaseEndMs = nowMs() + body["termMs"].asInt64();
    return jsonResponse(jsonObject(
        {{"incarnation", m_incarnation}, {"tasks", m_tasks.list()}, {"usage", usage()}}));
}

Response Worker::start(const Json::Value &body)
{
    if (body["incarnation"].asString() != m_incarnation)
        return errorResponse(409, "wrong-incarnation");
    if (m_leaseEndMs == 0)
        return errorResponse(409, "no-lease");
    if (const Task *task = find(body))
        return jsonResponse(task->toJson());
    const Json::Value payload = parsePayload(body);
    Task task{.id = body["task"].asString(),
              .attempt = body["attempt"].asInt64(),
              .resources = requestedResources(body),
              .durationMs = payload.get("durationMs", body["durationMs"]).asInt64(),
              .progressMs = checkpointProgressMs(body["checkpoint"].asString()),
              .startedMs = nowMs()};
    if (m_tasks.isStale(task.id, task.attempt))
        return errorResponse(409, "stale-attempt");
    if (!m_tasks.fits(task.resources, m_capacity))
        return errorResponse(409, "no-room");
    if (m_faults.value("failAll") > 0)
        task.durationMs = 0;
    if (m_faults.value("failAll") > 0 || payload["fail"].asBool())
        task.finalState = "failed";
    Response response = jsonResponse(m_tasks.add(task).toJson());
    response.tookEffect = true;
    return response;
}

Response Worker::stop(const Json::Value &body)
{
    const bool stopped = m_faults.value("ignoreStop") == 0;
    if (stopped)
        m_tasks.stop(body["task"].asString(), body["attempt"].asInt64());
    return jsonResponse(jsonObject({{"stopped", stopped}}));
}

Response Worker::checkpoint(const Json::Value &body)
{
    const Task *task = find(body);
    return task == nullptr ? errorResponse(409, "stale-attempt")
                           : jsonResponse(jsonObject({{"checkpoint", task->checkpoint()}}));
}

Response Worker::throttle(const Json::Value &body)
{
    Task *task = find(body);
    if (task == nullptr)
        return errorResponse(409, "stale-attempt");
    task->speedPercent = body["percent"].asInt();
    return jsonResponse(jsonObject({}));
}

Json::Value Worker::stats()
{
    const std::lock_guard lock{m_mutex};
    advanceLocked();
    Json::Value value = m_tasks.stats();
    value["lapses"] = m_lapses;
    return value;
}

} // namespace

void addWorker(Server &server, const HostInfo &host)
{
    const auto worker = std::make_shared<Worker>(server.faults(), host);
    const auto addRoute = [&](const char *path, Worker::Handler handler) {
        server.route("POST", path, [worker, handler](const Request &it) {
            return worker->dispatch(handler, it);
        });
    };
    addRoute("/lease", &Worker::lease);
    addRoute("/start", &Worker::start);
    addRoute("/stop", &Worker::stop);
    addRoute("/checkpoint", &Worker::checkpoint);
    addRoute("/throttle", &Worker::throttle);
    server.routeWithoutFaults("GET", "/stats",
                              [worker](const Request &) { return jsonResponse(worker->stats()); });
    std::thread{[worker] {
        while (true) {
            worker->advance();
            std::this_thread::sleep_for(updateInterval);
        }
    }}.detach();
}

} // namespace savorywick::standin
