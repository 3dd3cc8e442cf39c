#include "core/httpclient.h"

#include <httplib.h>

#include <chrono>

namespace savorywick {

namespace {

constexpr std::size_t maxIdlePerAddress = 64;
constexpr Millis connectTimeout{500};

using SteadyTime = std::chrono::steady_clock;

httplib::Client connectTo(const std::string &address)
{
    const auto colon = address.rfind(':');
    const int port = colon == std::string::npos ? 0 : std::atoi(address.c_str() + colon + 1);
    httplib::Client client(address.substr(0, colon), port);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_decompress(false);
    return client;
}

httplib::Request toRequest(const HttpCall &call)
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

HttpOutcome outcomeOf(httplib::Error error, bool late)
{
    if (error == httplib::Error::Success)
        return HttpOutcome::Answered;
    if (error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout
        || error == httplib::Error::BindIPAddress)
        return HttpOutcome::NotSent;
    return late ? HttpOutcome::TimedOut : HttpOutcome::Broken;
}

// A body shorter than declared is no answer; cpp-httplib reports most, not all, of these itself.
bool isWhole(const httplib::Response &res, std::string_view method)
{
    if (method == "HEAD" || !res.has_header("Content-Length"))
        return true;
    return res.get_header_value<std::uint64_t>("Content-Length") == res.body.size();
}

} // namespace

struct HttpClient::Connection
{
    explicit Connection(const std::string &address)
        : client(connectTo(address))
    { }
    httplib::Client client;
};

HttpClient::HttpClient() = default;
HttpClient::~HttpClient() = default;

HttpAnswer HttpClient::exchange(const HttpCall &call)
{
    const auto span = std::chrono::milliseconds(std::max<std::int64_t>(1, call.timeout.count()));
    const auto deadline = SteadyTime::now() + span;
    auto connection = takeIdle(call.address);
    if (!connection)
        connection = std::make_unique<Connection>(call.address);

    httplib::Client &client = connection->client;
    const std::chrono::milliseconds connectSpan(connectTimeout.count());
    client.set_connection_timeout(std::min(span, connectSpan));
    client.set_read_timeout(span);
    client.set_write_timeout(span);
    httplib::Request req = toRequest(call);
    req.progress = [&](std::uint64_t n, std::uint64_t total) {
        return SteadyTime::now() < deadline && std::max(n, total) <= call.maxAnswerBytes;
    };
    httplib::Response res;
    httplib::Error error = httplib::Error::Success;
    const bool sent = client.send(req, res, error);

    HttpAnswer answer;
    answer.outcome =
        outcomeOf(sent ? httplib::Error::Success : error, SteadyTime::now() >= deadline);
    if (!sent)
        return answer;
    if (!isWhole(res, call.method)) {
        answer.outcome = HttpOutcome::Broken;
        return answer;
    }
    if (!call.echo.name.empty() && res.get_header_value(call.echo.name) != call.echo.value) {
        answer.outcome = HttpOutcome::Crossed;
        return answer;
    }
    answer.status = res.status;
    for (auto &it : res.headers)
        answer.headers.push_back({it.first, it.second});
    answer.body = std::move(res.body);
    keepIdle(call.address, std::move(connection));
    return answer;
}

std::unique_ptr<HttpClient::Connection> HttpClient::takeIdle(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_idle.find(address);
    if (it == m_idle.end() || it->second.empty())
        return nullptr;
    auto connection = std::move(it->second.back());
    it->second.pop_back();
    return connection;
}

void HttpClient::keepIdle(const std::string &address, std::unique_ptr<Connection> connection)
{
    const std::lock_guard lock(m_mutex);
    auto &idle = m_idle[address];
    if (idle.size() < maxIdlePerAddress)
        idle.push_back(std::move(connection));
}

} // namespace savorywick
