// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The emulator's workers: lives with fences, leases, gangs, tickets, ends that are listed
/// until they are seen, and orders that are carried out late. They note each breach of
/// what pathport promises about tasks.

#pragma once

#include <pathport/emulator/pooled_connections.h>
#include <pathport/emulator/virtual_loop.h>
#include <pathport/jobs/worker_client.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pathport::emulator {

/// What the emulator knows of a step's tasks, beside what its submitter said.
struct StepModel {
    int64_t run_ms = 500; ///< Work of one task.
    int64_t slowest_member_ms
        = 0; ///< Of a gang's slowest member, for which the others wait.
    int failing_runs = 0; ///< So many runs of each task fail before one is done.
    int count = 1; ///< Tasks of the step.
    bool gang = false;
    bool lasting = false;
    Resources need;
    int max_failures = 3;
    std::string payload;
    std::vector<int> after; ///< Steps that must be done first.
    int max_per_worker = 0; ///< Most tasks of the step on one worker; 0 for no limit.
    bool saves_progress = false; ///< A run goes on from the checkpoint that it brings.
    bool advised = false; ///< Its starts need a ticket.
    int64_t advice_latency_ms
        = 0; ///< The advisor's time for a question; 0 for the usual one.
    int crashing_task_count
        = 0; ///< So many tasks, the first ones, crash each worker that starts them.
    int64_t crash_after_ms = 10; ///< So long after the start.
    Millis crash_downtime {
        3000
    }; ///< So long after that another worker is at the address.
    bool crash_unresponsive
        = false; ///< Until then calls there get no answer; else refused.
    bool crash_keeps_id = false; ///< The worker comes back under its id, else another one.
};

/// How the workers misbehave at present.
struct InjectedWorkerFaults {
    double unanswered_share = 0; ///< So many orders get no answer and are carried out late.
    double delayed_share = 0; ///< So many orders and looks are carried out 2 to 12 s late.
    bool dead_are_unresponsive = false; ///< No other life answers for one that is gone.
    Millis ticket_validity; ///< A ticket holds for so long; zero for ever.
};

/// A fault of a single worker that lasts for a while.
enum class WorkerFault {
    declines, ///< It declines a share of the orders and looks.
    declines_starts, ///< It declines a share of the starts, and answers looks.
    fails_tasks, ///< All that runs there ends `failed` soon after its start.
    stalls_tasks, ///< What runs there makes no progress.
    slows_tasks, ///< What runs there makes half the progress.
    answers_lost, ///< Orders and looks are carried out, and their answers are lost.
    unlisted, ///< The list does not name it; it serves on.
    refuses_starts, ///< No connection for a start is had; looks go through.
    drops_starts, ///< Starts get no answer and are not carried out; looks are answered.
};
constexpr int worker_fault_count = 9;

/// How long the list keeps a worker that is silent.
constexpr Millis list_retention { 4500 };
/// So often a worker says how much room it has.
constexpr Millis heartbeat_interval { 1500 };

/// How a worker comes back under the name that it had, with nothing of before.
struct RestartOptions {
    Millis downtime; ///< So long it is down.
    Millis listed_after; ///< So long after it is up the list tells of the new life.
    int64_t start_clock_ms = 0; ///< What its new clock says when it starts.
    bool unresponsive
        = false; ///< While it is down, calls get no answer; else they are refused.
    std::optional<Resources> capacity; ///< When it has become another kind of machine.
};

/// The workers of a world.
class Workers {
public:
    explicit Workers(World& world);

    InjectedWorkerFaults injected;
    /// Hears of each worker that a task has crashed, and for how long its address is dead.
    std::function<void(Millis)> on_crash;
    /// A task with which two workers were lost may be given up, whatever the cause: that is
    /// all that the platform's pages promise. Else it has to have crashed them itself.
    bool give_up_after_two_losses = false;
    Millis max_hold { 6000 };
    /// A worker gets no new task so long after it has announced its end.
    Millis drain_deadline { 2000 };
    /// The advisor's time for a question, beside one millisecond for each worker named. It
    /// serves the questions of one node one after the other.
    Millis default_advice_latency { 5 };
    /// The advisor lets so many in ten workers run a step.
    uint64_t allowed_tenths = 7;

