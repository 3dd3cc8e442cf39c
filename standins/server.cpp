#include "server.h"

#include <httplib.h>

#include <poll.h>
#include <sys/socket.h>

#include <atomic>
#include <limits>
#include <thread>

namespace savorywick::standin {

namespace {

constexpr int ioTimeoutMs = 5'000;
// Announced to clients in the Keep-Alive header; the server itself never closes an idle connection.
constexpr time_t idleSeconds = 3'600;
constexpr int listenBacklog = 1'024;
constexpr std::chrono::milliseconds drainPollInterval{5};

// The state of the connection that the current thread serves: how many connections were open when
// it opened, and whether it must be closed without sending more.
thread_local int openConnectionCount = 0;
thread_local bool closeConnection = false;

// A buffered stream over a connected socket. It sends nothing once the connection must be closed.
class ConnectionStream final : public httplib::Stream
{
public:
    explicit ConnectionStream(socket_t socket)
        : m_socket(socket)
    { }

    bool is_readable() const override { return waitFor(POLLIN, ioTimeoutMs); }
    bool is_writable() const override { return waitFor(POLLOUT, ioTimeoutMs); }
    void get_remote_ip_and_port(std::string &, int &) const override { }
    void get_local_ip_and_port(std::string &, int &) const override { }
    socket_t socket() const override { return m_socket; }

    ssize_t read(char *bytes, size_t size) override
    {
        if (m_start == m_end) {
            if (!is_readable())
                return -1;
            const ssize_t n = ::recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
            if (n <= 0)
                return n;
            m_start = 0;
            m_end = std::size_t(n);
        }
        const std::size_t n = std::min(size, m_end - m_start);
        std::copy_n(m_buffer.data() + m_start, n, bytes);
        m_start += n;
        return ssize_t(n);
    }

    ssize_t write(const char *bytes, size_t size) override
    {
        return closeConnection ? -1 : ::send(m_socket, bytes, size, MSG_NOSIGNAL);
    }

    // Waits without a limit for the next request. Returns true if data or the end of the connection
    // has arrived, and false if polling failed.
    bool waitForRequest() const { return m_start < m_end || waitFor(POLLIN, -1); }

private:
    bool waitFor(short event, int timeoutMs) const
    {
        pollfd it{m_socket, event, 0};
        return ::poll(&it, 1, timeoutMs) > 0;
    }

    const socket_t m_socket;
    std::array<char, 16'384> m_buffer{};
    std::size_t m_start = 0;
    std::size_t m_end = 0;
};

// Runs each connection on a thread of its own until the connection closes.
class ThreadPerConnection final : public httplib::TaskQueue
{
public:
    void enqueue(std::function<void()> task) override { std::thread{std::move(task)}.detach(); }
    void shutdown() override { }
};

// Keeps connections alive without limit and lets a route close its connection without a response.
class FaultInjectionServer final : public httplib::Server
{
private:
    bool process_and_close_socket(socket_t socket) override
    {
        openConnectionCount = ++m_openConnections;
        ConnectionStream stream{socket};
        bool closed = false;
        while (!closed && !closeConnection && stream.waitForRequest()
               && process_request(stream, false, closed, nullptr)) { }
        ::shutdown(socket, SHUT_RDWR);
        ::close(socket);
        --m_openConnections;
        return true;
    }

    std::atomic<int> m_openConnections = 0;
};

void sendResponse(const Response &response, httplib::Response &httpResponse)
{
    closeConnection = response.delivery == Delivery::Dropped;
    httpResponse.status = response.status;
    for (const auto &[name, value] : response.headers)
        httpResponse.set_header(name, value);
    if (response.delivery == Delivery::Truncated) {
        const auto sendTruncated = [body = response.body](size_t, size_t, httplib::DataSink &sink) {
            sink.write(body.data(), body.size() / 2);
            return false;
        };
        httpResponse.set_content_provider(response.body.size(), "application/json", sendTruncated);
    } else if (response.status != 204) {
        httpResponse.set_content(response.body, "application/json");
    }
}

} // namespace

Response jsonResponse(const Json::Value &value, int status)
{
    return Response{.status = status, .body = toCompactJson(value)};
}

Response errorResponse(int status, const std::string &reason)
{
    return jsonResponse(jsonObject({{"reason", reason}}), status);
}

struct Server::Impl
{
    Response handleWithFaults(const Handler &handler, const Request &request);

