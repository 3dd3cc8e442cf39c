#include "../net/scriptedpeer.h"
#include "net/asynchttpclient.h"
#include "net/eventloop.h"
#include "platform/tablestore.h"

#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <string>

using namespace savorywick;
using namespace savorywick::platform;
using namespace savorywick::testing;

namespace {

constexpr Millis waitLimit{20'000}; // Generous; reached only if a call hangs.
constexpr BlobStoreSettings settings{.timeout = Millis{1'000}};

// A blob store behind a slow link: it sends each piece of its one response 400 ms after the one
// before.
class SlowBlobStore
{
public:
    explicit SlowBlobStore(ScriptedPeer::Script response)
        : m_peer({std::move(response)}, false, std::chrono::milliseconds(400))
    { }

    // Returns the object, or nothing if the client gave up.
    std::optional<std::string> fetch()
    {
        std::optional<std::string> object;
        run([&](BlobStore &store) {
            store.fetch("o", [&](const auto &bytes) {
                object = bytes;
                m_loop.stop();
            });
        });
        return object;
    }

    // Returns true if and only if the client was told that the object is stored.
    bool put(const std::string &bytes)
    {
        bool stored = false;
        run([&](BlobStore &store) {
            store.put("o", bytes, [&](bool ok) {
                stored = ok;
                m_loop.stop();
            });
        });
        return stored;
    }

private:
    template<typename Call>
    void run(const Call &call)
    {
        AsyncHttpClient http(m_loop);
        BlobStore store(http, m_peer.address(), settings);
        call(store);
        const auto limit = m_loop.runAfter(waitLimit, [this] { m_loop.stop(); });
        m_loop.run();
        m_loop.cancel(limit);
    }

    ScriptedPeer m_peer;
    EventLoop m_loop;
};

} // namespace

// Guards against an owner that never restores its shard: over a slow link a large snapshot was cut
// off and fetched again from its start for ever.
TEST_CASE("A large object that goes on arriving is fetched however long it takes")
{
    SlowBlobStore store({"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n", "12", "34", "56", "78"});
    CHECK(store.fetch() == "12345678");
}

// Guards against a shard whose snapshot is never stored: over a slow link a large one was cut off
// and sent again from its start for ever, which kept the link full.
TEST_CASE("An object has the longer to be stored the larger it is")
{
    struct Case
    {
        std::size_t bytes;
        bool stored;
    };
    for (const Case &it : {Case{8, false}, Case{2'000'000, true}}) {
        CAPTURE(it.bytes);
        SlowBlobStore store({"HTTP/1.1 ", "200 ", "OK\r\n", "Content-Length: ", "0\r\n\r\n"});
        CHECK(store.put(std::string(it.bytes, 'x')) == it.stored);
    }
}
