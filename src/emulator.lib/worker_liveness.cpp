// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Detection of stalled jobs from the state of the workers.

#include <pathport/emulator/workers.h>

#include <algorithm>
#include <limits>

namespace pathport::emulator {

namespace {

int64_t fit_count(int64_t free, int64_t need)
{
    return need > 0 ? std::max<int64_t>(0, free) / need
                    : std::numeric_limits<int32_t>::max();
}

} // namespace

bool Workers::is_running(const jobs::TaskId& task) const
{
    const std::string name = task.to_string();
    return std::any_of(m_incarnations.begin(), m_incarnations.end(),
                       [&](const auto& entry) {
                           return entry.second.up && entry.second.running.count(name) > 0;
                       });
}

bool Workers::is_running_on(const std::string& worker, const jobs::TaskId& task) const
{
    const auto found = m_incarnations.find(worker);
    return found != m_incarnations.end() && found->second.up
        && found->second.running.count(task.to_string()) > 0;
}

bool Workers::has_running_task(const std::string& job) const
{
    return std::any_of(
        m_incarnations.begin(), m_incarnations.end(), [&](const auto& entry) {
            const Incarnation& incarnation = entry.second;
            return incarnation.up
                && std::any_of(incarnation.running.begin(), incarnation.running.end(),
                               [&](const auto& run) { return run.second.task.job == job; });
        });
}

bool Workers::may_be_given_up(const jobs::TaskId& task) const
{
    jobs::TaskId counted = task;
    if (model_of(task).gang)
        counted.index = 0;
    const auto found = m_history.find(counted.to_string());
    if (found == m_history.end())
        return false;
    constexpr int limit = 2;
    const auto own = m_history.find(task.to_string());
    const bool lost
        = give_up_after_two_losses && own != m_history.end() && own->second.lost >= limit;
    return lost || found->second.crashed >= limit
        || (!model_of(task).lasting && found->second.failed >= model_of(task).max_failures);
}

bool Workers::is_ready(const std::string& job, int step) const
{
    const StepModel& model = model_of({ job, 0, step, 0 });
    const bool open = model.lasting || !all_done(job, step, model.count, model.gang);
    return open && std::all_of(model.after.begin(), model.after.end(), [&](int earlier) {
               const StepModel& previous = model_of({ job, 0, earlier, 0 });
               return all_done(job, earlier, previous.count, previous.gang);
           });
}

// Returns how many tasks of the step fit on the workers that may run it.
int64_t Workers::free_slots(const std::string& job, int step) const
{
    const StepModel& model = model_of({ job, 0, step, 0 });
    const std::string name = job + ".0." + std::to_string(step);
    int64_t sum = 0;
    for (const auto& [id, incarnation] : m_incarnations) {
        const bool usable = incarnation.up && incarnation.listed
            && !incarnation.info.draining && incarnation.faults.empty()
            && m_drained_domains.count(incarnation.info.zone) == 0
            && m_world.now() >= incarnation.partition.until;
        if (!usable || (model.advised && !is_allowed(name, id)))
            continue;
        const Resources free = capacity_of(incarnation) - used(incarnation);
        int64_t fit = std::min(fit_count(free.cpu_millis, model.need.cpu_millis),
                               fit_count(free.memory_mb, model.need.memory_mb));
        if (model.max_per_worker > 0)
            fit = std::min<int64_t>(fit, model.max_per_worker);
        sum += fit;
    }
    return sum;
}

bool Workers::has_allowed_worker(const std::string& job, int step) const
{
    if (!model_of({ job, 0, step, 0 }).advised)
        return true;
    const std::string name = job + ".0." + std::to_string(step);
    return std::any_of(m_incarnations.begin(), m_incarnations.end(),
                       [&](const auto& entry) {
                           return entry.second.up && is_allowed(name, entry.first);
                       });
}

bool Workers::half_of_capacity_free() const
{
    int64_t all = 0;
    int64_t taken = 0;
    for (const auto& [id, incarnation] : m_incarnations) {
        if (!incarnation.up || !incarnation.listed)
            continue;
        all += capacity_of(incarnation).cpu_millis;
        taken += used(incarnation).cpu_millis;
    }
    return 2 * taken < all;
}

bool Workers::is_stalled(const std::string& job, int steps) const
{
    if (!half_of_capacity_free() || has_running_task(job) || uses_half_of_bound(job))
        return false;
    for (int step = 0; step < steps; ++step) {
        const StepModel& model = model_of({ job, 0, step, 0 });
        const int64_t wanted = int64_t(2) * (model.gang ? model.count : 1);
        if (is_ready(job, step) && free_slots(job, step) >= wanted
            && fits_in_bound(job, model.need, model.gang ? model.count : 1))
            return true;
    }
    return false;
}

} // namespace pathport::emulator
