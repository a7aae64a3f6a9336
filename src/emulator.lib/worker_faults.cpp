// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Faults of single workers, checkpoints, tickets, and the checks of where a task starts.

#include <pathport/emulator/workers.h>
#include <pathport/ids.h>

#include <algorithm>

namespace pathport::emulator {

namespace {

/// The interval at which lives are stepped, as in workers.cpp.
constexpr Millis step_interval { 10 };
constexpr Millis checkpoint_interval { 500 };

std::string step_name(const jobs::TaskId& task)
{
    return task.job + "." + std::to_string(task.repeat) + "." + std::to_string(task.step);
}

} // namespace

// A hash decides which workers may run a step, so the answer never changes.
bool Workers::is_allowed(const std::string& step, const std::string& worker) const
{
    return stable_hash(step + worker) % 10 < allowed_tenths;
}

Millis Workers::advice_latency(const std::string& step) const
{
    const auto task = jobs::TaskId::parse(step + ".0");
    const int64_t own_time = task ? facts(*task).advice_latency_ms : 0;
    return own_time > 0 ? Millis(own_time) : default_advice_latency;
}

void Workers::inject_fault(const std::string& id, WorkerFault fault, Millis span,
                           double share)
{
    Life* life = find(id);
    if (life == nullptr)
        return;
    life->faults[fault] = m_world.now() + span;
    life->declined_share = share;
}

void Workers::stop_unannounced(const std::string& id, Millis span)
{
    Life* life = find(id);
    if (life == nullptr)
        return;
    life->listed = false;
    end_later(*life, span);
}

bool Workers::has(const Life& life, WorkerFault fault) const
{
    const auto found = life.faults.find(fault);
    return found != life.faults.end() && m_world.now() < found->second;
}

bool Workers::declines(const Life& life, bool start)
{
    const bool faulty = has(life, WorkerFault::declines)
        || (start && has(life, WorkerFault::declines_starts));
    return faulty && m_world.chance(life.declined_share);
}

bool Workers::address_taken(const Life& life) const
{
    return std::any_of(m_lives.begin(), m_lives.end(), [&](const auto& entry) {
        return entry.second.up && entry.second.info.address == life.info.address;
    });
}

// What runs on a worker that is slow or stands still ends later.
void Workers::suffer(Life& life)
{
    const bool still = has(life, WorkerFault::stalls_tasks);
    const bool slow = has(life, WorkerFault::slows_tasks);
    for (auto& [name, run] : life.running) {
        if (still || slow) {
            const Millis lost(still ? step_interval.count() : step_interval.count() / 2);
            run.ends_at = run.ends_at + lost;
            run.waits_since = run.waits_since + lost;
        }
        save_progress(run);
    }
}

void Workers::save_progress(Run& run)
{
    const bool due = run.working && m_world.now() - run.saved_at >= checkpoint_interval;
    if (!due || !facts(run.task).saves_progress)
        return;
    run.saved_at = m_world.now();
    run.checkpoint = std::to_string(worked_ms(run));
}

int64_t Workers::worked_ms(const Run& run) const
{
    return run.restored_ms + std::max(Millis(0), m_ticked - run.waits_since).count();
}

// A ticket is the time until which it holds and the life for which it does.
std::string Workers::ticket_for(const Life& life, Millis until)
{
    return std::to_string(until.count()) + "/" + std::to_string(life.born.count());
}

bool Workers::ticket_good(const Life& life, const jobs::StartOrder& order) const
{
    if (injected.ticket_validity == Millis(0) || !facts(order.task).advised)
        return true;
    if (order.ticket.empty())
        return false;
    const Millis until(std::stoll(order.ticket));
    return until > m_world.now() && order.ticket == ticket_for(life, until);
}

void Workers::check_place(const Life& life, const jobs::StartOrder& order)
{
    const std::string name = order.task.to_string();
    const StepModel& known = facts(order.task);
    if (known.advised && !is_allowed(step_name(order.task), life.info.id))
        note_violation("started on a worker that may not run it: " + name);
    int alike = 0;
    for (const auto& [other, run] : life.running)
        alike += step_name(run.task) == step_name(order.task) ? 1 : 0;
    if (known.max_per_worker > 0 && alike >= known.max_per_worker)
        note_violation("too many of its step on " + life.info.id + ": " + name);
    if (injected.ticket_validity > Millis(0) && life.running.count(name) > 0)
        note_violation("two runs at once on " + life.info.id + ": " + name);
}

} // namespace pathport::emulator
