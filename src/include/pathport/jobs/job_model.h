// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Data model of the job API: jobs made of steps and tasks, queues, and the configuration.

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

/// One step of a job: a number of identical tasks.
struct StepSpec {
    int count = 1;
    Resources need; ///< Required by one task.
    int64_t expected_ms = 0; ///< The submitter's estimate of a task's run time.
    std::vector<int> after; ///< Indices of the steps that must complete first.
    bool saves_progress = false; ///< A stopped task resumes from its checkpoint.
    bool gang = false; ///< All tasks run at the same time, under one run id.
    bool same_rack = false; ///< The tasks run slower when spread over several racks.
    bool speculative = false; ///< Copies of a task may run concurrently.
    bool long_running = false; ///< The tasks run until the job is cancelled.
    /// The processors needed don't count against a worker's free capacity.
    bool best_effort_cpu = false;
    std::string label; ///< Label that the worker must have; empty for any worker.
    std::string preferred_rack; ///< Rack where the tasks run fastest; empty for none.
    /// Maximum number of the step's tasks on one worker; 0 for no limit.
    int max_per_worker = 0;
    std::string image; ///< Tasks of the same image are expected to behave alike.
    /// Target tail latency of a serving task's responses; 0 for none.
    int64_t latency_target_ms = 0;
    /// Number of long-running tasks that pathport may take down at the same time.
    int max_unavailable = 0;

    bool operator==(const StepSpec& other) const;
};

/// A job as submitted.
struct JobSpec {
    std::string payload; ///< Passed unchanged to each task.
    std::vector<StepSpec> steps;
    int repeats = 0; ///< If above 0, the steps run this many times, each at its due time.
    int64_t first_due_ms = 0; ///< Due time of repeat 0, as Unix time.
    int64_t interval_ms = 0; ///< Between two repeats.

    bool operator==(const JobSpec& other) const;
    /// Returns whether the steps run at scheduled times.
    bool has_schedule() const { return repeats > 0; }
    /// Returns how many times the steps run in total.
    int instances() const { return repeats > 0 ? repeats : 1; }
    /// Returns the Unix time in milliseconds at which a repeat is due.
    int64_t due_ms(int repeat) const
    {
        return first_due_ms + int64_t(repeat) * interval_ms;
    }
};

/// Limits on a job; a job that exceeds one is rejected as malformed.
constexpr int max_steps = 256;
constexpr int max_tasks_per_step = 10000;
constexpr int max_repeats = 100000;
constexpr size_t max_payload_bytes = 4000;

/// Returns whether `spec` is valid; otherwise sets `reason`.
bool is_valid(const JobSpec& spec, Failure& reason);

/// Admission rule of a queue: only some workers may run a step, and an external service,
/// the advisor, decides which.
struct AdviceRule {
    double decision_ms = 0; ///< Time that the advisor takes for a call.
    double per_worker_ms = 0; ///< Additional time for each worker named in the call.
    int64_t valid_ms = 0; ///< Validity period of a ticket.

    bool operator==(const AdviceRule& other) const
    {
        return decision_ms == other.decision_ms && per_worker_ms == other.per_worker_ms
            && valid_ms == other.valid_ms;
    }
};

/// A queue to which clients submit jobs.
struct Queue {
    std::string name;
    std::string host;
    std::string path_prefix;
    std::string service; ///< The worker pool that runs its tasks.
    int priority = 0; ///< 0 is the highest priority.
    int max_failures = 1; ///< A task that has failed this many times fails its job.
    double stretch = 1; ///< Allowed multiple of the job's critical path.
    int64_t slo_ms = 0; ///< Allowed time in addition to that.
    int64_t timeout_ms = 3000; ///< Time-out of a client's call.
    bool is_public = false; ///< Callers need no key, even in a cell that requires keys.
    std::optional<AdviceRule> advice;

    bool operator==(const Queue& other) const;
};

