// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The values of the job path: jobs of steps and tasks, queues, and the configuration.

#pragma once

#include <pathport/callers/workspace.h>
#include <pathport/clock.h>
#include <pathport/failure.h>
#include <pathport/model.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pathport::jobs {

/// One step of a job: a number of tasks alike.
struct StepSpec {
    int count = 1;
    Resources need; ///< Of one task.
    int64_t expected_ms = 0; ///< The submitter's rough guess of a task's run time.
    std::vector<int> after; ///< Steps all of whose tasks must be done first.
    bool saves_progress = false; ///< A stopped task goes on from its checkpoint.
    bool gang = false; ///< The tasks run only together, under one run id.
    bool same_rack = false; ///< The tasks are slower when spread over racks.
    bool speculative = false; ///< Copies of a task may run side by side.
    bool long_running = false; ///< The tasks run until the job is cancelled.
    bool best_effort_cpu
        = false; ///< The processors needed aren't counted against a worker's room.
    std::string label; ///< A label that the worker must have; empty for none.
    std::string preferred_rack; ///< The rack where the tasks are fastest; empty for none.
    int max_per_worker = 0; ///< Most tasks of the step on one worker; 0 for no limit.
    std::string image; ///< Tasks of one image behave alike.
    int64_t latency_target_ms
        = 0; ///< Wanted tail of a serving task's answer times; 0 for none.
    int max_unavailable
        = 0; ///< Lasting tasks that may be away at once by pathport's doing.

    bool operator==(const StepSpec& other) const;
};

/// A job as its submitter handed it in.
struct JobSpec {
    std::string payload; ///< Passed to each task unchanged.
    std::vector<StepSpec> steps;
    int repeats = 0; ///< Above 0: the steps run so often, each time when it falls due.
    int64_t first_due_ms = 0; ///< Wall time of repeat 0, since 1970.
    int64_t interval_ms = 0; ///< Between two repeats.

    bool operator==(const JobSpec& other) const;
    /// Returns whether the steps run at set times.
    bool has_schedule() const { return repeats > 0; }
    /// Returns how often the steps run in all.
    int instances() const { return repeats > 0 ? repeats : 1; }
};

/// Limits of what a job may hold; a job over them is refused as malformed.
constexpr int max_steps = 256;
constexpr int max_tasks_per_step = 10000;
constexpr int max_repeats = 100000;
constexpr size_t max_payload_bytes = 4000;

/// Returns whether `spec` can be run at all; sets `reason` to what is wrong otherwise.
bool is_valid(const JobSpec& spec, Failure& reason);

/// What a queue's policy asks about workers: only some of them may run a step, and only a
/// separate service knows which.
struct AdviceRule {
    double decision_ms = 0; ///< The service's time for a call.
    double per_worker_ms = 0; ///< Its further time for each worker named.
    int64_t valid_ms = 0; ///< How long a ticket holds.

    bool operator==(const AdviceRule& other) const
    {
        return decision_ms == other.decision_ms && per_worker_ms == other.per_worker_ms
            && valid_ms == other.valid_ms;
    }
};

/// A queue that clients hand jobs to.
struct Queue {
    std::string name;
    std::string host;
    std::string path_prefix;
    std::string service; ///< The pool of workers that run its tasks.
    int priority = 0; ///< 0 goes first.
    int max_failures = 1; ///< A task that has failed so often fails its job.
    double stretch = 1; ///< Allowed multiple of the job's longest chain of work.
    int64_t slo_ms = 0; ///< Allowed time beyond it.
    int64_t timeout_ms = 3000; ///< Longest time that a client's call may take.
    bool is_public = false; ///< Callers need no key, where keys are asked for at all.
    std::optional<AdviceRule> advice;

    bool operator==(const Queue& other) const;
};

