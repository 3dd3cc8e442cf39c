// Tests of an HttpServer that meets clients whose requests have no end.

#include "core/httpserver.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace savorywick;

namespace {

constexpr std::size_t bytesPerClient = 48U << 20U;
constexpr int crowd = 4;
constexpr std::size_t maxGrowthBytes = 64U << 20U; // A quarter of the memory of a small machine.

// Returns a figure of this process in bytes: "VmRSS:" or, for its peak, "VmHWM:".
std::size_t memoryFigure(const std::string &name)
{
    constexpr std::size_t bytesPerKilobyte = 1'024;
    std::ifstream status("/proc/self/status");
    std::size_t kilobytes = 0;
    for (std::string word; status >> word;) {
        if (word == name)
            status >> kilobytes;
    }
    return kilobytes * bytesPerKilobyte;
}

// Returns a socket that is connected to "IP:PORT".
int connectTo(const std::string &address)
{
    const std::size_t colon = address.find(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    CHECK(::connect(fd, reinterpret_cast<sockaddr *>(&to), sizeof to) == 0);
    return fd;
}

bool sendAll(int fd, const std::string &bytes)
{
    return ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL)
        == static_cast<ssize_t>(bytes.size());
}

// Sends the start and then the same bytes, until the server takes no more of them.
void sendEndless(const std::string &address, const std::string &start, const std::string &repeated)
{
    const int fd = connectTo(address);
    std::string piece;
    while (piece.size() < 4'096)
        piece += repeated;
    bool isOpen = sendAll(fd, start);
    for (std::size_t sent = 0; isOpen && sent < bytesPerClient; sent += piece.size())
        isOpen = sendAll(fd, piece);
    ::close(fd);
}

// Returns the beginning of the response to an ordinary request.
std::string exchangeOrdinary(const std::string &address)
{
    const int fd = connectTo(address);
    char buf[16];
    sendAll(fd, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    const ssize_t n = ::recv(fd, buf, sizeof buf, 0);
    ::close(fd);
    return {buf, static_cast<std::size_t>(std::max<ssize_t>(n, 0))};
}

void checkCrowd(const std::string &start, const std::string &repeated = "0")
{
    HttpServer server(
        {.maxBodyBytes = 65'536}, [](const HttpRequest &) { return HttpResponse{.status = 200}; },
        [](int status) { return HttpResponse{.status = status}; });
    const std::string address = server.listen("127.0.0.1:0");
    const std::size_t before = memoryFigure("VmRSS:");
    std::vector<std::thread> clients;
    clients.reserve(crowd);
    for (int i = 0; i < crowd; ++i)
        clients.emplace_back([&] { sendEndless(address, start, repeated); });
    for (std::thread &it : clients)
        it.join();
    CHECK(memoryFigure("VmHWM:") <= before + maxGrowthBytes);
    CHECK(exchangeOrdinary(address).starts_with("HTTP/1.1 200"));
}

} // namespace

// Guard against clients that end an entry of `savorywick` itself, whose callers and peers are
// served by HttpServer: it holds all that comes before the end of a line.
TEST_CASE("A request line without end takes little memory of an HttpServer")
{
    checkCrowd("GET /");
}

TEST_CASE("A header line without end takes little memory of an HttpServer")
{
    checkCrowd("GET / HTTP/1.1\r\nX-Line: ");
}

TEST_CASE("A chunk size without end takes little memory of an HttpServer")
{
    checkCrowd("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0");
}

TEST_CASE("Header lines without end take little memory of an HttpServer")
{
    checkCrowd("GET / HTTP/1.1\r\n", "X-Line: x\r\n");
}
