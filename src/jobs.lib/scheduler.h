// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The leader's work in one epoch: it rebuilds what its predecessors recorded, fences the
/// workers, and then starts, watches and ends tasks until it is deposed.

#pragma once

#include "advice_pool.h"
#include "head_log.h"
#include "job_feed.h"
#include "job_record.h"
#include "lifetime.h"
#include "placement.h"
#include "queue_admission.h"
#include "scheduler_context.h"
#include "silent_workers.h"
#include "store_clock.h"
#include "wait_log_limiter.h"
#include "worker_load.h"
#include "worker_session.h"

#include <pathport/callers/job_budget.h>
#include <pathport/event_loop.h>
#include <pathport/jobs/job_node.h>
#include <pathport/jobs/job_store.h>
#include <pathport/jobs/mechanisms.h>
#include <pathport/jobs/worker_client.h>
#include <pathport/metrics.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pathport::jobs {

/// How long a worker that was left alone gets one task at a time.
constexpr Millis probation_time { 2500 };

/// How long the record and the order of a start take at most, once its room is there.
constexpr Millis max_start_latency { 350 };
/// Workers are kept no longer while an answer of the advisor is waited for.
constexpr Millis max_advice_wait { 3000 };

/// The scheduler of one epoch.
class Scheduler : public SessionListener, public HeadLogOwner {
public:
    /// `deposed` is called once, when another leader has taken over.
    Scheduler(SchedulerContext parts, const Claim& claim, std::function<void()> deposed);
    ~Scheduler() override;

    /// Begins: reads what is recorded, then looks at the workers, then orders.
    void begin();
    /// Returns whether it has read everything and orders.
    bool scheduling() const { return m_phase == Phase::scheduling; }
    /// Notes that the leadership is offered to others. Orders go on until one has taken it:
    /// the log and the workers' fences then end them.
    void set_resigned(bool resigned) { m_resigned = resigned; }
    bool resigned() const { return m_resigned; }
    /// Hands the leadership over by the last write of its log, and is over once that has
    /// taken effect, when `done` is called. Orders go on until the write is sent.
    void hand_over(std::string leader_row, std::string incarnation,
                   std::function<void()> done);

    /// Takes a job that a node says it has accepted. `version` is that at which its row
    /// came into the store. A job that came before this epoch was loaded if it was open, so
    /// such a message, which may be late, says nothing.
    void job_announced(const AcceptedJob& job, int64_t version);
    /// Takes a cancellation that is recorded; `source` tells in the log who told of it.
    void job_canceled(const std::string& id, const char* source);
    /// Returns the state of a job, or nothing when it isn't known here. Once the lease is
    /// over a successor may have shown a later one, so only a final state is told then.
    std::optional<JobState> state_of(const std::string& id) const;
    /// Returns the workspace of a job that is known here; "" for none.
    std::string workspace_of(const std::string& id) const;
    /// Returns how many jobs of a queue have not begun, or nothing while the jobs are not
    /// loaded or once the lease is over.
    std::optional<int64_t> pending_in(const std::string& queue) const;
    /// Extends the time in which orders may be given, on the strength of the other nodes'
    /// promises not to take over.
    void set_promised_until(Millis until) { m_promised_until = until; }
    /// Returns the queues that take no jobs at present.
    const std::vector<ClosedQueue>& closed_queues() const { return m_admission.closed(); }
    /// Returns the load of each workspace of the configuration.
    std::vector<WorkspaceLoad> workspace_loads() const;
    const HeadLog& log() const { return m_log; }
    size_t open_jobs() const { return m_jobs.size(); }
    size_t known_workers() const { return m_workers.size(); }
    /// Returns how many workers there are that have answered lately.
    size_t reachable_workers() const;

    // SessionListener
    bool orders_allowed() const override;
    void call_timed_out() override;
    bool has_recent_timeouts() const override;
    bool may_renew_lease(const WorkerSession& session) const override;
    void worker_lost(WorkerSession& session) override;
    void report_received(WorkerSession& session, const PollReport& report,
                         ReportStage stage) override;
    void incarnation_ended(WorkerSession& session) override;
    void lease_expired(WorkerSession& session) override;
    void run_gone(WorkerSession& session, const TaskId& task, int64_t run) override;
    void fenced_off(WorkerSession& session) override;
    // HeadLogOwner
    std::optional<std::string> progress_of(const std::string& job) override;
    std::vector<std::string> unrecorded_workers(bool orders_precede) override;
    SilentWorkers silent_workers() override;
    void head_written() override;
    void early_orders_enabled() override;
    void log_fenced() override;

private:
    enum class Phase { loading, awaiting_reports, scheduling, terminated };

