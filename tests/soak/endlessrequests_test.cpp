// Tests of real entries that meet clients whose requests break the limits or have no end.

#include "processusageof.h"
#include "soakdeployment.h"

#include <doctest/doctest.h>

#include <chrono>
#include <filesystem>
#include <list>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace savorywick;
using namespace savorywick::testing;

namespace {

// What each client of a crowd sends: a start, and then the same bytes again and again.
struct EndlessRequest
{
    std::string name;
    std::string start;
    std::string repeated; // A power of two in length, so that lines end where the pieces end.
};

constexpr int callersPort = 8'161;
constexpr std::size_t lineBytes = 64;
constexpr std::size_t pieceBytes = 4'096; // What a client hands to the kernel at once.
constexpr std::size_t bytesPerClient = 48U << 20U;
constexpr int crowd = 4;
constexpr std::size_t lowBodyLimit = 65'536;
// What the entry may take up beyond what it held before the crowd came: a quarter of the memory of
// a small machine. And what it may hold open at all.
constexpr std::size_t maxGrowthBytes = 64U << 20U;
constexpr std::size_t maxDescriptors = 256;
constexpr std::chrono::seconds patience{60}; // Reached only if the entry does not answer any more.

const std::string chunkedHead = "POST /jobs/00000000000000aa HTTP/1.1\r\nHost: soak.example\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n";

std::string repeat(std::string_view text, std::size_t bytes)
{
    std::string buf;
    while (buf.size() < bytes)
        buf += text;
    return buf;
}

std::string headerLine()
{
    return "X-Line: " + std::string(lineBytes - 10, 'x') + "\r\n";
}

// Returns the text with a last header that makes it a number of whole lines long.
std::string padded(std::string text)
{
    text += "X-Pad: \r\n";
    text.insert(text.size() - 2, lineBytes - text.size() % lineBytes, 'p');
    return text;
}

const std::vector<EndlessRequest> &endlessRequests()
{
    static const std::string letters(lineBytes, 'x');
    static const std::string sizedHead = "POST /jobs/00000000000000aa HTTP/1.1\r\n"
                                         "Host: soak.example\r\nContent-Length: ";
    static const std::vector<EndlessRequest> requests = {
        {"a request line without end", "GET /", letters},
        {"a header line without end", "GET / HTTP/1.1\r\nX-Line: ", letters},
        {"header lines without end", padded("GET / HTTP/1.1\r\n"), headerLine()},
        {"empty lines before a request", "", repeat("\r\n", lineBytes)},
        {"empty lines after a request", "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
         repeat("\r\n", lineBytes)},
        {"trailers without end", chunkedHead + "0\r\n", headerLine()},
        {"a trailer line without end", chunkedHead + "0\r\nX-Line: ", letters},
        {"chunk extensions without end", chunkedHead + "1", repeat(";a=b", lineBytes)},
        {"extensions of the last chunk without end", chunkedHead + "0", repeat(";a=b", lineBytes)},
        {"a chunk size without end", chunkedHead, std::string(lineBytes, '0')},
        {"a chunk of absurd size", chunkedHead + "FFFFFFFFFFFFFFF0\r\n", letters},
        {"chunks without end", chunkedHead, repeat("B\r\nxxxxxxxxxxx\r\n", lineBytes)},
        {"a body over the limit", sizedHead + "99999999999\r\n\r\n", letters},
        {"more than the length announced", sizedHead + "2\r\n\r\n{}", letters},
    };
    return requests;
}

// A blocking connection to "IP:PORT".
class Connection
{
public:
    explicit Connection(const std::string &address)
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const std::size_t colon = address.find(':');
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
        const int on = 1;
        ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const timeval limit{patience.count(), 0};
        ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        ::setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        m_isOpen = ::connect(m_socket, reinterpret_cast<sockaddr *>(&to), sizeof to) == 0;
    }
    ~Connection() { ::close(m_socket); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    // Returns false if the peer takes no more bytes.
    bool send(std::string_view bytes)
    {
        while (m_isOpen && !bytes.empty()) {
            const ssize_t n = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            m_isOpen = n > 0;
            bytes.remove_prefix(m_isOpen ? static_cast<std::size_t>(n) : 0);
        }
        return m_isOpen;
    }

    // Returns the first bytes that arrive, or none if the connection ends without.
    std::string receive()
    {
        char buf[pieceBytes];
        const ssize_t n = ::recv(m_socket, buf, sizeof buf, 0);
        return {buf, n > 0 ? static_cast<std::size_t>(n) : 0};
    }

private:
    int m_socket;
    bool m_isOpen = false;
};

void sendEndless(const std::string &address, const EndlessRequest &request)
{
    Connection connection(address);
    const std::string piece = repeat(request.repeated, pieceBytes);
    if (!connection.send(request.start))
        return;
    for (std::size_t sent = 0; sent < bytesPerClient && connection.send(piece);)
        sent += piece.size();
}

// Lets a crowd send the request to the address at the same time.
void sendByCrowd(const std::string &address, const EndlessRequest &request)
{
    std::vector<std::thread> clients;
    clients.reserve(crowd);
    for (int i = 0; i < crowd; ++i)
        clients.emplace_back([&] { sendEndless(address, request); });
    for (std::thread &it : clients)
        it.join();
}

// An entry of its own process with a manifest of low limits; its platform runs on a thread.
class LimitedEntry
{
public:
    explicit LimitedEntry(std::size_t maxBodyBytes)
        : m_directory(std::filesystem::temp_directory_path().string() + "/endlessrequests-"
                      + std::to_string(::getpid()))
        , m_deployment(settings(maxBodyBytes))
    {
        entry().start();
        m_platform = std::thread([this] { m_deployment.loop().run(); });
    }
    ~LimitedEntry()
    {
        m_deployment.loop().stop();
        m_platform.join();
        std::filesystem::remove_all(m_directory);
    }
    LimitedEntry(const LimitedEntry &) = delete;
    LimitedEntry &operator=(const LimitedEntry &) = delete;

