#include "net/httprequestreader.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstring>
#include <string>
#include <vector>

using namespace savorywick;

namespace {

using State = HttpRequestReader::State;

constexpr HttpRequestLimits limits{.maxHeaderBytes = 512, .maxBodyBytes = 1'000};
constexpr std::size_t pieceSizes[] = {1, 64, 512, 4'096};
// As long as the request line, so that pieces of a power of two end with a line.
const std::string line = "X: 12345678901\r\n";
const std::string chunked = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string repeat(const std::string &text, int times)
{
    std::string buf;
    for (int i = 0; i < times; ++i)
        buf += text;
    return buf;
}

// Feeds the bytes in pieces until the request is complete or has failed, and returns the state.
// Sets `maxHeld` to the most bytes that were held.
State feed(HttpRequestReader &reader, const std::string &bytes, std::size_t pieceSize,
           std::size_t &maxHeld)
{
    State state = State::Incomplete;
    reader.start(limits);
    for (std::size_t at = 0; at < bytes.size() && state == State::Incomplete; at += pieceSize) {
        const std::size_t n = std::min(pieceSize, bytes.size() - at);
        std::memcpy(reader.prepare(n).data(), bytes.data() + at, n);
        reader.commit(n);
        state = reader.parse();
        maxHeld = std::max(maxHeld, reader.heldBytes());
    }
    return state;
}

struct BadRequest
{
    std::string name;
    std::string bytes;
    int status;
};

const BadRequest badRequests[] = {
    {"request line without end", "GET /" + std::string(9'000, 'a'), 431},
    {"header line without end", "GET / HTTP/1.1\r\nX: " + std::string(9'000, 'a'), 431},
    {"header lines without end", "GET / HTTP/1.1\r\n" + repeat(line, 600), 431},
    {"head over the limit", "GET / HTTP/1.1\r\n" + repeat(line, 40) + "\r\n", 431},
    {"empty lines", repeat("\r\n", 4'000), 400},
    {"trailers without end", chunked + "0\r\n" + repeat(line, 600), 431},
    {"trailer line without end", chunked + "0\r\nX: " + std::string(9'000, 'a'), 431},
    {"chunk extension without end", chunked + "1;" + std::string(9'000, 'a'), 431},
    {"last chunk's extension without end", chunked + "0;" + std::string(9'000, 'a'), 431},
    {"chunk size without end", chunked + std::string(9'000, '0'), 431},
    {"chunk of absurd size", chunked + "FFFFFFFFFFFFFFF0\r\n" + std::string(9'000, 'a'), 413},
    {"chunk size over 64 bits", chunked + "1FFFFFFFFFFFFFFF0\r\n" + std::string(9'000, 'a'), 400},
    {"chunks without end", chunked + repeat("1\r\na\r\n", 3'000), 413},
    {"body over the limit", "POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", 413},
    {"length over 64 bits", "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", 400},
};

} // namespace

// Guards against clients that end a process by requests without end.
TEST_CASE("A request over a limit or without end fails before much of it is held")
{
    for (const BadRequest &it : badRequests) {
        for (const std::size_t pieceSize : pieceSizes) {
            CAPTURE(it.name);
            CAPTURE(pieceSize);
            HttpRequestReader reader;
            std::size_t maxHeld = 0;
            CHECK((feed(reader, it.bytes, pieceSize, maxHeld) == State::Failed));
            CHECK(reader.errorStatus() == it.status);
            CHECK(maxHeld <= 2 * limits.maxHeaderBytes + limits.maxBodyBytes + pieceSize);
        }
    }
}

TEST_CASE("A request within the limits is read whatever pieces it comes in")
{
    const std::string head = "GET /a?b=c HTTP/1.1\r\n" + repeat(line, 28) + "\r\n";
    const std::string body(1'000, 'x');
    const std::string chunks = chunked + "1f4;a=b\r\n" + body.substr(500) + "\r\n1F4\r\n"
        + body.substr(500) + "\r\n0;c\r\n" + repeat(line, 30) + "\r\n";
    const std::string sized = "POST /a HTTP/1.1\r\nContent-Length: 1000\r\n\r\n" + body;
    for (const std::size_t pieceSize : pieceSizes) {
        CAPTURE(pieceSize);
        HttpRequestReader reader;
        std::size_t maxHeld = 0;
        REQUIRE((feed(reader, head, pieceSize, maxHeld) == State::Complete));
        CHECK(reader.keepAlive());
        const HttpRequest request = reader.takeRequest();
        CHECK(request.path == "/a");
        CHECK(request.headers.size() == 28);
        REQUIRE((feed(reader, chunks, pieceSize, maxHeld) == State::Complete));
        CHECK(reader.takeRequest().body == body);
        REQUIRE((feed(reader, sized, pieceSize, maxHeld) == State::Complete));
        CHECK(reader.takeRequest().body == body);
        CHECK_FALSE(reader.hasUnparsedBytes());
    }
}

TEST_CASE("Requests that come in one piece are read one after the other")
{
    HttpRequestReader reader;
    std::size_t maxHeld = 0;
    const std::string request = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::string both = request + request;
    REQUIRE((feed(reader, both, both.size(), maxHeld) == State::Complete));
    CHECK(reader.takeRequest().path == "/a");
    CHECK(reader.hasUnparsedBytes());
    reader.start(limits);
    CHECK((reader.parse() == State::Complete));
    CHECK_FALSE(reader.hasUnparsedBytes());
}