    /// Ends of one report that wait to be recorded.
    struct EndBatch {
        int64_t last_number = 0;
        int open = 0; ///< Jobs whose rows are not written yet.
    };
    /// What is told of in each line on load.
    struct LoadCounts {
        int64_t passes = 0;
        Millis pass_time; ///< Spent in them.
        int64_t cut_passes = 0; ///< That ended before all steps were looked at.
        int64_t steps_left = 0; ///< That those did not look at, together.
        int64_t answers_missing = 0; ///< Calls to workers that got none in their time.
    };
    /// Ends that a worker told of a job that isn't known yet.
    struct DeferredEnds {
        std::string worker;
        std::vector<EndedTask> ends;
        std::function<void()> done; ///< The worker may forget them.
        Millis received_at;
    };
    /// A job that is closed, as its row has it.
    struct ClosedJob {
        JobState state = JobState::completed;
        std::string workspace;
    };
    /// A run that was on a worker when that was lost.
    struct LostRun {
        TaskId task;
        int64_t run = 0;
        /// It is known to have been there for so long; nothing if an earlier leader started
        /// it.
        std::optional<Millis> known_runtime;
    };
    /// How a worker was lost.
    enum class Loss {
        crash, ///< Another one is in its place, or nothing listens there any more.
        silence, ///< It may be cut off.
    };
    /// Runs on a worker whose lease lapsed.
    struct LapsedRuns {
        std::vector<LostRun> runs;
        Loss loss = Loss::silence;
        bool attributed = false; ///< They are held against their tasks.
        Millis at;
    };
    /// A worker and what was given to it.
    struct Worker {
        std::unique_ptr<WorkerSession> session;
        bool listed = true;
        WorkerNumber number = 0;
        std::string rack;
        WorkerLoad load;
        std::deque<std::shared_ptr<EndBatch>> batches;
        int consecutive_faults
            = 0; ///< Failures, refusals and standing tasks since a success.
        std::string last_failed_job;
        std::set<std::string> active_suspects; ///< Suspects there, not cleared yet.
        bool isolated = false; ///< One of them is to be alone with what was there before.
        Millis last_start; ///< When it was last chosen for a task.
        std::string held_for; ///< A suspect that is to start there once that is quiet.
        Millis held_until; ///< Nothing else is started there until then.
        Millis refused_at; ///< When a refusal was last counted.
        Millis avoid_until;
        /// Smoothed logarithm of its run times against the same queues' elsewhere.
        double slowness = 0;
    };
    /// A worker that a step may use, or may be allowed to.
    struct WorkerCandidate {
        Worker* worker = nullptr;
        int fit = 0; ///< Tasks of the step for which there is room.
        int potential_fit = 0; ///< The same once less urgent tasks there have ended.
        bool second_choice = false; ///< As in WorkerRoom.
        bool slow = false; ///< Slower than others, and the step is urgent.
    };
    /// All such workers, those with the most room first.
    struct WorkerCandidates {
        std::vector<WorkerCandidate> allowed;
        std::vector<WorkerCandidate> unasked;
        std::vector<WorkerCandidate>
            refused; ///< So long ago that they may be asked about again.
        int refused_fit = 0; ///< Sum over those refused.
        int preferred_fit = 0; ///< Sum over those allowed that are no second choice.
        int fit = 0; ///< Sums over those allowed.
        int potential_fit = 0;
    };
    /// A run that may be stopped for more urgent work without losing its progress.
    struct Victim {
        TaskId id;
        Task* task = nullptr;
        Resources need;
        bool stopping = false; ///< It was told to stop already.
    };
    static bool is_better_candidate(const WorkerCandidate& left,
                                    const WorkerCandidate& right);
    static std::vector<WorkerNumber>
    worker_numbers(const std::vector<WorkerCandidate>& prospects);

