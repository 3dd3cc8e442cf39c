#include "json.h"
#include "routes.h"

#include "core/httpclient.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

using namespace savorywick;
using namespace savorywick::standin;

namespace {

constexpr auto drainLimit = std::chrono::milliseconds{2'000};

struct Options
{
    std::string listen = "127.0.0.1:0";
    std::string platform;
    int maxSeconds = 900;
    int serviceMs = 2;
    HostInfo host;
};

void addCommonOptions(CLI::App &app, Options &options)
{
    app.add_option("--listen", options.listen, "Address to listen on; port 0 takes a free one");
    app.add_option("--max-seconds", options.maxSeconds, "Stops by itself after this time");
}

void addHostOptions(CLI::App &app, Options &options)
{
    auto &host = options.host;
    app.add_option("--platform", options.platform, "The platform's address, to be listed there");
    app.add_option("--id", host.id)->required();
    app.add_option("--zone", host.availabilityZone);
    app.add_option("--region", host.region);
    app.add_option("--rack", host.rack);
}

void addUpstreamOptions(CLI::App &app, Options &options)
{
    auto &host = options.host;
    app.add_option("--service", host.service)->required();
    app.add_option("--slots", host.slots)->default_val(8);
    app.add_option("--connections", host.connections)->default_val(64);
    app.add_option("--service-ms", options.serviceMs);
}

void addWorkerOptions(CLI::App &app, Options &options)
{
    auto &host = options.host;
    app.add_option("--cores", host.cores)->default_val(64);
    app.add_option("--memory-mb", host.memoryMb)->default_val(250'000);
    app.add_option("--accelerators", host.accelerators)->default_val(0);
}

Json::Value hostJson(const HostInfo &host)
{
    Json::Value value;
    value["id"] = host.id;
    value["role"] = host.role == HostRole::Worker ? "worker" : "upstream";
    value["state"] = "live";
    value["address"] = host.address;
    value["availabilityZone"] = host.availabilityZone;
    value["region"] = host.region;
    value["rack"] = host.rack;
    value["service"] = host.service;
    value["slots"] = host.slots;
    value["connections"] = host.connections;
    value["cores"] = host.cores;
    value["memoryMb"] = host.memoryMb;
    value["accelerators"] = host.accelerators;
    return value;
}

void callMembership(const Options &options, const std::string &method, const std::string &body)
{
    HttpClient client;
    const HttpAnswer answer = client.exchange({.address = options.platform,
                                               .method = method,
                                               .path = "/membership/" + options.host.id,
                                               .body = body});
    if (method == "PUT" && answer.status != 204)
        throw std::runtime_error("the platform at " + options.platform
                                 + " does not answer; start it first");
}

// Waits for SIGTERM or SIGINT, `maxSeconds` at most. Both must be blocked.
void waitForEnd(const sigset_t &signals, int maxSeconds)
{
    const timespec limit{maxSeconds, 0};
    sigtimedwait(&signals, nullptr, &limit);
}

// Starts `server`, lists the host if a platform is given, and serves until the end.
void serve(Server &server, Options options, const sigset_t &signals)
{
    const auto colon = options.listen.rfind(':');
    const std::string address = options.listen.substr(0, colon);
    const int port = server.start(address, std::stoi(options.listen.substr(colon + 1)));
    options.host.address = address + ":" + std::to_string(port);
    if (!options.platform.empty())
        callMembership(options, "PUT", toText(hostJson(options.host)));
    Json::Value line;
    line["event"] = "listening";
    line["address"] = options.host.address;
    std::cout << toText(line) << std::endl;
    waitForEnd(signals, options.maxSeconds);
    if (!options.platform.empty())
        callMembership(options, "DELETE", "");
    server.drain(drainLimit);
}

int run(int argc, char **argv)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    Options options;
    CLI::App app{"Test-only stand-ins for the platform, an upstream and a worker"};
    app.require_subcommand(1);
    auto *platform = app.add_subcommand("platform", "Table, object store and membership list");
    auto *upstream = app.add_subcommand("upstream", "One upstream instance");
    auto *worker = app.add_subcommand("worker", "One worker");
    for (auto *it : {platform, upstream, worker}) {
        addCommonOptions(*it, options);
    }
    addHostOptions(*upstream, options);
    addHostOptions(*worker, options);
    addUpstreamOptions(*upstream, options);
    addWorkerOptions(*worker, options);
    CLI11_PARSE(app, argc, argv);

    Server server;
    if (platform->parsed()) {
        addTable(server);
        addObjects(server);
        addMembership(server);
    } else if (upstream->parsed()) {
        options.host.role = HostRole::Upstream;
        addUpstream(server, options.host, std::chrono::milliseconds{options.serviceMs});
    } else {
        options.host.role = HostRole::Worker;
        addWorker(server, options.host);
    }
    serve(server, options, signals);
    // Idle connections would hold the server's threads for as long as their peers keep them.
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