/// The configuration in force. Higher versions replace lower ones.
struct Configuration {
    int64_t version = 0;
    std::vector<Queue> queues;
    std::vector<std::string> services;
    /// Who may call; nothing in a cell that does not tell its callers apart.
    std::optional<callers::Workspaces> workspaces;
    int64_t max_header_bytes = 16384;
    int64_t max_body_bytes = 1048576;

    /// Returns the queue for a client's call, by host and longest path prefix.
    const Queue* find(const std::string& host, const std::string& path) const;
    /// Returns whether the configuration names this service, also in a queue.
    bool names_service(const std::string& service) const;
    /// Returns the queue named `name`.
    const Queue* by_name(const std::string& name) const;
};

/// A job that was accepted, as its row in the store holds it.
struct AcceptedJob {
    std::string id;
    Queue queue; ///< As it was when the job was accepted.
    std::string workspace; ///< Whose it is; "" for nobody's.
    JobSpec spec;
    int64_t accepted_ms = 0; ///< Time of the store's clock.

    bool operator==(const AcceptedJob& other) const;
};

/// Where a job is in its life, as its client sees it.
enum class JobState { pending, active, completed, failed, canceled };
/// Returns the lower-case name of `state`.
const char* to_string(JobState state);
/// Returns whether nothing changes after `state`.
bool is_final(JobState state);

/// Names one task: a job, one of its repeats, one of its steps, a number in that step.
struct TaskId {
    std::string job;
    int repeat = 0;
    int step = 0;
    int index = 0;

    std::string to_string() const;
    static std::optional<TaskId> parse(const std::string& text);
    bool operator==(const TaskId& other) const;
};

/// How a run of a task ended.
enum class EndKind {
    done,
    failed,
    stopped, ///< By order.
    lapsed, ///< Its lease ran out.
    gang_broken, ///< Another member of its gang ended.
    gang_not_formed, ///< The other members of its gang did not come in time.
};
/// Returns the lower-case name of `kind`.
const char* to_string(EndKind kind);

/// Names one life of a worker. A worker may start again under the name that it had; it then
/// knows and holds nothing of before, and its counts and its clock begin anew. So whatever
/// is kept, ordered, counted or written of a worker is kept by the id of a life, never by
/// the name. Two lives are told apart by when they say that they started, which is no order
/// of them: clocks jump.
struct WorkerIncarnation {
    std::string name; ///< By which the platform calls the worker, in all its lives.
    int64_t started_ms = 0; ///< When it started, since 1970; 0 if the worker doesn't tell.

    /// Returns the id of the life: the name alone if it is all that is known, else
    /// "<name>~<born_ms to base 36>", 9 bytes more, since a thousand ids stand in one row.
    std::string id() const;
    /// Returns the life of which `id` is the id.
    static WorkerIncarnation parse(const std::string& id);
    bool operator==(const WorkerIncarnation& other) const
    {
        return name == other.name && started_ms == other.started_ms;
    }
};

/// One life of a worker, as the platform lists it.
struct WorkerInfo {
    std::string id; ///< Of the life, as in WorkerLife.
    std::string service;
    std::string address; ///< IP:port that takes orders.
    std::string zone;
    Resources capacity;
    std::vector<std::string> labels;
    bool draining = false; ///< It takes no new tasks and will leave.
    int64_t remaining_ms = 0; ///< While it drains, the time that is left at least.
    int64_t clock_ms = 0; ///< Its own clock, some time ago.

    /// Returns the rack, which is the label of that form, or "".
    std::string rack() const;
    bool has_label(const std::string& label) const;
    bool operator==(const WorkerInfo& other) const;
};

/// Encodes an accepted job for its row.
std::string encode(const AcceptedJob& job);
/// Returns the workspace of the job that a row holds, "" when it has none or is malformed.
std::string workspace_of_job_row(const std::string& text);
/// Decodes an accepted job; returns nothing and sets `reason` when it is malformed.
std::optional<AcceptedJob> decode_accepted_job(const std::string& id,
                                               const std::string& text, Failure& reason);

} // namespace pathport::jobs
