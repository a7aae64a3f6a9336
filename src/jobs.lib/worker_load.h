// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What is placed on one worker. Sums are kept up to date, so that a pass over all workers
/// costs little.

#pragma once

#include <pathport/callers/usage_ledger.h>
#include <pathport/jobs/job_model.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace pathport::jobs {

/// What one task takes of a worker.
struct Allocation {
    int64_t run = 0;
    Resources need;
    int priority = 0; ///< Of its queue.
    /// Whose it is, and what counts for that: also what is not counted as room.
    callers::WorkspaceNumber workspace = callers::UsageLedger::none;
    Resources charged {};
};

/// The tasks that hold room on a worker, from the choice of the worker to the listed end.
class WorkerLoad {
public:
    /// Adds a task; does nothing when the task holds room there already.
    void add(const TaskId& task, const Allocation& occupant);
    /// Removes a run of a task; returns whether it was there.
    bool remove(const TaskId& task, int64_t run);
    void clear();

    bool empty() const { return m_allocations.empty(); }
    bool holds(const TaskId& task) const;
    /// Returns what this run of the task holds there, or nothing.
    const Allocation* find(const TaskId& task, int64_t run) const;
    /// Returns whether this run of the task holds room there.
    bool holds(const TaskId& task, int64_t run) const;
    /// Returns the sum of what all tasks take.
    const Resources& used() const { return m_used; }
    /// Returns what the tasks of queues that are less urgent than `priority` take.
    Resources used_below(int priority) const;
    /// Returns how many tasks of the step named "<job>.<repeat>.<step>" are there.
    int count_of_step(const std::string& step) const;
    /// Returns the tasks, by name.
    const std::map<std::string, Allocation>& allocations() const { return m_allocations; }

private:
    Resources& used_by(int priority);

    std::map<std::string, Allocation> m_allocations;
    std::map<std::string, int> m_step_counts;
    /// By rising priority; a cell has a handful of them.
    std::vector<std::pair<int, Resources>> m_used_by_priority;
    Resources m_used;
};

} // namespace pathport::jobs
