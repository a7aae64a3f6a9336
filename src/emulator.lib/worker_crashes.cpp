// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Tasks that crash each worker that starts them, and workers whose room changes.

#include <pathport/emulator/workers.h>

#include <algorithm>

namespace pathport::emulator {

namespace {

/// A task must not be started so often once it has crashed so many workers.
constexpr int crashes_in_all = 3;
constexpr int starts_beyond = 3;
/// A room that has shrunk counts so long and a beat later: its leader has to hear of it.
constexpr Millis contact_time { 3000 };

Resources larger(const Resources& left, const Resources& right)
{
    Resources room;
    room.cpu_millis = std::max(left.cpu_millis, right.cpu_millis);
    room.memory_mb = std::max(left.memory_mb, right.memory_mb);
    room.accelerators = std::max(left.accelerators, right.accelerators);
    return room;
}

} // namespace

bool Workers::crashes(const jobs::TaskId& task) const
{
    return task.index < facts(task).crashing_task_count;
}

void Workers::crash_under_tasks()
{
    std::vector<std::pair<std::string, jobs::TaskId>> falling;
    for (const auto& [id, life] : m_lives) {
        if (!life.up)
            continue;
        const auto cause
            = std::find_if(life.running.begin(), life.running.end(), [&](const auto& run) {
                  const Millis runs_for = m_world.now() - run.second.begun;
                  return crashes(run.second.task)
                      && runs_for >= Millis(facts(run.second.task).crash_after_ms);
              });
        if (cause != life.running.end())
            falling.emplace_back(id, cause->second.task);
    }
    for (const auto& [id, cause] : falling)
        fall(*find(id), cause);
}

// All that runs there dies with it, and with that the gangs of which it was a part.
void Workers::fall(Life& life, const jobs::TaskId& cause)
{
    const StepModel& known = facts(cause);
    ++m_history[cause.to_string()].crashed;
    if (on_crash)
        on_crash(known.crash_downtime);
    const std::map<std::string, Run> lost = life.running;
    lose_runs(life);
    for (const auto& [name, run] : lost)
        break_gang(run, jobs::EndKind::gang_broken);
    if (known.crash_keeps_id) {
        RestartOptions how;
        how.downtime = known.crash_downtime;
        how.listed_after = Millis(600);
        how.unresponsive = known.crash_unresponsive;
        how.capacity = room_of(life);
        restart(life.info.id, how);
        return;
    }
    life.up = false;
    life.fallen = true;
    life.down_silent = known.crash_unresponsive;
    life.down_since = m_world.now();
    jobs::WorkerInfo info = life.info;
    info.capacity = room_of(life);
    m_world.after(known.crash_downtime, [this, info] {
        m_lives[add(info.service, info.capacity)].info.address = info.address;
    });
}

// All that runs on a worker goes down with it.
void Workers::lose_runs(Life& life)
{
    for (const auto& [name, run] : life.running)
        ++m_history[name].lost;
    life.running.clear();
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
    if (history.crashed < crashes_in_all)
        return;
    if (++history.started_after_crashes == starts_beyond)
        note_violation("started three times more after it had crashed three workers: "
                       + task.to_string());
}

void Workers::resize(const std::string& id, Resources room)
{
    Life* life = find(id);
    if (life == nullptr || !life->up)
        return;
    const bool counts_on = m_world.now() < life->room_before_until;
    life->room_before
        = counts_on ? larger(life->room_before, room_of(*life)) : room_of(*life);
    life->room_before_until = m_world.now() + contact_time + heartbeat_interval;
    life->room = room;
    m_world.after(heartbeat_interval, [this, id, born = life->born] {
        Life* resized = find(id);
        if (resized->born == born && resized->room)
            resized->info.capacity = *resized->room;
    });
}

const Resources& Workers::room_of(const Life& life) const
{
    return life.room ? *life.room : life.info.capacity;
}

// What is being stopped still counts.
bool Workers::fits(const Life& life) const
{
    const Resources taken = used(life);
    const bool counts_on = m_world.now() < life.room_before_until || m_carries_out_late;
    return taken.fits_in(room_of(life)) || (counts_on && taken.fits_in(life.room_before));
}

} // namespace pathport::emulator
