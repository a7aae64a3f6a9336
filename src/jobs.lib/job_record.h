// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A job as held by the scheduler: each task is in exactly one phase, and the progress row
/// lets a successor rebuild the same state.

#pragma once

#include "capacity_table.h"
#include "gang_wait.h"
#include "task_table.h"

#include <pathport/callers/usage_ledger.h>
#include <pathport/jobs/job_model.h>

#include <boost/container/flat_map.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pathport::jobs {

/// The advisor's last verdict on one worker for a step.
struct Permission {
    bool allowed = false;
    std::string ticket;
    Millis expires; ///< The ticket must not be used after this time.
    bool no_ticket = false; ///< The last answer about the worker had no ticket.
    int refusals = 0; ///< Consecutive answers without a ticket, up to a limit.
    Millis ask_again_at; ///< A refused worker is not queried again before this time.

    bool holds(Millis now) const { return allowed && now < expires; }
};

/// The advice received for a step.
struct StepAdvice {
    /// Workers that are missing have not been queried.
    boost::container::flat_map<WorkerNumber, Permission> workers;
    std::vector<WorkerNumber> allowed; ///< Those of them that are allowed, in order.
    /// No refused worker may be asked about again before this time.
    Millis refused_until;
    int queries_in_progress = 0; ///< Sent at once, each about a part of the workers.
    bool has_news = false; ///< One of them has returned a new verdict.
    Millis verdicts_at; ///< When the last new verdicts were received.
    Millis tickets_until; ///< All tickets have expired by this time.
    Millis retry_at; ///< No query before this time.
    int unhelpful_answers = 0; ///< Consecutive answers that did not lead to a placement.
    /// Workers named in the queries in progress.
    std::vector<WorkerNumber> named;
    /// The last attempt to ask found enough queries of the queue waiting.
    bool held_back = false;
    double unused_ms = 0; ///< Advisor time of the answers since the last placement.

    bool asking() const { return queries_in_progress > 0; }
    /// Updates `allowed` and `refused_until` after a change of verdicts.
    void verdicts_changed();
    /// Drops the verdict on a worker.
    void forget(WorkerNumber worker);
};

/// One step of one repeat of a job.
struct Step {
    int repeat = 0;
    int index = 0;
    const StepSpec* spec = nullptr;
    TaskTable tasks;
    std::vector<int64_t> gang_failed_runs; ///< Runs of the gang in which a member failed.
    /// Workers where its tasks failed, under this leader.
    std::set<std::string> failed_workers;
    /// A loss of a worker is or was attributed to one of its tasks.
    bool has_crashes = false;
    /// Number of earlier leaders that may have started one of its tasks without a record
    /// and lost the worker.
    int unrecorded_losses = 0;
    bool at_bound = false; ///< Its workspace's bound prevented a complete placement.
    bool has_survivor = false; ///< A run of one of its tasks is known to have survived.
    int64_t gang_run = 0; ///< The gang's run that is placed at present.
    StepAdvice advice;
    /// Workers reserved for a gang while it waits for tickets or for tasks to end.
    std::vector<WorkerNumber> reserved_workers;
    Millis reserved_until;
    GangWait gang_wait = GangWait::none; ///< What it lacked when last tried, if a gang.
    Millis placement_tried_at; ///< When a scheduling pass last tried to place it.
    Millis next_placement_at; ///< Not tried again before this time unless advice arrives.
    Millis wait_logged_at; ///< When the reason for its wait was last logged.
    /// Since when nothing of it is placed although it may run; otherwise zero.
    Millis idle_since;
    /// Workers where a start failed or a task made no progress, and until when the step
    /// uses them only as a second choice. Limited in number.
    std::map<std::string, Millis> deprioritized_workers;

    bool finished() const { return tasks.done() == tasks.size(); }
    /// Returns the step's name: "<job>.<repeat>.<step>".
    std::string name(const std::string& job) const;
    int count(TaskPhase phase) const;
    bool has(TaskPhase phase) const; ///< Returns whether a task is in this phase.
    /// Returns whether one of its tasks is suspected of crashing workers and none is known
    /// to have survived. As the tasks of a step behave alike, all are suspected in that
    /// case.
    bool is_suspect() const;
    /// Returns the suspicion against a task; `step_suspect` is the result of is_suspect().
    static Suspicion suspicion(const Task& task, bool step_suspect);
    /// Returns whether the leader may start one of its tasks before that is recorded.
    bool may_start_unrecorded() const;
    /// Returns the number of waiting tasks that are not suspected of crashing workers.
    int unsuspected_waiting() const;
    /// Returns the indices of the first waiting tasks, up to `limit`, optionally with the
    /// suspected ones.
    std::vector<int> waiting_tasks(bool with_suspects, int limit) const;
    int placed() const;
    /// Makes `worker` a second choice, after a task failed to start or made no progress
    /// there.
    void deprioritize(const std::string& worker, Millis now);
};

