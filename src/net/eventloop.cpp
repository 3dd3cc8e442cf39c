#include "net/eventloop.h"

#include "net/eventloopimpl.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <chrono>
#include <utility>

namespace savorywick {

namespace {

void waitForSignal(boost::asio::signal_set &signals, const EventLoop::Callback &callback)
{
    signals.async_wait([&signals, callback](const boost::system::error_code &ec, int) {
        if (ec)
            return;
        callback();
        waitForSignal(signals, callback);
    });
}

} // namespace

EventLoop::EventLoop()
    : m_impl(std::make_unique<Impl>())
{ }

EventLoop::~EventLoop() = default;

EventLoop::TimerId EventLoop::runAfter(Millis delay, Callback callback)
{
    const TimerId id = ++m_impl->lastTimerId;
    auto timer = std::make_unique<Impl::Timer>(m_impl->context);
    timer->expires_after(std::chrono::milliseconds(delay.count()));
    timer->async_wait(
        [this, id, callback = std::move(callback)](const boost::system::error_code &ec) {
            if (ec || m_impl->timers.erase(id) == 0)
                return;
            callback();
        });
    m_impl->timers.emplace(id, std::move(timer));
    return id;
}

void EventLoop::cancel(TimerId timer)
{
    m_impl->timers.erase(timer);
}

void EventLoop::post(Callback callback)
{
    boost::asio::post(m_impl->context, std::move(callback));
}

void EventLoop::onSignal(int signal, const Callback &callback)
{
    auto signals = std::make_unique<boost::asio::signal_set>(m_impl->context, signal);
    waitForSignal(*signals, callback);
    m_impl->signals.push_back(std::move(signals));
}

void EventLoop::run()
{
    const auto guard = boost::asio::make_work_guard(m_impl->context);
    m_impl->context.run();
    m_impl->context.restart();
}

void EventLoop::stop()
{
    m_impl->context.stop();
}

} // namespace savorywick