    /// A step that has tasks to place.
    struct PendingStep {
        JobRecord* job = nullptr;
        Step* step = nullptr;
        int64_t slack_ms = 0;
        bool late = false; ///< It can't be done in its time any more.
        /// It needs advice, nothing of it has been placed for long, and there is room.
        bool overdue = false;
    };

    // Loading (scheduler_load.cpp).
    void read_workers();
    bool list_is_fresh() const;
    using WorkerList = DirectoryAnswer<std::vector<WorkerInfo>>;
    void workers_read(const WorkerList& answer, Millis begun);
    void loaded_table();
    void build_records();
    bool is_used(const std::string& service) const;
    // The door (scheduler_door.cpp).
    void update_admission();
    std::vector<AdviceDemand> advice_demands();
    bool awaits_advice(const JobRecord& job, const Step& step) const;
    void log_admission_changes(const std::vector<ClosedQueue>& before,
                               const std::vector<AdviceDemand>& demands) const;
    bool is_overdue(const PendingStep& candidate, bool room_is_ample);
    double free_share() const;
    void activate_when_ready();
    void job_row_seen(const StoredRow& row);
    void release_expired_doubts();
    bool awaits_unrecorded_runs(const JobRecord& job) const;
    void resolve_unrecorded(const std::string& worker);
    int64_t store_time_at(Millis time) const;

    // Lives of workers (scheduler_lives.cpp).
    void update_workers(const std::vector<WorkerInfo>& listed);
    void update_worker(const WorkerInfo& info);
    void end_replaced(const std::vector<WorkerInfo>& listed);
    void drop_unlisted(const std::string& worker);
    void end_session(Worker& worker);
    void release_tasks(Worker& worker, const char* reason, bool keep_doubts);
    void keep_unconfirmed_starts(const WorkerSession& session);
    Millis unconfirmed_until(const std::string& worker) const;
    void inherit_from_previous(const std::string& id);
    void inherit_in_doubt(const std::string& earlier, const std::string& id,
                          const std::vector<TaskId>& tasks);

    // Lost workers and what ran there (scheduler_crashes.cpp).
    std::vector<LostRun> runs_on(const Worker& worker);
    static std::optional<Millis> known_runtime(const Task& task);
    void attribute_loss(const std::vector<LostRun>& lost, const std::string& worker,
                        const char* reason, Loss loss);
    bool attribute_loss(const LostRun& run, bool alone, Suspicion worst);
    bool is_sole_suspect(const LostRun& run, const std::vector<LostRun>& lost);
    static bool is_confirmed(const CrashRecord& before, const CrashRecord& after);
    Suspicion worst_suspicion(const std::vector<LostRun>& lost);
    bool has_correlated_losses(Millis at) const;
    void schedule_verdict(const TaskId& id, Task& task);
    void note_unattributed_loss(const std::string& worker);
    bool give_up_exhausted(JobRecord& job, Step& step);
    void give_up(JobRecord& job, const TaskId& id, const char* reason);
    void note_lapsed_runs(const std::string& worker, std::vector<LostRun> lost, bool listed,
                          Loss loss);
    void attribute_lapsed_runs(const std::string& worker);
    void retract_lapsed_loss(const std::string& worker);
    void clear_if_survived(const TaskId& id, Task& task);
    // Tasks suspected of it (scheduler_suspects.cpp).
    void track_suspect(Worker& worker, const TaskId& task);
    bool is_suspect_active(const Task& task, bool wary) const;
    void refresh_suspects(Worker& worker);
    std::vector<size_t> suspects_to_try(JobRecord& job, const Step& step);
    void place_suspects(JobRecord& job, Step& step, const std::vector<size_t>& suspects,
                        std::vector<PlacementOption>& rooms);
    bool place_on_held(JobRecord& job, Step& step, size_t index);
    void hold_for(const JobRecord& job, const Step& step, size_t index,
                  const std::vector<PlacementOption>& rooms);
    Worker* held_for(const std::string& task);
    size_t best_for_suspect(const Task& task, const std::vector<PlacementOption>& rooms);
    bool may_isolate_another() const;
    bool gang_awaits_isolation(const Step& step, int needed,
                               std::vector<PlacementOption>& rooms);

    // Silent workers (scheduler_silent.cpp).
    bool store_clock_known() const;
    Millis earlier_leases_until(const std::string& worker) const;
    void note_answered(const WorkerSession& session);
    void note_session_end(const WorkerSession& session, Millis lapses_at);
    void note_unlisted();

