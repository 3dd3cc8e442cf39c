#include "routes.h"

#include "json.h"
#include "taskset.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>

namespace savorywick::standin {

namespace {

constexpr auto tickPeriod = std::chrono::milliseconds{10};
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

std::string newIncarnation()
{
    std::random_device device;
    return std::to_string(device()) + "-" + std::to_string(nowMs());
}

struct UsageSample
{
    std::int64_t atMs = 0;
    Sizes used;
};

class Worker
{
public:
    Worker(Faults &faults, const HostInfo &host)
        : m_faults(faults)
        , m_sizes{host.cores, host.memoryMb, host.accelerators}
        , m_incarnation(newIncarnation())
        , m_ticker([this] { tick(); })
    { }

    ~Worker()
    {
        m_stopping = true;
        m_ticker.join();
    }

    Reply lease(const Call &call);
    Reply start(const Call &call);
    Reply stop(const Call &call);
    Reply checkpoint(const Call &call);
    Reply throttle(const Call &call);
    Json::Value stats();

private:
    void tick();
    void advance();
    bool isStale(const Json::Value &body);
    Reply startFresh(const Json::Value &body);
    Json::Value usage() const;

    Faults &m_faults;
    const Sizes m_sizes;
    const std::string m_incarnation;
    std::mutex m_mutex;
    TaskSet m_tasks;
    std::map<int, std::uint64_t> m_epochs;
    std::int64_t m_leaseEndMs = 0;
    int m_lapses = 0;
    std::deque<UsageSample> m_usage;
    std::atomic<bool> m_stopping = false;
    std::thread m_ticker;
};

void Worker::tick()
{
    while (!m_stopping) {
        {
            const std::lock_guard lock{m_mutex};
            advance();
        }
        std::this_thread::sleep_for(tickPeriod);
    }
}

// Brings the state up to the present moment. Every call does so first: a process that was paused
// past its lease kills its tasks before it does anything else.
void Worker::advance()
{
    const std::int64_t now = nowMs();
    if (m_leaseEndMs != 0 && now >= m_leaseEndMs) {
        m_leaseEndMs = 0;
        ++m_lapses;
        m_tasks.killAll();
    }
    m_tasks.advance(now);
    if (m_usage.empty() || now - m_usage.back().atMs >= usageStepMs) {
        m_usage.push_back(UsageSample{now, m_tasks.used()});
    }
    while (now - m_usage.front().atMs > usageKeptMs) {
        m_usage.pop_front();
    }
}

// Returns whether the call comes from a past owner of its shard; remembers the epoch otherwise.
bool Worker::isStale(const Json::Value &body)
{
    auto &highest = m_epochs[body["shard"].asInt()];
    const std::uint64_t epoch = body["epoch"].asUInt64();
    if (epoch < highest) {
        return true;
    }
    highest = epoch;
    return false;
}

Json::Value Worker::usage() const
{
    const std::int64_t limit = nowMs() - m_faults.span("usageLagMs").count();
    Sizes used;
    for (const auto &it : m_usage) {
        if (it.atMs <= limit) {
            used = it.used;
        }
    }
    const double share = m_sizes.cores == 0 ? 0 : double(used.cores) / m_sizes.cores;
    Json::Value value;
    value["cores"] = used.cores;
    value["memoryMb"] = used.memoryMb;
    value["accelerators"] = used.accelerators;
    value["urgentP99Ms"] = idleUrgentP99Ms + share * (fullUrgentP99Ms - idleUrgentP99Ms);
    return value;
}

Reply Worker::lease(const Call &call)
{
    const auto body = parseObject(call.body);
    const std::lock_guard lock{m_mutex};
    advance();
    if (isStale(body)) {
        return refusal(409, "stale-epoch");
    }
    m_leaseEndMs = nowMs() + body["termMs"].asInt64();
    Json::Value value;
    value["incarnation"] = m_incarnation;
    value["tasks"] = m_tasks.list();
    value["usage"] = usage();
    return jsonReply(value);
}

Reply Worker::start(const Call &call)
{
    const auto body = parseObject(call.body);
    const std::lock_guard lock{m_mutex};
    advance();
    if (isStale(body)) {
        return refusal(409, "stale-epoch");
    }
    if (body["incarnation"].asString() != m_incarnation) {
        return refusal(409, "wrong-incarnation");
    }
    if (m_leaseEndMs == 0) {
        return refusal(409, "no-lease");
    }
    if (const auto *task = m_tasks.find(attemptOf(body))) {
        return jsonReply(taskJson(*task));
    }
    return startFresh(body);
}

Reply Worker::startFresh(const Json::Value &body)
{
    const AttemptId id = attemptOf(body);
    const Sizes sizes{body["cores"].asInt(), body["memoryMb"].asInt(),
                      body["accelerators"].asInt()};
    if (m_tasks.isStale(id)) {
        return refusal(409, "stale-attempt");
    }
    if (!fits(m_tasks.used(), sizes, m_sizes)) {
        return refusal(409, "no-room");
    }
    Task task;
    task.id = id;
    task.sizes = sizes;
    task.durationMs = body["durationMs"].asInt64();
    task.progressMs = progressOf(body["checkpoint"].asString());
    task.startedMs = nowMs();
    task.failing = m_faults.on("failAll") || body["payload"].asString().starts_with("fail");
    return jsonReply(taskJson(m_tasks.add(task, m_faults.on("failAll"))));
}

Reply Worker::stop(const Call &call)
{
    const auto body = parseObject(call.body);
    const std::lock_guard lock{m_mutex};
    advance();
    if (isStale(body)) {
        return refusal(409, "stale-epoch");
    }
    Json::Value value;
    value["stopped"] = !m_faults.on("ignoreStop");
    if (value["stopped"].asBool()) {
        m_tasks.stop(attemptOf(body), nowMs());
    }
    return jsonReply(value);
}

Reply Worker::checkpoint(const Call &call)
{
    const auto body = parseObject(call.body);
    const std::lock_guard lock{m_mutex};
    advance();
    if (isStale(body)) {
        return refusal(409, "stale-epoch");
    }
    const auto *task = m_tasks.find(attemptOf(body));
    if (task == nullptr) {
        return refusal(409, "stale-attempt");
    }
    Json::Value value;
    value["checkpoint"] = checkpointOf(*task);
    return jsonReply(value);
}

Reply Worker::throttle(const Call &call)
{
    const auto body = parseObject(call.body);
    const std::lock_guard lock{m_mutex};
    advance();
    if (isStale(body)) {
        return refusal(409, "stale-epoch");
    }
    if (!m_tasks.throttle(attemptOf(body), body["percent"].asInt())) {
        return refusal(409, "stale-attempt");
    }
    return jsonReply(Json::Value{Json::objectValue});
}

Json::Value Worker::stats()
{
    const std::lock_guard lock{m_mutex};
    advance();
    auto value = m_tasks.stats();
    value["incarnation"] = m_incarnation;
    value["lapses"] = m_lapses;
    return value;
}

} // namespace

void addWorker(Server &server, const HostInfo &host)
{
    const auto worker = std::make_shared<Worker>(server.faults(), host);
    server.route("POST", "/lease", [worker](const Call &it) { return worker->lease(it); });
    server.route(
        "POST", "/start", [worker](const Call &it) { return worker->start(it); }, Effect::Takes);
    server.route("POST", "/stop", [worker](const Call &it) { return worker->stop(it); });
    server.route("POST", "/checkpoint",
                 [worker](const Call &it) { return worker->checkpoint(it); });
    server.route("POST", "/throttle", [worker](const Call &it) { return worker->throttle(it); });
    server.stats([worker] { return worker->stats(); });
}

} // namespace savorywick::standin
