// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Orders to workers, and what workers report. Calls don't block.

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
    old_run, ///< A run of the task that is as high was there before; nothing was done.
    too_late, ///< The lease's end has passed on the worker's clock; nothing was done.
    no_room, ///< Nothing was done.
    bad_ticket, ///< The ticket has run out or is missing; nothing was done.
    declined, ///< The worker is unhealthy or the order malformed; nothing was done.
    wrong_incarnation, ///< Another worker answered: the life meant is over. Nothing was
                       ///< done.
    replaced, ///< Another life of the same name answered, and may have done it.
    refused, ///< Nothing listens at the worker's address; nothing was sent.
    unreachable, ///< No connection came about; nothing was sent, the worker may be there.
    unknown, ///< No answer: it may have been done, or be done seconds later.
};
/// Returns the lower-case name of `status`.
const char* to_string(OrderStatus status);

/// An order to start a run of a task.
struct StartOrder {
    TaskId task;
    int64_t run = 0; ///< Rises with each start of the task.
    std::string payload;
    int64_t lease_until = 0; ///< Time on the worker's clock at which all there is killed.
    int64_t fence = 0; ///< The worker does nothing for a lower one than it has seen.
    std::string checkpoint; ///< To go on from; empty for none.
    std::string ticket; ///< From the advisor; empty for none.
};

/// An order to stop a run, or to let it work at a share of its speed.
struct RunOrder {
    TaskId task;
    int64_t run = 0;
    int64_t fence = 0;
    int percent = 100; ///< For pace() only.
};

/// A look at a worker, which also renews the lease of all that runs there.
struct PollRequest {
    int64_t fence = 0;
    int64_t acked_through = 0; ///< Ends up to this number are forgotten by the worker.
    int64_t lease_until = 0; ///< On the worker's clock; 0 renews nothing.
    Millis wait; ///< The answer waits so long for an end; at most `max_look_wait`.
};

constexpr Millis max_poll_wait { 2000 };

/// A run on a worker.
struct RunningTask {
    TaskId task;
    int64_t run = 0;
    std::string checkpoint;
    int percent = 0; ///< Of its work; of a lasting task 100 when it is at work.
    double metric = 0; ///< Tail of answers in ms of a serving task, else processors in use.
};

/// A run that has ended on a worker.
struct EndedTask {
    int64_t number = 0; ///< Rises by one within a life of the worker.
    TaskId task;
    int64_t run = 0;
    EndKind kind = EndKind::done;
    std::string checkpoint;
};

/// The most ends that one report lists, the earliest first (PROTOCOL.md of the platform).
constexpr size_t max_listed_ends = 500;

/// What a look brought.
struct PollReport {
    int64_t clock_ms = 0;
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended; ///< Those after `seen_through`.
    bool running_omitted = false; ///< What runs was told of lately, and is not this time.

    /// Returns whether there are no ends beyond those listed. A run that is missing in a
    /// full list may be among the next.
    bool lists_all_ends() const { return ended.size() < max_listed_ends; }
    /// Returns whether the run is among those that run or have ended.
    bool lists(const TaskId& task, int64_t run) const;
};

/// The answer to an order.
struct OrderAnswer {
    OrderStatus status = OrderStatus::unknown;
    int64_t clock_ms = 0; ///< The worker's clock; 0 when there is none.
};

/// Gives orders to workers. An order reaches whichever life has the worker's name then;
/// only the answer to a look tells which one that was.
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
    /// Looks at a worker. There is a report if the status is `accepted`.
    virtual void poll(const WorkerInfo& worker, const PollRequest& order, Millis timeout,
                      std::function<void(OrderStatus, std::optional<PollReport>)> done)
        = 0;
};

/// That a worker may run a step, and the ticket that its starts have to bring.
struct WorkerTicket {
    std::string worker;
    std::string ticket;
};

/// The service that knows which workers may run a step.
class Advisor {
public:
    virtual ~Advisor() = default;

    /// Asks which of `workers`, ids of lives, may run the step `step`
    /// ("<job>.<repeat>.<step>"). `done` gets nothing when there was no answer.
    virtual void ask(const std::string& step, const std::vector<std::string>& workers,
                     Millis timeout,
                     std::function<void(std::optional<std::vector<WorkerTicket>>)> done)
        = 0;
};

} // namespace pathport::jobs