    // Reports (scheduler_reports.cpp, scheduler_compare.cpp).
    void record_ends(Worker& worker, const PollReport& report,
                     const std::set<std::string>& changed);
    void adopt(Worker& worker, const RunningTask& running);
    void occupy_unexpected(Worker& worker, const RunningTask& running);
    void reconcile(Worker& worker, const RunningTask& running);
    void stop_unwanted(Worker& worker, const RunningTask& running);
    bool cancel_intent(const TaskId& id, Task& task);
    static bool is_late_success(const Step& step, const EndedTask& end);
    void note_progress(Worker& worker, const RunningTask& running);
    void note_progress(Task& task, const RunningTask& running);
    void release_missing(const Worker& worker);
    void release_in_doubt(const std::string& worker, const std::vector<TaskId>& tasks);
    void note_in_doubt(const JobRecord& job);
    static bool is_unrecorded_end(const Task& task, const EndedTask& end);
    bool apply_end(Worker& worker, const EndedTask& end, bool first);
    void apply_done(JobRecord& job, Step& step, Task& task);
    void apply_failure(Worker& worker, JobRecord& job, Step& step, Task& task,
                       const EndedTask& end);
    static bool count_failure(JobRecord& job, Step& step, Task& task, int64_t run);
    void batch_recorded(const std::string& worker, const std::shared_ptr<EndBatch>& batch);
    void learn_speed(Worker& worker, const JobRecord& job, const Step& step,
                     const Task& task);
    bool is_slow(const Worker& worker) const;
    void note_fault(Worker& worker, const std::string& job);
    bool avoidance_limit_reached(const Worker& worker) const;
    void note_refusal(Worker& worker, Millis chosen_at);
    void count_fault(Worker& worker);

    // What is told of jobs that aren't known yet (scheduler_unknown_jobs.cpp).
    void defer_ends(const std::string& job, const Worker& worker, const PollReport& report,
                    std::function<void()> done);
    void apply_deferred_ends(const std::string& job);
    void drop_deferred_ends();
    void attach_stray_runs(JobRecord& job);

    // Jobs (scheduler_jobs.cpp).
    void job_accepted(const AcceptedJob& job, int64_t version, const char* source);
    void add_job(std::unique_ptr<JobRecord> job);
    void begin_due_repeats(JobRecord& job);
    void after_step_change(JobRecord& job, Step& step);
    void close_if_final(JobRecord& job);
    void stop_placed(JobRecord& job);
    void archive_closed();
    void archived(const std::vector<std::string>& ids);
    void job_recorded(const std::string& id);
    void record(JobRecord& job, std::function<void()> done = {});
    JobRecord* find_job(const std::string& id);

