#pragma once

#include "../lib/faketable.h"
#include "node/asyncstore.h"
#include "node/asyncworkerclient.h"
#include "node/node.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace savorywick::testing {

// A table shared by all entries of a test. It calls back before the call returns.
class ImmediateTable : public AsyncTable
{
public:
    void commit(const Transaction &t, CommitCallback done) override { done(m_rows.commit(t)); }
    void read(const std::vector<std::string> &keys, ReadCallback done) override
    {
        done(m_rows.read(keys));
    }
    void scan(const std::string &prefix, const std::string &after, std::size_t limit,
              ReadCallback done) override
    {
        done(m_rows.scan(prefix, after, limit));
    }
    FakeTable &rows() { return m_rows; }

private:
    FakeTable m_rows;
};

// An object store that stores nothing. It holds one object, or none.
class UnavailableObjectStore final : public AsyncObjectStore
{
public:
    void put(const std::string &, const std::string &, PutCallback done) override
    {
        ++putCount;
        done(false);
    }
    void fetch(const std::string &, FetchCallback done) override { done(object); }
    void remove(const std::string &) override { }

    std::optional<std::string> object;
    int putCount = 0;
};

// A worker connection that never replies.
class UnresponsiveWorkers final : public AsyncWorkerClient
{
public:
    void renew(const steps::RenewLeaseCommand &, RenewCallback) override { }
    void start(const steps::StartRunCommand &, OrderCallback) override { }
    void stop(const steps::StopRunCommand &, OrderCallback) override { }
    void throttle(const steps::ThrottleRunCommand &, OrderCallback) override { }
};

// A cluster with one queue and no workers.
class OneQueueFeed final : public ClusterFeed
{
public:
    void watchQueues(std::function<void(steps::QueueConfiguration)> listener) override
    {
        steps::QueueConfiguration configuration;
        configuration.version = 1;
        configuration.queues = {{"jobs.example", "/q/", {}}};
        configuration.queues[0].policy.queue = "q";
        listener(std::move(configuration));
    }
    void watchWorkers(std::function<void(std::vector<steps::WorkerInfo>)> listener) override
    {
        listener({});
    }
    void unwatchWorkers() override { }
};

// Returns an address that was free a moment ago.
inline std::string freeAddress()
{
    EventLoop loop;
    AsyncHttpServer server(loop, {},
                           [](const HttpRequest &, const AsyncHttpServer::Responder &) {});
    return server.listen("127.0.0.1:0");
}

} // namespace savorywick::testing
