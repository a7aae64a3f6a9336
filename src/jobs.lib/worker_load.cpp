// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "worker_load.h"

#include <algorithm>

namespace pathport::jobs {

namespace {

std::string step_name(const TaskId& task)
{
    return task.job + "." + std::to_string(task.repeat) + "." + std::to_string(task.step);
}

} // namespace

void WorkerLoad::add(const TaskId& task, const Allocation& allocation)
{
    if (!m_allocations.emplace(task.to_string(), allocation).second)
        return;
    ++m_step_counts[step_name(task)];
    m_used = m_used + allocation.need;
    Use& same_priority = used_by(allocation.priority);
    same_priority.all = same_priority.all + allocation.need;
    if (allocation.stoppable)
        same_priority.stoppable = same_priority.stoppable + allocation.need;
}

WorkerLoad::Use& WorkerLoad::used_by(int priority)
{
    const auto place = std::lower_bound(
        m_used_by_priority.begin(), m_used_by_priority.end(), priority,
        [](const Use& entry, int wanted) { return entry.priority < wanted; });
    if (place != m_used_by_priority.end() && place->priority == priority)
        return *place;
    return *m_used_by_priority.insert(place, Use { priority, {}, {} });
}

bool WorkerLoad::remove(const TaskId& task, int64_t run)
{
    const auto found = m_allocations.find(task.to_string());
    if (found == m_allocations.end() || found->second.run != run)
        return false;
    m_used = m_used - found->second.need;
    Use& same_priority = used_by(found->second.priority);
    same_priority.all = same_priority.all - found->second.need;
    if (found->second.stoppable)
        same_priority.stoppable = same_priority.stoppable - found->second.need;
    m_allocations.erase(found);
    const auto count = m_step_counts.find(step_name(task));
    if (--count->second == 0)
        m_step_counts.erase(count);
    return true;
}

void WorkerLoad::clear()
{
    *this = WorkerLoad();
}

bool WorkerLoad::holds(const TaskId& task) const
{
    return m_allocations.count(task.to_string()) > 0;
}

const Allocation* WorkerLoad::find(const TaskId& task, int64_t run) const
{
    const auto found = m_allocations.find(task.to_string());
    const bool is_held = found != m_allocations.end() && found->second.run == run;
    return is_held ? &found->second : nullptr;
}

bool WorkerLoad::holds(const TaskId& task, int64_t run) const
{
    return find(task, run) != nullptr;
}

Resources WorkerLoad::used_below(int priority) const
{
    Resources sum;
    for (const Use& use : m_used_by_priority) {
        if (use.priority > priority)
            sum = sum + use.all;
    }
    return sum;
}

Resources WorkerLoad::stoppable_below(int priority) const
{
    Resources sum;
    for (const Use& use : m_used_by_priority) {
        if (use.priority > priority)
            sum = sum + use.stoppable;
    }
    return sum;
}

int WorkerLoad::count_of_step(const std::string& step) const
{
    const auto count = m_step_counts.find(step);
    return count == m_step_counts.end() ? 0 : count->second;
}

} // namespace pathport::jobs
