// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The tasks of a step. Their memory follows what is in progress: a task has a record only
/// from its first placement until it is done.

#pragma once

#include "crash_record.h"
#include "run_evidence.h"

#include <pathport/clock.h>

#include <boost/dynamic_bitset.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pathport::jobs {

/// Links and colour of a node of std::map.
constexpr size_t map_node_bytes = 4 * sizeof(void*);

/// Phase of a task.
enum class TaskPhase {
    waiting, ///< It may be placed once its step may run.
    /// A worker is chosen, but the intent is not recorded and no order is sent yet.
    intended,
    starting, ///< The start order is in flight.
    running,
    stopping, ///< It was told to stop, but the worker has not listed its end yet.
    in_doubt, ///< It may run on a worker that does not answer, and waits for that worker.
    done,
};

/// State of one task.
struct Task {
    TaskPhase phase = TaskPhase::waiting;
    std::vector<int64_t> failed_runs; ///< Runs that ended as `failed`.
    int64_t run = 0; ///< Id of its last run.
    int64_t ended_run = 0; ///< The last run that a worker listed as ended.
    /// Worker where it is intended, starting, running, stopping or in doubt.
    std::string worker;
    std::string checkpoint; ///< Checkpoint from which to resume.
    std::string failed_on; ///< Worker where it last failed.
    Millis failed_at; ///< When it last failed, under this leader.
    std::string ticket; ///< Ticket for the intended start.
    CrashRecord crashes; ///< Losses of workers that are attributed to it.
    Millis requeued_at; ///< When it last returned to waiting, under this leader.
    /// It waits until this time for the decision to give up or try again.
    Millis verdict_at;
    Millis placed_at; ///< When its worker was chosen.
    RunEvidence evidence; ///< What is known of the run that is placed.
    int percent = 0; ///< Progress as last reported.
    Millis percent_at; ///< When `percent` last changed.
    /// The first progress that this run reported, and when; a run that resumes from a
    /// checkpoint begins with that of earlier runs. Zero before.
    int first_percent = 0;
    Millis first_percent_at;
    int speed_percent = 100; ///< Percentage of full speed that it was last set to.

    /// Returns whether a worker may be running it or is about to.
    bool placed() const { return phase != TaskPhase::waiting && phase != TaskPhase::done; }
};

/// The tasks of one step, by index. A task without a record is either untouched, which
/// means that it waits and nothing has happened to it, or done.
class TaskTable {
public:
    using Records = std::map<int, Task>;

    TaskTable() = default;
    explicit TaskTable(int size)
        : m_size(size)
    {
    }

    int size() const { return m_size; }
    /// Returns the number of tasks that are done.
    int done() const { return m_done; }
    /// Returns the number of untouched tasks.
    int untouched() const;
    /// Returns whether the task is done. Throws std::out_of_range.
    bool is_done(int index) const;
    /// Returns the state of a task. Throws std::out_of_range.
    const Task& at(int index) const;
    /// Returns the record of a task, or nullptr if it has none.
    Task* find(int index);
    /// Returns the record of a task that is not done, and makes one if it is untouched.
    /// References stay valid until the task is done. Throws std::out_of_range, also for a
    /// task that is done.
    Task& edit(int index);
    /// Marks a task as done. Its record is kept only if workers were lost with it, which
    /// may explain the loss of a worker later. Throws std::out_of_range.
    void set_done(int index);
    void set_all_done();

    /// Returns the records in the order of their tasks. Those of tasks that are done have
    /// that phase.
    Records& records() { return m_records; }
    const Records& records() const { return m_records; }
    /// Returns whether `matches` holds for a task with a record.
    template <typename Predicate>
    bool any_record(Predicate matches) const
    {
        return std::any_of(m_records.begin(), m_records.end(),
                           [&](const auto& entry) { return matches(entry.second); });
    }
    /// Returns the first task from `index` on that is not done, or size().
    int next_open(int index) const;
    /// Returns the approximate heap memory in bytes.
    size_t memory_bytes() const;

private:
    void check(int index) const;
    bool drop_if_without_losses(Records::iterator record);

    int m_size = 0;
    int m_done = 0;
    int m_done_records = 0; ///< Records of tasks that are done.
    Records m_records;
    /// The tasks that are not done; empty while none or all are done.
    boost::dynamic_bitset<> m_open;
};

} // namespace pathport::jobs