/// One repeat of a job's steps.
struct Repeat {
    int number = 0;
    std::vector<Step> steps;

    bool finished() const;
};

/// A job.
class JobRecord {
public:
    JobRecord(AcceptedJob accepted, Millis seen);
    JobRecord(const JobRecord&) = delete; // Its steps point into it.
    JobRecord& operator=(const JobRecord&) = delete;

    const AcceptedJob& accepted() const { return m_accepted; }
    const std::string& id() const { return m_accepted.id; }
    Millis seen() const { return m_seen; }
    /// Returns its rank, where 0 goes first: its queue's priority, but behind all others
    /// for jobs beyond their workspace's share.
    int rank() const;

    callers::WorkspaceNumber workspace = callers::UsageLedger::none; ///< Owning workspace.
    bool beyond_share = false; ///< Its workspace had submitted more than its fair share.
    bool canceled = false; ///< A cancellation is recorded.
    bool retries_exhausted = false; ///< A task has failed too often.
    /// It was loaded from the store, so an earlier leader may have known it.
    bool loaded = false;
    bool begun = false; ///< A task was started at least once.
    bool behind = false; ///< Repeats that are due wait for earlier ones.
    /// When this leader first started one of its tasks; nothing if an earlier one did.
    std::optional<Millis> begun_at;
    std::optional<JobState> recorded_state; ///< Final state in its row.

    /// Returns the current state, recorded or not.
    JobState state() const;
    /// Returns the state to report to clients: a final state only once it is recorded.
    JobState visible_state() const;
    /// Returns whether none of its tasks may be started any more.
    bool closed() const { return is_final(state()); }

    /// Returns the repeats in progress, by number.
    std::map<int, Repeat>& repeats() { return m_repeats; }
    const std::map<int, Repeat>& repeats() const { return m_repeats; }
    /// Returns the Unix time at which the next repeat is due, or nothing if none is left.
    /// Repeat 0 of a job without a schedule is due at once.
    std::optional<int64_t> next_due() const;
    /// Returns the number of the repeat that begins next.
    int next_repeat() const { return m_next_repeat; }
    /// Begins the next repeat.
    Repeat& begin_repeat();
    /// Removes a finished repeat.
    void finish_repeat(int number);

    /// Returns the step, or nullptr if its repeat is not in progress.
    Step* step(int repeat, int index);
    /// Returns the task, or nullptr if its repeat is not in progress. For a task that is
    /// done and has no record, the result is valid until the next call.
    Task* task(const TaskId& id);
    /// Returns whether all steps on which `step` depends are done.
    bool dependencies_met(const Step& step) const;

    /// Returns the length of the critical path through its steps, by expected run times.
    int64_t longest_chain_ms();
    /// Returns the length of the critical path through the unfinished steps of the first
    /// repeat in progress.
    int64_t remaining_chain_ms() const;
    /// Returns the least time in which workers with this capacity in total can run the
    /// unfinished steps of the first repeat in progress, by expected run times: that of the
    /// critical path or, if it is longer, of all tasks beside each other.
    int64_t remaining_ms(const Resources& capacity) const;

    /// Returns the size in bytes that the progress row may reach, further losses of workers
    /// aside, once all tasks of the repeats in progress are placed. `spread` is the number
    /// of workers among which they are divided for each of them, 1 at most.
    size_t max_progress_bytes(double spread) const;
    /// Returns the same for one repeat of which nothing is done.
    size_t max_repeat_bytes(double spread) const;
    /// Returns the approximate memory of the record in bytes.
    size_t memory_bytes() const;
    /// Returns the number of tasks with a record.
    size_t task_records() const;
    /// Encodes the progress row.
    std::string encode_progress() const;
    /// Applies the content of a progress row. Tasks with a recorded worker become
    /// `in_doubt`. Returns false if the row is malformed.
    bool apply_progress(const std::string& text);

private:
    Repeat make_repeat(int number) const;

    AcceptedJob m_accepted;
    Millis m_seen;
    std::map<int, Repeat> m_repeats;
    int64_t m_longest_chain_ms = -1; ///< Negative until it is computed.
    Task m_done_task; ///< Stands for each task that is done and has no record.
    int m_next_repeat = 0;
    int m_finished_repeats = 0;
};

/// Encodes the progress row of a job of `workspace` in its final state.
std::string encode_final_progress(JobState state, const std::string& workspace = {});
/// Returns the final state in a progress row without decoding the rest; nothing if the job
/// is not final.
std::optional<JobState> final_state_of_progress(const std::string& text);
/// Returns the workspace in a progress row with a final state; "" when it has none.
std::string workspace_of_final_progress(const std::string& text);

} // namespace pathport::jobs
