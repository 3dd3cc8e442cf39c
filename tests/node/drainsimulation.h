#pragma once

#include "callerconnection.h"
#include "savorywick/shardrow.h"
#include "savorywick/steps/record.h"
#include "simulatedentry.h"

#include <algorithm>
#include <cstdlib>
#include <list>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace savorywick::testing {

// The owner of shard 0 on another host. It replies to each request at random: at once, late, never,
// or that it is not the owner. It takes the jobs to which it does not reply, too.
class ErraticOwner
{
public:
    explicit ErraticOwner(std::uint32_t seed)
        : m_random(seed)
        , m_server(m_loop, {},
                   [this](const HttpRequest &r, const AsyncHttpServer::Responder &respond) {
                       handle(r, respond);
                   })
    { }
    ~ErraticOwner() { m_unanswered.clear(); } // Responders must not outlive the loop.
    ErraticOwner(const ErraticOwner &) = delete;
    ErraticOwner &operator=(const ErraticOwner &) = delete;

    // Makes this the owner of shard 0 until its session expires.
    void takeShard(FakeTable &rows)
    {
        const std::string peer = m_server.listen("127.0.0.1:0");
        const ShardRow row{.owner = "other.1", .peer = peer, .epoch = 1};
        rows.commit({{{shardKey(0), 0}, {entryKey(row.owner), 0}},
                     {{shardKey(0), serializeShardRow(row)},
                      {entryKey(row.owner), R"({"peer":")" + peer + R"("})"}}});
    }
    void takeTurn() { runReady(m_loop); }
    bool hasJob(const std::string &jobId) const { return m_jobs.contains(jobId); }

private:
    void handle(const HttpRequest &request, const AsyncHttpServer::Responder &respond)
    {
        const auto reply = [respond](const char *text) {
            respond({.status = 200, .headers = {}, .body = text, .contentType = "text/plain"});
        };
        const auto choice = m_random() % 4;
        if (choice == 0)
            return reply("not-owner queued 0");
        if (request.method == "POST" && request.path == "/shards/0/jobs")
            m_jobs.insert(std::get<steps::JobAccepted>(steps::decodeRecord(request.body)).spec.id);
        if (choice == 1)
            return m_unanswered.push_back(respond);
        constexpr std::uint32_t maxDelayMs = 2'000;
        const Millis delay{static_cast<std::int64_t>(choice == 2 ? 0 : m_random() % maxDelayMs)};
        m_loop.runAfter(delay, [reply] { reply("ok queued 0"); });
    }

    std::mt19937 m_random;
    EventLoop m_loop;
    std::set<std::string> m_jobs;
    std::vector<AsyncHttpServer::Responder> m_unanswered;
    AsyncHttpServer m_server;
};

// One caller of one entry.
struct SimulatedCaller
{
    enum class Habit {
        NewConnections, // Sends each request on a connection of its own.
        InTwoParts, // Likewise, and the second part of each request comes later.
        Polite, // Keeps its connection until it is asked to close it, and awaits each response.
        Stubborn, // Keeps its connection until the entry is gone, and sends without waiting.
    };
    struct Request
    {
        std::string id;
        std::string method;
        Millis sentAt; // Since the stop signal of the entry.
        const CallerConnection *connection;
        std::size_t index; // Among the requests on the connection.
        bool isOwed; // It was sent whole while the entry's side of the connection was open.
    };

    Habit habit = Habit::Stubborn;
    std::size_t entry = 0;
    Instant nextSendAt;
    std::string unsentPart;
    std::list<CallerConnection> connections;
    std::vector<Request> requests;
};

