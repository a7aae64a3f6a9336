// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The emulator's workers: incarnations with fences, leases, gangs, tickets, finished runs
/// that are reported until acknowledged, and delayed orders. They record every violation
/// of pathport's guarantees about tasks.

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
#include <tuple>
#include <vector>

namespace pathport::emulator {

/// Properties and simulated behavior of a step's tasks.
struct StepModel {
    int64_t run_ms = 500; ///< Run time of one task.
    int64_t slowest_member_ms = 0; ///< Run time that a gang's other members wait for.
    int failing_runs = 0; ///< Number of runs of each task that fail before one succeeds.
    int count = 1; ///< Number of tasks.
    bool gang = false;
    bool lasting = false;
    Resources need;
    int max_failures = 3;
    std::string payload;
    std::vector<int> after; ///< Steps that must be completed first.
    int max_per_worker = 0; ///< Limit of the step's tasks on one worker; 0 for none.
    bool saves_progress = false; ///< A run resumes from the checkpoint in its start order.
    bool advised = false; ///< Starts need a ticket of the advisor.
    int64_t advice_latency_ms = 0; ///< Advisor latency for the step; 0 for the default.
    /// Number of tasks, counted from the first, that crash every worker that starts them.
    int crashing_task_count = 0;
    int64_t crash_after_ms = 10; ///< Time from the start to the crash.
    Millis crash_downtime { 3000 }; ///< Time until a worker is back at the address.
    bool crash_unresponsive = false; ///< Calls meanwhile get no reply, else are refused.
    bool crash_keeps_id = false; ///< The worker returns under its id, else a new one.
};

/// Faults of all workers that are in effect at present.
struct InjectedWorkerFaults {
    double unanswered_share = 0; ///< Share of orders executed late without a reply.
    double delayed_share = 0; ///< Share of orders and polls executed 2 to 12 s late.
    bool dead_are_unresponsive = false; ///< Calls to a dead worker get no reply.
    Millis ticket_validity; ///< Validity of a ticket; zero for no expiry.
};

/// A temporary fault of a single worker.
enum class WorkerFault {
    declines, ///< Declines a share of the orders and polls.
    declines_starts, ///< Declines a share of the starts, but answers polls.
    fails_tasks, ///< Every run ends as `failed` soon after its start.
    stalls_tasks, ///< Runs make no progress.
    slows_tasks, ///< Runs progress at half speed.
    answers_lost, ///< Orders and polls are executed, but the replies are lost.
    unlisted, ///< The worker list omits it while it keeps serving.
    refuses_starts, ///< Connections for starts fail; polls succeed.
    drops_starts, ///< Starts are neither executed nor answered; polls are answered.
};
constexpr int worker_fault_count = 9;

/// Time for which the list keeps a worker without heartbeats.
constexpr Millis list_retention { 4500 };
/// Interval at which a worker reports its capacity.
constexpr Millis heartbeat_interval { 1500 };

/// How a partitioned link treats calls.
enum class PartitionMode {
    drops, ///< They get no reply.
    refuses, ///< Something on the path refuses new connections and resets open ones.
    refuses_new, ///< As `refuses`, but half of the calls find an open connection that
                 ///< works.
};

/// A partition of a link.
struct Partition {
    Millis until;
    PartitionMode mode = PartitionMode::drops;
};

/// How a worker restarts under its name, without any of its previous state.
struct RestartOptions {
    Millis downtime; ///< Time until the new incarnation starts.
    Millis listed_after; ///< Time from its start until the list shows it.
    int64_t start_clock_ms = 0; ///< Its clock at the start.
    bool unresponsive = false; ///< Calls meanwhile get no reply, else are refused.
    std::optional<Resources> capacity; ///< If the box is replaced by another type.
};

/// All workers of an emulation.
class Workers {
public:
    explicit Workers(World& world);

    InjectedWorkerFaults injected;
    /// Called for each worker crashed by a task, with the downtime of its address.
    std::function<void(Millis)> on_crash;
    /// Called for each start that a worker carries out.
    std::function<void(const jobs::TaskId&)> on_start;
    /// If set, a task may be given up after two workers were lost while it ran there, for
    /// any reason: the platform documents no stronger guarantee. Otherwise only if the task
    /// itself crashed them.
    bool give_up_after_two_losses = false;
    Millis max_lease { 6000 };
    /// Latest start on a worker after it announced its shutdown.
    Millis drain_deadline { 2000 };
    /// Latency of an advice request, plus one millisecond for each worker named in it. The
    /// advisor serves the requests of one node one at a time.
    Millis default_advice_latency { 5 };
    /// Number of workers out of ten that the advisor allows to run a step.
    uint64_t allowed_tenths = 7;

