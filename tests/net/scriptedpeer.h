#pragma once

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace savorywick::testing {

// A peer on a thread of its own that accepts connections one after the other and sends to each the
// pieces of one script, each after it has received something or, within a script, at once.
class ScriptedPeer
{
public:
    using Script = std::vector<std::string>;

    explicit ScriptedPeer(std::vector<Script> scripts, bool closeAfterScript,
                          std::chrono::milliseconds pieceDelay = {})
        : m_listener(socket(AF_INET, SOCK_STREAM, 0))
        , m_pieceDelay(pieceDelay)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        REQUIRE(bind(m_listener, reinterpret_cast<sockaddr *>(&address), size) == 0);
        REQUIRE(listen(m_listener, 8) == 0);
        REQUIRE(getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size) == 0);
        m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        m_thread = std::thread([this, scripts = std::move(scripts), closeAfterScript] {
            for (const Script &it : scripts)
                play(it, closeAfterScript);
        });
    }
    ~ScriptedPeer()
    {
        join();
        close(m_listener);
    }
    ScriptedPeer(const ScriptedPeer &) = delete;
    ScriptedPeer &operator=(const ScriptedPeer &) = delete;

    const std::string &address() const { return m_address; }
    // Waits until every connection of the scripts has ended.
    void join()
    {
        if (m_thread.joinable())
            m_thread.join();
    }
    // Returns what was received. Call it after join().
    const std::string &received() const { return m_received; }

private:
    void play(const Script &script, bool closeAfterScript)
    {
        const int connection = accept(m_listener, nullptr, nullptr);
        char buf[4'096];
        const ssize_t n = recv(connection, buf, sizeof buf, 0);
        m_received.append(buf, static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
        for (const std::string &it : script) {
            send(connection, it.data(), it.size(), MSG_NOSIGNAL);
            std::this_thread::yield();
            std::this_thread::sleep_for(m_pieceDelay);
        }
        // Without a close of its own, waits for the client's.
        while (!closeAfterScript && recv(connection, buf, sizeof buf, 0) > 0) { }
        close(connection);
    }

    int m_listener;
    const std::chrono::milliseconds m_pieceDelay; // After each piece.
    std::string m_address;
    std::string m_received;
    std::thread m_thread;
};

} // namespace savorywick::testing
