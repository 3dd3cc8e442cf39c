#pragma once

#include "net/eventloop.h"

#include <memory>
#include <string>

namespace review {

// Forwards TCP connections from one loopback address to another, and can cut them.
//
// Use it as the network path to a server that must go on running while it can't be reached. Not
// thread-safe.
//
// Example:
//   Relay path(loop, "127.0.0.20:8080", "127.0.0.20:8081");
//   path.setMode(Relay::Mode::Refuse);
class Relay
{
public:
    enum class Mode {
        Open,
        Refuse, // Open connections are reset, and new ones are refused.
        Silent, // Nothing passes in either direction. New connections are not answered.
    };

    // Listens on `address` at once. The loop must outlive this object.
    Relay(savorywick::EventLoop &loop, const std::string &address, const std::string &target);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    // On the change from Silent to Open, what was held back is lost and its connections are reset.
    void setMode(Mode mode);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace review
