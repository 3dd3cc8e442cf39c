#pragma once

#include "../lib/faketable.h"
#include "core/bootclock.h"
#include "node/asyncstore.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace savorywick::testing {

// Carries messages between the parts of a test, each after a delay.
class TestNetwork
{
public:
    explicit TestNetwork(unsigned seed)
        : m_random(seed)
    { }

    // Returns a time from `first` to `last`.
    Millis between(Millis first, Millis last)
    {
        return Millis{
            std::uniform_int_distribution<std::int64_t>(first.count(), last.count())(m_random)};
    }
    bool chance(double probability) { return std::bernoulli_distribution(probability)(m_random); }
    // Runs `action` when deliver() is called after the delay.
    void send(Millis delay, std::function<void()> action)
    {
        m_messages.emplace(m_clock.now() + delay, std::move(action));
    }
    void deliver()
    {
        while (!m_messages.empty() && m_messages.begin()->first <= m_clock.now())
            m_messages.extract(m_messages.begin()).mapped()();
    }

private:
    BootClock m_clock;
    std::mt19937 m_random;
    std::multimap<Instant, std::function<void()>> m_messages;
};

// What the calls of one entry to the store meet.
enum class StoreFault {
    None,
    Slow,
    Down, // The store refuses each call at once.
    LoseRequest, // Calls have no effect and get no answer.
    LoseReply, // Calls take effect and get no answer.
    Late, // Calls get no answer and take effect afterwards, if their conditions still hold.
};

// The rows and objects of a store that several entries share.
struct SharedStore
{
    FakeTable rows;
    std::map<std::string, std::string> objects;
};

// One entry's way to the store. Replies after its destruction are dropped.
class StorePath final : public AsyncTable, public AsyncObjectStore
{
public:
    StorePath(SharedStore &store, TestNetwork &network)
        : m_store(store)
        , m_network(network)
    { }

    void commit(const Transaction &t, CommitCallback done) override
    {
        call([&rows = m_store.rows, t] { return rows.commit(t); },
             CommitResult{CommitOutcome::Unavailable, 0}, CommitResult{CommitOutcome::Unknown, 0},
             std::move(done));
    }
    void read(const std::vector<std::string> &keys, ReadCallback done) override
    {
        readRows([&rows = m_store.rows, keys] { return rows.read(keys); }, std::move(done));
    }
    void scan(const std::string &prefix, const std::string &after, std::size_t limit,
              ReadCallback done) override
    {
        readRows([&rows = m_store.rows, prefix, after,
                  limit] { return rows.scan(prefix, after, limit); },
                 std::move(done));
    }
    void put(const std::string &name, const std::string &bytes, PutCallback done) override
    {
        call(
            [&objects = m_store.objects, name, bytes] {
                objects[name] = bytes;
                return true;
            },
            false, false, std::move(done));
    }
    void fetch(const std::string &name, FetchCallback done) override
    {
        using Object = std::optional<std::string>;
        const auto find = [&objects = m_store.objects, name] {
            const auto it = objects.find(name);
            return it == objects.end() ? Object() : Object(it->second);
        };
        call(find, Object(), Object(), std::move(done));
    }
    void remove(const std::string &name) override
    {
        call(
            [&objects = m_store.objects, name] {
                objects.erase(name);
                return true;
            },
            false, false, [](bool) {});
    }

    StoreFault fault = StoreFault::None;

private:
    void readRows(std::function<std::vector<Row>()> get, ReadCallback done)
    {
        using Rows = std::optional<std::vector<Row>>;
        call([get = std::move(get)] { return Rows(get()); }, Rows{}, Rows{}, std::move(done));
    }

    // Passes to `done` what `apply` returns, or one of the others if the store refuses the call or
    // does not answer it.
    template<typename Apply, typename Result, typename Done>
    void call(Apply apply, Result refused, Result unanswered, Done done)
    {
        const Millis delay = fault == StoreFault::Slow ? m_network.between(Millis{60}, Millis{300})
                                                       : m_network.between(Millis{1}, Millis{4});
        switch (fault) {
        case StoreFault::None:
        case StoreFault::Slow:
            m_network.send(delay, [&network = m_network, apply, done, delay, alive = alive()] {
                network.send(delay, [done, result = Result(apply()), alive] {
                    if (!alive.expired())
                        done(result);
                });
            });
            return;
        case StoreFault::Down:
            return reply(delay, done, refused);
        case StoreFault::LoseRequest:
            return reply(answerTimeout, done, unanswered);
        case StoreFault::LoseReply:
            m_network.send(delay, [apply] { apply(); });
            return reply(answerTimeout, done, unanswered);
        case StoreFault::Late:
            m_network.send(m_network.between(Millis{50}, Millis{900}), [apply] { apply(); });
            return reply(answerTimeout, done, unanswered);
        }
    }
    template<typename Result, typename Done>
    void reply(Millis delay, Done done, Result result)
    {
        m_network.send(delay, [done, result, alive = alive()] {
            if (!alive.expired())
                done(result);
        });
    }
    std::weak_ptr<int> alive() const { return m_alive; }

    static constexpr Millis answerTimeout{120};

    SharedStore &m_store;
    TestNetwork &m_network;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace savorywick::testing
