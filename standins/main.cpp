#include "routes.h"

#include "core/httpclient.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>

using namespace savorywick;
using namespace savorywick::standin;

namespace {

constexpr std::chrono::milliseconds drainTimeout{2'000};

struct Options
{
    std::string listen = "127.0.0.1:0";
    std::string platform;
    int maxSeconds = 900;
    int serviceMs = 2;
    HostInfo host;
};

Json::Value hostJson(const HostInfo &host)
{
    return jsonObject({{"id", host.id},
                       {"role", host.role == HostRole::Worker ? "worker" : "upstream"},
                       {"state", "live"},
                       {"address", host.address},
                       {"availabilityZone", host.availabilityZone},
                       {"region", host.region},
                       {"rack", host.rack},
                       {"service", host.service},
                       {"slots", host.slots},
                       {"connections", host.connections},
                       {"cores", host.cores},
                       {"memoryMb", host.memoryMb},
                       {"accelerators", host.accelerators}});
}

// Puts (`method` PUT) or removes (DELETE) this host in the platform's membership list. Does
// nothing if no platform is given.
// Throws std::runtime_error if a PUT doesn't succeed.
void sendMembershipRequest(const Options &options, const std::string &method,
                           const std::string &body)
{
    if (options.platform.empty())
        return;
    HttpClient client;
    const std::string path = "/membership/" + options.host.id;
    const HttpResult answer = client.exchange(
        {.address = options.platform, .method = method, .path = path, .body = body});
    if (method == "PUT" && answer.status != 204)
        throw std::runtime_error(
            "the platform did not accept the membership entry; check that it is running");
}

// Waits up to `maxSeconds` for SIGTERM or SIGINT. Both must be blocked.
void waitForTermination(const sigset_t &signals, int maxSeconds)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{maxSeconds};
    const timespec period{1, 0};
    // Pausing and resuming the process interrupts the wait, which must not end it.
    while (sigtimedwait(&signals, nullptr, &period) < 0 && std::chrono::steady_clock::now() < end) {
    }
}

// Starts `server`, adds the host to the membership list if a platform is given, and serves until
// SIGTERM, SIGINT or the maximum time.
void serve(Server &server, Options &options, const sigset_t &signals)
{
    const auto colon = options.listen.rfind(':');
    const std::string address = options.listen.substr(0, colon);
    const int port = server.start(address, std::stoi(options.listen.substr(colon + 1)));
    options.host.address = address + ":" + std::to_string(port);
    sendMembershipRequest(options, "PUT", toCompactJson(hostJson(options.host)));
    std::cout << toCompactJson(
        jsonObject({{"event", "listening"}, {"address", options.host.address}}))
              << std::endl;
    waitForTermination(signals, options.maxSeconds);
    sendMembershipRequest(options, "DELETE", "");
    server.drain(drainTimeout);
}

int run(int argc, char **argv)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    Options options;
    HostInfo &host = options.host;
    CLI::App app{"Test-only stand-ins for the platform, an upstream and a worker"};
    app.require_subcommand(1);
    auto *platform = app.add_subcommand("platform", "Table, object store and membership list");
    auto *upstream = app.add_subcommand("upstream", "One upstream instance");
    auto *worker = app.add_subcommand("worker", "One worker");
    for (auto *it : {platform, upstream, worker}) {
        it->add_option("--listen", options.listen,
                       "Address to listen on; port 0 selects a free port");
        it->add_option("--max-seconds", options.maxSeconds, "Exits after this many seconds");
    }
    for (auto *it : {upstream, worker}) {
        it->add_option("--platform", options.platform,
                       "Address of the platform whose membership list this host joins");
        it->add_option("--id", host.id)->required();
        it->add_option("--zone", host.availabilityZone);
        it->add_option("--region", host.region);
        it->add_option("--rack", host.rack);
    }
    upstream->add_option("--service", host.service)->required();
    upstream->add_option("--slots", host.slots, "Concurrent requests, 8 by default");
    upstream->add_option("--connections", host.connections,
                         "Concurrent connections, 64 by default");
    upstream->add_option("--service-ms", options.serviceMs);
    worker->add_option("--cores", host.cores, "Cores, 64 by default");
    worker->add_option("--memory-mb", host.memoryMb, "Memory in MB, 250000 by default");
    worker->add_option("--accelerators", host.accelerators);
    upstream->preparse_callback([&host](std::size_t) { host.slots = 8, host.connections = 64; });
    worker->preparse_callback([&host](std::size_t) { host.cores = 64, host.memoryMb = 250'000; });
    CLI11_PARSE(app, argc, argv);

    Server server;
    if (platform->parsed()) {
        addTable(server);
        addObjects(server);
        addMembership(server);
    } else if (upstream->parsed()) {
        addUpstream(server, host, std::chrono::milliseconds{options.serviceMs});
    } else {
        host.role = HostRole::Worker;
        addWorker(server, host);
    }
    serve(server, options, signals);
    // Exits without joining the server's threads: an idle connection keeps its thread running for
    // as long as the peer leaves it open.
    std::_Exit(EXIT_SUCCESS);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &e) {
        std::cerr << "savorywick-standin: " << e.what() << "\n";
        std::_Exit(EXIT_FAILURE);
    }
}
