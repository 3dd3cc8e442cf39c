#include "core/boundedhttplibserver.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace savorywick {

namespace {

constexpr int millisPerSecond = 1'000;
constexpr int microsPerMilli = 1'000;
constexpr std::size_t bufferBytes = 4'096;

// Waits until the socket is ready for the events or has failed. Returns false at the timeout.
bool waitFor(socket_t fd, short events, int timeoutMs)
{
    pollfd it{fd, events, 0};
    int n = 0;
    do
        n = ::poll(&it, 1, timeoutMs);
    while (n < 0 && errno == EINTR);
    return n > 0;
}

void describe(const sockaddr_in &address, std::string &ip, int &port)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    ::inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    ip = text.data();
    port = ntohs(address.sin_port);
}

// A connection that is read up to a limit for each request.
class BoundedStream final : public httplib::Stream
{
public:
    BoundedStream(socket_t fd, int readTimeoutMs, int writeTimeoutMs)
        : m_fd(fd)
        , m_readTimeoutMs(readTimeoutMs)
        , m_writeTimeoutMs(writeTimeoutMs)
    { }

    // Begins a request, of which up to `bytes` can be read.
    void allow(std::size_t bytes) { m_allowedBytes = bytes; }
    bool isExhausted() const { return m_allowedBytes == 0; }
    bool hasBuffered() const { return m_begin < m_end; }

    bool is_readable() const override { return hasBuffered() || waitFor(m_fd, POLLIN, 0); }
    bool is_writable() const override { return waitFor(m_fd, POLLOUT, m_writeTimeoutMs); }

    ssize_t read(char *ptr, std::size_t size) override
    {
        if (m_allowedBytes == 0)
            return -1;
        if (!hasBuffered()) {
            const ssize_t received = fill();
            if (received <= 0)
                return received;
        }
        const std::size_t n = std::min({size, m_end - m_begin, m_allowedBytes});
        std::copy_n(m_buffer.begin() + static_cast<std::ptrdiff_t>(m_begin), n, ptr);
        m_begin += n;
        m_allowedBytes -= n;
        return static_cast<ssize_t>(n);
    }

    ssize_t write(const char *ptr, std::size_t size) override
    {
        return is_writable() ? ::send(m_fd, ptr, size, MSG_NOSIGNAL) : -1;
    }

    void get_remote_ip_and_port(std::string &ip, int &port) const override
    {
        sockaddr_in address{};
        socklen_t size = sizeof address;
        ::getpeername(m_fd, reinterpret_cast<sockaddr *>(&address), &size);
        describe(address, ip, port);
    }
    void get_local_ip_and_port(std::string &ip, int &port) const override
    {
        sockaddr_in address{};
        socklen_t size = sizeof address;
        ::getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &size);
        describe(address, ip, port);
    }
    socket_t socket() const override { return m_fd; }

private:
    ssize_t fill()
    {
        if (!waitFor(m_fd, POLLIN, m_readTimeoutMs))
            return -1;
        const ssize_t n = ::recv(m_fd, m_buffer.data(), m_buffer.size(), 0);
        m_begin = 0;
        m_end = static_cast<std::size_t>(std::max<ssize_t>(n, 0));
        return n;
    }

    const socket_t m_fd;
    const int m_readTimeoutMs;
    const int m_writeTimeoutMs;
    std::size_t m_allowedBytes = 0;
    std::array<char, bufferBytes> m_buffer{};
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
};

int toMillis(time_t seconds, time_t micros)
{
    return static_cast<int>(seconds * millisPerSecond + micros / microsPerMilli);
}

} // namespace

bool BoundedHttplibServer::process_and_close_socket(socket_t fd)
{
    serve(fd);
    ::shutdown(fd, SHUT_RDWR);
    ::close(fd);
    return true;
}

// Waits for a request under the idle timeout. Returns false if none comes or the server stops.
bool BoundedHttplibServer::awaitRequest(socket_t fd) const
{
    constexpr int checkIntervalMs = 10;
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(keep_alive_timeout_sec_);
    while (svr_sock_ != INVALID_SOCKET && std::chrono::steady_clock::now() < end) {
        if (waitFor(fd, POLLIN, checkIntervalMs))
            return true;
    }
    return false;
}

void BoundedHttplibServer::serve(socket_t fd)
{
    BoundedStream stream(fd, toMillis(read_timeout_sec_, read_timeout_usec_),
                         toMillis(write_timeout_sec_, write_timeout_usec_));
    bool isClosed = false;
    while (!isClosed && (stream.hasBuffered() || awaitRequest(fd))) {
        stream.allow(m_maxRequestBytes);
        // What follows a request that is too long is the rest of it.
        if (!process_request(stream, false, isClosed, nullptr) || stream.isExhausted())
            return;
    }
}

} // namespace savorywick
