// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A leader's session with one incarnation of a worker: the polls that renew its lease and
/// fetch its ends, the orders, and the fence that voids orders without an answer.

#pragma once

#include "call_evidence.h"
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

/// Time spans that the platform defines.
struct WorkerTimeouts {
    Millis max_lease { 6000 }; ///< The longest lease that a worker grants.
    Millis kill_grace { 400 }; ///< Maximum duration of a stop.
    Millis gang_timeout { 3000 }; ///< How long a member of a gang waits for the others.
    /// A worker that ends within this time gets no new tasks.
    Millis drain_margin { 2000 };
};

/// Returns the longest local duration of a span measured by a worker's clock, which may run
/// 2% slow.
Millis max_local_duration(Millis span);

/// The outcome of a start.
enum class StartResult {
    running, ///< The run is at the worker.
    not_started, ///< The run is not at the worker and will never be.
};

/// A run of a task.
struct TaskRun {
    TaskId task;
    int64_t run = 0;
};

/// Why a run is stopped.
enum class StopReason {
    job_closed, ///< The job was cancelled or has failed.
    preempted, ///< More urgent work needs its capacity.
    gang_incomplete, ///< The other members of its gang cannot all be placed.
    stalled, ///< It makes no progress.
    worker_draining, ///< The run would outlast its worker, which is draining.
    unknown_run, ///< The leader does not know the run.
};
const char* to_string(StopReason reason);

/// A report's place in learning what earlier leaders started at its worker.
enum class ReportStage {
    first_partial, ///< Its list of ends is full: missing runs may be in the next report.
    first_complete, ///< All that runs or has ended there is known with this report.
    subsequent, ///< A complete report has arrived before.
};

/// Receives the events of sessions.
class SessionListener {
public:
    virtual ~SessionListener() = default;

    /// Returns whether orders may be sent now.
    virtual bool orders_allowed() const = 0;
    /// Called when a call to some worker was not answered.
    virtual void call_timed_out() = 0;
    /// Returns whether workers have left calls unanswered lately.
    virtual bool has_recent_timeouts() const = 0;
    /// Returns how long it takes at present until an end is recorded.
    virtual Millis record_time() const { return Millis(0); }
    /// Returns whether the worker's lease may be renewed now.
    virtual bool may_renew_lease(const WorkerSession& session) const = 0;
    /// Called when the worker stopped answering.
    virtual void worker_lost(WorkerSession& session) = 0;
    /// Called when a poll returned a report under this leader's fence.
    virtual void report_received(WorkerSession& session, const PollReport& report,
                                 ReportStage stage)
        = 0;
    /// Called when the incarnation has ended: its runs are gone and its unlisted ends are
    /// lost.
    virtual void incarnation_ended(WorkerSession& session, EndEvidence evidence) = 0;
    /// Called when the lease of everything that ran there has certainly expired.
    virtual void lease_expired(WorkerSession& session) = 0;
    /// Called when a run that was told to stop is gone and its end is not listed.
    virtual void run_gone(WorkerSession& session, const TaskId& task, int64_t run) = 0;
    /// Called when a worker refused a fence that this leader has not raised since: there is
    /// a later leader.
    virtual void fenced_off(WorkerSession& session) = 0;
};

/// A session with one incarnation of a worker.
class WorkerSession {
public:
    /// Creates a session with fences of `epoch`, starting at `min_fence` if that is higher.
    /// Until `unknown_until`, or the first report, runs of an earlier leader may exist
    /// there.
    WorkerSession(EventLoop& loop, WorkerClient& client, SessionListener& listener,
                  WorkerInfo info, int64_t epoch, int64_t min_fence,
                  WorkerTimeouts timeouts, Millis unknown_until,
                  Mechanisms mechanisms = {});
    ~WorkerSession();

    const std::string& id() const { return m_info.id; }
    const WorkerInfo& info() const { return m_info; }
    /// Updates the entry from the platform's current list.
    void update(const WorkerInfo& info);

    /// Notes that the list names another incarnation of the same name: this one has ended.
    void mark_replaced();

    /// Returns whether another incarnation of the same name has replaced this one.
    bool replaced() const { return m_replaced; }
    /// Returns the starts that the next incarnation may have executed instead of this one:
    /// no report confirms that this one was alive when they were executed.
    std::vector<TaskRun> unconfirmed_starts() const;

    /// Starts polling.
    void start_polling();

    /// Polls at short intervals until then, which tells closely how long runs exist there.
    void watch_until(Millis until);

    /// Sets whether anything is placed there, so that ends should be learned of soon.
    void set_busy(bool busy) { m_busy = busy; }

    /// Returns whether the worker has accepted this leader's fence.
    bool fenced() const { return m_fenced; }
    /// Returns whether the worker answers, the runs of earlier leaders there are known, no
    /// order is in doubt, and leases may be granted.
    bool usable() const { return settled() && m_listener.may_renew_lease(*this); }
    bool silent() const { return m_silent; }
    /// Returns when a poll first failed since the worker last answered; nothing if none
    /// did.
    std::optional<Millis> down_since() const { return m_down_since; }
    /// Returns when the poll was sent that last returned a complete report of all runs and
    /// ends; zero when there is none.
    Millis last_full_report() const { return m_last_full_report; }
    /// Returns when everything leased there has certainly ended, under the leases that this
    /// leader and earlier ones have granted so far.
    Millis lease_expires_at() const { return m_lease_expires_at; }
    /// Renews the lease at once, when that is allowed again.
    void renew_lease() { poll(false); }
    /// Returns the fence of orders sent now.
    int64_t fence() const { return m_fence; }
    /// Returns whether a start of the task is unanswered or in doubt.
    bool has_open_order(const TaskId& task) const;