    /// Returns the highest bound of a workspace that may be in force; all kinds 0 for none.
    std::function<Resources(const std::string&)> bound_of;

    /// Tells whose a job is.
    void set_owner(const std::string& job, const std::string& workspace);
    /// Notes a breach that was seen elsewhere.
    void note_violation(const std::string& text);

    /// Adds a worker and returns its id.
    std::string add(const std::string& service, Resources capacity);
    /// Ends a life; another one with a new id comes at its address after `pause`.
    void crash(const std::string& id, Millis pause);
    /// Ends a life; another one comes at its address under its name, unseen by the list
    /// unless it is down for long.
    void restart(const std::string& id, const RestartOptions& how);
    /// Cuts a worker from all nodes, or only from `node`; what runs there runs on.
    void partition(const std::string& id, Millis span, const std::string& node = "");
    /// Cuts a worker off for good; the list forgets it after a while.
    void partition_for_good(const std::string& id);
    /// Announces the end of a worker, which leaves after `span`.
    void drain(const std::string& id, Millis span);
    /// Gives a worker a fault; `share` is that of the calls that it declines.
    void inject_fault(const std::string& id, WorkerFault fault, Millis span,
                      double share = 1);
    /// Takes a worker from the list without a word; it serves on for `span` and ends.
    void stop_unannounced(const std::string& id, Millis span);
    /// Changes the room of a worker; the list tells of it one beat later.
    void resize(const std::string& id, Resources room);

    /// Tells what the tasks of a step do.
    void define_step(const std::string& job, int step, const StepModel& facts);
    /// Notes that a job was cancelled and that this was acknowledged.
    void note_canceled(const std::string& job);
    /// Notes that each attempt to hand the job in was refused.
    void note_refused(const std::string& job) { m_refused.insert(job); }

    /// Returns whether the advisor lets a worker run a step ("<job>.<repeat>.<step>").
    bool is_allowed(const std::string& step, const std::string& worker) const;
    /// Returns how long the advisor takes for a question about a step, but for the workers.
    Millis advice_latency(const std::string& step) const;
    std::vector<jobs::WorkerInfo> list() const;
    std::vector<std::string> ids() const;
    /// Returns whether all tasks of a step have ended `done`.
    bool all_done(const std::string& job, int step, int count, bool gang) const;
    /// Returns the breaches that were seen.
    const std::vector<std::string>& violations() const { return m_breaches; }
    int64_t starts() const { return m_starts; }
    /// Returns whether a run of the task is there.
    bool is_running(const jobs::TaskId& task) const;
    /// Returns whether a run of any task of the job is there.
    bool has_running_task(const std::string& job) const;
    /// Returns whether the task may be given up: its runs have failed as often as they may,
    /// or it has crashed two workers.
    bool may_be_given_up(const jobs::TaskId& task) const;
    /// Returns how many workers the tasks of a job have crashed.
    int crashes_of(const std::string& job) const;
    /// Returns whether a task of the job could run but doesn't: the turn of one has come,
    /// none runs, there is room for it twice over and under half of all room is in use.
    bool is_stalled(const std::string& job, int steps) const;
    /// Returns how many questions the advisor has been asked.
    int64_t advice_requests() const { return m_questions; }

private:
    friend class WorkerPort;

