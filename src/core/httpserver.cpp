#include "core/httpserver.h"

#include "savorywick/errors.h"

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <list>
#include <mutex>
#include <thread>

#include <linux/filter.h>
#include <sys/socket.h>

namespace savorywick {

namespace {

// cpp-httplib listens with a backlog of 5, which drops connections in bursts.
constexpr int listenBacklog = 1'024;
// Connections over the limit are turned away by a few threads of their own.
constexpr std::size_t refusingThreads = 4;
constexpr std::size_t refusalBacklog = 1'024;

thread_local bool overLimit = false;

// Runs each connection on a thread, and those over the limit on threads that only refuse.
class ConnectionThreads final : public httplib::TaskQueue
{
public:
    // `open` counts the connections that were accepted and are not closed yet.
    ConnectionThreads(std::size_t limit, std::atomic<std::size_t> &open)
        : m_limit(limit)
        , m_open(open)
    {
        for (std::size_t i = 0; i < refusingThreads; ++i)
            m_threads.emplace_back([this] { work(m_refused, true); });
    }

    void enqueue(std::function<void()> fn) override
    {
        ++m_open;
        const std::lock_guard lock(m_mutex);
        if (m_busy + m_accepted.size() >= m_limit) {
            if (m_refused.size() < refusalBacklog)
                m_refused.push_back(std::move(fn));
            else
                --m_open;
            m_changed.notify_all();
            return;
        }
        m_accepted.push_back(std::move(fn));
        if (m_idle < m_accepted.size())
            m_threads.emplace_back([this] { work(m_accepted, false); });
        m_changed.notify_all();
    }

    void shutdown() override
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_changed.notify_all();
        for (std::thread &it : m_threads)
            it.join();
    }

private:
    void work(std::list<std::function<void()>> &queue, bool refusing)
    {
        overLimit = refusing;
        std::unique_lock lock(m_mutex);
        for (;;) {
            m_idle += refusing ? 0 : 1;
            m_changed.wait(lock, [&] { return m_stopping || !queue.empty(); });
            m_idle -= refusing ? 0 : 1;
            if (queue.empty())
                return;
            const auto fn = std::move(queue.front());
            queue.pop_front();
            m_busy += refusing ? 0 : 1;
            lock.unlock();
            fn();
            --m_open;
            lock.lock();
            m_busy -= refusing ? 0 : 1;
        }
    }

    const std::size_t m_limit;
    std::atomic<std::size_t> &m_open;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::list<std::function<void()>> m_accepted;
    std::list<std::function<void()>> m_refused;
    std::list<std::thread> m_threads;
    std::size_t m_idle = 0;
    std::size_t m_busy = 0;
    bool m_stopping = false;
};

// Makes the kernel drop what would open a connection on a listening socket. Closing the socket
// alone resets connections that are established and not accepted yet, with the requests they
// brought.
void dropNewConnections(int listenSocket)
{
    sock_filter dropAll{BPF_RET | BPF_K, 0, 0, 0};
    const sock_fprog program{1, &dropAll};
    ::setsockopt(listenSocket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

HttpRequest fromLibrary(const httplib::Request &req)
{
    HttpRequest request;
    request.method = req.method;
    request.path = req.path;
    for (const auto &it : req.headers)
        request.headers.push_back({it.first, it.second});
    for (const auto &it : req.params)
        request.parameters.push_back({it.first, it.second});
    request.body = req.body;
    return request;
}

void toLibrary(const HttpResponse &response, httplib::Response &res)
{
    res.status = response.status;
    for (const HttpHeader &it : response.headers)
        res.set_header(it.name, it.value);
    res.set_content(response.body, response.contentType);
}

} // namespace

struct HttpServer::Impl
{
    Handler handler;
    Refuser refuse;
    HttpServerLimits limits;
    httplib::Server server;
    std::thread thread;
    std::atomic<bool> draining{false};
    std::atomic<std::size_t> open{0};
    std::atomic<int> listenSocket{-1};

    void serve(const httplib::Request &req, httplib::Response &res)
    {
        toLibrary(overLimit ? refuse(503) : handler(fromLibrary(req)), res);
        if (overLimit || draining)
            res.set_header("Connection", "close");
    }
};

HttpServer::HttpServer(const HttpServerLimits &limits, Handler handler, Refuser refuse)
    : m_impl(std::make_unique<Impl>())
{
    Impl &impl = *m_impl;
    impl.handler = std::move(handler);
    impl.refuse = std::move(refuse);
    impl.limits = limits;
    httplib::Server &server = impl.server;
    const std::size_t connections = limits.connections;
    server.new_task_queue = [&impl, connections] {
        return new ConnectionThreads(connections, impl.open);
    };
    server.set_keep_alive_max_count(std::numeric_limits<std::size_t>::max());
    server.set_keep_alive_timeout(std::max<time_t>(1, limits.idleTimeout.count() / 1'000));
    server.set_read_timeout(std::chrono::milliseconds(limits.readTimeout.count()));
    server.set_write_timeout(std::chrono::milliseconds(limits.readTimeout.count()));
    server.set_payload_max_length(limits.bodyBytes);
    server.set_tcp_nodelay(true);
    server.set_socket_options([&impl](socket_t fd) {
        const int on = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        impl.listenSocket = fd;
    });
    const auto route = [&impl](const httplib::Request &req, httplib::Response &res) {
        impl.serve(req, res);
    };
    server.Get(".*", route);
    server.Post(".*", route);
    server.Put(".*", route);
    server.Patch(".*", route);
    server.Delete(".*", route);
    server.Options(".*", route);
    server.set_error_handler([&impl](const httplib::Request &, httplib::Response &res) {
        if (res.body.empty()) {
            toLibrary(impl.refuse(res.status), res);
            res.set_header("Connection", "close");
        }
    });
    server.set_exception_handler(
        [&impl](const httplib::Request &, httplib::Response &res, const std::exception_ptr &) {
            toLibrary(impl.refuse(500), res);
        });
}

HttpServer::~HttpServer()
{
    stop();
}

std::string HttpServer::listen(std::string_view address)
{
    const auto colon = address.rfind(':');
    const std::string host(address.substr(0, colon));
    const int wanted = std::atoi(std::string(address.substr(colon + 1)).c_str());
    httplib::Server &server = m_impl->server;
    int port = wanted;
    if (wanted == 0)
        port = server.bind_to_any_port(host);
    else if (!server.bind_to_port(host, wanted))
        port = -1;
    if (port <= 0)
        throw Error(ErrorKind::InvalidInput, "can't listen on " + std::string(address),
                    "name an IP number of this host and a free port, or port 0");
    ::listen(m_impl->listenSocket, listenBacklog);
    m_impl->thread = std::thread([&server] { server.listen_after_bind(); });
    while (!server.is_running())
        std::this_thread::yield();
    return host + ":" + std::to_string(port);
}

void HttpServer::drain()
{
    m_impl->draining = true;
}

void HttpServer::refuseNewConnections()
{
    drain();
    dropNewConnections(m_impl->listenSocket);
}

std::size_t HttpServer::openConnections() const
{
    return m_impl->open;
}

void HttpServer::stop()
{
    if (!m_impl->thread.joinable())
        return;
    drain();
    m_impl->server.stop();
    m_impl->thread.join();
}

} // namespace savorywick
