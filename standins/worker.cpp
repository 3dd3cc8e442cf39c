#include "routes.h"
#include "taskset.h"

#include <deque>
#include <random>
#include <thread>

namespace savorywick::standin {

namespace {

constexpr std::chrono::milliseconds tickPeriod{10};
constexpr std::int64_t usageKeptMs = 60'000;
constexpr std::int64_t usageStepMs = 100;
constexpr double idleUrgentP99Ms = 10;
constexpr double fullUrgentP99Ms = 60;

// Returns the machine's monotonic time: it goes on during a pause, and all processes share it.
std::int64_t nowMs()
{
    const auto span = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

// Returns the run's own body, by which it says what it really does; empty if that is no object.
Json::Value payloadOf(const Json::Value &body)
{
    try {
        return parseObject(body["payload"].asString());
    } catch (const std::invalid_argument &) {
        return object({});
    }
}

Sizes sizesOf(const Json::Value &body)
{
    return {body["cores"].asInt(), body["memoryMb"].asInt(), body["accelerators"].asInt()};
}

std::string newIncarnation()
{
    return std::to_string(std::random_device{}()) + "-" + std::to_string(nowMs());
}

class Worker
{
public:
    Worker(Faults &faults, const HostInfo &host)
        : m_faults(faults)
        , m_sizes{host.cores, host.memoryMb, host.accelerators}
        , m_incarnation(newIncarnation())
    { }

    using Action = Reply (Worker::*)(const Json::Value &);

    // Brings the state up to the present moment. Every call does so first: a process that was
    // paused past its lease stops its tasks before it does anything else.
    void advance();
    // Carries out one call, unless it comes from a past owner of its shard.
    Reply perform(Action action, const Call &call);
    Json::Value stats();

    Reply lease(const Json::Value &body);
    Reply start(const Json::Value &body);
    Reply stop(const Json::Value &body);
    Reply checkpoint(const Json::Value &body);
    Reply throttle(const Json::Value &body);

private:
    struct UsageSample
    {
        std::int64_t atMs = 0;
        Sizes used;
    };

    void advanceLocked();
    Json::Value usage() const;
    Task *find(const Json::Value &body)
    {
        return m_tasks.find(body["task"].asString(), body["attempt"].asInt64());
    }

    Faults &m_faults;
    const Sizes m_sizes;
    std::string m_incarnation; // Changes when the lease lapses, as all tasks are gone then.
    std::mutex m_mutex;
    TaskSet m_tasks;
    std::map<int, std::uint64_t> m_epochs; // By shard: the highest seen.
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
        m_tasks.killAll();
    }
    m_tasks.advance(now);
    if (m_usage.empty() || now - m_usage.back().atMs >= usageStepMs)
        m_usage.push_back({now, m_tasks.used()});
    while (now - m_usage.front().atMs > usageKeptMs)
        m_usage.pop_front();
}

Reply Worker::perform(Action action, const Call &call)
{
    const auto body = parseObject(call.body);
    const std::lock_guard lock{m_mutex};
    advanceLocked();
    auto &highest = m_epochs[body["shard"].asInt()];
    if (body["epoch"].asUInt64() < highest)
        return refusal(409, "stale-epoch");
    highest = body["epoch"].asUInt64();
    return (this->*action)(body);
}

Json::Value Worker::usage() const
{
    const std::int64_t limit = nowMs() - m_faults.value("usageLagMs");
    Sizes used;
    for (const UsageSample &it : m_usage) {
        if (it.atMs <= limit)
            used = it.used;
    }
    const double share = m_sizes.cores == 0 ? 0 : double(used.cores) / m_sizes.cores;
    const double p99Ms = idleUrgentP99Ms + share * (fullUrgentP99Ms - idleUrgentP99Ms);
    return object({{"cores", used.cores},
                   {"memoryMb", used.memoryMb},
                   {"accelerators", used.accelerators},
                   {"urgentP99Ms", p99Ms}});
}

Reply Worker::lease(const Json::Value &body)
{
    // A renewal that waited while this process was paused names what is gone since.
    const std::string named = body["incarnation"].asString();
    if (named.empty() || named == m_incarnation)
        m_leaseEndMs = nowMs() + body["termMs"].asInt64();
    return jsonReply(
        object({{"incarnation", m_incarnation}, {"tasks", m_tasks.list()}, {"usage", usage()}}));
}

Reply Worker::start(const Json::Value &body)
{
    if (body["incarnation"].asString() != m_incarnation)
        return refusal(409, "wrong-incarnation");
    if (m_leaseEndMs == 0)
        return refusal(409, "no-lease");
    if (const Task *task = find(body))
        return jsonReply(task->toJson());
    const Json::Value payload = payloadOf(body);
    Task task{.task = body["task"].asString(),
              .attempt = body["attempt"].asInt64(),
              .sizes = sizesOf(body),
              .durationMs = payload.get("durationMs", body["durationMs"]).asInt64(),
              .progressMs = progressOf(body["checkpoint"].asString()),
              .startedMs = nowMs()};
    if (m_tasks.isStale(task.task, task.attempt))
        return refusal(409, "stale-attempt");
    if (!m_tasks.fits(task.sizes, m_sizes))
        return refusal(409, "no-room");
    if (m_faults.value("failAll") > 0)
        task.durationMs = 0;
    if (m_faults.value("failAll") > 0 || payload["fail"].asBool())
        task.end = "failed";
    Reply reply = jsonReply(m_tasks.add(task).toJson());
    reply.tookEffect = true;
    return reply;
}

Reply Worker::stop(const Json::Value &body)
{
    const bool stops = m_faults.value("ignoreStop") == 0;
    if (stops)
        m_tasks.stop(body["task"].asString(), body["attempt"].asInt64());
    return jsonReply(object({{"stopped", stops}}));
}

Reply Worker::checkpoint(const Json::Value &body)
{
    const Task *task = find(body);
    return task == nullptr ? refusal(409, "stale-attempt")
                           : jsonReply(object({{"checkpoint", task->checkpoint()}}));
}

Reply Worker::throttle(const Json::Value &body)
{
    Task *task = find(body);
    if (task == nullptr)
        return refusal(409, "stale-attempt");
    task->percent = body["percent"].asInt();
    return jsonReply(object({}));
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
    const auto add = [&](const char *path, Worker::Action action) {
        server.route("POST", path,
                     [worker, action](const Call &it) { return worker->perform(action, it); });
    };
    add("/lease", &Worker::lease);
    add("/start", &Worker::start);
    add("/stop", &Worker::stop);
    add("/checkpoint", &Worker::checkpoint);
    add("/throttle", &Worker::throttle);
    server.plainRoute("GET", "/stats",
                      [worker](const Call &) { return jsonReply(worker->stats()); });
    std::thread{[worker] {
        while (true) {
            worker->advance();
            std::this_thread::sleep_for(tickPeriod);
        }
    }}.detach();
}

} // namespace savorywick::standin
