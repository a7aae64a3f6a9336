// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Faults of single workers, checkpoints, tickets, and checks of the placement of starts.

#include <pathport/emulator/workers.h>
#include <pathport/ids.h>

#include <algorithm>

namespace pathport::emulator {

namespace {

/// Interval at which workers are updated, as in workers.cpp.
constexpr Millis step_interval { 10 };
constexpr Millis checkpoint_interval { 500 };
constexpr Millis forever { 1000000000 };

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
    const int64_t own_time = task ? model_of(*task).advice_latency_ms : 0;
    return own_time > 0 ? Millis(own_time) : default_advice_latency;
}

void Workers::partition_for_good(const std::string& id)
{
    partition(id, forever);
    m_world.after(list_retention, [this, id, started_at = find(id)->started_at] {
        if (find(id)->started_at == started_at)
            find(id)->listed = false;
    });
}

void Workers::inject_fault(const std::string& id, WorkerFault fault, Millis span,
                           double share)
{
    Incarnation* incarnation = find(id);
    if (incarnation == nullptr)
        return;
    incarnation->faults[fault] = m_world.now() + span;
    incarnation->declined_share = share;
}

void Workers::stop_unannounced(const std::string& id, Millis span)
{
    Incarnation* incarnation = find(id);
    if (incarnation == nullptr)
        return;
    incarnation->listed = false;
    schedule_end(*incarnation, span);
}

bool Workers::has_fault(const Incarnation& incarnation, WorkerFault fault) const
{
    const auto found = incarnation.faults.find(fault);
    return found != incarnation.faults.end() && m_world.now() < found->second;
}

bool Workers::declines(const Incarnation& incarnation, bool start)
{
    const bool faulty = has_fault(incarnation, WorkerFault::declines)
        || (start && has_fault(incarnation, WorkerFault::declines_starts));
    return faulty && m_world.chance(incarnation.declined_share);
}

bool Workers::address_taken(const Incarnation& incarnation) const
{
    return std::any_of(
        m_incarnations.begin(), m_incarnations.end(), [&](const auto& entry) {
            return entry.second.up && entry.second.info.address == incarnation.info.address;
        });
}

// Delays the runs on a worker that is slow or makes no progress.
void Workers::apply_faults(Incarnation& incarnation)
{
    const bool stalled = has_fault(incarnation, WorkerFault::stalls_tasks);
    const bool slow = has_fault(incarnation, WorkerFault::slows_tasks);
    for (auto& [name, run] : incarnation.running) {
        if (stalled || slow) {
            const Millis lost(stalled ? step_interval.count() : step_interval.count() / 2);
            run.ends_at = run.ends_at + lost;
            run.waiting_since = run.waiting_since + lost;
        }
        save_progress(run);
    }
}

void Workers::save_progress(Run& run)
{
    const bool due
        = run.working && m_world.now() - run.checkpointed_at >= checkpoint_interval;
    if (!due || !model_of(run.task).saves_progress)
        return;
    run.checkpointed_at = m_world.now();
    run.checkpoint = std::to_string(worked_ms(run));
}

int64_t Workers::worked_ms(const Run& run) const
{
    return run.restored_ms + std::max(Millis(0), m_last_tick - run.waiting_since).count();
}

// A ticket consists of its expiry and the start time of the worker's incarnation.
std::string Workers::ticket_for(const Incarnation& incarnation, Millis until)
{
    return std::to_string(until.count()) + "/"
        + std::to_string(incarnation.started_at.count());
}

bool Workers::is_ticket_valid(const Incarnation& incarnation,
                              const jobs::StartOrder& order) const
{
    if (injected.ticket_validity == Millis(0) || !model_of(order.task).advised)
        return true;
    if (order.ticket.empty())
        return false;
    const Millis until(std::stoll(order.ticket));
    return until > m_world.now() && order.ticket == ticket_for(incarnation, until);
}

void Workers::check_placement(const Incarnation& incarnation, const jobs::StartOrder& order)
{
    const std::string name = order.task.to_string();
    const StepModel& model = model_of(order.task);
    if (model.advised && !is_allowed(step_name(order.task), incarnation.info.id))
        note_violation("started on a worker that the advisor does not allow: " + name);
    int same_step = 0;
    for (const auto& [other, run] : incarnation.running)
        same_step += step_name(run.task) == step_name(order.task) ? 1 : 0;
    if (model.max_per_worker > 0 && same_step >= model.max_per_worker)
        note_violation("more tasks of its step than allowed on " + incarnation.info.id
                       + ": " + name);
    if (injected.ticket_validity > Millis(0) && incarnation.running.count(name) > 0)
        note_violation("two runs at once on " + incarnation.info.id + ": " + name);
}

} // namespace pathport::emulator
