#pragma once

#include "net/asynchttpclient.h"
#include "net/asynchttpserver.h"
#include "net/eventloop.h"

#include <functional>
#include <memory>
#include <string>

namespace savorywick::review {

// The way of one entry to the store: passes its calls on, or turns the entry away with 503 while
// the store serves the others.
//
// Example:
//   StoreGate gate(loop, "127.0.0.50:8169", "127.0.0.1:8169");
//   gate.setTurnsAway(true);
class StoreGate
{
public:
    // Is told of each call that was carried out, before its answer goes to the entry.
    using Listener = std::function<void(const HttpRequest &, const HttpResult &)>;

    StoreGate(EventLoop &loop, const std::string &address, std::string store);

    void setTurnsAway(bool turnsAway) { m_turnsAway = turnsAway; }
    void setListener(Listener listener) { m_listener = std::move(listener); }

private:
    void handle(const HttpRequest &request, const AsyncHttpServer::Responder &respond);

    const std::string m_store;
    bool m_turnsAway = false;
    Listener m_listener;
    AsyncHttpClient m_client;
    AsyncHttpServer m_server;
};

// Returns true if and only if the call is a transaction with which an entry takes the shard over.
bool isClaim(const HttpRequest &request);

} // namespace savorywick::review
