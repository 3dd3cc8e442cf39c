#include "server.h"

#include <httplib.h>

#include <poll.h>
#include <sys/socket.h>

#include <atomic>
#include <limits>
#include <thread>

namespace savorywick::standin {

namespace {

constexpr int readTimeoutMs = 5'000;
constexpr time_t idleSeconds = 3'600; // Told to clients; idle connections are never closed.
constexpr int listenBacklog = 1'024;
constexpr std::chrono::milliseconds drainPoll{5};

// Of the connection that the present thread serves.
thread_local int connectionNumber = 0;
thread_local bool connectionCut = false;

class ConnectionStream final : public httplib::Stream
{
public:
    explicit ConnectionStream(socket_t socket)
        : m_socket(socket)
    { }

    bool is_readable() const override { return waitFor(POLLIN, readTimeoutMs); }
    bool is_writable() const override { return waitFor(POLLOUT, readTimeoutMs); }
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
        return connectionCut ? -1 : ::send(m_socket, bytes, size, MSG_NOSIGNAL);
    }

    // Returns whether another request, or the end of the connection, has arrived.
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

// A thread for each connection, for as long as the connection lasts.
class ThreadPerConnection final : public httplib::TaskQueue
{
public:
    void enqueue(std::function<void()> task) override { std::thread{std::move(task)}.detach(); }
    void shutdown() override { }
};

// Serves its connections by streams that a route can cut, without an end to keep-alive.
class CuttableServer final : public httplib::Server
{
private:
    bool process_and_close_socket(socket_t socket) override
    {
        connectionNumber = ++m_open;
        ConnectionStream stream{socket};
        bool closed = false;
        while (!closed && !connectionCut && stream.waitForRequest()
               && process_request(stream, false, closed, nullptr)) { }
        ::shutdown(socket, SHUT_RDWR);
        ::close(socket);
        --m_open;
        return true;
    }

    std::atomic<int> m_open = 0;
};

void deliver(const Reply &reply, httplib::Response &response)
{
    connectionCut = reply.delivery == Delivery::Dropped;
    response.status = reply.status;
    for (const auto &[name, value] : reply.headers)
        response.set_header(name, value);
    if (reply.delivery == Delivery::Half) {
        const auto sendHalf = [body = reply.body](size_t, size_t, httplib::DataSink &sink) {
            sink.write(body.data(), body.size() / 2);
            return false;
        };
        response.set_content_provider(reply.body.size(), "application/json", sendHalf);
    } else if (reply.status != 204) {
        response.set_content(reply.body, "application/json");
    }
}

} // namespace

Reply jsonReply(const Json::Value &value, int status)
{
    return Reply{.status = status, .body = toText(value)};
}

Reply refusal(int status, const std::string &reason)
{
    return jsonReply(object({{"reason", reason}}), status);
}

struct Server::Impl
{
    Reply answer(const Handler &handler, const Call &call);

    Faults faults;
    CuttableServer http;
    std::atomic<int> busy = 0;
    std::atomic<socket_t> listenSocket = INVALID_SOCKET;
};

Reply Server::Impl::answer(const Handler &handler, const Call &call)
{
    const auto sleep = [this](const char *fault) {
        std::this_thread::sleep_for(std::chrono::milliseconds{faults.value(fault)});
    };
    sleep("delayBeforeMs");
    if (faults.value("refuse") > 0)
        return Reply{.delivery = Delivery::Dropped};
    if (faults.value("down") > 0)
        return refusal(503, "down");
    Reply reply = handler(call);
    sleep("delayMs");
    if (reply.tookEffect && faults.take("loseReplies"))
        reply.delivery = Delivery::Dropped;
    return reply;
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
    plainRoute("POST", "/faults",
               [this](const Call &it) { return jsonReply(faults().set(parseObject(it.body))); });
}

Server::~Server() = default;

Faults &Server::faults()
{
    return m_impl->faults;
}

void Server::route(const std::string &method, const std::string &pattern, const Handler &handler)
{
    plainRoute(method, pattern,
               [=, this](const Call &call) { return m_impl->answer(handler, call); });
}

void Server::plainRoute(const std::string &method, const std::string &pattern,
                        const Handler &handler)
{
    const auto serve = [=, this](const httplib::Request &request, httplib::Response &response) {
        ++m_impl->busy;
        const Call call{.tail = request.matches.size() > 1 ? request.matches[1].str() : "",
                        .body = request.body,
                        .requestId = request.get_header_value("X-Request-Id"),
                        .connection = connectionNumber};
        try {
            deliver(handler(call), response);
        } catch (const std::exception &e) {
            deliver(refusal(400, e.what()), response);
        }
        --m_impl->busy;
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
    int bound = port;
    if (port == 0)
        bound = http.bind_to_any_port(host);
    else if (!http.bind_to_port(host, port))
        bound = -1;
    if (bound <= 0)
        throw std::runtime_error("can't listen on " + host + "; choose a free port, or 0 for any");
    ::listen(m_impl->listenSocket, listenBacklog);
    std::thread{[&http] { http.listen_after_bind(); }}.detach();
    return bound;
}

void Server::drain(std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (m_impl->busy > 0 && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(drainPoll);
}

} // namespace savorywick::standin
