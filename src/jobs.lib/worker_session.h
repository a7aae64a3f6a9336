// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A leader's dealings with one life of a worker: the looks that renew its lease and bring
/// its ends, the orders, and the fence that voids orders without an answer.

#pragma once

#include "lifetime.h"
#include "response_time.h"

#include <pathport/event_loop.h>
#include <pathport/jobs/mechanisms.h>
#include <pathport/jobs/worker_client.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pathport::jobs {

class WorkerSession;

/// Spans that the platform sets.
struct WorkerTimeouts {
    Millis max_lease { 6000 }; ///< The longest lease that a worker grants.
    Millis kill_grace { 400 }; ///< How long a stop takes at most.
    Millis gang_timeout { 3000 }; ///< So long a gang's member waits for the others.
    /// Within this time a worker that announces its end gets no new task any more.
    Millis drain_margin { 2000 };
};

/// Returns how long a span of a worker's clock takes at most: it may run 2% slow.
Millis max_local_duration(Millis span);

/// What became of a start.
enum class StartResult {
    running, ///< The run is there.
    not_started, ///< It is not there and never will be.
};

/// A run of a task.
struct TaskRun {
    TaskId task;
    int64_t run = 0;
};

/// Why a run is stopped.
enum class StopReason {
    job_closed, ///< The job was cancelled or has failed.
    preempted, ///< More urgent work needs its room.
    gang_incomplete, ///< The others of its gang can't all be placed.
    stalled, ///< It makes no progress.
    worker_draining, ///< It would not end before its worker does.
    unknown_run, ///< It should not be there.
};
const char* to_string(StopReason reason);

/// How a report stands to what earlier leaders left at its worker.
enum class ReportStage {
    first_partial, ///< Its list of ends is full: what it lacks may come with the next.
    first_complete, ///< With it all is known that runs or has ended there.
    subsequent, ///< A whole one has come before.
};

/// Hears what a session learns.
class SessionListener {
public:
    virtual ~SessionListener() = default;

    /// Returns whether orders may be given now.
    virtual bool orders_allowed() const = 0;
    /// A call to some worker was not answered.
    virtual void call_timed_out() = 0;
    /// Returns whether workers have left calls unanswered lately.
    virtual bool has_recent_timeouts() const = 0;
    /// Returns whether the worker's lease may be renewed now.
    virtual bool may_renew_lease(const WorkerSession& session) const = 0;
    /// The worker has become silent.
    virtual void worker_lost(WorkerSession& session) = 0;
    /// A look brought a report under this leader's fence.
    virtual void report_received(WorkerSession& session, const PollReport& report,
                                 ReportStage stage)
        = 0;
    /// The life is over: what ran there doesn't, and its unlisted ends are lost.
    virtual void incarnation_ended(WorkerSession& session) = 0;
    /// The lease of all that ran there has surely run out.
    virtual void lease_expired(WorkerSession& session) = 0;
    /// A run that was told to stop is not there any more, and its end is not listed.
    virtual void run_gone(WorkerSession& session, const TaskId& task, int64_t run) = 0;
    /// A worker refused a fence that this leader did not raise: there is a later leader.
    virtual void fenced_off(WorkerSession& session) = 0;
};

/// The session.
class WorkerSession {
public:
    /// Makes a session under fences of `epoch` from `least_fence` on if
    /// that is one. Before the first report, something of an earlier leader may run there
    /// until `unknown_until`.
    WorkerSession(EventLoop& loop, WorkerClient& client, SessionListener& listener,
                  WorkerInfo info, int64_t epoch, int64_t least_fence,
                  WorkerTimeouts bounds, Millis unknown_until, Mechanisms mechanisms = {});
    ~WorkerSession();

    const std::string& id() const { return m_info.id; }
    const WorkerInfo& info() const { return m_info; }
    /// Takes over what the platform's list says at present.
    void update(const WorkerInfo& info);

    /// Notes that the worker announced its end and has gone from the list: when nothing
    /// listens at its address any more, its life is over.
    void mark_left() { m_left = true; }

    /// Notes that the list names another life of the same name: this one is over.
    void mark_replaced();

    /// Returns whether another life of the same name has come in the place of this one.
    bool replaced() const { return m_replaced; }
    /// Returns the starts that the next life may have carried out in place of this one: no
    /// report of this life tells that it was there when they were done.
    std::vector<TaskRun> unconfirmed_starts() const;

    /// Begins to look.
    void start_polling();

    /// Tells whether anything is placed there, so that ends are to be heard of soon.
    void set_busy(bool busy) { m_busy = busy; }

    /// Returns whether the worker has accepted this leader's fence.
    bool fenced() const { return m_fenced; }
    /// Returns whether it answers, what earlier leaders left there is known, no order to it
    /// is in doubt, and it may be given leases.
    bool usable() const { return settled() && m_listener.may_renew_lease(*this); }
    bool silent() const { return m_silent; }
    /// Returns whether nothing listened at its address at the last look.
    bool refuses_connections() const { return m_refuses_connections; }
    /// Returns when the look was sent that last brought a report of all that runs there and
    /// has ended; zero when there is none.
    Millis last_full_report() const { return m_last_full_report; }
    /// Returns when all that was leased there has surely ended, as far as this leader or
    /// earlier ones have given leases until now.
    Millis lease_expires_at() const { return m_lease_expires_at; }
    /// Renews the lease at once, since that is allowed again.
    void renew_lease() { poll(false); }
    /// Returns the fence under which it orders at present.
    int64_t fence() const { return m_fence; }
    /// Returns whether an order for the task is unanswered or in doubt.
    bool has_open_order(const TaskId& task) const;