/// The active configuration. Higher versions replace lower ones.
struct Configuration {
    int64_t version = 0;
    std::vector<Queue> queues;
    std::vector<std::string> services;
    /// Callers' workspaces; empty in a cell that does not distinguish callers.
    std::optional<callers::Workspaces> workspaces;
    int64_t max_header_bytes = 16384;
    int64_t max_body_bytes = 1048576;

    /// Returns the queue for a client's call, by host and longest path prefix, or nullptr.
    const Queue* find(const std::string& host, const std::string& path) const;
    /// Returns whether the configuration lists this service or a queue refers to it.
    bool names_service(const std::string& service) const;
    /// Returns the queue named `name`, or nullptr.
    const Queue* by_name(const std::string& name) const;
};

/// An accepted job, as stored in its row.
struct AcceptedJob {
    std::string id;
    Queue queue; ///< The queue's settings at the time of acceptance.
    std::string workspace; ///< Owning workspace; "" for none.
    JobSpec spec;
    int64_t accepted_ms = 0; ///< On the store's clock.

    bool operator==(const AcceptedJob& other) const;
};

/// State of a job, as clients see it.
enum class JobState { pending, active, completed, failed, canceled };
/// Returns the lower-case name of `state`.
const char* to_string(JobState state);
/// Returns whether `state` is final.
bool is_final(JobState state);

/// Identifies a task by job, repeat, step and its index within the step.
struct TaskId {
    std::string job;
    int repeat = 0;
    int step = 0;
    int index = 0;

    std::string to_string() const;
    static std::optional<TaskId> parse(const std::string& text);
    bool operator==(const TaskId& other) const;
};

/// How a task's run ended.
enum class EndKind {
    done,
    failed,
    stopped, ///< Stopped on request.
    lapsed, ///< Its lease expired.
    gang_broken, ///< Another member of its gang ended.
    gang_not_formed, ///< The other members of its gang did not start in time.
};
/// Returns the lower-case name of `kind`.
const char* to_string(EndKind kind);

/// Identifies one incarnation of a worker. A worker may restart under the same name; it
/// then has lost all earlier state, and its counters and clock start over. State, orders,
/// counts and records of a worker are therefore keyed by the id of an incarnation, never by
/// the name. Two incarnations differ in their reported start time, which does not order
/// them, since clocks can jump.
struct WorkerIncarnation {
    std::string name; ///< Name that the platform uses for all incarnations.
    /// Start time as Unix time; 0 if the worker does not report it.
    int64_t started_ms = 0;

    /// Returns the id of the incarnation: the name alone if the start time is unknown,
    /// otherwise "<name>~<started_ms in base 36>". The suffix is only 9 bytes because one
    /// row may hold a thousand ids.
    std::string id() const;
    /// Parses an id; the inverse of id().
    static WorkerIncarnation parse(const std::string& id);
    bool operator==(const WorkerIncarnation& other) const
    {
        return name == other.name && started_ms == other.started_ms;
    }
};

/// One incarnation of a worker, as listed by the platform.
struct WorkerInfo {
    std::string id; ///< Id of the incarnation, as in WorkerIncarnation.
    std::string service;
    std::string address; ///< IP:port that accepts orders.
    std::string zone;
    Resources capacity;
    std::vector<std::string> labels;
    bool draining = false; ///< It accepts no new tasks and will shut down.
    int64_t remaining_ms = 0; ///< While draining, the minimum time until it shuts down.
    int64_t clock_ms = 0; ///< Its own clock when it last reported.

    /// Returns the label that has the form of a rack name, or "".
    std::string rack() const;
    bool has_label(const std::string& label) const;
    bool operator==(const WorkerInfo& other) const;
};

/// Encodes an accepted job as a row value.
std::string encode(const AcceptedJob& job);
/// Returns the workspace of the job in a row, or "" if it has none or the row is malformed.
std::string workspace_of_job_row(const std::string& text);
/// Decodes an accepted job; if it is malformed, returns nothing and sets `reason`.
std::optional<AcceptedJob> decode_accepted_job(const std::string& id,
                                               const std::string& text, Failure& reason);

} // namespace pathport::jobs