    struct Run {
        jobs::TaskId task;
        int64_t run = 0;
        Millis ends_at;
        Millis stop_at; ///< Zero while it was not told to stop.
        Millis waits_since; ///< Of a gang's member: for the others.
        bool working = false;
        Millis begun;
        int64_t restored_ms = 0; ///< Work that its checkpoint saved.
        Millis saved_at; ///< When its checkpoint was last renewed.
        std::string checkpoint;
    };
    struct Life {
        /// As the list tells of it. Its id is the name, by which all lives are kept here.
        jobs::WorkerInfo info;
        std::optional<Resources> room; ///< If it differs from what the list tells.
        Resources room_before; ///< That of before it shrank, which counts on for a while.
        Millis room_before_until;
        bool fallen = false; ///< It is down since a task has crashed it.
        bool up = true;
        bool listed = true;
        Millis born; ///< The world's time when it started.
        int64_t clock_ahead = 0; ///< Of its clock, before the world's.
        bool returns = false; ///< It is down and comes back under its name.
        bool down_silent = false; ///< As in RestartOptions.
        Millis down_since;
        Millis listed_from; ///< Until then the list tells of the life before.
        jobs::WorkerInfo entry_before; ///< What it tells then.
        Millis drains_since; ///< Zero while it has not announced its end.
        Millis cut_until;
        std::map<std::string, Millis> cut_nodes;
        int64_t fence = 0;
        int64_t hold_until = 0; ///< On its clock.
        std::map<std::string, Run> running;
        std::map<std::string, int64_t> last_run; ///< The highest ended run, by task.
        std::vector<jobs::EndedTask> ended;
        int64_t last_number = 0;
        int64_t seen = 0;
        std::set<int64_t> followed; ///< Ends after which the task was started again.
        int64_t lapsed_through = 0; ///< Ends up to this number were listed before a lapse.
        std::map<WorkerFault, Millis> faults; ///< Until when it has them.
        double declined_share = 1;
    };
    /// An end is noted once the worker is told that it was seen, unless its lease ran out
    /// in between.
    struct TaskHistory {
        int failed = 0;
        int failed_noted = 0;
        bool done = false;
        bool done_noted = false;
        bool started_when_spent = false; ///< After its last failure, noted or not.
        int crashed = 0; ///< Workers that the task has crashed.
        int lost = 0; ///< Workers that crashed while it ran there, for whatever cause.
        int started_after_crashes = 0; ///< Starts once it has crashed three.
    };

    Life* find(const std::string& id);
    void end_later(const Life& life, Millis span);
    // Lives under one name (worker_lives.cpp).
    void come_back(const std::string& id, const RestartOptions& how);
    int64_t clock_of(const Life& life) const;
    std::optional<jobs::WorkerInfo> entry_of(const Life& life) const;
    static std::string life_id(const Life& life);
    static bool is_meant(const std::string& id, const Life& life);
    jobs::OrderStatus status_when_down(const Life& life) const;
    bool reachable(const Life& life, const std::string& node) const;
    jobs::OrderAnswer start_now(const std::string& id, const jobs::StartOrder& order);
    jobs::OrderAnswer stop_now(const std::string& id, const jobs::RunOrder& order);
    jobs::OrderStatus look_now(const std::string& id, const jobs::PollRequest& order,
                               jobs::PollReport& report);
    static std::string names_on(const Life& life);
    void extend(Life& life, int64_t until);
    void check_start(const Life& life, const jobs::StartOrder& order);
    void begin_gang(const jobs::TaskId& task, int64_t run);
    void note_ends(Life& life);
    TaskHistory& failures_of(const jobs::TaskId& task);
    void step(Life& life);
    void tick();
    void end(Life& life, const std::string& task, jobs::EndKind kind);
    // Bounds of workspaces (worker_bounds.cpp).
    Resources running_for(const std::string& workspace) const;
    const std::string& workspace_of(const std::string& job) const;
    void check_bound(const jobs::TaskId& started);
    bool holds_half_its_bound(const std::string& job) const;
    const StepModel& facts(const jobs::TaskId& task) const;
    Resources used(const Life& life) const;
    // Faults and checkpoints (worker_faults.cpp).
    bool has(const Life& life, WorkerFault fault) const;
    bool declines(const Life& life, bool start);
    bool address_taken(const Life& life) const;
    void suffer(Life& life);
    void save_progress(Run& run);
    int64_t worked_ms(const Run& run) const;
    bool ticket_good(const Life& life, const jobs::StartOrder& order) const;
    static std::string ticket_for(const Life& life, Millis until);
    void check_place(const Life& life, const jobs::StartOrder& order);
    // Tasks that crash their workers, and rooms that change (worker_crashes.cpp).
    bool crashes(const jobs::TaskId& task) const;
    void crash_under_tasks();
    void fall(Life& life, const jobs::TaskId& cause);
    void break_gang(const Run& run, jobs::EndKind kind);
    void check_crashes(const jobs::TaskId& task);
    void lose_runs(Life& life);
    const Resources& room_of(const Life& life) const;
    bool fits(const Life& life) const;
    // Liveness (worker_liveness.cpp).
    bool turn_has_come(const std::string& job, int step) const;
    int64_t rooms_for(const std::string& job, int step) const;
    bool half_free() const;

