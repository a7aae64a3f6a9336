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
struct WorkerBounds {
    Millis max_hold { 6000 }; ///< The longest lease that a worker grants.
    Millis kill_grace { 400 }; ///< How long a stop takes at most.
    Millis gang_timeout { 3000 }; ///< So long a gang's member waits for the others.
    /// Within this time a worker that announces its end gets no new task any more.
    Millis drain { 2000 };
};

/// Returns how long a span of a worker's clock takes at most: it may run 2% slow.
Millis longest_by_our_clock(Millis span);

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
    stands_still, ///< It makes no progress.
    worker_drains, ///< It would not end before its worker does.
    unknown_run, ///< It should not be there.
};
const char* to_string(StopReason reason);

/// How a report stands to what earlier leaders left at its worker.
enum class ReportStage {
    first_part, ///< Its list of ends is full: what it lacks may come with the next.
    first_whole, ///< With it all is known that runs or has ended there.
    later, ///< A whole one has come before.
};

/// Hears what a session learns.
class SessionListener {
public:
    virtual ~SessionListener() = default;

    /// Returns whether orders may be given now.
    virtual bool may_order() const = 0;
    /// A call to some worker was not answered.
    virtual void answer_missing() = 0;
    /// Returns whether workers have left calls unanswered lately.
    virtual bool answers_go_missing() const = 0;
    /// Returns whether the worker's lease may be renewed now.
    virtual bool may_lease(const WorkerSession& session) const = 0;
    /// The worker has become silent.
    virtual void lost(WorkerSession& session) = 0;
    /// A look brought a report under this leader's fence.
    virtual void reported(WorkerSession& session, const LookReport& report,
                          ReportStage stage)
        = 0;
    /// The life is over: what ran there doesn't, and its unlisted ends are lost.
    virtual void life_over(WorkerSession& session) = 0;
    /// The lease of all that ran there has surely run out.
    virtual void lease_lapsed(WorkerSession& session) = 0;
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
                  WorkerInfo info, int64_t epoch, int64_t least_fence, WorkerBounds bounds,
                  Millis unknown_until, Mechanisms mechanisms = {});
    ~WorkerSession();

    const std::string& id() const { return m_info.id; }
    const WorkerInfo& info() const { return m_info; }
    /// Takes over what the platform's list says at present.
    void update(const WorkerInfo& info);

    /// Notes that the worker announced its end and has gone from the list: when nothing
    /// listens at its address any more, its life is over.
    void left() { m_left = true; }

    /// Notes that the list names another life of the same name: this one is over.
    void succeeded();

    /// Returns whether another life of the same name has come in the place of this one.
    bool reborn() const { return m_reborn; }
    /// Returns the starts that the next life may have carried out in place of this one: no
    /// report of this life tells that it was there when they were done.
    std::vector<TaskRun> unconfirmed_starts() const;

    /// Begins to look.
    void begin();

    /// Tells whether anything is placed there, so that ends are to be heard of soon.
    void set_busy(bool busy) { m_busy = busy; }

    /// Returns whether the worker has accepted this leader's fence.
    bool fenced() const { return m_fenced; }
    /// Returns whether it answers, what earlier leaders left there is known, no order to it
    /// is in doubt, and it may be given leases.
    bool usable() const { return settled() && m_listener.may_lease(*this); }
    bool silent() const { return m_silent; }
    /// Returns whether nothing listened at its address at the last look.
    bool refuses() const { return m_refuses; }
    /// Returns when the look was sent that last brought a report of all that runs there and
    /// has ended; zero when there is none.
    Millis known_as_of() const { return m_known_as_of; }
    /// Returns when all that was leased there has surely ended, as far as this leader or
    /// earlier ones have given leases until now.
    Millis lapses_at() const { return m_lapse_at; }
    /// Renews the lease at once, since that is allowed again.
    void renew_lease() { look(false); }
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
    void pace(const TaskId& task, int64_t run, int percent);

    /// Notes that the ends up to `number` are recorded, so that the worker may forget them.
    void ends_recorded(int64_t number);

