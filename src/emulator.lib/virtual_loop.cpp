// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/emulator/virtual_loop.h>

namespace pathport::emulator {

World::World(uint64_t seed)
    : m_generator(seed)
{
}

void World::after(Millis delay, std::function<void()> work)
{
    const int64_t at = m_now.count() + std::max<int64_t>(0, delay.count());
    m_events.emplace(std::make_pair(at, ++m_sequence), std::move(work));
}

void World::run_for(Millis span)
{
    const Millis end = m_now + span;
    while (!m_events.empty() && m_events.begin()->first.first <= end.count()) {
        const auto first = m_events.begin();
        m_now = Millis(first->first.first);
        const std::function<void()> work = std::move(first->second);
        m_events.erase(first);
        work();
    }
    m_now = end;
}

uint64_t World::random_below(uint64_t bound)
{
    return m_generator() % bound;
}

bool World::chance(double share)
{
    return double(random_below(1000000)) < share * 1000000;
}

ProcessLoop::ProcessLoop(World& world)
    : m_world(world)
{
}

Millis ProcessLoop::now() const
{
    if (m_running)
        m_clock_cost = m_clock_cost + m_cost.clock_reading;
    return m_world.now() + m_clock_cost;
}

void ProcessLoop::note_work(size_t entries)
{
    if (!m_running || m_cost.entries_per_ms == 0)
        return;
    m_entries += static_cast<int64_t>(entries);
    m_clock_cost = m_clock_cost + Millis(m_entries / m_cost.entries_per_ms);
    m_entries %= m_cost.entries_per_ms;
}

EventLoop::TimerId ProcessLoop::after(Millis delay, std::function<void()> work)
{
    const TimerId id = ++m_last_timer;
    m_timers.insert(id);
    schedule_timer(id, std::max(Millis(0), delay) + m_clock_cost, suspended_time(), work);
    return id;
}

// Suspended time since `suspended_before` does not count and is waited for again.
void ProcessLoop::schedule_timer(TimerId id, Millis delay, Millis suspended_before,
                                 const std::function<void()>& work)
{
    m_world.after(delay, [this, alive = m_alive, id, work, suspended_before] {
        if (!*alive)
            return;
        const Millis suspended = suspended_time() - suspended_before;
        if (suspended > Millis(0)) {
            const Millis remaining = std::max(Millis(0), m_suspended_until - m_world.now());
            schedule_timer(id, remaining + suspended, suspended_time() + remaining, work);
            return;
        }
        deliver([this, id, work] {
            if (m_timers.erase(id) > 0)
                work();
        });
    });
}

Millis ProcessLoop::suspended_time() const
{
    return m_total_suspended - std::max(Millis(0), m_suspended_until - m_world.now());
}

void ProcessLoop::suspend_for(Millis span)
{
    const Millis until = std::max(m_suspended_until, m_world.now() + span);
    m_total_suspended
        = m_total_suspended + (until - std::max(m_suspended_until, m_world.now()));
    m_suspended_until = until;
    m_frozen_until = std::max(m_frozen_until, until);
}

void ProcessLoop::cancel(TimerId timer)
{
    m_timers.erase(timer);
}

void ProcessLoop::deliver(std::function<void()> work)
{
    if (!*m_alive)
        return;
    if (!frozen() && m_cost.is_zero() && m_ready.empty()) {
        work();
        return;
    }
    if (!frozen()) {
        m_ready.push_back(std::move(work));
        run_ready();
        return;
    }
    m_world.after(m_frozen_until - m_world.now(), [this, alive = m_alive, work] {
        if (*alive)
            deliver(work);
    });
}

// Runs the first piece of queued work, and the next one once the processor is free again.
void ProcessLoop::run_ready()
{
    if (m_run_scheduled || m_ready.empty())
        return;
    if (frozen()) {
        m_run_scheduled = true;
        m_world.after(m_frozen_until - m_world.now(), [this, alive = m_alive] {
            if (!*alive)
                return;
            m_run_scheduled = false;
            run_ready();
        });
        return;
    }
    const std::function<void()> work = std::move(m_ready.front());
    m_ready.pop_front();
    m_run_scheduled = true;
    const auto alive = m_alive;
    run(work);
    if (!*alive)
        return;
    const Millis duration = at_speed(m_cost.event + m_clock_cost);
    m_clock_cost = Millis(0);
    m_world.after(duration, [this, alive] {
        if (!*alive)
            return;
        m_run_scheduled = false;
        run_ready();
    });
}

// Returns how long work takes at the processor's speed. Fractions of a millisecond are
// carried over to the next piece of work.
Millis ProcessLoop::at_speed(Millis work)
{
    constexpr int64_t full_speed = 100;
    const int64_t scaled = work.count() * full_speed + m_unscaled;
    m_unscaled = scaled % m_cost.speed_percent;
    return Millis(scaled / m_cost.speed_percent);
}

void ProcessLoop::run(const std::function<void()>& work)
{
    m_running = true;
    work();
    m_running = false;
}

} // namespace pathport::emulator
