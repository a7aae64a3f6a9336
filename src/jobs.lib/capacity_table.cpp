// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "capacity_table.h"

#include <algorithm>
#include <tuple>

namespace pathport::jobs {

bool CapacityRow::operator==(const CapacityRow& other) const
{
    return free == other.free && capacity == other.capacity
        && std::tie(service, max_new_tasks, open, slow, reserved_for)
        == std::tie(other.service, other.max_new_tasks, other.open, other.slow,
                    other.reserved_for);
}

WorkerNumber CapacityTable::add()
{
    m_rows.emplace_back();
    return static_cast<WorkerNumber>(m_rows.size() - 1);
}

void CapacityTable::close_row(WorkerNumber number)
{
    m_rows[number].open = false;
    m_rows[number].max_new_tasks = 0;
}

bool CapacityTable::set(WorkerNumber number, CapacityRow row)
{
    row.reserved_for = m_rows[number].reserved_for;
    if (m_rows[number] == row)
        return false;
    m_rows[number] = row;
    return true;
}

void CapacityTable::reserve_row(WorkerNumber number, const Step& step)
{
    if (m_rows[number].reserved_for != nullptr)
        return;
    m_rows[number].reserved_for = &step;
    m_reserved.push_back(number);
}

void CapacityTable::release_reservations()
{
    for (const WorkerNumber number : m_reserved)
        m_rows[number].reserved_for = nullptr;
    m_reserved.clear();
}

int tasks_that_fit_into(const StepSpec& step, const Resources& free, int needed, int limit)
{
    const Resources& need = step.need;
    const bool none = limit <= 0 || free.memory_mb < need.memory_mb
        || free.accelerators < need.accelerators
        || (!step.best_effort_cpu && free.cpu_millis < need.cpu_millis);
    if (none)
        return 0;
    PlacementOption option;
    option.free = free;
    option.max_new_tasks = std::min(needed, limit);
    return tasks_that_fit(step, option);
}

} // namespace pathport::jobs