    /// Orders a start; `done` is called exactly once unless the incarnation ends first.
    void start(const TaskId& task, int64_t run, const std::string& payload,
               const std::string& checkpoint, const std::string& ticket,
               std::function<void(StartResult, OrderStatus)> done);
    /// Orders a stop, repeatedly until the run is gone.
    void stop(const TaskId& task, int64_t run, StopReason reason);
    /// Orders a speed limit in percent, once.
    void set_speed(const TaskId& task, int64_t run, int percent);

    /// Notes that the ends up to `number` are recorded, so that the worker may discard
    /// them.
    void ends_recorded(int64_t number);

private:
    struct UncertainStart {
        TaskId task;
        int64_t run = 0;
        int64_t fence = 0; ///< Fence of the order.
        std::function<void(StartResult, OrderStatus)> done;
    };
    /// Task name and run: stops of two runs of one task may be pending.
    using RunKey = std::pair<std::string, int64_t>;
    struct StopRequest {
        TaskId task;
        int64_t run = 0;
        StopReason reason = StopReason::unknown_run;
        Millis requested_at;
        Millis sent_at; ///< When the order was last sent; zero when it never was.
        Millis overdue_logged_at; ///< When the log last reported the delay.
        int attempts = 0;
        OrderStatus last_status = OrderStatus::unknown; ///< Answer to the last order.
        EventLoop::TimerId timer = 0;
    };

    /// A start that no report has confirmed to be executed by this incarnation.
    struct UnconfirmedStart {
        TaskId task;
        std::optional<Millis> accepted; ///< When it was accepted.
    };

    bool settled() const
    {
        return m_fully_reported && !m_silent && m_uncertain_starts.empty();
    }
    int64_t lease_until() const;
    void note_announced_end();
    Millis until_announced_end() const;
    void schedule_poll(Millis delay);
    void poll(bool may_wait);
    void schedule_watch();
    Millis poll_wait(bool may_wait) const;
    Millis poll_hold(Millis wait) const;
    Millis unrecorded_poll_delay() const;
    void record_response(OrderStatus status, Millis sent_at);
    void poll_answered(OrderStatus status, const std::optional<PollReport>& report,
                       int64_t fence, int64_t until, Millis sent_at);
    void poll_failed(OrderStatus status, Millis sent_at);
    void extend_lease_expiry(int64_t until);
    void update_clock(int64_t clock_ms, int64_t until);
    void handle_report(const PollReport& report, int64_t fence, Millis sent_at);
    std::vector<StopRequest> drop_ended_stops(const PollReport& report,
                                              const PollReport& fresh);
    void drop_gone_stops(const PollReport& report, Millis sent_at);
    void log_outdated_report(const PollReport& report);
    ReportStage advance_stage(bool complete);
    void resolve_uncertain_starts(const PollReport& report, int64_t fence);
    static void report_late_acceptance(const OrderAnswer& answer,
                                       const UncertainStart& order);
    void start_answered(const OrderAnswer& answer, UncertainStart order);
    void raise_fence();
    bool may_stop_while_silent(const StopRequest& request) const;
    void send_next_stop();
    void send_stop(const RunKey& key);
    void send_stops();
    void log_overdue_stop(StopRequest& request);
    void end_incarnation(EndEvidence evidence);
    int64_t ends_to_acknowledge() const;
    void update_forgotten(const PollReport& report, int64_t acked);
    void confirm_starts(const PollReport& report, Millis sent_at);
    void check_lease_expiry();

    EventLoop& m_loop;
    WorkerClient& m_client;
    SessionListener& m_listener;
    WorkerInfo m_info;
    WorkerTimeouts m_timeouts;
    int64_t m_fence;
    bool m_fenced = false;
    bool m_fully_reported = false; ///< A report that lists all ends has arrived.
    bool m_silent = false;
    std::optional<Millis> m_down_since;
    int m_open_stops = 0; ///< Stops in flight.
    bool m_ended = false;
    bool m_replaced = false;
    bool m_expiry_notified = false;
    bool m_busy = false;
    Mechanisms m_mechanisms;
    ResponseTime m_response_time; ///< Response times, without the time that a poll waits.
    int64_t m_worker_clock_ms = 0; ///< Worker clock as last received.
    int64_t m_last_report_clock_ms = 0; ///< Worker clock of the newest report.
    Millis m_outdated_logged_at; ///< When the log last told of an outdated report.
    Millis m_last_full_report;
    Millis m_clock_read_at; ///< When the worker clock was received; zero when it never was.
    int64_t m_max_lease_until = 0; ///< The latest lease end sent, by the worker clock.
    Millis m_lease_expires_at; ///< After it nothing leased so far can be running.
    /// When the worker ends at the earliest, by its announcement.
    std::optional<Millis> m_announced_end;
    int64_t m_last_listed_end = 0; ///< The highest reported end.
    int64_t m_last_recorded_end = 0; ///< The highest recorded end.
    /// The highest end that the worker knows to be recorded.
    int64_t m_last_forgotten_end = 0;
    int m_open_polls = 0;
    int m_failed_polls = 0;
    Millis m_poll_started;
    EventLoop::TimerId m_poll_timer = 0;
    Millis m_poll_at;
    EventLoop::TimerId m_watch_timer = 0;
    Millis m_watch_until;
    std::vector<UncertainStart> m_uncertain_starts; ///< Starts that got no answer.
    std::map<std::string, int> m_open_starts; ///< Number of starts in flight, by task.
    std::map<RunKey, UnconfirmedStart> m_unconfirmed_starts;
    std::map<RunKey, StopRequest> m_stops;
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