// Two entries that are told to stop at about the same time, with requests of many callers before,
// during and after it. Each request that was sent while the entry's side of the connection was open
// is owed a whole response, and no byte may be read in vain.
//
// Time is real, but nothing depends on how long a turn takes: callers act only between two turns.
class DrainSimulation
{
public:
    explicit DrainSimulation(std::uint32_t seed)
        : m_seed(seed)
        , m_random(seed)
        , m_owner(seed)
    {
        const Millis storeDelays[] = {Millis{0}, Millis{5}, Millis{40}, Millis{400}};
        const Millis storeDelay = storeDelays[below(std::size(storeDelays))];
        constexpr Millis never{3'600'000};
        const Instant begin = m_clock.now();
        if (below(2) == 0)
            m_owner.takeShard(m_table);
        for (const char *name : {"entry-a", "entry-b"}) {
            const Millis stopsAfter{below(2'000)};
            const Millis silentAfter = below(4) == 0 ? Millis{below(5'000)} : never;
            m_entries.push_back(
                {std::make_unique<SimulatedEntry>(name, m_table,
                                                  StoreBehaviour{storeDelay, begin + silentAfter}),
                 begin + stopsAfter, begin});
        }
        constexpr int maxCallers = 16;
        for (std::uint32_t i = 0, n = 2 + below(maxCallers - 1); i < n; ++i) {
            SimulatedCaller &caller = m_callers.emplace_back();
            caller.habit = static_cast<Habit>(below(4));
            caller.entry = below(static_cast<std::uint32_t>(m_entries.size()));
            caller.nextSendAt = begin + Millis{below(400)}; // Before any entry can be gone.
        }
    }

    // Lets the callers send what is due.
    void sendRequests()
    {
        for (SimulatedCaller &it : m_callers)
            act(it);
    }

    // Lets the entries and their peers take a turn. Returns false once both entries are gone.
    bool runEntries()
    {
        for (Entry &it : m_entries)
            run(it);
        m_owner.takeTurn();
        for (SimulatedCaller &caller : m_callers) {
            for (CallerConnection &it : caller.connections)
                it.receive();
        }
        return std::any_of(m_entries.begin(), m_entries.end(),
                           [](const Entry &it) { return !it.process->isGone(); });
    }

    // Returns a line for each request without a response or with an untrue one, and for each entry
    // that has discarded bytes.
    std::vector<std::string> violations() const
    {
        std::vector<std::string> lines;
        for (const SimulatedCaller &caller : m_callers) {
            for (const SimulatedCaller::Request &it : caller.requests) {
                const std::string fault = faultOf(it);
                if (!fault.empty())
                    lines.push_back(describe(caller, it) + ": " + fault);
            }
        }
        for (const Entry &it : m_entries) {
            if (const std::uint64_t bytes = it.process->discardedBytes(); bytes > 0)
                lines.push_back("seed " + std::to_string(m_seed) + ": " + std::to_string(bytes)
                                + " bytes were read and discarded");
        }
        return lines;
    }

    std::size_t requestCount() const { return m_requestCount; }

private:
    using Request = SimulatedCaller::Request;
    using Habit = SimulatedCaller::Habit;

    struct Entry
    {
        std::unique_ptr<SimulatedEntry> process;
        Instant stopAt; // When it gets its stop signal.
        Instant pausedUntil;
        bool stops = false; // It has got its stop signal.
    };

    std::uint32_t below(std::size_t n) { return static_cast<std::uint32_t>(m_random() % n); }

    void run(Entry &entry)
    {
        const Instant now = m_clock.now();
        if (entry.process->isGone() || now < entry.pausedUntil)
            return;
        if (now >= entry.stopAt && !std::exchange(entry.stops, true))
            entry.process->drain();
        entry.process->takeTurn();
        // A busy host: the entry gets no processor for a while. The end of the grace period is left
        // out, since nobody can answer there after such a pause.
        constexpr Millis pausesEnd{4'900};
        constexpr int turnsPerPause = 100;
        constexpr int maxPauseMs = 400;
        if (below(turnsPerPause) == 0 && now < entry.stopAt + pausesEnd)
            entry.pausedUntil = now + Millis{below(maxPauseMs)};
    }

    void act(SimulatedCaller &caller)
    {
        const Instant now = m_clock.now();
        if (now < caller.nextSendAt || m_entries[caller.entry].process->isGone())
            return;
        if (!caller.unsentPart.empty()) {
            caller.requests.back().isOwed =
                deliver(caller.connections.back(), std::exchange(caller.unsentPart, {}));
            caller.nextSendAt = now + Millis{below(300)};
            return;
        }
        if (caller.habit == Habit::Polite && awaitsResponse(caller))
            return;
        sendRequest(caller);
        caller.nextSendAt = now + Millis{caller.unsentPart.empty() ? below(700) : below(200)};
    }

    void sendRequest(SimulatedCaller &caller)
    {
        if (needsConnection(caller) && !openConnection(caller))
            return;
        CallerConnection &connection = caller.connections.back();
        Request request = randomRequest(caller);
        request.connection = &connection;
        request.index = requestsOn(caller, connection);
        std::string text = textOf(request);
        if (caller.habit == Habit::InTwoParts) {
            const std::size_t cut = 1 + below(text.size() - 1);
            caller.unsentPart = text.substr(cut);
            text.resize(cut);
        }
        request.isOwed = deliver(connection, text) && caller.unsentPart.empty();
        caller.requests.push_back(std::move(request));
    }

    static std::size_t requestsOn(const SimulatedCaller &caller, const CallerConnection &connection)
    {
        const auto isOnIt = [&](const Request &it) { return it.connection == &connection; };
        return static_cast<std::size_t>(
            std::count_if(caller.requests.begin(), caller.requests.end(), isOnIt));
    }

    static bool awaitsResponse(const SimulatedCaller &caller)
    {
        if (caller.connections.empty())
            return false;
        const CallerConnection &last = caller.connections.back();
        return !last.hasEnded() && last.statuses().size() < requestsOn(caller, last);
    }

    // Sends the bytes. Returns false if the entry has closed its side before.
    static bool deliver(CallerConnection &connection, const std::string &bytes)
    {
        const bool wasOpen = !connection.hasEnded();
        return connection.send(bytes) && wasOpen;
    }

    static bool needsConnection(const SimulatedCaller &caller)
    {
        if (caller.connections.empty())
            return true;
        const CallerConnection &last = caller.connections.back();
        if (caller.habit == Habit::Polite)
            return last.askedToClose() || last.hasEnded();
        return caller.habit != Habit::Stubborn;
    }

    // Returns false if the entry takes no more connections.
    bool openConnection(SimulatedCaller &caller)
    {
        if (caller.connections.emplace_back().open(m_entries[caller.entry].process->callers()))
            return true;
        caller.connections.pop_back();
        return false;
    }

    Request randomRequest(const SimulatedCaller &caller)
    {
        const char *const methods[] = {"POST", "POST", "GET", "DELETE", "COUNT", "PUT"};
        Request request;
        request.method = methods[below(std::size(methods))];
        request.id = "id" + std::to_string(1'000'000 + m_requestCount++);
        request.sentAt = m_clock.now() - m_entries[caller.entry].stopAt;
        return request;
    }

    std::string textOf(const Request &request)
    {
        const bool counts = request.method == "COUNT";
        std::string text = (counts ? "GET" : request.method) + " /q/" + (counts ? "" : request.id)
            + " HTTP/1.1\r\nHost: jobs.example\r\n";
        if (below(3) == 0)
            text += "Patience: short\r\n";
        if (request.method == "POST")
            return text + "Content-Length: 3\r\n\r\njob";
        return text + "\r\n";
    }

    // Returns what is wrong with the outcome of a request, or an empty text.
    std::string faultOf(const Request &request) const
    {
        if (!request.isOwed)
            return {};
        const std::vector<int> &statuses = request.connection->statuses();
        if (request.index >= statuses.size())
            return "no response";
        const int status = statuses[request.index];
        const bool isTaken = request.method == "POST" && isAccepted(request.id);
        const bool refused = status == 503 || status == 404;
        if (refused && isTaken)
            return "refused with " + std::to_string(status) + " but accepted";
        if (status == 200 && request.method == "POST" && !isTaken)
            return "told to be accepted but lost";
        return {};
    }

    bool isAccepted(const std::string &jobId) const
    {
        if (m_owner.hasJob(jobId))
            return true;
        const std::vector<Row> rows = m_table.scan("", "", 100'000);
        return std::any_of(rows.begin(), rows.end(), [&](const Row &it) {
            return it.value.find(jobId) != std::string::npos;
        });
    }

    std::string describe(const SimulatedCaller &caller, const Request &request) const
    {
        const char *const habits[] = {"new connections", "in two parts", "polite", "stubborn"};
        return "seed " + std::to_string(m_seed) + ", " + request.id + " " + request.method
            + " to entry " + std::to_string(caller.entry) + ", caller "
            + habits[static_cast<int>(caller.habit)] + ", request " + std::to_string(request.index)
            + " of its connection, sent " + std::to_string(request.sentAt.count())
            + " ms after the stop signal";
    }

    const std::uint32_t m_seed;
    std::mt19937 m_random;
    BootClock m_clock;
    mutable FakeTable m_table;
    ErraticOwner m_owner;
    std::vector<Entry> m_entries;
    std::list<SimulatedCaller> m_callers;
    std::size_t m_requestCount = 0;
};

} // namespace savorywick::testing
