// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A job as its scheduler holds it: each task in exactly one phase, and the progress row
/// from which a successor rebuilds the same.

#pragma once

#include "capacity_table.h"
#include "crash_record.h"

#include <pathport/callers/usage_ledger.h>
#include <pathport/jobs/job_model.h>

#include <boost/container/flat_map.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pathport::jobs {

/// Where one task is.
enum class TaskPhase {
    waiting, ///< It may be placed once its step may run.
    intended, ///< A worker is chosen; the intent is not yet recorded, no order is sent.
    starting, ///< The order is under way.
    running,
    stopping, ///< It was told to stop; its end has not been listed yet.
    in_doubt, ///< It may run on a worker that doesn't answer; waits for that worker.
    done,
};

/// One task.
struct Task {
    TaskPhase phase = TaskPhase::waiting;
    std::vector<int64_t> failed_runs; ///< Runs that have ended `failed`.
    int64_t run = 0; ///< Its last run.
    int64_t ended_run = 0; ///< The last run that a worker listed as ended.
    std::string worker; ///< Where it is intended, starting, running, stopping or in doubt.
    std::string checkpoint; ///< To go on from.
    std::string failed_on; ///< The worker where it failed last.
    Millis failed_at; ///< When it did, under this leader.
    std::string ticket; ///< Of the intended start.
    CrashRecord crashes; ///< What is held against it for workers that were lost.
    Millis requeued_at; ///< When it last came to wait again, under this leader.
    Millis verdict_at; ///< It waits until then, to be given up or tried again.
    Millis placed_at; ///< When the worker was chosen.
    Millis ordered_at; ///< When its order was sent, so its run is no older.
    bool adopted = false; ///< An earlier leader started it, nobody here knows when.
    int percent = 0; ///< As last reported.
    Millis percent_at; ///< When `percent` last changed.
    Millis listed_at; ///< When its worker last listed it, or accepted it.
    int speed_percent = 100; ///< The share of its speed that it was last told.

    /// Returns whether a worker may be running it, or is about to.
    bool placed() const { return phase != TaskPhase::waiting && phase != TaskPhase::done; }
};

/// What is known of one worker's verdict for a step.
struct Permission {
    bool allowed = false;
    std::string ticket;
    Millis expires; ///< After it the ticket must not be used.
    bool no_ticket = false; ///< The last answer about it brought no ticket.
    int refusals = 0; ///< Such answers in a row, up to a bound.
    Millis ask_again_at; ///< A refused worker is not asked about before it.

    bool holds(Millis now) const { return allowed && now < expires; }
};

/// The advice that was had for a step.
struct StepAdvice {
    /// Those not in it weren't asked about. Each pass reads those of all steps that wait,
    /// so they lie side by side.
    boost::container::flat_map<WorkerNumber, Permission> workers;
    bool asking = false;
    Millis verdicts_at; ///< When the last new verdicts came.
    Millis tickets_until; ///< No ticket holds any more from then on.
    Millis retry_at; ///< No call before it.
    int unhelpful_answers = 0; ///< Answers in a row that helped to place nothing.
};

/// One step of one repeat of a job.
struct Step {
    int repeat = 0;
    int index = 0;
    const StepSpec* spec = nullptr;
    std::vector<Task> tasks;
    int done = 0; ///< Tasks in phase done.
    std::vector<int64_t> gang_failed_runs; ///< Runs of the gang of which a member failed.
    std::set<std::string> failed_workers; ///< Where tasks of it failed, under this leader.
    bool has_crashes = false; ///< Something is, or was, held against one of its tasks.
    bool at_bound = false; ///< It could not be placed whole for its workspace's bound.
    bool has_survivor = false; ///< A run of one of its tasks is known to have lived on.
    int64_t gang_run = 0; ///< The run that is placed at present.
    StepAdvice advice;
    /// Workers kept free for a gang while it waits for tickets or for tasks that end.
    std::vector<WorkerNumber> reserved_workers;
    Millis reserved_until;
    Millis placement_tried_at; ///< When a pass last looked for room for it.
    Millis next_placement_at; ///< No look for room before it, unless advice comes.
    Millis wait_logged_at; ///< When the log last told why it waits.
    Millis idle_since; ///< Since when nothing of it is placed though it might; else zero.
    /// Workers at which a start of a task came to nothing or a task stood still, and until
    /// when they are second choice. A bounded number of them.
    std::map<std::string, Millis> deprioritized_workers;

