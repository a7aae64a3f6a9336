// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Tasks that crash every worker that starts them, and workers whose capacity changes.

#include <pathport/emulator/workers.h>

#include <algorithm>

namespace pathport::emulator {

namespace {

/// A task must not be started `excess_starts` times more after it has crashed
/// `crash_limit` workers.
constexpr int crash_limit = 3;
constexpr int excess_starts = 3;
/// Time plus one heartbeat for which the capacity before a reduction is tolerated, since
/// the leader has to learn of the change.
constexpr Millis contact_time { 3000 };

Resources larger(const Resources& left, const Resources& right)
{
    Resources new_capacity;
    new_capacity.cpu_millis = std::max(left.cpu_millis, right.cpu_millis);
    new_capacity.memory_mb = std::max(left.memory_mb, right.memory_mb);
    new_capacity.accelerators = std::max(left.accelerators, right.accelerators);
    return new_capacity;
}

} // namespace

bool Workers::crashes_worker(const jobs::TaskId& task) const
{
    return task.index < model_of(task).crashing_task_count;
}

void Workers::apply_task_crashes()
{
    std::vector<std::pair<std::string, jobs::TaskId>> crashing;
    for (const auto& [id, incarnation] : m_incarnations) {
        if (!incarnation.up)
            continue;
        const auto cause = std::find_if(
            incarnation.running.begin(), incarnation.running.end(), [&](const auto& run) {
                const Millis runs_for = m_world.now() - run.second.begun;
                return crashes_worker(run.second.task)
                    && runs_for >= Millis(model_of(run.second.task).crash_after_ms);
            });
        if (cause != incarnation.running.end())
            crashing.emplace_back(id, cause->second.task);
    }
    for (const auto& [id, cause] : crashing)
        crash_by_task(*find(id), cause);
}

// All runs on the worker are lost, which breaks the gangs that they belong to.
void Workers::crash_by_task(Incarnation& incarnation, const jobs::TaskId& cause)
{
    const StepModel& model = model_of(cause);
    ++m_history[cause.to_string()].crashed;
    if (on_crash)
        on_crash(model.crash_downtime);
    const std::map<std::string, Run> lost = incarnation.running;
    lose_runs(incarnation);
    for (const auto& [name, run] : lost)
        break_gang(run, jobs::EndKind::gang_broken);
    if (model.crash_keeps_id) {
        RestartOptions options;
        options.downtime = model.crash_downtime;
        options.listed_after = Millis(600);
        options.unresponsive = model.crash_unresponsive;
        options.capacity = capacity_of(incarnation);
        restart(incarnation.info.id, options);
        return;
    }
    incarnation.up = false;
    incarnation.crashed_by_task = true;
    incarnation.down_unresponsive = model.crash_unresponsive;
    incarnation.down_since = m_world.now();
    jobs::WorkerInfo info = incarnation.info;
    info.capacity = capacity_of(incarnation);
    m_world.after(model.crash_downtime, [this, info] {
        m_incarnations[add(info.service, info.capacity)].info.address = info.address;
    });
}

// All runs on a worker are lost with it.
void Workers::lose_runs(Incarnation& incarnation)
{
    for (const auto& [name, run] : incarnation.running)
        ++m_history[name].lost;
    incarnation.running.clear();
}

int Workers::crashes_of(const std::string& job) const
{
    int count = 0;
    for (const auto& [name, history] : m_history) {
        const auto task = jobs::TaskId::parse(name);
        count += task && task->job == job ? history.crashed : 0;
    }
    return count;
}

void Workers::check_crashes(const jobs::TaskId& task)
{
    TaskHistory& history = m_history[task.to_string()];
    if (history.crashed < crash_limit)
        return;
    if (++history.started_after_crashes == excess_starts)
        note_violation("started three more times after it crashed three workers: "
                       + task.to_string());
}

void Workers::resize(const std::string& id, Resources new_capacity)
{
    Incarnation* incarnation = find(id);
    if (incarnation == nullptr || !incarnation->up)
        return;
    const bool tolerated = m_world.now() < incarnation->previous_capacity_until;
    incarnation->previous_capacity = tolerated
        ? larger(incarnation->previous_capacity, capacity_of(*incarnation))
        : capacity_of(*incarnation);
    incarnation->previous_capacity_until
        = m_world.now() + contact_time + heartbeat_interval;
    incarnation->actual_capacity = new_capacity;
    m_world.after(heartbeat_interval, [this, id, started_at = incarnation->started_at] {
        Incarnation* resized = find(id);
        if (resized->started_at == started_at && resized->actual_capacity)
            resized->info.capacity = *resized->actual_capacity;
    });
}

const Resources& Workers::capacity_of(const Incarnation& incarnation) const
{
    return incarnation.actual_capacity ? *incarnation.actual_capacity
                                       : incarnation.info.capacity;
}

// Runs that are being stopped still count.
bool Workers::within_capacity(const Incarnation& incarnation) const
{
    const Resources taken = used(incarnation);
    const bool tolerated
        = m_world.now() < incarnation.previous_capacity_until || m_executing_delayed;
    return taken.fits_in(capacity_of(incarnation))
        || (tolerated && taken.fits_in(incarnation.previous_capacity));
}

} // namespace pathport::emulator
