// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Tasks placed on a worker. Sums are kept up to date, so that a pass over all workers is
/// cheap.

#pragma once

#include <pathport/callers/usage_ledger.h>
#include <pathport/jobs/job_model.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pathport::jobs {

/// What a task takes of a worker.
struct Allocation {
    int64_t run = 0;
    Resources need;
    int priority = 0; ///< Of its queue.
    /// It saves its progress and runs for itself, so it may be stopped for urgent work.
    bool stoppable = false;
    /// The workspace that is charged, and the resources charged to it, which include those
    /// that take no capacity of the worker.
    callers::WorkspaceNumber workspace = callers::UsageLedger::none;
    Resources charged {};
};

/// The tasks that hold capacity of a worker, from the choice of the worker until the listed
/// end.
class WorkerLoad {
public:
    /// Adds a task; does nothing if a run of the task is there already.
    void add(const TaskId& task, const Allocation& allocation);
    /// Removes a run of a task; returns whether it was there.
    bool remove(const TaskId& task, int64_t run);
    void clear();

    bool empty() const { return m_allocations.empty(); }
    bool holds(const TaskId& task) const;
    /// Returns the allocation of this run of the task, or nullptr.
    const Allocation* find(const TaskId& task, int64_t run) const;
    /// Returns whether this run of the task is there.
    bool holds(const TaskId& task, int64_t run) const;
    /// Returns the sum of what all tasks take.
    const Resources& used() const { return m_used; }
    /// Returns what the tasks of queues that are less urgent than `priority` take.
    Resources used_below(int priority) const;
    /// Returns the part of it that tasks take which may be stopped.
    Resources stoppable_below(int priority) const;
    /// Returns how many tasks of the step named "<job>.<repeat>.<step>" are there.
    int count_of_step(const std::string& step) const;
    /// Returns the tasks, by name.
    const std::map<std::string, Allocation>& allocations() const { return m_allocations; }

private:
    /// What the tasks of one priority take.
    struct Use {
        int priority = 0;
        Resources all;
        Resources stoppable;
    };

    Use& used_by(int priority);

    std::map<std::string, Allocation> m_allocations;
    std::map<std::string, int> m_step_counts;
    /// In ascending order of priority; a cell has few of them.
    std::vector<Use> m_used_by_priority;
    Resources m_used;
};

} // namespace pathport::jobs
