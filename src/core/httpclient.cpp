#include "core/httpclient.h"

#include <httplib.h>

#include <chrono>

namespace savorywick {

namespace {

constexpr std::size_t maxIdleConnectionsPerAddress = 64;
constexpr Millis connectTimeout{500};

using StdSteadyClock = std::chrono::steady_clock;

// Returns a client of "IP:PORT", which connects on its first request.
httplib::Client makeClient(const std::string &address)
{
    const auto colon = address.rfind(':');
    const int port = colon == std::string::npos ? 0 : std::atoi(address.c_str() + colon + 1);
    httplib::Client client(address.substr(0, colon), port);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_decompress(false);
    return client;
}

httplib::Request toHttplibRequest(const HttpCall &call)
{
    httplib::Request req;
    req.method = call.method;
    req.path = call.path;
    for (const HttpHeader &it : call.headers)
        req.set_header(it.name, it.value);
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
        req.set_header("Content-Type", call.contentType);
        req.body = call.body;
    }
    return req;
}

HttpOutcome toOutcome(httplib::Error error, bool deadlinePassed)
{
    if (error == httplib::Error::Success)
        return HttpOutcome::ResponseReceived;
    if (error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout
        || error == httplib::Error::BindIPAddress)
        return HttpOutcome::NotSent;
    return deadlinePassed ? HttpOutcome::TimedOut : HttpOutcome::ConnectionLost;
}

// Returns true if and only if the body is as long as Content-Length says. cpp-httplib reports most
// truncated bodies as errors, but not all. The response to HEAD declares a length without a body.
bool isComplete(const httplib::Response &res, std::string_view method)
{
    if (method == "HEAD" || !res.has_header("Content-Length"))
        return true;
    return res.get_header_value<std::uint64_t>("Content-Length") == res.body.size();
}

} // namespace

struct HttpClient::Connection
{
    explicit Connection(const std::string &address)
        : client(makeClient(address))
    { }
    httplib::Client client;
};

HttpClient::HttpClient() = default;
HttpClient::~HttpClient() = default;

HttpResult HttpClient::exchange(const HttpCall &call)
{
    const auto timeout = std::chrono::milliseconds(std::max<std::int64_t>(1, call.timeout.count()));
    const auto deadline = StdSteadyClock::now() + timeout;
    auto connection = acquireIdleConnection(call.address);
    if (!connection)
        connection = std::make_unique<Connection>(call.address);

    httplib::Client &client = connection->client;
    const std::chrono::milliseconds connectLimit(connectTimeout.count());
    client.set_connection_timeout(std::min(timeout, connectLimit));
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout);
    httplib::Request req = toHttplibRequest(call);
    // The read and write time-outs bound single operations; this check bounds the whole call.
    req.progress = [&](std::uint64_t received, std::uint64_t total) {
        return StdSteadyClock::now() < deadline
            && std::max(received, total) <= call.maxResponseBytes;
    };
    httplib::Response res;
    httplib::Error error = httplib::Error::Success;
    const bool sent = client.send(req, res, error);

    HttpResult result;
    result.outcome =
        toOutcome(sent ? httplib::Error::Success : error, StdSteadyClock::now() >= deadline);
    if (!sent)
        return result;
    if (!isComplete(res, call.method)) {
        result.outcome = HttpOutcome::ConnectionLost;
        return result;
    }
    if (!call.requiredResponseHeader.name.empty()
        && res.get_header_value(call.requiredResponseHeader.name)
            != call.requiredResponseHeader.value) {
        result.outcome = HttpOutcome::ResponseMismatch;
        return result;
    }
    result.status = res.status;
    for (auto &it : res.headers)
        result.headers.push_back({it.first, it.second});
    result.body = std::move(res.body);
    releaseIdleConnection(call.address, std::move(connection));
    return result;
}

std::unique_ptr<HttpClient::Connection>
HttpClient::acquireIdleConnection(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_idleConnections.find(address);
    if (it == m_idleConnections.end() || it->second.empty())
        return nullptr;
    auto connection = std::move(it->second.back());
    it->second.pop_back();
    return connection;
}

void HttpClient::releaseIdleConnection(const std::string &address,
                                       std::unique_ptr<Connection> connection)
{
    const std::lock_guard lock(m_mutex);
    auto &idleConnections = m_idleConnections[address];
    if (idleConnections.size() < maxIdleConnectionsPerAddress)
        idleConnections.push_back(std::move(connection));
}

} // namespace savorywick