    NodeProcess &entry() { return *m_deployment.entries().front(); }
    std::string address(int port) const
    {
        return m_deployment.ipOfEntry(0) + ":" + std::to_string(port);
    }

    // Submits a job until it is accepted. Returns false if it is not, for a long time.
    bool acceptsJob()
    {
        const std::string body = R"({"spec":"s","stepSpecs":[{"count":1,"cpu":100,"memMb":10,)"
                                 R"("estimateMs":100}]})";
        const std::string request = "POST /jobs/00000000000000bb HTTP/1.1\r\nHost: soak.example\r\n"
                                    "Content-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
        const auto end = std::chrono::steady_clock::now() + patience;
        while (std::chrono::steady_clock::now() < end) {
            Connection connection(address(callersPort));
            if (connection.send(request) && connection.receive().starts_with("HTTP/1.1 200"))
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return false;
    }

private:
    SoakDeploymentSettings settings(std::size_t maxBodyBytes) const
    {
        std::filesystem::create_directories(m_directory);
        SoakDeploymentSettings settings;
        settings.program = ENTRY_PROGRAM;
        settings.directory = m_directory;
        settings.entries = 1;
        settings.workers = 1;
        settings.maxHeaderBytes = 8'192;
        settings.maxBodyBytes = static_cast<int>(maxBodyBytes);
        return settings;
    }

    const std::string m_directory;
    SoakDeployment m_deployment;
    std::thread m_platform;
};

void checkAddress(int port)
{
    for (const EndlessRequest &it : endlessRequests()) {
        CAPTURE(port);
        CAPTURE(it.name);
        // A process keeps what it has freed, so each request has one of its own.
        LimitedEntry deployment(lowBodyLimit);
        REQUIRE(deployment.acceptsJob());
        const ProcessUsageOf usage(deployment.entry().pid());
        const std::size_t before = usage.residentBytes();
        sendByCrowd(deployment.address(port), it);
        CHECK_MESSAGE(deployment.entry().isRunning(), "the entry has ended");
        CHECK(usage.peakResidentBytes() <= before + maxGrowthBytes);
        CHECK(usage.openDescriptors() <= maxDescriptors);
        CHECK_MESSAGE(deployment.acceptsJob(), "an ordinary job is not accepted any more");
    }
}

} // namespace

// Guards against clients that end a process: it held all that came before the end of a request's
// head, of a chunk's first line or of the trailers.
TEST_CASE("A crowd of callers whose requests have no end takes no entry's memory or answers")
{
    checkAddress(callersPort);
}

// Guards against the same by way of the addresses for peers, readiness checks and metrics.
TEST_CASE("A crowd of others whose requests have no end takes no entry's memory or answers")
{
    for (const int port : {7'720, 8'167, 9'464})
        checkAddress(port);
}

// Guards against many bodies that are each within their limit and together more than a process may
// hold.
TEST_CASE("Callers whose bodies stay unfinished take no entry's memory or answers")
{
    constexpr int callers = 100;
    constexpr std::size_t sentBytes = 2U << 20U;
    LimitedEntry deployment(2 * sentBytes);
    REQUIRE(deployment.acceptsJob());
    const ProcessUsageOf usage(deployment.entry().pid());
    const std::size_t before = usage.residentBytes();
    const std::string head = "POST /jobs/00000000000000aa HTTP/1.1\r\nHost: soak.example\r\n"
                             "Content-Length: "
        + std::to_string(2 * sentBytes) + "\r\n\r\n";
    const std::string part(sentBytes, 'x');
    std::list<Connection> open;
    for (int i = 0; i < callers; ++i) {
        Connection &connection = open.emplace_back(deployment.address(callersPort));
        if (connection.send(head))
            connection.send(part);
    }
    CHECK_MESSAGE(deployment.acceptsJob(), "an ordinary job is not accepted meanwhile");
    for (Connection &it : open)
        it.receive(); // Waits until the entry refuses the request or gives it up.
    CHECK_MESSAGE(deployment.entry().isRunning(), "the entry has ended");
    CHECK(usage.peakResidentBytes() <= before + maxGrowthBytes);
    CHECK(usage.openDescriptors() <= maxDescriptors);
    CHECK_MESSAGE(deployment.acceptsJob(), "an ordinary job is not accepted any more");
}
