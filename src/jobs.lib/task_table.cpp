// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "task_table.h"

#include <iterator>
#include <stdexcept>

namespace pathport::jobs {

namespace {

Task done_task()
{
    Task task;
    task.phase = TaskPhase::done;
    return task;
}

size_t heap_bytes(const std::string& text)
{
    constexpr size_t inline_capacity = 15;
    return text.capacity() > inline_capacity ? text.capacity() : 0;
}

} // namespace

int TaskTable::untouched() const
{
    const int records = static_cast<int>(m_records.size());
    return m_size - m_done - (records - m_done_records);
}

void TaskTable::check(int index) const
{
    if (index < 0 || index >= m_size)
        throw std::out_of_range("no such task in the step");
}

bool TaskTable::is_done(int index) const
{
    check(index);
    return m_done == m_size || (!m_open.empty() && !m_open.test(size_t(index)));
}

const Task& TaskTable::at(int index) const
{
    static const Task untouched_task;
    static const Task finished_task = done_task();
    const auto found = m_records.find(index);
    if (found != m_records.end())
        return found->second;
    return is_done(index) ? finished_task : untouched_task;
}

Task* TaskTable::find(int index)
{
    const auto found = m_records.find(index);
    return found == m_records.end() ? nullptr : &found->second;
}

Task& TaskTable::edit(int index)
{
    if (is_done(index))
        throw std::out_of_range("the task is done");
    return m_records[index];
}

bool TaskTable::drop_if_without_losses(Records::iterator record)
{
    if (!record->second.crashes.empty())
        return false;
    m_records.erase(record);
    return true;
}

void TaskTable::set_done(int index)
{
    if (is_done(index))
        return;
    const auto record = m_records.find(index);
    if (record != m_records.end() && !drop_if_without_losses(record)) {
        record->second.phase = TaskPhase::done;
        ++m_done_records;
    }
    if (m_open.empty()) {
        m_open.resize(size_t(m_size));
        m_open.set();
    }
    m_open.reset(size_t(index));
    if (++m_done == m_size)
        boost::dynamic_bitset<>().swap(m_open);
}

void TaskTable::set_all_done()
{
    for (auto record = m_records.begin(); record != m_records.end();) {
        const auto next = std::next(record);
        if (!drop_if_without_losses(record))
            record->second.phase = TaskPhase::done;
        record = next;
    }
    m_done_records = static_cast<int>(m_records.size());
    m_done = m_size;
    boost::dynamic_bitset<>().swap(m_open);
}

int TaskTable::next_open(int index) const
{
    if (index >= m_size || m_done == m_size)
        return m_size;
    if (m_open.empty())
        return index;
    const size_t found
        = index == 0 ? m_open.find_first() : m_open.find_next(size_t(index) - 1);
    return found == boost::dynamic_bitset<>::npos ? m_size : static_cast<int>(found);
}

size_t TaskTable::memory_bytes() const
{
    size_t bytes = m_open.num_blocks() * sizeof(boost::dynamic_bitset<>::block_type);
    for (const auto& [index, task] : m_records) {
        bytes += map_node_bytes + sizeof(Records::value_type);
        bytes += task.failed_runs.capacity() * sizeof(int64_t) + heap_bytes(task.worker)
            + heap_bytes(task.checkpoint) + heap_bytes(task.failed_on)
            + heap_bytes(task.ticket) + task.crashes.size() * sizeof(CrashedRun);
    }
    return bytes;
}

} // namespace pathport::jobs
