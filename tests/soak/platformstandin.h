#pragma once

#include "core/bootclock.h"
#include "net/asynchttpserver.h"
#include "net/eventloop.h"

#include <json/value.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace savorywick::testing {

// What is wrong with the store.
enum class StoreFault {
    None,
    Refuses, // It answers 503 and does nothing.
    Silent, // It neither does nor answers anything.
    LosesAnswers, // Some calls are carried out and not answered.
    Slow, // Each call takes a third of a second.
};

// Stands in for the platform's store: rows with conditional transactions and a feed of changes, and
// objects, all in memory and served over HTTP as the platform's protocol says.
//
// Use one in a soak, on the loop of the soak. It must outlive no loop. Not thread-safe.
//
// Example:
//   PlatformStandIn store(loop, clock, "127.0.0.1:8169", seed);
//   store.put("op", "config", configuration);
//   store.setFault(StoreFault::Refuses);
class PlatformStandIn
{
public:
    PlatformStandIn(EventLoop &loop, const BootClock &clock, const std::string &address,
                    unsigned seed);

    // Sets or removes a row that the platform itself writes; its part is empty.
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);

    void setFault(StoreFault fault);
    // Drops the changes so far, so that who follows them must read the tables anew.
    void forgetHistory();

private:
    struct RowKey
    {
        std::string table;
        std::string part;
        std::string key;

        // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the default.
        auto operator<=>(const RowKey &) const = default;
    };
    struct StoredValue
    {
        std::string encoded; // In base64, as it is sent.
        std::uint64_t version = 0;
    };
    struct Change
    {
        RowKey row;
        std::string encoded;
        std::uint64_t version = 0;
        bool deleted = false;
    };
    // A reading of changes that waits for the next one.
    struct WaitingFeed
    {
        std::string table;
        std::uint64_t after = 0;
        Instant until;
        AsyncHttpServer::Responder respond;
    };

    void handle(const HttpRequest &request, AsyncHttpServer::Responder respond);
    void execute(const HttpRequest &request, const AsyncHttpServer::Responder &respond);
    void transact(const HttpRequest &request, const AsyncHttpServer::Responder &respond);
    void readRows(const HttpRequest &request, const AsyncHttpServer::Responder &respond) const;
    void readFeed(const HttpRequest &request, const AsyncHttpServer::Responder &respond);
    void useObject(const HttpRequest &request, const AsyncHttpServer::Responder &respond);
    // Record the change under the present version, which all rows of a transaction share.
    void set(const RowKey &row, const std::string &encoded);
    void erase(const RowKey &row);
    std::uint64_t versionOf(const RowKey &row) const;
    // Returns the changes of the table after the version, or null if there is none.
    Json::Value changesAfter(const std::string &table, std::uint64_t after) const;
    void answerFeeds();
    void answerFeedsInTime();
    Json::Value envelope() const;

    EventLoop &m_loop;
    const BootClock &m_clock;
    std::mt19937 m_random;
    StoreFault m_fault = StoreFault::None;
    std::map<RowKey, StoredValue> m_rows;
    std::map<std::string, std::string> m_objects;
    std::vector<Change> m_changes;
    std::uint64_t m_version = 0;
    std::uint64_t m_forgottenVersion = 0; // Changes up to it are gone.
    std::vector<WaitingFeed> m_waitingFeeds;
    std::vector<AsyncHttpServer::Responder> m_unanswered;
    std::unique_ptr<AsyncHttpServer> m_server;
};

} // namespace savorywick::testing
