// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "io_loop_impl.h"

#include <csignal>

namespace pathport {

IoLoop::IoLoop()
    : m_impl(std::make_unique<Impl>())
{
}

IoLoop::~IoLoop() = default;

Millis IoLoop::now() const
{
    return m_impl->clock.now();
}

EventLoop::TimerId IoLoop::after(Millis delay, std::function<void()> work)
{
    const TimerId id = ++m_impl->last_timer;
    auto timer = std::make_unique<boost::asio::steady_timer>(m_impl->context);
    timer->expires_after(std::chrono::milliseconds(std::max<int64_t>(0, delay.count())));
    timer->async_wait([this, id, work = std::move(work)](boost::system::error_code error) {
        if (error || m_impl->timers.erase(id) == 0)
            return;
        work();
    });
    m_impl->timers.emplace(id, std::move(timer));
    return id;
}

void IoLoop::cancel(TimerId timer)
{
    m_impl->timers.erase(timer);
}

uint64_t IoLoop::random()
{
    return m_impl->generator();
}

void IoLoop::Impl::wait_for_signal(const std::function<void(int)>& handler)
{
    signals.async_wait([this, handler](boost::system::error_code error, int number) {
        if (error)
            return;
        wait_for_signal(handler);
        handler(number);
    });
}

void IoLoop::on_signals(std::function<void(int)> handler)
{
    std::signal(SIGPIPE, SIG_IGN);
    m_impl->signals.add(SIGTERM);
    m_impl->signals.add(SIGINT);
    m_impl->signals.add(SIGHUP);
    m_impl->wait_for_signal(handler);
}

void IoLoop::run()
{
    const auto guard = boost::asio::make_work_guard(m_impl->context);
    m_impl->context.restart();
    m_impl->context.run();
}

void IoLoop::stop()
{
    m_impl->context.stop();
}

} // namespace pathport