private:
    struct Doubt {
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
        Millis asked;
        Millis told_overdue; ///< When the log last told that it takes long.
        int sent = 0;
        OrderStatus answer = OrderStatus::unknown; ///< To the last order.
        EventLoop::TimerId timer = 0;
    };

    /// A start of which no report tells yet at which life it was carried out.
    struct Unconfirmed {
        TaskId task;
        std::optional<Millis> accepted; ///< When it was answered so.
    };

    bool settled() const { return m_reported_all && !m_silent && m_doubtful.empty(); }
    int64_t hold_until() const;
    void schedule_look(Millis delay);
    void look(bool may_wait);
    Millis wait_of_look(bool may_wait) const;
    void note_response(OrderStatus status, Millis asked);
    void look_answered(OrderStatus status, const std::optional<LookReport>& report,
                       int64_t fence, int64_t until, Millis asked);
    void look_failed(OrderStatus status, Millis asked);
    void note_lease(int64_t until);
    void note_answer(int64_t clock_ms, int64_t until);
    void report_arrived(const LookReport& report, int64_t fence, Millis asked);
    std::vector<StopRequest> drop_ended_stops(const LookReport& report,
                                              const LookReport& fresh);
    void drop_gone_stops(const LookReport& report, Millis asked);
    void tell_outdated(const LookReport& report);
    ReportStage take_stage(bool whole);
    void resolve_doubts(const LookReport& report, int64_t fence);
    void start_answered(const OrderAnswer& answer, Doubt order);
    void raise_fence();
    void send_stop(const RunKey& key);
    void send_stops();
    void tell_overdue(StopRequest& request);
    void end_life();
    void end_reborn();
    int64_t news_for_worker() const;
    void note_forgotten(const LookReport& report, int64_t told);
    void confirm_starts(const LookReport& report, Millis asked);
    void check_lapse();

    EventLoop& m_loop;
    WorkerClient& m_client;
    SessionListener& m_listener;
    WorkerInfo m_info;
    WorkerBounds m_bounds;
    int64_t m_fence;
    bool m_fenced = false;
    bool m_reported_all = false; ///< A report that lists all ends has come.
    bool m_silent = false;
    bool m_refuses = false;
    int m_stops_open = 0; ///< Stops without an answer yet.
    bool m_over = false;
    bool m_reborn = false;
    bool m_left = false;
    bool m_lapse_told = false;
    bool m_busy = false;
    Mechanisms m_mechanisms;
    ResponseTime m_response; ///< Of its answers, beyond the time that a look waits.
    int64_t m_clock_ms = 0; ///< The worker's clock as last heard.
    int64_t m_reported_ms = 0; ///< The worker's clock at the newest report.
    Millis m_outdated_told; ///< When the log last told of a report that is older.
    Millis m_known_as_of;
    Millis m_clock_at; ///< When it was heard; zero when it never was.
    int64_t m_longest_until = 0; ///< The latest lease end that was ever sent.
    Millis m_lapse_at; ///< After it nothing that was leased before runs any more.
    int64_t m_listed = 0; ///< The highest end that was reported.
    int64_t m_recorded = 0; ///< The highest end that is recorded.
    int64_t m_forgotten = 0; ///< The highest end that the worker knows to be recorded.
    int m_looks_open = 0;
    int m_failed_looks = 0;
    Millis m_look_started;
    EventLoop::TimerId m_look_timer = 0;
    Millis m_look_at;
    std::vector<Doubt> m_doubtful; ///< Starts without an answer.
    std::map<std::string, int> m_unanswered; ///< Starts under way, by task.
    std::map<RunKey, Unconfirmed> m_unconfirmed;
    std::map<RunKey, StopRequest> m_stops;
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