    /// Returns the highest bound of a workspace that may be in force; 0 means unlimited.
    std::function<Resources(const std::string&)> bound_of;

    /// Sets the workspace that owns a job.
    void set_owner(const std::string& job, const std::string& workspace);
    /// Records a violation that was detected by the caller.
    void note_violation(const std::string& text);

    /// Adds a worker and returns its id.
    std::string add(const std::string& service, Resources capacity);
    /// Crashes a worker; another one with a new id starts at its address after `pause`.
    void crash(const std::string& id, Millis pause);
    /// Restarts a worker at its address under its name. The list does not show the restart
    /// unless the downtime exceeds its retention.
    void restart(const std::string& id, const RestartOptions& options);
    /// Partitions a worker from all nodes, or only from `node`. Its tasks keep running.
    void partition(const std::string& id, Millis span, const std::string& node = "",
                   PartitionMode mode = PartitionMode::drops);
    /// Partitions a worker from all nodes and from the store. The list drops it after its
    /// retention time, and has it again one heartbeat after the partition at the latest.
    void cut_off(const std::string& id, Millis span, PartitionMode mode);
    /// Partitions a worker permanently; the list drops it after its retention time.
    void partition_for_good(const std::string& id);
    /// Announces the shutdown of a worker, which ends after `span`. It announces that at
    /// least `announced` is left; without it, all of `span`.
    void drain(const std::string& id, Millis span,
               std::optional<Millis> announced = std::nullopt);
    /// Injects a fault into a worker; `share` is the share of calls that it declines.
    void inject_fault(const std::string& id, WorkerFault fault, Millis span,
                      double share = 1);
    /// Removes a worker from the list without an announcement; it ends after `span`.
    void stop_unannounced(const std::string& id, Millis span);
    /// Records that no task may be started in a failure domain after `last_start`.
    void note_drained(const std::string& domain, Millis last_start);
    /// Records that tasks may be started in the failure domain again.
    void note_admitted(const std::string& domain) { m_drained_domains.erase(domain); }
    /// Changes the capacity of a worker; the list shows it one heartbeat later.
    void resize(const std::string& id, Resources new_capacity);

    /// Sets the behavior of a step's tasks.
    void define_step(const std::string& job, int step, const StepModel& step_model);
    /// Records that the cancellation of a job was acknowledged.
    void note_canceled(const std::string& job);
    /// Records that every attempt to submit the job was refused.
    void note_refused(const std::string& job) { m_refused.insert(job); }

    /// Returns whether the advisor allows a worker to run a step ("<job>.<repeat>.<step>").
    bool is_allowed(const std::string& step, const std::string& worker) const;
    /// Returns the advisor's latency for a step, without the time per worker.
    Millis advice_latency(const std::string& step) const;
    std::vector<jobs::WorkerInfo> list() const;
    std::vector<std::string> ids() const;
    /// Returns whether all tasks of a step have ended as `done`, in one of its repeats.
    bool all_done(const std::string& job, int step, int count, bool gang,
                  int repeat = 0) const;
    /// Returns the violations recorded so far.
    const std::vector<std::string>& violations() const { return m_violations; }
    int64_t starts() const { return m_starts; }
    /// Returns the highest fence that the worker of this id or name has seen; 0 if there is
    /// none.
    int64_t highest_fence(const std::string& id);
    /// Returns whether the task is running on any worker.
    bool is_running(const jobs::TaskId& task) const;
    /// Returns whether the task is running on this worker.
    bool is_running_on(const std::string& worker, const jobs::TaskId& task) const;
    /// Returns whether the advisor allows the step on any worker that is up.
    bool has_allowed_worker(const std::string& job, int step) const;
    /// Returns whether any task of the job is running.
    bool has_running_task(const std::string& job) const;
    /// Returns whether the task may be given up: its failures have reached the limit, or it
    /// has crashed two workers.
    bool may_be_given_up(const jobs::TaskId& task) const;
    /// Returns the number of workers crashed by the tasks of a job.
    int crashes_of(const std::string& job) const;
    /// Returns whether the job is stalled: a step is ready, no task of the job is running,
    /// at least twice the capacity that it needs is free, and less than half of all
    /// capacity is in use.
    bool is_stalled(const std::string& job, int steps) const;
    /// Returns the number of requests to the advisor.
    int64_t advice_requests() const { return m_advice_requests; }

private:
    friend class WorkerPort;