    // Placing (scheduler_pass.cpp, scheduler_advice.cpp, scheduler_gangs.cpp,
    // scheduler_preempt.cpp, scheduler_start.cpp).
    void schedule_pass();
    void pass();
    std::vector<PendingStep> pending_steps();
    static int64_t slack_ms(JobRecord& job, int64_t now_ms);
    static int64_t allowed_ms(JobRecord& job);
    void place(const PendingStep& candidate);
    size_t place_until(const std::vector<PendingStep>& waiting, size_t first, Millis end);
    void schedule_recheck();
    bool gang_may_be_placed(const Step& step) const;
    std::vector<WorkerNumber> second_choices(const Step& step) const;
    bool avoids_second_choices(const JobRecord& job, const Step& step) const;
    std::vector<PlacementOption> placement_options(const JobRecord& job, const Step& step,
                                                   int needed);
    PlacementOption option_on(const Worker& worker, const Step& step,
                              const std::string& step_name) const;
    bool is_eligible(const Worker& worker, const JobRecord& job, const Step& step) const;
    WorkerCandidates worker_candidates(const JobRecord& job, const Step& step, int needed);
    static void sort_top(std::vector<WorkerCandidate>& prospects);
    int service_number(const std::string& service);
    int new_task_limit(const Worker& worker) const;
    void refresh_row(const Worker& worker);
    void refresh_rows();
    static void classify(WorkerCandidates& found, WorkerCandidate prospect,
                         const Permission* known, Millis now);
    static bool any_fit(const std::vector<WorkerCandidate>& prospects);
    void reserve(Worker& worker, const Step& step);
    void renew_reservations(const std::vector<PendingStep>& waiting);
    void keep(Step& step, const std::vector<WorkerCandidate>& workers, Millis span);
    Millis min_ticket_lifetime() const;
    bool choose_for_gang(const Step& step, std::vector<WorkerCandidate>& allowed,
                         int needed, bool room_now);
    bool tickets_last(const Step& step, const std::vector<WorkerCandidate>& workers) const;
    void prepare_gang(const JobRecord& job, Step& step, int needed);
    bool preempt_for(const JobRecord& job, const Step& step,
                     const std::vector<WorkerCandidate>& kept, int needed);
    bool may_preempt(const JobRecord& job) const;
    bool preempt_for_independent(const JobRecord& job, Step& step, WorkerCandidates& found,
                                 int needed);
    std::vector<Victim> victims_on(const Worker& worker, int priority);
    void ask_about(const JobRecord& job, Step& step, int needed,
                   const WorkerCandidates& found,
                   const std::vector<WorkerCandidate>& unknown);
    void note_query_cost(const AdviceQuery& question);
    bool apply_advice(StepAdvice& advice, const std::vector<WorkerNumber>& asked,
                      const std::vector<WorkerTicket>& tickets, Millis now, Millis expires);
    void ask_for_independent(const JobRecord& job, Step& step, int needed);
    static int min_workers_to_ask(const JobRecord& job, const Step& step);
    bool advice_queue_full(const JobRecord& job) const;
    void ask(const JobRecord& job, Step& step, std::vector<WorkerNumber> workers);
    void log_wait_reason(const JobRecord& job, Step& step, Millis now);
    void advice_received(const std::string& job, int repeat, int step,
                         const std::vector<WorkerNumber>& asked, Millis asked_at,
                         const AdviceReply& reply);
    void record_intent(JobRecord& job, Step& step, const std::vector<size_t>& tasks,
                       const std::vector<Assignment>& shares);
    void send_orders(const std::string& job, int repeat, int step, int64_t run,
                     bool recorded);
    void start_task(JobRecord& job, Step& step, int index);
    void note_begun(JobRecord& job);
    void start_completed(const TaskId& id, const std::string& worker, int64_t run,
                         StartResult result, OrderStatus status);

    // Bounds of workspaces (scheduler_bounds.cpp).
    callers::WorkspaceNumber workspace_number_of(const TaskId& task);
    bool is_beyond_share(const JobRecord& job);
    void update_bounds();
    void count_usage();
    void count_in_doubt();
    void keep_in_doubt_charges(const JobRecord& job);
    int tasks_within_bound(const JobRecord& job, Step& step, int needed);
    void discharge_all(const Worker& worker);

    // Upkeep (scheduler_tick.cpp).
    void tick();
    void report_load();
    void observe_phase(const char* phase);
    void check_gang(JobRecord& job, Step& step, Millis now);
    void check_stalled(JobRecord& job, Step& step, Millis now);
    void leave_draining(JobRecord& job, Step& step);
    void check_listed(JobRecord& job, Step& step);

    bool uses(Mechanism mechanism) const { return m_context.mechanisms.uses(mechanism); }
    Worker* find_worker(const std::string& id);
    const Worker* find_worker(const std::string& id) const;
    void occupy(Worker& worker, const TaskId& task, int64_t run, const StepSpec& spec,
                const JobRecord* job);
    void vacate(Worker& worker, const TaskId& task, int64_t run);
    void release(Task& task);
    void depose();

    SchedulerContext m_context;
    Claim m_claim;
    std::function<void()> m_deposed;
    Phase m_phase = Phase::loading;
    bool m_resigned = false;
    Millis m_promised_until;
    HeadLog m_log;
    int64_t m_last_run; ///< Run ids rise over all epochs.

