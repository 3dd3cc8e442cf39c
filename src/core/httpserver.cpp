#include "core/httpserver.h"

#include "core/boundedhttplibserver.h"
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

constexpr int internalServerError = 500;
constexpr int serviceUnavailable = 503;

// The default backlog of cpp-httplib, 5, drops connections during bursts.
constexpr int listenBacklog = 1'024;
// Connections over the limit are rejected on threads of their own, so that the response 503 doesn't
// wait for a connection that is being served.
constexpr std::size_t rejectionThreads = 4;
// With this many connections waiting to be rejected, a further one gets no response.
constexpr std::size_t maxPendingRejections = 1'024;

// True on the threads that reject connections over the limit.
thread_local bool isRejectionThread = false;

// Thread pool that serves each connection on a thread of its own, up to a limit, and rejects
// further connections on a few dedicated threads. Threads are created on demand and reused.
class ConnectionThreadPool final : public httplib::TaskQueue
{
public:
    // Keeps the number of accepted connections that are not closed yet in `openConnections`, which
    // must outlive the pool.
    ConnectionThreadPool(std::size_t maxConnections, std::atomic<std::size_t> &openConnections)
        : m_maxConnections(maxConnections)
        , m_openConnections(openConnections)
    {
        for (std::size_t i = 0; i < rejectionThreads; ++i)
            m_threads.emplace_back([this] { runQueue(m_pendingRejections, true); });
    }

    void enqueue(std::function<void()> fn) override
    {
        ++m_openConnections;
        const std::lock_guard lock(m_mutex);
        if (m_busyThreads + m_pendingConnections.size() >= m_maxConnections) {
            if (m_pendingRejections.size() < maxPendingRejections)
                m_pendingRejections.push_back(std::move(fn));
            else
                --m_openConnections;
            m_wakeUp.notify_all();
            return;
        }
        m_pendingConnections.push_back(std::move(fn));
        if (m_idleThreads < m_pendingConnections.size())
            m_threads.emplace_back([this] { runQueue(m_pendingConnections, false); });
        m_wakeUp.notify_all();
    }

    void shutdown() override
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_wakeUp.notify_all();
        for (std::thread &it : m_threads)
            it.join();
    }

private:
    // Runs the jobs of `queue` until the pool stops and the queue is empty. Only threads that serve
    // connections are counted as idle or busy.
    void runQueue(std::list<std::function<void()>> &queue, bool rejecting)
    {
        isRejectionThread = rejecting;
        std::unique_lock lock(m_mutex);
        for (;;) {
            m_idleThreads += rejecting ? 0 : 1;
            m_wakeUp.wait(lock, [&] { return m_stopping || !queue.empty(); });
            m_idleThreads -= rejecting ? 0 : 1;
            if (queue.empty())
                return;
            const auto fn = std::move(queue.front());
            queue.pop_front();
            m_busyThreads += rejecting ? 0 : 1;
            lock.unlock();
            fn();
            --m_openConnections;
            lock.lock();
            m_busyThreads -= rejecting ? 0 : 1;
        }
    }

    const std::size_t m_maxConnections;
    std::atomic<std::size_t> &m_openConnections;
    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::list<std::function<void()>> m_pendingConnections;
    std::list<std::function<void()>> m_pendingRejections;
    std::list<std::thread> m_threads;
    std::size_t m_idleThreads = 0;
    std::size_t m_busyThreads = 0;
    bool m_stopping = false;
};

// Attaches a socket filter that makes the kernel drop the packets that would open a connection.
// Closing the listening socket instead would reset the connections that are established but not yet
// accepted, and lose the requests that they carry.
void dropNewConnections(int listenSocket)
{
    sock_filter dropAll{BPF_RET | BPF_K, 0, 0, 0};
    const sock_fprog program{1, &dropAll};
    ::setsockopt(listenSocket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

HttpRequest fromHttplib(const httplib::Request &req)
{
    HttpRequest request;
    request.method = req.method;
    request.path = req.path;
    for (const auto &it : req.headers)
        request.headers.push_back({it.first, it.second});
    for (const auto &it : req.params)
        request.queryParameters.push_back({it.first, it.second});
    request.body = req.body;
    return request;
}

void toHttplib(const HttpResponse &response, httplib::Response &res)
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
    ErrorResponder makeErrorResponse;
    HttpServerLimits limits;
    BoundedHttplibServer server;
    std::thread thread;
    std::atomic<bool> draining{false};
    std::atomic<std::size_t> openConnections{0};
    std::atomic<int> listenSocket{-1};

    void handleRequest(const httplib::Request &req, httplib::Response &res)
    {
        toHttplib(isRejectionThread ? makeErrorResponse(serviceUnavailable)
                                    : handler(fromHttplib(req)),
                  res);
        if (isRejectionThread || draining)
            res.set_header("Connection", "close");
    }
};

HttpServer::HttpServer(const HttpServerLimits &limits, Handler handler,
                       ErrorResponder makeErrorResponse)
    : m_impl(std::make_unique<Impl>())
{
    Impl &impl = *m_impl;
    impl.handler = std::move(handler);
    impl.makeErrorResponse = std::move(makeErrorResponse);
    impl.limits = limits;
    BoundedHttplibServer &server = impl.server;
    const std::size_t maxConnections = limits.maxConnections;
    server.new_task_queue = [&impl, maxConnections] {
        return new ConnectionThreadPool(maxConnections, impl.openConnections);
    };
    server.set_keep_alive_max_count(std::numeric_limits<std::size_t>::max());
    server.set_keep_alive_timeout(std::max<time_t>(1, limits.idleTimeout.count() / 1'000));
    server.set_read_timeout(std::chrono::milliseconds(limits.readTimeout.count()));
    server.set_write_timeout(std::chrono::milliseconds(limits.readTimeout.count()));
    server.set_payload_max_length(limits.maxBodyBytes);
    server.setMaxRequestBytes(limits.maxHeaderBytes + 2 * limits.maxBodyBytes);
    server.set_tcp_nodelay(true);
    server.set_socket_options([&impl](socket_t fd) {
        const int on = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        impl.listenSocket = fd;
    });
    const auto handleRequest = [&impl](const httplib::Request &req, httplib::Response &res) {
        impl.handleRequest(req, res);
    };
    server.Get(".*", handleRequest);
    server.Post(".*", handleRequest);
    server.Put(".*", handleRequest);
    server.Patch(".*", handleRequest);
    server.Delete(".*", handleRequest);
    server.Options(".*", handleRequest);
    server.set_error_handler([&impl](const httplib::Request &, httplib::Response &res) {
        if (res.body.empty()) {
            toHttplib(impl.makeErrorResponse(res.status), res);
            res.set_header("Connection", "close");
        }
    });
    server.set_exception_handler(
        [&impl](const httplib::Request &, httplib::Response &res, const std::exception_ptr &) {
            toHttplib(impl.makeErrorResponse(internalServerError), res);
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
    const int requestedPort = std::atoi(std::string(address.substr(colon + 1)).c_str());
    httplib::Server &server = m_impl->server;
    int port = requestedPort;
    if (requestedPort == 0)
        port = server.bind_to_any_port(host);
    else if (!server.bind_to_port(host, requestedPort))
        port = -1;
    if (port <= 0)
        throw Error(ErrorKind::InvalidInput, "can't listen on " + std::string(address),
                    "use an IP address of this host and a free port, or port 0 for any free port");
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
    return m_impl->openConnections;
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
