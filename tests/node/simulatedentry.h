#pragma once

#include "core/bootclock.h"
#include "fakeplatform.h"
#include "node/node.h"
#include "plaincodec.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>

namespace savorywick::testing {

// How the store behaves towards one entry.
struct StoreBehaviour
{
    Millis delay; // Until a reply.
    Instant silentFrom; // No more replies from then on, though commits take effect.
};

// A table shared by several entries that replies to one of them after a delay, or not any more.
class DelayedTable final : public AsyncTable
{
public:
    DelayedTable(FakeTable &rows, EventLoop &loop, const Clock &clock, const StoreBehaviour &store)
        : m_rows(rows)
        , m_loop(loop)
        , m_clock(clock)
        , m_store(store)
    { }

    void commit(const Transaction &t, CommitCallback done) override
    {
        reply([done = std::move(done), result = m_rows.commit(t)] { done(result); });
    }
    void read(const std::vector<std::string> &keys, ReadCallback done) override
    {
        reply([done = std::move(done), rows = m_rows.read(keys)] { done(rows); });
    }
    void scan(const std::string &prefix, const std::string &after, std::size_t limit,
              ReadCallback done) override
    {
        reply([done = std::move(done), rows = m_rows.scan(prefix, after, limit)] { done(rows); });
    }

private:
    void reply(std::function<void()> callback)
    {
        if (m_clock.now() >= m_store.silentFrom)
            return;
        if (m_store.delay == Millis{0})
            callback();
        else
            m_loop.runAfter(m_store.delay, std::move(callback));
    }

    FakeTable &m_rows;
    EventLoop &m_loop;
    const Clock &m_clock;
    const StoreBehaviour m_store;
};

// Handles what is due and what has arrived before the call, without waiting. Returns false if the
// loop was stopped meanwhile.
inline bool runReady(EventLoop &loop)
{
    bool endsTurn = false;
    // The loop looks for events on sockets between two posted callbacks.
    loop.post([&] {
        loop.post([&] {
            loop.post([&] {
                endsTurn = true;
                loop.stop();
            });
        });
    });
    loop.run();
    return endsTurn;
}

// An entry with an event loop of its own that runs only in takeTurn(). Between two turns it is as
// if its process had no processor. It is gone, with all its sockets, once it has stopped its loop.
class SimulatedEntry
{
public:
    SimulatedEntry(const std::string &name, FakeTable &table, const StoreBehaviour &store)
        : m_process(std::make_unique<Process>(name, table, store))
        , m_callers(m_process->node.start().callers)
    { }

    const std::string &callers() const { return m_callers; }
    void drain() { m_process->node.drain(); }
    bool isGone() const { return !m_process; }

    // Handles what is due, and what has arrived before the call.
    void takeTurn()
    {
        if (runReady(m_process->loop))
            return;
        m_discardedBytes = counterIn(m_process->node.metrics(), "caller_bytes_discarded_total");
        m_process.reset();
    }

    // Returns the bytes of callers that the entry had read in vain when it was gone.
    std::uint64_t discardedBytes() const { return m_discardedBytes; }

private:
    struct Process
    {
        Process(const std::string &name, FakeTable &rows, const StoreBehaviour &store)
            : http(loop)
            , table(rows, loop, clock, store)
            , node(settings(name), loop, clock, http, {table, objects, workers, feed, codec})
        { }

        static NodeSettings settings(const std::string &name)
        {
            NodeSettings s;
            s.name = name;
            s.callersAddress = "127.0.0.1:0";
            s.readinessAddress = "127.0.0.1:0";
            s.peersAddress = freeAddress();
            s.minDrainTime = Millis{800};
            return s;
        }

        EventLoop loop;
        BootClock clock;
        UnavailableObjectStore objects;
        UnresponsiveWorkers workers;
        OneQueueFeed feed;
        PlainCodec codec;
        AsyncHttpClient http;
        DelayedTable table;
        Node node;
    };

    // Returns the value of a counter: what follows the last mention of its name.
    static std::uint64_t counterIn(const std::string &metrics, const std::string &name)
    {
        const std::size_t at = metrics.rfind(name);
        if (at == std::string::npos)
            throw std::runtime_error("no metric " + name);
        return std::stoull(metrics.substr(at + name.size()));
    }

    std::unique_ptr<Process> m_process;
    std::string m_callers;
    std::uint64_t m_discardedBytes = 0;
};

} // namespace savorywick::testing
