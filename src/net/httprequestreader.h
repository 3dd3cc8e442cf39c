#pragma once

#include "core/httpserver.h"

#include <cstddef>
#include <memory>
#include <span>

namespace savorywick {

// How large a request may be.
struct HttpRequestLimits
{
    // Of the request line and the headers together. The lines that frame a chunked body, each with
    // its extensions, and its trailers all together may be as long.
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 1U << 20U;
};

// Reads the requests of one connection, one after the other, from bytes in pieces of any size.
//
// Use it where clients are not trusted: however a request is cut into pieces, what is held of it
// never exceeds its limits by more than one piece. It does no I/O. Not thread-safe.
//
// Example:
//   HttpRequestReader reader;
//   reader.start(limits);
//   do
//       reader.commit(receive(reader.prepare(4'096)));
//   while (reader.parse() == HttpRequestReader::State::Incomplete);
class HttpRequestReader
{
public:
    enum class State {
        Incomplete, // More bytes are needed.
        Complete, // takeRequest() returns the request.
        Failed, // The request is malformed or too large; errorStatus() tells the response's status.
    };

    HttpRequestReader();
    ~HttpRequestReader();
    HttpRequestReader(const HttpRequestReader &) = delete;
    HttpRequestReader &operator=(const HttpRequestReader &) = delete;

    // Begins the next request with the bytes that have already come after the last one.
    void start(const HttpRequestLimits &limits);
    // Returns room for up to `n` further bytes, valid until the next call of any function.
    std::span<char> prepare(std::size_t n);
    // Adds the first `n` bytes of the room to those that were received.
    void commit(std::size_t n);
    // Reads as much of the request as has been received. Call start() before, and not again once
    // the state is not Incomplete.
    State parse();

    // Returns 400, 413 or 431 once the request has failed.
    int errorStatus() const;
    // Returns whether the client lets the connection be used again, once the request is complete.
    bool keepAlive() const;
    // Returns the complete request. Call it once.
    HttpRequest takeRequest();

    // Returns how many bytes of the request, and of what follows it, are held.
    std::size_t heldBytes() const;
    // Returns true if and only if bytes are held that no request has used yet.
    bool hasUnparsedBytes() const;
    // Discards all that is held. Call start() before the next parse().
    void discard();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace savorywick
