// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/timers.h>

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace pathport {

namespace {
using SteadyClock = std::chrono::steady_clock;
} // namespace

class Timers::Impl {
public:
    Impl()
        : m_thread([this] { run(); })
    {
    }

    ~Impl()
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_stopping = true;
        }
        m_wakeup.notify_all();
        m_thread.join();
    }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    void after(Millis delay, std::function<void()> work)
    {
        const auto due = SteadyClock::now() + std::chrono::milliseconds(delay.count());
        bool is_first = false;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            const auto added = m_pending.emplace(due, std::move(work));
            is_first = added == m_pending.begin();
        }
        if (is_first)
            m_wakeup.notify_all();
    }

private:
    void run()
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        while (!m_stopping) {
            if (m_pending.empty()) {
                m_wakeup.wait(lock);
                continue;
            }
            const auto due = m_pending.begin()->first;
            if (SteadyClock::now() < due) {
                m_wakeup.wait_until(lock, due);
                continue;
            }
            const std::function<void()> work = std::move(m_pending.begin()->second);
            m_pending.erase(m_pending.begin());
            lock.unlock();
            work();
            lock.lock();
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_wakeup;
    std::multimap<SteadyClock::time_point, std::function<void()>> m_pending;
    bool m_stopping = false;
    std::thread m_thread;
};

Timers::Timers()
    : m_impl(std::make_unique<Impl>())
{
}

Timers::~Timers() = default;

void Timers::after(Millis delay, std::function<void()> work)
{
    m_impl->after(delay, std::move(work));
}

} // namespace pathport