    int m_loading = 0; ///< Tables that are being read.
    TableReader m_job_reader;
    TableReader m_progress_reader;
    int64_t m_jobs_version = -1; ///< The jobs table is known up to here.
    std::vector<StoredRow> m_loaded_jobs;
    std::vector<StoredRow> m_loaded_progress;
    Millis m_load_begun;
    JobFeed m_feed; ///< Hand-ins and cancellations, from the load on.
    bool m_workers_known = false;
    Millis m_workers_as_of; ///< The present list of workers is no older.
    bool m_stale_list_logged = false;
    bool m_reading_workers = false;
    Millis m_activate_by;
    /// Workers on which earlier leaders may have started tasks without a record, and which
    /// have not reported to this one.
    std::set<std::string> m_unresolved;
    /// What an earlier leader started without us has ended by then, wherever it was.
    Millis m_earlier_leases_until;
    /// Of workers that have not answered this leader, or not again since their sessions
    /// ended: when their leases are over, as earlier leaders or those sessions tell.
    SilentWorkers m_silent_workers;
    /// Workers that answer and wait for a head row that does not name them as silent.
    std::set<std::string> m_awaiting_lease;
    /// Tasks that earlier leaders recorded on a worker, until it reports or none of them
    /// can run there any more.
    std::map<std::string, std::vector<TaskId>> m_in_doubt;
    /// Of lives that are over: when tasks have surely ended of which the next life of the
    /// name may have taken the orders.
    std::map<std::string, Millis> m_unconfirmed_until;
    /// Lives after which another one of their name answered, as long as the list names
    /// them.
    std::set<std::string> m_ended_incarnations;
    /// Workers that were lost lately with nothing on trial there, and when.
    std::map<std::string, Millis> m_unattributed_losses;
    /// By life of a worker, of those whose lease has lapsed lately.
    std::map<std::string, LapsedRuns> m_lapsed_runs;
    /// The store's time when no earlier leader can start anything any more.
    int64_t m_earlier_leaders_until_ms = 0;

    std::map<std::string, std::unique_ptr<JobRecord>>
        m_jobs; ///< Those that are not closed.
    std::map<std::string, ClosedJob> m_closed; ///< Final states, recorded.
    std::map<std::string, std::vector<DeferredEnds>>
        m_deferred_ends; ///< By job, not known yet.
    std::set<std::string> m_early_cancels; ///< Of jobs that are not known yet.
    std::set<std::string> m_stray_jobs; ///< Not known when runs of theirs were found.
    std::map<std::string, std::vector<std::string>> m_to_archive; ///< By part.
    std::set<std::string> m_archived; ///< Their progress rows are not removed yet.
    Millis m_archive_tried;
    std::map<std::string, Worker> m_workers; ///< By id of the life.
    CapacityTable m_capacity_table; ///< What each of them has to offer.
    std::vector<Worker*> m_workers_by_number; ///< By number; none for one that is gone.
    std::vector<std::string> m_services; ///< By the numbers of the table.
    Millis m_capacity_refreshed_at; ///< When all rows were last brought up to date.
    /// Above the fences of all sessions that have ended, since one number is bounded and a
    /// list of the workers that may come back isn't. It rises by one with each that ends
    /// and while an order waits for its answer.
    int64_t m_ended_fence = 0;
    std::map<std::string, double>
        m_allowed_share; ///< By queue, of the workers asked about.
    std::map<std::string, double>
        m_query_ms; ///< By queue, the advisor's time for a question, smoothed.
    QueueAdmission m_admission;
    callers::UsageLedger m_usage; ///< What each workspace has running.
    std::map<callers::WorkspaceNumber, callers::JobBudget> m_budgets;
    std::shared_ptr<const Configuration> m_bounds_from; ///< Whose bounds the ledger has.
    /// Of jobs that are closed, tasks that may yet run on workers that are silent: what is
    /// charged for each, by name.
    std::map<std::string, Allocation> m_closed_in_doubt;
    std::map<std::string, double> m_estimate_error; ///< By queue, smoothed logarithm.
    std::optional<Millis>
        m_answer_missed_at; ///< When a worker last left a call unanswered.
    Millis m_load_reported;
    bool m_pass_due = false;
    bool m_recheck_due = false; ///< A pass will follow for steps that wait for room.
    LoadCounts m_load_counts; ///< Since load was last reported.
    Millis m_last_pass_time; ///< Spent in the last one.
    Millis m_pass_begun; ///< The present or last pass; the time that its choices go by.
    size_t m_steps_waiting = 0; ///< In the last pass.
    WaitLogLimiter m_explanations;
    int m_gangs_prepared = 0; ///< In the present pass.
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