    World& m_world;
    Millis m_ticked; ///< Work is counted up to then, so that what stands still stands.
    bool m_carries_out_late = false; ///< The present order is one that was held up.
    std::map<std::string, Life> m_lives;
    std::map<std::pair<std::string, int>, StepModel> m_facts;
    std::map<std::string, TaskHistory> m_history;
    std::map<std::string, Millis> m_canceled;
    std::set<std::string> m_refused;
    std::map<std::string, std::string> m_owners; ///< Workspaces by job.
    std::vector<std::string> m_breaches;
    int m_last_id = 0;
    int64_t m_questions = 0;
    int64_t m_starts = 0;
};

/// The workers as one process reaches them.
class WorkerPort : public jobs::WorkerClient, public jobs::Advisor {
public:
    WorkerPort(Workers& workers, ProcessLoop& loop, std::string node);

    void start(const jobs::WorkerInfo& worker, const jobs::StartOrder& order,
               Millis timeout, std::function<void(jobs::OrderAnswer)> done) override;
    void stop(const jobs::WorkerInfo& worker, const jobs::RunOrder& order, Millis timeout,
              std::function<void(jobs::OrderAnswer)> done) override;
    void set_speed(const jobs::WorkerInfo& worker, const jobs::RunOrder& order,
                   Millis timeout, std::function<void(jobs::OrderAnswer)> done) override;
    void poll(const jobs::WorkerInfo& worker, const jobs::PollRequest& order,
              Millis timeout,
              std::function<void(jobs::OrderStatus, std::optional<jobs::PollReport>)> done)
        override;
    void
    ask(const std::string& step, const std::vector<std::string>& workers, Millis timeout,
        std::function<void(std::optional<std::vector<jobs::WorkerTicket>>)> done) override;

    /// The connections of this process to all workers and to the advisor go silent; `kept`
    /// idle ones each.
    void blackhole_connections(int kept);

private:
    using LookReply
        = std::function<void(jobs::OrderStatus, std::optional<jobs::PollReport>)>;
    /// A look that waits at its worker for an end.
    struct WaitingLook {
        std::string worker; ///< The life meant.
        std::string name; ///< Of the worker.
        Millis born; ///< Of the life that it waits at.
        jobs::PollRequest order;
        Millis until;
        int64_t connections = 0; ///< Their generation when it began.
        Millis gives_up; ///< The caller does.
        LookReply done;
    };

    std::optional<jobs::OrderStatus> early_status(const Workers::Life& life, bool is_start);
    bool carried_out_late();
    void carry_out_late(const std::string& worker, std::function<jobs::OrderAnswer()> work);
    Millis lateness();
    void order(const std::string& worker, Millis timeout, bool is_start,
               std::function<jobs::OrderAnswer()> work,
               std::function<void(jobs::OrderAnswer)> done);
    void wait_for_end(const WaitingLook& look);
    void deliver(Millis delay, std::function<void()> work);

    Workers& m_workers;
    ProcessLoop& m_loop;
    std::string m_node;
    std::map<std::string, PooledConnections> m_connections; ///< By worker.
    /// By worker: the birth of the life that last answered a look, over a connection that
    /// is kept.
    std::map<std::string, Millis> m_answered;
    PooledConnections m_advisor_connections;
    Millis m_advisor_free; ///< When the advisor has served what this node asked.
};

} // namespace pathport::emulator
