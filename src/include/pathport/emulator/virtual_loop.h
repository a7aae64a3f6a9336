// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Virtual time for the emulator. Events run one at a time in time order, so a given seed
/// always produces the same run.

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

/// The event queue, virtual clock and random generator of an emulation.
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

/// Processor time that a process's work takes; none by default. Work that arrives while the
/// process is busy is queued in FIFO order, so timers and replies are delayed.
struct ProcessorCost {
    Millis event; ///< For a message, a reply or a timer.
    /// For a reading of the clock. Long loops read it, so this models their cost.
    Millis clock_reading;

    /// Number of list entries that are processed in a millisecond; 0 if that takes no time.
    /// See EventLoop::note_work().
    int64_t entries_per_ms = 0;
    int speed_percent = 100; ///< Speed of the processor; all work takes longer below 100.

    bool is_zero() const
    {
        return event == Millis(0) && clock_reading == Millis(0) && entries_per_ms == 0;
    }
};

/// The event loop of one emulated process, which can be killed, frozen and suspended.
class ProcessLoop : public EventLoop {
public:
    explicit ProcessLoop(World& world);

    Millis now() const override;
    TimerId after(Millis delay, std::function<void()> work) override;
    void cancel(TimerId timer) override;
    uint64_t random() override { return m_world.random_below(UINT64_MAX); }
    void note_work(size_t entries) override;

    /// Runs `work` in the process as soon as it is neither frozen nor busy; drops it once
    /// the process is dead.
    void deliver(std::function<void()> work);
    /// Sets the processor cost of all further work.
    void set_processor_cost(const ProcessorCost& cost) { m_cost = cost; }
    /// Returns the number of queued pieces of work.
    size_t waiting_work() const { return m_ready.size(); }
    /// Runs nothing in the process until `time`.
    void freeze_until(Millis time) { m_frozen_until = time; }
    /// Runs nothing in the process for `span`. As on a suspended box, its clock advances
    /// but its timers do not.
    void suspend_for(Millis span);
    /// Ends the process, after which none of its work runs.
    void kill() { *m_alive = false; }
    bool alive() const { return *m_alive; }
    bool frozen() const { return m_world.now() < m_frozen_until; }
    /// Returns a flag that turns false when the process dies.
    std::shared_ptr<bool> alive_flag() const { return m_alive; }
    World& world() { return m_world; }

private:
    void schedule_timer(TimerId id, Millis delay, Millis suspended_before,
                        const std::function<void()>& work);
    Millis suspended_time() const;
    void run_ready();
    void run(const std::function<void()>& work);
    Millis at_speed(Millis work);

    World& m_world;
    ProcessorCost m_cost;
    std::deque<std::function<void()>> m_ready; ///< Work queued for the processor.
    bool m_run_scheduled = false; ///< A call of run_ready() is scheduled.
    /// Spent on clock readings and list entries by the present work.
    mutable Millis m_clock_cost;
    int64_t m_entries = 0; ///< Processed but not charged yet, less than a millisecond's.
    int64_t m_unscaled = 0; ///< Remainder of a division by the speed.
    bool m_running = false;
    /// Time that timers do not count, up to the end of the last suspension.
    Millis m_total_suspended;
    Millis m_suspended_until;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    Millis m_frozen_until;
    TimerId m_last_timer = 0;
    std::set<TimerId> m_timers;
};

} // namespace pathport::emulator
