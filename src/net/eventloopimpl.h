#pragma once

#include "net/eventloop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <unordered_map>
#include <vector>

namespace savorywick {

// The Asio state of an EventLoop. Only the sources of this package include it, so that users of
// EventLoop do not depend on Asio.
struct EventLoop::Impl
{
    using Timer = boost::asio::steady_timer;

    boost::asio::io_context context{1}; // One thread runs it, so it needs no locks.
    std::unordered_map<TimerId, std::unique_ptr<Timer>> timers;
    std::vector<std::unique_ptr<boost::asio::signal_set>> signals;
    TimerId lastTimerId = 0;
};

} // namespace savorywick