    struct Run {
        jobs::TaskId task;
        int64_t run = 0;
        Millis ends_at;
        Millis stop_at; ///< When a stopped run ends; zero without a stop order.
        Millis waiting_since; ///< For a gang member: start of the wait for the others.
        bool working = false;
        Millis begun;
        int64_t restored_ms = 0; ///< Progress restored from the checkpoint.
        Millis checkpointed_at; ///< Time of the last checkpoint.
        std::string checkpoint;
    };
    struct Incarnation {
        /// The list entry. The id holds the worker's name, which is the key of all lookups.
        jobs::WorkerInfo info;
        std::optional<Resources> actual_capacity; ///< If the list is out of date.
        /// Capacity before a reduction, which is tolerated for a while.
        Resources previous_capacity;
        Millis previous_capacity_until;
        bool crashed_by_task = false; ///< Down because a task crashed it.
        bool up = true;
        bool listed = true;
        Millis started_at; ///< Start time on the emulation's clock.
        int64_t clock_offset = 0; ///< Offset of its clock from the emulation's.
        bool restarting = false; ///< Down, and going to restart under its name.
        bool down_unresponsive = false; ///< As in RestartOptions.
        Millis down_since;
        Millis listed_from; ///< Until then the list shows the previous incarnation.
        jobs::WorkerInfo previous_entry; ///< The previous incarnation's list entry.
        Millis draining_since; ///< When it announced its shutdown; zero if it did not.
        Partition partition; ///< From all nodes.
        std::map<std::string, Partition> node_partitions;
        int64_t fence = 0;
        int64_t lease_end = 0; ///< On its own clock.
        std::map<std::string, Run> running;
        std::map<std::string, int64_t> last_run; ///< Highest finished run by task.
        std::vector<jobs::EndedTask> ended;
        int64_t last_number = 0;
        int64_t acked_end = 0;
        std::set<int64_t> superseded_ends; ///< Ends after which the task was restarted.
        int64_t expired_through = 0; ///< Last end reported before a lease expiry.
        std::map<WorkerFault, Millis> faults; ///< End time by fault.
        double declined_share = 1;
    };
    /// Runs of a task on all workers. An end is "noted" once the leader has acknowledged it
    /// to the worker, unless the lease expired in between.
    struct TaskHistory {
        int failed = 0;
        int failed_noted = 0;
        bool done = false;
        bool done_noted = false;
        bool started_after_limit = false; ///< After its last allowed failure, noted or not.
        int crashed = 0; ///< Workers crashed by the task.
        int lost = 0; ///< Workers lost while it ran there, for any reason.
        int started_after_crashes = 0; ///< Starts after it crashed three workers.
    };

    Incarnation* find(const std::string& id);
    void schedule_end(const Incarnation& incarnation, Millis span);
    // Restarts under the same name (worker_restarts.cpp).
    void finish_restart(const std::string& id, const RestartOptions& options);
    int64_t clock_of(const Incarnation& incarnation) const;
    std::optional<jobs::WorkerInfo> list_entry(const Incarnation& incarnation) const;
    static std::string incarnation_id(const Incarnation& incarnation);
    static bool matches_id(const std::string& id, const Incarnation& incarnation);
    jobs::OrderStatus status_when_down(const Incarnation& incarnation) const;
    /// Returns the partition between the incarnation and the node, or null.
    const Partition* partition_of(const Incarnation& incarnation,
                                  const std::string& node) const;
    jobs::OrderAnswer start_now(const std::string& id, const jobs::StartOrder& order);
    jobs::OrderAnswer stop_now(const std::string& id, const jobs::RunOrder& order);
    jobs::OrderStatus poll_now(const std::string& id, const jobs::PollRequest& order,
                               jobs::PollReport& report);
    static std::string running_names(const Incarnation& incarnation);
    void extend_lease(Incarnation& incarnation, int64_t until);
    void check_start(const Incarnation& incarnation, const jobs::StartOrder& order);
    void check_domain(const Incarnation& incarnation, const std::string& task);
    void begin_gang(const jobs::TaskId& task, int64_t run);
    void note_acked_ends(Incarnation& incarnation);
    TaskHistory& failure_history(const jobs::TaskId& task);
    bool step_done(const jobs::TaskId& task, int step);
    void update(Incarnation& incarnation);
    void tick();
    void end(Incarnation& incarnation, const std::string& task, jobs::EndKind kind);
    // Workspace bounds (worker_bounds.cpp).
    Resources running_for(const std::string& workspace) const;
    const std::string& workspace_of(const std::string& job) const;
    void check_bound(const jobs::TaskId& started);
    bool uses_half_of_bound(const std::string& job) const;
    /// Returns whether `count` tasks with this need fit in the bound of the job's workspace
    /// when nothing else of it runs.
    bool fits_in_bound(const std::string& job, const Resources& need, int count) const;
    const StepModel& model_of(const jobs::TaskId& task) const;
    Resources used(const Incarnation& incarnation) const;
    // Faults and checkpoints (worker_faults.cpp).
    bool has_fault(const Incarnation& incarnation, WorkerFault fault) const;
    bool declines(const Incarnation& incarnation, bool start);
    bool address_taken(const Incarnation& incarnation) const;
    void apply_faults(Incarnation& incarnation);
    void save_progress(Run& run);
    int64_t worked_ms(const Run& run) const;
    bool is_ticket_valid(const Incarnation& incarnation,
                         const jobs::StartOrder& order) const;
    static std::string ticket_for(const Incarnation& incarnation, Millis until);
    void check_placement(const Incarnation& incarnation, const jobs::StartOrder& order);
    // Tasks that crash their workers, and capacity changes (worker_crashes.cpp).
    bool crashes_worker(const jobs::TaskId& task) const;
    void apply_task_crashes();
    void crash_by_task(Incarnation& incarnation, const jobs::TaskId& cause);
    void break_gang(const Run& run, jobs::EndKind kind);
    void check_crashes(const jobs::TaskId& task);
    void lose_runs(Incarnation& incarnation);
    const Resources& capacity_of(const Incarnation& incarnation) const;
    bool within_capacity(const Incarnation& incarnation) const;
    // Liveness (worker_liveness.cpp).
    bool is_ready(const std::string& job, int step) const;
    int64_t free_slots(const std::string& job, int step) const;
    bool half_of_capacity_free() const;