    bool finished() const { return done == static_cast<int>(tasks.size()); }
    /// Returns the step's name: "<job>.<repeat>.<step>".
    std::string name(const std::string& job) const;
    int count(TaskPhase phase) const;
    /// Returns whether a task of it is suspected of crashing workers, and none is known to
    /// have lived on: as tasks of one step behave alike, all are suspected then.
    bool is_suspect() const;
    /// Returns what speaks against a task; `wary` as wary() tells.
    static Suspicion suspicion(const Task& task, bool wary);
    /// Returns how many tasks wait that are not suspected of crashing workers.
    int unsuspected_waiting() const;
    /// Returns the numbers of the tasks that wait, those under suspicion only if asked for.
    std::vector<size_t> waiting_tasks(bool with_suspects) const;
    int placed() const;
    /// Notes that a task came to nothing at `worker`.
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
    /// Returns its place in the order of work, 0 first: that of its queue, but behind all
    /// others for what is beyond its workspace's share.
    int rank() const;

    callers::WorkspaceNumber workspace = callers::UsageLedger::none; ///< Whose it is.
    bool beyond_share = false; ///< Its workspace had sent more than it may count on.
    bool canceled = false; ///< A cancellation is recorded.
    bool retries_exhausted = false; ///< A task has failed too often.
    bool loaded = false; ///< An earlier leader may have known it.
    bool begun = false; ///< A task has been started at least once.
    std::optional<JobState> recorded_state; ///< The final state that its row holds.

    /// Returns the state as of what is known, recorded or not.
    JobState state() const;
    /// Returns the state that a client may be shown: a final one only once it is recorded.
    JobState visible_state() const;
    /// Returns whether no task of it is to be started any more.
    bool closed() const { return is_final(state()); }

    /// Returns the repeats that have begun and not finished, by number.
    std::map<int, Repeat>& repeats() { return m_repeats; }
    const std::map<int, Repeat>& repeats() const { return m_repeats; }
    /// Returns the wall time at which the next repeat falls due, or nothing when there is
    /// none left. Repeat 0 of a job without times is due at once.
    std::optional<int64_t> next_due() const;
    /// Begins the next repeat.
    Repeat& begin_repeat();
    /// Drops a finished repeat.
    void finish_repeat(int number);

    /// Returns the step, or nothing when its repeat isn't under way.
    Step* step(int repeat, int index);
    /// Returns the task, or nothing when its repeat isn't under way.
    Task* task(const TaskId& id);
    /// Returns whether all steps that `step` comes after are done.
    bool dependencies_met(const Step& step) const;

    /// Returns the longest chain of expected run times over its steps.
    int64_t longest_chain_ms();
    /// Returns the same over what is left of the first repeat that is under way.
    int64_t remaining_chain_ms() const;

    /// Encodes the progress row.
    std::string encode_progress() const;
    /// Takes over what a progress row holds. Tasks with a recorded worker become
    /// `in_doubt`. Returns false when it is malformed.
    bool apply_progress(const std::string& text);

private:
    Repeat make_repeat(int number) const;

    AcceptedJob m_accepted;
    Millis m_seen;
    std::map<int, Repeat> m_repeats;
    int64_t m_longest_chain_ms = -1; ///< Below 0 until it is worked out.
    int m_next_repeat = 0;
    int m_finished_repeats = 0;
};

/// Encodes the progress row of a job of `workspace` in its final state.
std::string encode_final_progress(JobState state, const std::string& workspace = {});
/// Returns the final state in a progress row without building the job; nothing when it has
/// none.
std::optional<JobState> final_state_of_progress(const std::string& text);
/// Returns the workspace in a progress row with a final state; "" when it has none.
std::string workspace_of_final_progress(const std::string& text);

} // namespace pathport::jobs
