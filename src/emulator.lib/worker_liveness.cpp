// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Whether a task could run and doesn't, as far as the workers show it.

#include <pathport/emulator/workers.h>

#include <algorithm>
#include <limits>

namespace pathport::emulator {

namespace {

int64_t times(int64_t free, int64_t need)
{
    return need > 0 ? std::max<int64_t>(0, free) / need
                    : std::numeric_limits<int32_t>::max();
}

} // namespace

bool Workers::is_running(const jobs::TaskId& task) const
{
    const std::string name = task.to_string();
    return std::any_of(m_lives.begin(), m_lives.end(), [&](const auto& entry) {
        return entry.second.up && entry.second.running.count(name) > 0;
    });
}

bool Workers::has_running_task(const std::string& job) const
{
    return std::any_of(m_lives.begin(), m_lives.end(), [&](const auto& entry) {
        const Life& life = entry.second;
        return life.up
            && std::any_of(life.running.begin(), life.running.end(),
                           [&](const auto& run) { return run.second.task.job == job; });
    });
}

bool Workers::may_be_given_up(const jobs::TaskId& task) const
{
    jobs::TaskId counted = task;
    if (facts(task).gang)
        counted.index = 0;
    const auto found = m_history.find(counted.to_string());
    if (found == m_history.end())
        return false;
    constexpr int enough = 2;
    const auto own = m_history.find(task.to_string());
    const bool lost
        = give_up_after_two_losses && own != m_history.end() && own->second.lost >= enough;
    return lost || found->second.crashed >= enough
        || (!facts(task).lasting && found->second.failed >= facts(task).max_failures);
}

bool Workers::turn_has_come(const std::string& job, int step) const
{
    const StepModel& known = facts({ job, 0, step, 0 });
    const bool open = known.lasting || !all_done(job, step, known.count, known.gang);
    return open && std::all_of(known.after.begin(), known.after.end(), [&](int earlier) {
               const StepModel& before = facts({ job, 0, earlier, 0 });
               return all_done(job, earlier, before.count, before.gang);
           });
}

// How many tasks of the step the workers that may run it have room for.
int64_t Workers::rooms_for(const std::string& job, int step) const
{
    const StepModel& known = facts({ job, 0, step, 0 });
    const std::string name = job + ".0." + std::to_string(step);
    int64_t sum = 0;
    for (const auto& [id, life] : m_lives) {
        const bool usable = life.up && life.listed && !life.info.draining
            && life.faults.empty() && m_world.now() >= life.cut_until;
        if (!usable || (known.advised && !is_allowed(name, id)))
            continue;
        const Resources free = room_of(life) - used(life);
        int64_t fit = std::min(times(free.cpu_millis, known.need.cpu_millis),
                               times(free.memory_mb, known.need.memory_mb));
        if (known.max_per_worker > 0)
            fit = std::min<int64_t>(fit, known.max_per_worker);
        sum += fit;
    }
    return sum;
}

bool Workers::half_free() const
{
    int64_t all = 0;
    int64_t taken = 0;
    for (const auto& [id, life] : m_lives) {
        if (!life.up || !life.listed)
            continue;
        all += room_of(life).cpu_millis;
        taken += used(life).cpu_millis;
    }
    return 2 * taken < all;
}

bool Workers::is_stalled(const std::string& job, int steps) const
{
    if (!half_free() || has_running_task(job) || holds_half_its_bound(job))
        return false;
    for (int step = 0; step < steps; ++step) {
        const StepModel& known = facts({ job, 0, step, 0 });
        const int64_t wanted = int64_t(2) * (known.gang ? known.count : 1);
        if (turn_has_come(job, step) && rooms_for(job, step) >= wanted)
            return true;
    }
    return false;
}

} // namespace pathport::emulator