    /// Orders a start; `done` is called exactly once unless the life ends before.
    void start(const TaskId& task, int64_t run, const std::string& payload,
               const std::string& checkpoint, const std::string& ticket,
               std::function<void(StartResult, OrderStatus)> done);
    /// Orders a stop, again and again until the run is gone.
    void stop(const TaskId& task, int64_t run, StopReason reason);
    /// Orders a share of speed, once.
    void set_speed(const TaskId& task, int64_t run, int percent);

    /// Notes that the ends up to `number` are recorded, so that the worker may forget them.
    void ends_recorded(int64_t number);

private:
    struct UncertainStart {
        TaskId task;
        int64_t run = 0;
        int64_t fence = 0; ///< Under which the order was sent.
        std::function<void(StartResult, OrderStatus)> done;
    };
    /// A run of a task, by its name: two runs of one task may be told to stop.
    using RunKey = std::pair<std::string, int64_t>;
    struct StopRequest {
        TaskId task;
        int64_t run = 0;
        StopReason reason = StopReason::unknown_run;
        Millis requested_at;
        Millis overdue_logged_at; ///< When the log last told that it takes long.
        int attempts = 0;
        OrderStatus last_status = OrderStatus::unknown; ///< To the last order.
        EventLoop::TimerId timer = 0;
    };

    /// A start of which no report tells yet at which life it was carried out.
    struct UnconfirmedStart {
        TaskId task;
        std::optional<Millis> accepted; ///< When it was answered so.
    };

    bool settled() const
    {
        return m_fully_reported && !m_silent && m_uncertain_starts.empty();
    }
    int64_t lease_until() const;
    void schedule_poll(Millis delay);
    void poll(bool may_wait);
    Millis poll_wait(bool may_wait) const;
    void record_response(OrderStatus status, Millis asked);
    void poll_answered(OrderStatus status, const std::optional<PollReport>& report,
                       int64_t fence, int64_t until, Millis asked);
    void poll_failed(OrderStatus status, Millis asked);
    void extend_lease_expiry(int64_t until);
    void update_clock(int64_t clock_ms, int64_t until);
    void handle_report(const PollReport& report, int64_t fence, Millis asked);
    std::vector<StopRequest> drop_ended_stops(const PollReport& report,
                                              const PollReport& fresh);
    void drop_gone_stops(const PollReport& report, Millis asked);
    void log_outdated_report(const PollReport& report);
    ReportStage advance_stage(bool whole);
    void resolve_uncertain_starts(const PollReport& report, int64_t fence);
    void start_answered(const OrderAnswer& answer, UncertainStart order);
    void raise_fence();
    void send_stop(const RunKey& key);
    void send_stops();
    void log_overdue_stop(StopRequest& request);
    void end_incarnation();
    void end_replaced();
    int64_t ends_to_acknowledge() const;
    void update_forgotten(const PollReport& report, int64_t told);
    void confirm_starts(const PollReport& report, Millis asked);
    void check_lease_expiry();

    EventLoop& m_loop;
    WorkerClient& m_client;
    SessionListener& m_listener;
    WorkerInfo m_info;
    WorkerTimeouts m_bounds;
    int64_t m_fence;
    bool m_fenced = false;
    bool m_fully_reported = false; ///< A report that lists all ends has come.
    bool m_silent = false;
    bool m_refuses_connections = false;
    int m_open_stops = 0; ///< Stops without an answer yet.
    bool m_ended = false;
    bool m_replaced = false;
    bool m_left = false;
    bool m_expiry_notified = false;
    bool m_busy = false;
    Mechanisms m_mechanisms;
    ResponseTime m_response_time; ///< Of its answers, beyond the time that a look waits.
    int64_t m_worker_clock_ms = 0; ///< The worker's clock as last heard.
    int64_t m_last_report_clock_ms = 0; ///< The worker's clock at the newest report.
    Millis m_outdated_logged_at; ///< When the log last told of a report that is older.
    Millis m_last_full_report;
    Millis m_clock_read_at; ///< When it was heard; zero when it never was.
    int64_t m_max_lease_until = 0; ///< The latest lease end that was ever sent.
    Millis m_lease_expires_at; ///< After it nothing that was leased before runs any more.
    int64_t m_last_listed_end = 0; ///< The highest end that was reported.
    int64_t m_last_recorded_end = 0; ///< The highest end that is recorded.
    int64_t m_last_forgotten_end
        = 0; ///< The highest end that the worker knows to be recorded.
    int m_open_polls = 0;
    int m_failed_polls = 0;
    Millis m_poll_started;
    EventLoop::TimerId m_poll_timer = 0;
    Millis m_poll_at;
    std::vector<UncertainStart> m_uncertain_starts; ///< Starts without an answer.
    std::map<std::string, int> m_open_starts; ///< Starts under way, by task.
    std::map<RunKey, UnconfirmedStart> m_unconfirmed_starts;
    std::map<RunKey, StopRequest> m_stops;
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