    World& m_world;
    Millis m_last_tick; ///< Time of the last tick, up to which progress is counted.
    bool m_executing_delayed = false; ///< The order being executed is a delayed one.
    std::map<std::string, Incarnation> m_incarnations;
    std::map<std::pair<std::string, int>, StepModel> m_steps;
    std::map<std::string, TaskHistory> m_history;
    /// Steps that are done, by job, repeat and step.
    std::set<std::tuple<std::string, int, int>> m_done_steps;
    std::map<std::string, Millis> m_canceled;
    std::set<std::string> m_refused;
    std::map<std::string, std::string> m_owners; ///< Workspace by job.
    /// Time of the last permitted start in drained failure domains.
    std::map<std::string, Millis> m_drained_domains;
    std::vector<std::string> m_violations;
    int m_last_id = 0;
    int64_t m_advice_requests = 0;
    int64_t m_starts = 0;
};

/// Connects one node process to the workers and the advisor.
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

    /// Black-holes the process's connections to all workers and to the advisor, with `kept`
    /// idle ones each.
    void blackhole_connections(int kept);

private:
    using PollReply
        = std::function<void(jobs::OrderStatus, std::optional<jobs::PollReport>)>;
    /// A poll that waits at its worker for a run to end.
    struct WaitingPoll {
        std::string worker; ///< Id of the addressed incarnation.
        std::string name; ///< Name of the worker.
        Millis started_at; ///< Start time of the incarnation that holds the call.
        jobs::PollRequest order;
        Millis until;
        int64_t connections = 0; ///< Generation of the connections at the start.
        Millis deadline; ///< The caller's deadline.
        PollReply done;
    };

    std::optional<jobs::OrderStatus>
    immediate_status(const Workers::Incarnation& incarnation, bool is_start);
    std::optional<jobs::OrderStatus>
    partition_status(const Workers::Incarnation& incarnation);
    bool is_delayed();
    void execute_delayed(const std::string& worker,
                         std::function<jobs::OrderAnswer()> work);
    Millis random_delay();
    void send_order(const std::string& worker, Millis timeout, bool is_start,
                    std::function<jobs::OrderAnswer()> work,
                    std::function<void(jobs::OrderAnswer)> done);
    void wait_for_end(const WaitingPoll& pending);
    void deliver(Millis delay, std::function<void()> work);

    Workers& m_workers;
    ProcessLoop& m_loop;
    std::string m_node;
    std::map<std::string, PooledConnections> m_connections; ///< By worker.
    /// By worker: start time of the incarnation that last answered a poll on a connection
    /// that is still open.
    std::map<std::string, Millis> m_last_polled_start;
    PooledConnections m_advisor_connections;
    Millis m_advisor_free_at; ///< When the advisor has served this node's requests.
};

} // namespace pathport::emulator
