// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Virtual time for the emulator: events run one after another in the order of their times,
/// so that a seed always gives the same run.

#pragma once

#include <pathport/event_loop.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>

namespace pathport::emulator {

/// The events of a world.
class World {
public:
    explicit World(uint64_t seed);

    Millis now() const { return m_now; }
    /// Runs `work` at now() + `delay`.
    void after(Millis delay, std::function<void()> work);
    /// Runs all events up to now() + `span`.
    void run_for(Millis span);
    /// Returns a random number below `bound`.
    uint64_t random_below(uint64_t bound);
    /// Returns true with probability `share`.
    bool chance(double share);

private:
    Millis m_now { 1000000 };
    uint64_t m_sequence = 0;
    std::map<std::pair<int64_t, uint64_t>, std::function<void()>> m_events;
    std::mt19937_64 m_generator;
};

/// What a process's work takes of its processor; nothing by default. Work that comes while
/// the process is at work waits, the first first, and its timers and answers are late.
struct ProcessorCost {
    Millis event; ///< A message, an answer or a timer.
    /// A reading of the clock: long loops read it, so their work shows in it.
    Millis clock_reading;

    bool is_zero() const { return event == Millis(0) && clock_reading == Millis(0); }
};

/// The loop of one process in a world: it can be killed, and frozen and woken again.
class ProcessLoop : public EventLoop {
public:
    explicit ProcessLoop(World& world);

    Millis now() const override;
    TimerId after(Millis delay, std::function<void()> work) override;
    void cancel(TimerId timer) override;
    uint64_t random() override { return m_world.random_below(UINT64_MAX); }

    /// Runs `work` in the process when it runs; drops it once the process is dead.
    void deliver(std::function<void()> work);
    /// From now on work takes so long.
    void set_processor_cost(const ProcessorCost& cost) { m_cost = cost; }
    /// Returns how much work waits for the processor.
    size_t waiting_work() const { return m_ready.size(); }
    /// Nothing of the process runs until then.
    void freeze_until(Millis time) { m_frozen_until = time; }
    /// Nothing of the process runs for `span`, and its timers count none of it; its clock
    /// does, as that of a machine that is suspended.
    void suspend_for(Millis span);
    /// Ends the process: nothing of it runs any more.
    void kill() { *m_alive = false; }
    bool alive() const { return *m_alive; }
    bool frozen() const { return m_world.now() < m_frozen_until; }
    /// Expires when the process is dead.
    std::shared_ptr<bool> life() const { return m_alive; }
    World& world() { return m_world; }

private:
    void arm(TimerId id, Millis delay, Millis slept_before,
             const std::function<void()>& work);
    Millis slept() const;
    void run_ready();
    void run(const std::function<void()>& work);

    World& m_world;
    ProcessorCost m_cost;
    std::deque<std::function<void()>> m_ready; ///< Waits for the processor.
    bool m_at_work = false; ///< A run of what is ready is due.
    mutable Millis m_spent; ///< On readings of the clock by the work that runs now.
    bool m_running = false;
    Millis m_slept; ///< Time that timers don't count, up to the end of the last suspension.
    Millis m_suspended_until;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    Millis m_frozen_until;
    TimerId m_last = 0;
    std::set<TimerId> m_timers;
};

} // namespace pathport::emulator
