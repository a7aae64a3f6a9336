// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "worker_load.h"

namespace pathport::jobs {

namespace {

std::string step_name(const TaskId& task)
{
    return task.job + "." + std::to_string(task.repeat) + "." + std::to_string(task.step);
}

} // namespace

void WorkerLoad::add(const TaskId& task, const Occupant& occupant)
{
    if (!m_occupants.emplace(task.to_string(), occupant).second)
        return;
    ++m_step_counts[step_name(task)];
    m_used = m_used + occupant.need;
    Resources& alike = m_used_by_priority[occupant.priority];
    alike = alike + occupant.need;
}

bool WorkerLoad::remove(const TaskId& task, int64_t run)
{
    const auto found = m_occupants.find(task.to_string());
    if (found == m_occupants.end() || found->second.run != run)
        return false;
    m_used = m_used - found->second.need;
    Resources& alike = m_used_by_priority[found->second.priority];
    alike = alike - found->second.need;
    m_occupants.erase(found);
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
    return m_occupants.count(task.to_string()) > 0;
}

Resources WorkerLoad::used_below(int priority) const
{
    Resources sum;
    for (auto alike = m_used_by_priority.upper_bound(priority);
         alike != m_used_by_priority.end(); ++alike)
        sum = sum + alike->second;
    return sum;
}

int WorkerLoad::count_of_step(const std::string& step) const
{
    const auto count = m_step_counts.find(step);
    return count == m_step_counts.end() ? 0 : count->second;
}

} // namespace pathport::jobs