    Faults faults;
    FaultInjectionServer http;
    std::atomic<int> activeRequests = 0;
    std::atomic<socket_t> listenSocket = INVALID_SOCKET;
};

Response Server::Impl::handleWithFaults(const Handler &handler, const Request &request)
{
    const auto sleep = [this](const char *fault) {
        std::this_thread::sleep_for(std::chrono::milliseconds{faults.value(fault)});
    };
    sleep("delayBeforeMs");
    if (faults.value("refuse") > 0)
        return Response{.delivery = Delivery::Dropped};
    if (faults.value("down") > 0)
        return errorResponse(503, "down");
    Response response = handler(request);
    sleep("delayMs");
    if (response.tookEffect && faults.consume("loseReplies"))
        response.delivery = Delivery::Dropped;
    return response;
}

Server::Server()
    : m_impl(std::make_unique<Impl>())
{
    auto &http = m_impl->http;
    http.new_task_queue = [] { return new ThreadPerConnection; };
    http.set_tcp_nodelay(true);
    http.set_keep_alive_max_count(std::numeric_limits<std::size_t>::max());
    http.set_keep_alive_timeout(idleSeconds);
    http.set_socket_options([this](socket_t it) { m_impl->listenSocket = it; });
    routeWithoutFaults("POST", "/faults", [this](const Request &it) {
        return jsonResponse(faults().set(parseObject(it.body)));
    });
}

Server::~Server() = default;

Faults &Server::faults()
{
    return m_impl->faults;
}

void Server::route(const std::string &method, const std::string &pattern, const Handler &handler)
{
    routeWithoutFaults(method, pattern, [=, this](const Request &request) {
        return m_impl->handleWithFaults(handler, request);
    });
}

void Server::routeWithoutFaults(const std::string &method, const std::string &pattern,
                                const Handler &handler)
{
    const auto serve = [=, this](const httplib::Request &httpRequest,
                                 httplib::Response &httpResponse) {
        ++m_impl->activeRequests;
        const Request request{
            .pathSuffix = httpRequest.matches.size() > 1 ? httpRequest.matches[1].str() : "",
            .body = httpRequest.body,
            .requestId = httpRequest.get_header_value("X-Request-Id"),
            .openConnections = openConnectionCount};
        try {
            sendResponse(handler(request), httpResponse);
        } catch (const std::exception &e) {
            sendResponse(errorResponse(400, e.what()), httpResponse);
        }
        --m_impl->activeRequests;
    };
    auto &http = m_impl->http;
    if (method == "GET")
        http.Get(pattern, serve);
    else if (method == "PUT")
        http.Put(pattern, serve);
    else if (method == "DELETE")
        http.Delete(pattern, serve);
    else
        http.Post(pattern, serve);
}

int Server::start(const std::string &host, int port)
{
    auto &http = m_impl->http;
    int boundPort = port;
    if (port == 0)
        boundPort = http.bind_to_any_port(host);
    else if (!http.bind_to_port(host, port))
        boundPort = -1;
    if (boundPort <= 0)
        throw std::runtime_error("cannot listen on " + host
                                 + "; choose a free port or 0 for any port");
    ::listen(m_impl->listenSocket, listenBacklog);
    std::thread{[&http] { http.listen_after_bind(); }}.detach();
    return boundPort;
}

void Server::drain(std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (m_impl->activeRequests > 0 && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(drainPollInterval);
}

} // namespace savorywick::standin
