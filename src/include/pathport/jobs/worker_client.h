// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Orders to workers and the reports that they return. Calls do not block.

#pragma once

#include <pathport/clock.h>
#include <pathport/jobs/job_model.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pathport::jobs {

/// How an order ended.
enum class OrderStatus {
    accepted,
    stale_fence, ///< The worker has seen a higher fence; nothing was done.
    /// The worker has already had this or a later run of the task; nothing was done.
    old_run,
    too_late, ///< The lease had expired by the worker's clock; nothing was done.
    no_room, ///< The worker lacks free capacity; nothing was done.
    bad_ticket, ///< The ticket has expired or is missing; nothing was done.
    declined, ///< The worker is unhealthy or the order malformed; nothing was done.
    /// Another incarnation answered; the addressed one has ended. Nothing was done.
    wrong_incarnation,
    replaced, ///< Another incarnation answered and may have executed the order.
    /// The connection was refused; nothing was sent. The worker may still be running.
    refused,
    /// No connection was established; nothing was sent. The worker may still be running.
    unreachable,
    /// No answer: the order may have been executed, or may still be, seconds later.
    unknown,
};
/// Returns the lower-case name of `status`.
const char* to_string(OrderStatus status);

/// An order to start a run of a task.
struct StartOrder {
    TaskId task;
    int64_t run = 0; ///< Increases with each start of the task.
    std::string payload;
    /// Worker clock in ms at which everything running there is killed.
    int64_t lease_until = 0;
    int64_t fence = 0; ///< The worker rejects fences below the highest that it has seen.
    std::string checkpoint; ///< To resume from; empty for none.
    std::string ticket; ///< From the advisor; empty for none.
};

/// An order to stop a run, or to limit it to a percentage of its speed.
struct RunOrder {
    TaskId task;
    int64_t run = 0;
    int64_t fence = 0;
    int percent = 100; ///< For set_speed() only.
};

/// A poll of a worker, which also renews the lease of everything that runs there.
struct PollRequest {
    int64_t fence = 0;
    int64_t acked_through = 0; ///< The worker discards its ends up to this number.
    int64_t lease_until = 0; ///< Worker clock in ms; 0 renews no lease.
    /// How long the worker holds its answer until a task ends; at most `max_poll_wait`.
    Millis wait;
    /// How long a relay may keep reports back in which no task has ended, and poll again
    /// instead; not used if it is shorter than `wait`.
    Millis hold;
};

constexpr Millis max_poll_wait { 2000 };

/// A run on a worker.
struct RunningTask {
    TaskId task;
    int64_t run = 0;
    std::string checkpoint;
    int percent = 0; ///< Progress; 100 for a lasting task that is serving.
    double metric = 0; ///< Tail latency in ms of a serving task, otherwise CPUs in use.
};

/// A run that has ended on a worker.
struct EndedTask {
    int64_t number = 0; ///< Consecutive within one incarnation of the worker.
    TaskId task;
    int64_t run = 0;
    EndKind kind = EndKind::done;
    std::string checkpoint;
};

/// Maximum number of ends in one report, the earliest first (PROTOCOL.md of the platform).
constexpr size_t max_listed_ends = 500;

/// The answer to a poll.
struct PollReport {
    int64_t clock_ms = 0;
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended; ///< Those after `acked_through`.
    bool running_omitted = false; ///< `running` was reported recently and is omitted here.
    /// Time between the caller's poll and the one that this report answers, which a relay
    /// may have repeated.
    Millis polled_after;

    /// Returns whether there are no ends beyond those listed. If the list is full, a run
    /// that the report lacks may be among the next ends.
    bool lists_all_ends() const { return ended.size() < max_listed_ends; }
    /// Returns whether the run is among those that run or have ended.
    bool lists(const TaskId& task, int64_t run) const;
};

/// The answer to an order.
struct OrderAnswer {
    OrderStatus status = OrderStatus::unknown;
    int64_t clock_ms = 0; ///< The worker's clock; 0 when there is none.
};

/// Sends orders to workers. An order reaches whichever incarnation has the worker's name at
/// that time; only the answer to a poll identifies it.
class WorkerClient {
public:
    virtual ~WorkerClient() = default;

    virtual void start(const WorkerInfo& worker, const StartOrder& order, Millis timeout,
                       std::function<void(OrderAnswer)> done)
        = 0;
    virtual void stop(const WorkerInfo& worker, const RunOrder& order, Millis timeout,
                      std::function<void(OrderAnswer)> done)
        = 0;
    virtual void set_speed(const WorkerInfo& worker, const RunOrder& order, Millis timeout,
                           std::function<void(OrderAnswer)> done)
        = 0;
    /// Polls a worker. There is a report if the status is `accepted`.
    virtual void poll(const WorkerInfo& worker, const PollRequest& order, Millis timeout,
                      std::function<void(OrderStatus, std::optional<PollReport>)> done)
        = 0;
};

/// Permission for a worker to run a step, with the ticket that its starts must carry.
struct WorkerTicket {
    std::string worker;
    std::string ticket;
};

/// The service that knows which workers may run a step.
class Advisor {
public:
    virtual ~Advisor() = default;

    /// Asks which of `workers`, ids of incarnations, may run the step `step`
    /// ("<job>.<repeat>.<step>"). `done` gets nullopt when there was no answer.
    virtual void ask(const std::string& step, const std::vector<std::string>& workers,
                     Millis timeout,
                     std::function<void(std::optional<std::vector<WorkerTicket>>)> done)
        = 0;
};

} // namespace pathport::jobs
