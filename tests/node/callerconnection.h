#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick::testing {

// A caller's connection that sends exactly the bytes that it is told to, also after the entry has
// asked to close the connection or has closed its side. Nothing waits for the entry.
class CallerConnection
{
public:
    // Connects to "IP:PORT". Returns false if the connection is refused.
    bool open(const std::string &address)
    {
        const std::size_t colon = address.find(':');
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
        m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        return ::connect(m_socket, reinterpret_cast<const sockaddr *>(&to), sizeof to) == 0;
    }
    CallerConnection() = default;
    ~CallerConnection() { ::close(m_socket); }
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    // Sends a few bytes without waiting. Returns false if the connection was reset before.
    bool send(std::string_view bytes)
    {
        const ssize_t n = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        return n == static_cast<ssize_t>(bytes.size());
    }

    // Takes the bytes that have arrived.
    void receive()
    {
        std::array<char, 4'096> buf{};
        while (!m_ended) {
            const ssize_t n = ::recv(m_socket, buf.data(), buf.size(), MSG_DONTWAIT);
            if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
                return;
            m_ended = n <= 0;
            m_received.append(buf.data(), n > 0 ? static_cast<std::size_t>(n) : 0);
            parse();
        }
    }

    // The statuses of the whole responses, in their order.
    const std::vector<int> &statuses() const { return m_statuses; }
    // Returns true if and only if a response has asked to close the connection.
    bool askedToClose() const { return m_askedToClose; }
    // Returns true if and only if the entry's side is closed.
    bool hasEnded() const { return m_ended; }

private:
    void parse()
    {
        constexpr std::string_view endOfHeader = "\r\n\r\n";
        constexpr std::string_view lengthName = "Content-Length: ";
        constexpr std::size_t statusAt = std::string_view("HTTP/1.1 ").size();
        for (;;) {
            const std::size_t end = m_received.find(endOfHeader);
            if (end == std::string::npos)
                return;
            const std::string header = m_received.substr(0, end);
            const std::size_t lengthAt = header.find(lengthName);
            const std::size_t bodyBytes = lengthAt == std::string::npos
                ? 0
                : std::stoul(header.substr(lengthAt + lengthName.size()));
            const std::size_t total = end + endOfHeader.size() + bodyBytes;
            if (m_received.size() < total)
                return;
            m_statuses.push_back(std::stoi(header.substr(statusAt)));
            m_askedToClose |= header.find("Connection: close") != std::string::npos;
            m_received.erase(0, total);
        }
    }

    int m_socket = -1;
    std::string m_received; // The start of a response that is not whole yet.
    std::vector<int> m_statuses;
    bool m_askedToClose = false;
    bool m_ended = false;
};

} // namespace savorywick::testing
