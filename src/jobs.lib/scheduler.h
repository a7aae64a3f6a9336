// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Leader-side scheduler for one epoch. It loads the state recorded by earlier leaders,
/// fences the workers, and then starts, monitors and ends tasks until it is deposed.

#pragma once

#include "advice_account.h"
#include "advice_claims.h"
#include "advice_pool.h"
#include "capacity_index.h"
#include "head_log.h"
#include "job_feed.h"
#include "job_record.h"
#include "lifetime.h"
#include "placement.h"
#include "query_plan.h"
#include "queue_admission.h"
#include "scheduler_context.h"
#include "silent_workers.h"
#include "store_clock.h"
#include "wait_log_limiter.h"
#include "worker_load.h"
#include "worker_losses.h"
#include "worker_session.h"

#include <pathport/callers/job_budget.h>
#include <pathport/event_loop.h>
#include <pathport/jobs/job_node.h>
#include <pathport/jobs/job_store.h>
#include <pathport/jobs/mechanisms.h>
#include <pathport/jobs/worker_client.h>
#include <pathport/metrics.h>
#include <pathport/shortage/prospect.h>
#include <pathport/shortage/room_forecast.h>
#include <pathport/shortage/start_margin.h>
#include <pathport/shortage/victim.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pathport::jobs {

/// After the avoidance period, a worker runs one task at a time for this long.
constexpr Millis probation_time { 2500 };

/// Upper bound on the time between choosing a worker with free capacity and the start
/// order's arrival: the store write and the order.
constexpr Millis max_start_latency { 350 };
/// Nothing is placed while the known cancellations are older than this.
constexpr Millis max_feed_age { 2200 };
/// Workers stay reserved for at most this long while an advisor query is outstanding.
constexpr Millis max_advice_wait { 3000 };

/// The scheduler of one epoch.
class Scheduler : public SessionListener, public HeadLogOwner {
public:
    /// `deposed` is called once, when another leader has taken over.
    Scheduler(SchedulerContext parts, const Claim& claim, std::function<void()> deposed);
    ~Scheduler() override;

    /// Starts loading the recorded state, then polls the workers, then schedules.
    void begin();
    /// Returns whether loading has finished and tasks are being scheduled.
    bool scheduling() const { return m_phase == Phase::scheduling; }
    /// Records whether the leadership is offered to other nodes. Orders continue until
    /// another node has taken it; the log and the workers' fences stop them then.
    void set_resigned(bool resigned) { m_resigned = resigned; }
    bool resigned() const { return m_resigned; }
    /// Hands the leadership over with the last write of the log. Calls `done` and ends this
    /// scheduler once that write has taken effect. Orders continue until the write is sent.
    void hand_over(std::string leader_row, std::string incarnation,
                   std::function<void()> done);
    /// Withdraws hand_over(). Returns false if its write has been sent.
    bool withdraw_successor() { return m_log.withdraw_successor(); }

    /// Adds a job that a node reports as accepted. `version` is the store version at which
    /// its row was written. Open jobs from before this epoch were loaded from the store, so
    /// an announcement of one, which may be late, is ignored.
    void job_announced(const AcceptedJob& job, int64_t version);
    /// Applies a recorded cancellation; `source` names its origin in the log.
    void job_canceled(const std::string& id, const char* source);
    /// Returns the state of a job, or nothing if the job is unknown here. Once the lease
    /// has ended a successor may have published a later state, so only final states are
    /// returned then.
    std::optional<JobState> state_of(const std::string& id) const;
    /// Returns the workspace of a known job, or "" if it has none.
    std::string workspace_of(const std::string& id) const;
    /// Returns the number of jobs of a queue that have not begun, as of some milliseconds
    /// ago, or nothing while jobs are being loaded or once the lease has ended.
    std::optional<int64_t> pending_in(const std::string& queue);
    /// Extends the time in which orders may be given, based on the other nodes' promises
    /// not to take over.
    void set_promised_until(Millis until) { m_promised_until = until; }
    /// Called when the operators' drained failure domains have changed.
    void drains_changed();
    /// Returns the queues that accept no jobs at present.
    const std::vector<ClosedQueue>& closed_queues() const { return m_admission.closed(); }
    /// Returns the queues whose jobs wait long for capacity; none if that was determined
    /// too long ago.
    std::vector<LimitedQueue> limited_queues() const;
    /// Returns the time since that was determined.
    Millis limited_queues_age() const { return m_context.loop.now() - m_limited_at; }
    /// Returns the load of each workspace in the configuration.
    std::vector<WorkspaceLoad> workspace_loads() const;
    const HeadLog& log() const { return m_log; }
    size_t open_jobs() const { return m_jobs.size(); }
    size_t known_workers() const { return m_workers.size(); }
    /// Returns the number of workers that have answered recently.
    size_t reachable_workers() const;

    // SessionListener
    bool orders_allowed() const override;
    void call_timed_out() override;
    bool has_recent_timeouts() const override;
    Millis record_time() const override { return m_log.record_time(); }
    bool may_renew_lease(const WorkerSession& session) const override;
    void worker_lost(WorkerSession& session) override;
    void report_received(WorkerSession& session, const PollReport& report,
                         ReportStage stage) override;
    void incarnation_ended(WorkerSession& session, EndEvidence evidence) override;
    void lease_expired(WorkerSession& session) override;
    void run_gone(WorkerSession& session, const TaskId& task, int64_t run) override;
    void fenced_off(WorkerSession& session) override;
    // HeadLogOwner
    std::optional<std::string> progress_of(const std::string& job) override;
    std::vector<std::string> unrecorded_workers(bool early_orders,
                                                size_t max_bytes) override;
    SilentWorkers silent_workers() override;
    void head_written() override;
    void early_orders_enabled() override;
    void log_fenced() override;

private:
    enum class Phase { loading, awaiting_reports, scheduling, terminated };

    /// Ended tasks of one report that are being recorded.
    struct EndBatch {
        int64_t last_number = 0;
        int open = 0; ///< Jobs whose rows are not yet written.
    };
    /// Counters for the periodic "load" log event.
    struct LoadCounts {
        int64_t passes = 0;
        Millis pass_time; ///< Time spent in passes.
        /// Passes that stopped at their time limit before reaching every step.
        int64_t cut_passes = 0;
        int64_t steps_left = 0; ///< Steps that those passes did not reach, in total.
        int64_t steps_tried = 0;
        /// Workers whose capacity or verdicts were looked at, once for each step.
        int64_t workers_examined = 0;
        int64_t queries = 0; ///< Queries given to the advisor.
        int64_t answers_missing = 0; ///< Calls to workers that timed out.
    };
    /// Ended tasks reported by a worker for a job that is not known yet.
    struct DeferredEnds {
        std::string worker;
        std::vector<EndedTask> ends;
        std::function<void()> done; ///< Lets the worker discard them.
        Millis received_at;
    };
    /// A closed job, as recorded in its row.
    struct ClosedJob {
        JobState state = JobState::completed;
        std::string workspace;
    };
    /// A worker and the tasks placed on it.
    struct Worker {
        std::unique_ptr<WorkerSession> session;
        bool listed = true;
        WorkerNumber number = 0;
        std::string rack;
        WorkerLoad load;
        std::deque<std::shared_ptr<EndBatch>> batches;
        /// Failures, refusals and stalled tasks since the last success.
        int consecutive_faults = 0;
        bool has_succeeded = false; ///< A task has ended well there, under this leader.
        std::string last_failed_job;
        /// Suspects running there that are not cleared yet.
        std::set<std::string> active_suspects;
        /// No other task may start there while a likely suspect runs.
        bool isolated = false;
        Millis last_start; ///< When it was last chosen for a task.
        /// A suspect that is to start there once no other run is recent.
        std::string reserved_for;
        Millis reserved_until; ///< No other task is started there until then.
        Millis refused_at; ///< When a refusal was last counted.
        Millis avoid_until;
        /// Smoothed logarithm of the ratio between its run times and those of the same
        /// queues on other workers.
        double slowness = 0;
    };
    /// A worker that a step may use, or that the advisor may allow it to use.
    struct WorkerCandidate {
        Worker* worker = nullptr;
        int fit = 0; ///< Tasks of the step that fit in its free capacity.
        bool has_room = false; ///< One fits there if claims of queries are disregarded.
        int potential_fit = 0; ///< The same if all lower-priority tasks there had ended.
        /// The same if those of them had ended that may be stopped.
        int stoppable_fit = 0;
        bool second_choice = false; ///< As in PlacementOption.
        bool slow = false; ///< Slower than others, and the step is urgent.
    };
    /// All such workers; those allowed come with the largest free capacity first.
    struct WorkerCandidates {
        std::vector<WorkerCandidate> allowed;
        std::vector<WorkerCandidate> unasked;
        /// Refused long enough ago to ask about again.
        std::vector<WorkerCandidate> refused;
        int refused_fit = 0; ///< Sum over the refused workers.
        /// Sum over the allowed workers that are not second choices.
        int preferred_fit = 0;
        int fit = 0; ///< Sums over the allowed workers.
        int potential_fit = 0;
        int stoppable_fit = 0;
    };
    /// A run that can be preempted without losing its progress.
    struct Victim {
        TaskId id;
        Task* task = nullptr;
        Resources need;
        bool stopping = false; ///< It has already been told to stop.
        shortage::VictimCost cost;
    };
    static bool is_better_candidate(const WorkerCandidate& left,
                                    const WorkerCandidate& right);
    static bool is_more_stoppable(const WorkerCandidate& left,
                                  const WorkerCandidate& right);
    static bool is_stoppable(const StepSpec& spec);
    static std::vector<WorkerNumber>
    worker_numbers(const std::vector<WorkerCandidate>& candidates);

    /// Tasks of a step that fit into the free capacity, and the workers that take them.
    struct Fit {
        int64_t tasks = 0;
        int64_t workers = 0;
    };
    /// How many further repeats of a job could start.
    struct RepeatRoom {
        /// A step that depends on no other, over all repeats in progress.
        struct StepRoom {
            int64_t count = 0; ///< Tasks in each repeat.
            int64_t waiting = 0;
            int64_t fit = 0; ///< Tasks that the free capacity holds.
        };
        std::vector<StepRoom> steps;
        size_t bytes = 0; ///< Of the progress row that the repeats in progress may take.
        size_t repeat_bytes = 0; ///< That one more may take.

        /// Returns whether a task of the next repeat would be the first to wait or could
        /// start.
        bool has_start() const;
        void take_repeat();
    };

    /// A step that has tasks to place.
    struct PendingStep {
        PendingStep(JobRecord* its_job, Step* its_step)
            : job(its_job)
            , step(its_step)
        {
        }

        JobRecord* job;
        Step* step;
        shortage::Deadline deadline;
        shortage::Prospect prospect = shortage::Prospect::in_time;
        /// It needs advice, has had nothing placed for a long time, and capacity is
        /// available.
        bool overdue = false;
    };

    // Loading (scheduler_load.cpp).
    void read_workers();
    bool list_is_fresh() const;
    using WorkerList = DirectoryAnswer<std::vector<WorkerInfo>>;
    void workers_read(const WorkerList& answer, Millis begun);
    void table_loaded();
    void report_withheld_orders();
    void build_records();
    bool is_used(const std::string& service) const;
    // Admission of jobs to queues (scheduler_admission.cpp).
    void update_admission();
    void update_room_forecast();
    void discard_room_forecast();
    void note_processors();
    void note_waiting_work();
    void note_waiting_repeats(const JobRecord& job, shortage::WaitingWork work,
                              double estimate_factor);
    void publish_limited_queues();
    double estimate_factor(const std::string& queue) const;
    std::vector<AdviceDemand> advice_demands();
    bool awaits_advice(const JobRecord& job, const Step& step) const;
    void log_admission_changes(const std::vector<ClosedQueue>& before,
                               const std::vector<AdviceDemand>& demands) const;
    bool is_overdue(const PendingStep& pending, bool capacity_is_ample);
    double free_share() const;
    bool capacity_is_ample() const;
    void activate_when_ready();
    void job_row_seen(const StoredRow& row);
    void release_expired_in_doubt();
    bool awaits_unrecorded_runs(const JobRecord& job) const;
    void resolve_unrecorded(const std::string& worker);
    int64_t store_time_at(Millis time) const;

    // Appearance and end of worker incarnations (scheduler_worker_lifecycle.cpp).
    void update_workers(const std::vector<WorkerInfo>& listed);
    void update_worker(const WorkerInfo& info);
    void end_replaced(const std::vector<WorkerInfo>& listed);
    bool lacks_start_time_of_known(const std::string& id) const;
    void drop_unlisted(const std::string& worker);
    void end_session(Worker& worker);
    void release_tasks(Worker& worker, const char* reason, bool keep_in_doubt);
    void keep_unconfirmed_starts(const WorkerSession& session);
    Millis unconfirmed_until(const std::string& worker) const;
    void inherit_from_previous(const std::string& id);
    void inherit_in_doubt(const std::string& earlier, const std::string& id,
                          const std::vector<TaskId>& tasks);

    // Lost workers and the runs lost with them (scheduler_crashes.cpp).
    std::vector<LostRun> runs_on(const Worker& worker, Millis lost_by);
    std::vector<LostRun> attributable_runs(const Worker& worker, Millis lost_by);
    void attribute_loss(const std::vector<LostRun>& lost, const std::string& worker,
                        const char* reason, Loss loss);
    bool attribute_loss(const LostRun& run, const std::string& worker, bool sole_suspect,
                        Suspicion worst);
    bool is_sole_suspect(const LostRun& run, const std::vector<LostRun>& lost);
    static bool is_proven_cause(const CrashRecord& before, const CrashRecord& after);
    static CrashedRun recorded_loss(const LostRun& run, const std::string& worker);
    Suspicion worst_suspicion(const std::vector<LostRun>& lost);
    bool has_correlated_losses(Millis at) const;
    bool losses_are_rare_without(const Step& step) const;
    void schedule_verdict(const TaskId& id, Task& task);
    void note_unattributed_loss(const std::string& worker);
    void note_explained_losses(const CrashRecord& crashes);
    bool give_up_exhausted(JobRecord& job, Step& step);
    void give_up(JobRecord& job, const TaskId& id, const char* reason);
    void note_lapsed_runs(const std::string& worker, std::vector<LostRun> lost, bool listed,
                          Loss loss);
    void note_unrecorded_loss(const std::string& worker);
    void attribute_lapsed_runs(const std::string& worker);
    void record_provisional_losses(const std::string& worker);
    std::vector<LostRun> retract_losses(const std::string& worker,
                                        const std::vector<LostRun>& runs);
    void retract_lapsed_loss(const std::string& worker);
    void clear_if_survived(const TaskId& id, Task& task);
    void refute_losses_by_end(const TaskId& id, Task& task, EndKind kind);
    // Tasks suspected of crashing workers (scheduler_suspects.cpp).
    void track_suspect(Worker& worker, const TaskId& task);
    bool is_suspect_active(const Task& task, bool step_suspect) const;
    void refresh_suspects(Worker& worker);
    std::vector<int> suspects_to_try(JobRecord& job, const Step& step);
    void place_suspects(JobRecord& job, Step& step, const std::vector<int>& suspects,
                        std::vector<PlacementOption>& options);
    bool place_on_reserved(JobRecord& job, Step& step, int index);
    void reserve_for_suspect(const JobRecord& job, const Step& step, int index,
                             const std::vector<PlacementOption>& options);
    Worker* reserved_for(const std::string& task);
    size_t best_for_suspect(const Task& task, const std::vector<PlacementOption>& options);
    bool may_isolate_another() const;
    bool gang_awaits_isolation(const Step& step, int needed,
                               std::vector<PlacementOption>& options);

    // Silent workers (scheduler_silent.cpp).
    bool store_clock_known() const;
    Millis earlier_leases_until(const std::string& worker) const;
    void note_answered(const WorkerSession& session);
    void note_session_end(const WorkerSession& session, Millis expires_at);
    void note_unlisted();

    // Workers that get no new tasks (scheduler_drains.cpp).
    bool accepts_tasks(const Worker& worker) const;
    bool is_domain_drained(const std::string& domain) const;
    void refresh_drains();

    // Reports (scheduler_reports.cpp, scheduler_reconcile.cpp).
    void record_ends(Worker& worker, const PollReport& report,
                     const std::set<std::string>& changed);
    void adopt(Worker& worker, const RunningTask& running);
    void occupy_unexpected(Worker& worker, const RunningTask& running);
    void reconcile(Worker& worker, const RunningTask& running);
    void stop_unwanted(Worker& worker, const RunningTask& running);
    bool cancel_intent(const TaskId& id, Task& task);
    static bool is_late_success(const Step& step, const EndedTask& end);
    void note_progress(Worker& worker, const RunningTask& running);
    void note_progress(JobRecord& job, Task& task, const RunningTask& running,
                       Millis polled_at);
    void release_missing(const Worker& worker);
    void release_in_doubt(const std::string& worker, const std::vector<TaskId>& tasks);
    void note_in_doubt(const JobRecord& job);
    static bool is_unrecorded_end(const Task& task, const EndedTask& end);
    bool apply_end(Worker& worker, const EndedTask& end, bool first);
    void apply_done(Step& step, int index);
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

    // Reports about jobs that are not known yet (scheduler_unknown_jobs.cpp).
    void defer_ends(const std::string& job, const Worker& worker, const PollReport& report,
                    std::function<void()> done);
    void apply_deferred_ends(const std::string& job);
    void drop_deferred_ends();
    void attach_stray_runs(JobRecord& job);

    // Jobs (scheduler_jobs.cpp).
    void job_accepted(const AcceptedJob& job, int64_t version, const char* source);
    void add_job(std::unique_ptr<JobRecord> job);
    void after_step_change(JobRecord& job, Step& step);
    void close_if_final(JobRecord& job);
    void stop_placed(JobRecord& job);
    void archive_closed();
    void archived(const std::vector<std::string>& ids);
    void job_recorded(const std::string& id);
    void record(JobRecord& job, std::function<void()> done = {});
    std::set<std::string> workers_awaiting_record() const;
    JobRecord* find_job(const std::string& id);
    Step* find_step(const std::string& job, int repeat, int index);

    // Due repeats of scheduled jobs (scheduler_repeats.cpp).
    bool begin_due_repeats();
    int begin_due_repeats(JobRecord& job);
    bool has_due_repeat(const JobRecord& job) const;
    int64_t due_repeats(const JobRecord& job) const;
    RepeatRoom room_for_repeats(const JobRecord& job);
    Fit fit_up_to(const JobRecord& job, const Step& step, int64_t wanted);
    void begin_repeats_of_run(const TaskId& task);
    void note_repeats_behind(JobRecord& job);

    // Placement (scheduler_pass.cpp, scheduler_advice.cpp, scheduler_gangs.cpp,
    // scheduler_preempt.cpp, scheduler_start.cpp).
    void schedule_pass();
    void pass();
    std::vector<PendingStep> pending_steps();
    int64_t slack_ms(JobRecord& job, int64_t now_ms) const;
    int64_t waited_ms(const JobRecord& job, int64_t now_ms) const;
    static int64_t allowed_ms(JobRecord& job);
    Resources capacity_of(const std::string& service) const;
    bool is_late(const JobRecord& job) const;
    shortage::Deadline deadline_of(JobRecord& job, int64_t now_ms) const;
    void note_completion(JobRecord& job);
    bool may_start(const PendingStep& pending) const;
    bool only_awaits_advisor(const JobRecord& job, const Step& step) const;
    void note_advisor_wait(const JobRecord& job, Step& step) const;
    void place(const PendingStep& pending);
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
    // Search for workers (scheduler_candidates.cpp).
    struct CandidateSearch;
    WorkerCandidates worker_candidates(const JobRecord& job, const Step& step, int needed);
    std::vector<WorkerNumber> allowed_with_room(const Step& step,
                                                const CapacityIndex& index);
    std::vector<WorkerNumber> refused_with_room(const Step& step,
                                                const CapacityIndex& index);
    std::vector<WorkerNumber>
    known_in(const Step& step, const CapacityIndex& index,
             const std::function<bool(const Permission&)>& matches);
    void add_known(const CandidateSearch& search, WorkerCandidates& found);
    void add_unasked(const CandidateSearch& search, WorkerCandidates& found);
    void add_unadvised(const CandidateSearch& search, WorkerCandidates& found);
    WorkerCandidate evaluate(const CandidateSearch& search, WorkerNumber number);
    const WorkerPool& pool_for(const JobRecord& job, const Step& step);
    bool has_label_for(const Step& step, WorkerNumber number) const;
    bool visit_first(WorkerNumber number);
    QueryPlan query_plan(const JobRecord& job, const Step& step, int needed,
                         const WorkerCandidates& found);
    static void sort_top(std::vector<WorkerCandidate>& candidates);
    int service_number(const std::string& service);
    void note_examined(size_t workers);
    int new_task_limit(const Worker& worker) const;
    CapacityRow row_of(const Worker& worker);
    void refresh_row(const Worker& worker);
    void update_pools(const Worker& worker);
    void refresh_rows();
    static void classify(WorkerCandidates& found, WorkerCandidate candidate,
                         const Permission* known, Millis now);
    static bool any_fit(const std::vector<WorkerCandidate>& candidates);
    void reserve(Worker& worker, const Step& step);
    void renew_reservations(const std::vector<PendingStep>& waiting);
    void extend_reservation(Step& step, const std::vector<WorkerCandidate>& workers,
                            Millis span);
    Millis min_ticket_lifetime() const;
    bool choose_for_gang(const Step& step, std::vector<WorkerCandidate>& allowed,
                         int needed, int WorkerCandidate::*obtainable, bool capacity_free);
    static std::vector<WorkerNumber>
    without_ticket_until(const Step& step, const std::vector<WorkerCandidate>& workers,
                         Millis until);
    bool tickets_outlast_preemption(const Step& step,
                                    const std::vector<WorkerCandidate>& workers) const;
    GangWait prepare_gang(const JobRecord& job, Step& step, int needed);
    bool preempt_for(const JobRecord& job, const Step& step,
                     const std::vector<WorkerCandidate>& reserved_workers, int needed);
    bool may_preempt(const JobRecord& job) const;
    bool preempt_for_independent(const JobRecord& job, Step& step, WorkerCandidates& found,
                                 int needed);
    std::vector<Victim> victims_on(const Worker& worker, int priority);
    bool ends_soon(const Task& task) const;
    bool can_stop_enough(const JobRecord& job, const WorkerCandidates& found,
                         int needed) const;
    void ask_about(const JobRecord& job, Step& step, int needed,
                   const WorkerCandidates& found, std::vector<WorkerCandidate> unknown);
    void note_query_cost(const AdviceQuery& query);
    bool apply_advice(StepAdvice& advice, const std::vector<WorkerNumber>& asked,
                      const std::vector<WorkerTicket>& tickets, Millis now, Millis expires);
    void ask_for_independent(const JobRecord& job, Step& step, int needed);
    static int min_workers_to_ask(const JobRecord& job, const Step& step);
    int free_query_places(const Queue& queue) const;
    bool hold_back_if_full(const JobRecord& job, Step& step) const;
    // Claims of queries on free capacity (scheduler_claims.cpp).
    void collect_claims(const std::vector<PendingStep>& waiting);
    void claim_for(const JobRecord& job, const Step& step);
    void advance_held_back(std::vector<PendingStep>& waiting);
    Resources capacity_to_ask_about(WorkerNumber worker, int rank,
                                    const Resources& free) const;
    void choose_longest_waiting(const std::vector<PendingStep>& waiting);
    bool asks_regardless(const Step& step) const;
    void note_advisor_answer(const std::string& queue, double cost_ms, bool answered,
                             Step* step);
    void note_advisor_use(const JobRecord& job, Step& step);
    AdvisorTime advisor_time_since_report();
    void ask(const JobRecord& job, Step& step, std::vector<WorkerNumber> workers);
    static Millis longest_answer_time(const JobRecord& job);
    void send_query(const JobRecord& job, Step& step, std::vector<WorkerNumber> workers);
    static void set_retry_delay(StepAdvice& advice, Millis now);
    void log_wait_reason(JobRecord& job, Step& step, Millis now);
    void advice_received(const std::string& job, int repeat, int step,
                         const std::vector<WorkerNumber>& asked, Millis asked_at,
                         const AdviceReply& reply);
    void record_intent(JobRecord& job, Step& step, const std::vector<int>& tasks,
                       const std::vector<Assignment>& assignments);
    void send_orders(const std::string& job, int repeat, int step, int64_t run,
                     bool recorded);
    void start_suspect(const TaskId& id, int64_t run, Millis due_at);
    void withdraw_intent(const TaskId& id, Task& task);
    bool cancellations_known() const;
    void start_task(JobRecord& job, Step& step, int index);
    void note_begun(JobRecord& job);
    void note_start_confirmed(JobRecord& job, Task& task, const std::string& worker,
                              int64_t run);
    void start_completed(const TaskId& id, const std::string& worker, int64_t run,
                         StartResult result, OrderStatus status);

    // Workspace bounds (scheduler_bounds.cpp).
    callers::WorkspaceNumber workspace_number_of(const TaskId& task);
    bool is_beyond_share(const JobRecord& job);
    void update_bounds();
    void count_usage();
    void count_in_doubt();
    void keep_in_doubt_charges(const JobRecord& job);
    int tasks_within_bound(const JobRecord& job, Step& step, int needed);
    void discharge_all(const Worker& worker);

    // Periodic checks (scheduler_tick.cpp).
    void tick();
    void report_load();
    void report_memory();
    void observe_phase(const char* phase);
    void check_gang(JobRecord& job, Step& step, Millis now);
    void check_stalled(JobRecord& job, Step& step, Millis now);
    void stop_on_draining(JobRecord& job, Step& step);
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
    int64_t m_last_run; ///< Run ids increase across all epochs.

    int m_loading = 0; ///< Tables still being read.
    TableReader m_job_reader;
    TableReader m_progress_reader;
    int64_t m_jobs_version = -1; ///< Version up to which the jobs table has been read.
    std::vector<StoredRow> m_loaded_jobs;
    std::vector<StoredRow> m_loaded_progress;
    Millis m_load_begun;
    Millis m_orders_allowed_at; ///< As of the last tick; at first, when loading began.
    Millis m_withheld_reported; ///< When orders that are not sent were logged last.
    JobFeed m_feed; ///< Accepted and cancelled jobs since the load.
    bool m_workers_known = false;
    Millis m_workers_as_of; ///< The current list of workers is at least this recent.
    bool m_stale_feed_logged = false; ///< The present gap in the feed has been logged.
    bool m_stale_list_logged = false;
    bool m_reading_workers = false;
    Millis m_activate_by;
    /// Workers that have not reported to this leader and on which earlier leaders may have
    /// started tasks without recording them.
    std::set<std::string> m_unresolved;
    /// One of these was lost, which has been taken into account.
    bool m_unrecorded_loss_noted = false;
    /// By then every run that an earlier leader started without this one knowing of it has
    /// ended.
    Millis m_earlier_leases_until;
    /// Lease ends of workers that have not answered this leader, or not since their session
    /// ended, as known from earlier leaders or from those sessions.
    SilentWorkers m_silent_workers;
    std::set<std::string> m_silent_sessions; ///< Workers whose sessions are silent.
    /// Workers that answer but wait for a head row that no longer lists them as silent.
    std::set<std::string> m_awaiting_lease;
    /// Tasks that earlier leaders recorded on a worker, kept until the worker reports or
    /// none of them can be running there any more.
    std::map<std::string, std::vector<TaskId>> m_in_doubt;
    /// For ended incarnations: when every task has ended whose start order the next
    /// incarnation may have received instead.
    std::map<std::string, Millis> m_unconfirmed_until;
    /// Incarnations replaced by another one of the same name, for as long as the worker
    /// list contains them.
    std::set<std::string> m_ended_incarnations;
    /// Workers lost recently while no likely suspect ran there.
    std::map<std::string, UnattributedLoss> m_unattributed_losses;
    /// Runs of workers whose lease lapsed recently, by worker incarnation.
    std::map<std::string, LapsedRuns> m_lapsed_runs;
    /// Store time from which no earlier leader can start anything any more.
    int64_t m_earlier_leaders_until_ms = 0;

    /// Jobs that are not closed.
    std::map<std::string, std::unique_ptr<JobRecord>> m_jobs;
    std::map<std::string, ClosedJob> m_closed; ///< Recorded final states.
    /// By job; the jobs are not known yet.
    std::map<std::string, std::vector<DeferredEnds>> m_deferred_ends;
    std::map<std::string, int64_t> m_pending; ///< Pending jobs by queue.
    Millis m_pending_counted_at; ///< When these were counted.
    /// Cancellations of jobs that are not known yet.
    std::set<std::string> m_early_cancels;
    /// Jobs that were unknown when runs of theirs were found.
    std::set<std::string> m_stray_jobs;
    /// By partition of the jobs table.
    std::map<std::string, std::vector<std::string>> m_to_archive;
    std::set<std::string> m_archived; ///< Jobs whose progress rows are not yet removed.
    Millis m_archive_tried;
    std::map<std::string, Worker> m_workers; ///< By incarnation id.
    /// The same workers; each report, order and answer finds its workers here.
    std::unordered_map<std::string_view, Worker*> m_workers_by_id;
    CapacityTable m_capacity_table; ///< Capacity of each of them.
    WorkerPools m_pools; ///< The same, for searches.
    /// By worker number: the last search that visited the worker.
    std::vector<uint64_t> m_visited_in;
    uint64_t m_search = 0; ///< Number of searches.
    /// By number; null for workers that are gone.
    std::vector<Worker*> m_workers_by_number;
    std::vector<std::string> m_services; ///< By service number as used in the table.
    /// By service number: capacity of the workers that accept tasks.
    std::vector<Resources> m_service_capacity;
    Millis m_capacity_refreshed_at; ///< When all rows were last refreshed.
    /// The drained failure domains, as of the current pass or order; null while they are
    /// not known recently enough.
    std::shared_ptr<const DrainedDomains> m_drains;
    /// Higher than the fences of all ended sessions. A single number, since a list of the
    /// workers that may return would not be bounded. It increases by one with each session
    /// that ends and while an order waits for its answer.
    int64_t m_ended_fence = 0;
    /// Share of the workers asked about that were allowed, by queue.
    std::map<std::string, double> m_allowed_share;
    /// Smoothed advisor time for one query, by queue.
    std::map<std::string, double> m_query_ms;
    /// By queue; a new leader learns them anew.
    std::map<std::string, shortage::StartMargin> m_start_margins;
    AdviceClaims m_claims; ///< In the current pass.
    /// Steps that may ask regardless of claims and of the queries that wait, one of a
    /// queue.
    std::vector<const Step*> m_longest_waiting;
    /// When such a step last asked, by queue.
    std::map<std::string, Millis> m_longest_waiting_asked_at;
    AdviceAccount m_advisor_time;
    AdvisorTime m_advisor_time_logged; ///< Total when the load was last logged.
    QueueAdmission m_admission;
    shortage::RoomForecast m_room_forecast;
    std::vector<LimitedQueue> m_limited; ///< By that forecast.
    Millis m_limited_at; ///< When that was determined.
    callers::UsageLedger m_usage; ///< Running tasks of each workspace.
    std::map<callers::WorkspaceNumber, callers::JobBudget> m_budgets;
    /// The configuration whose bounds the ledger uses.
    std::shared_ptr<const Configuration> m_bounds_from;
    /// Tasks of closed jobs that may still run on silent workers, by name, with what is
    /// charged for each.
    std::map<std::string, Allocation> m_closed_in_doubt;
    /// Smoothed logarithm of actual over expected run time, by queue.
    std::map<std::string, double> m_estimate_error;
    /// When a call to a worker last timed out.
    std::optional<Millis> m_last_call_timeout;
    Millis m_load_reported;
    bool m_pass_due = false;
    /// A pass is scheduled for the steps that wait for capacity.
    bool m_recheck_due = false;
    LoadCounts m_load_counts; ///< Since the load was last logged.
    Millis m_last_pass_time; ///< Duration of the last pass.
    bool m_cut_short = false; ///< It ended before it had tried each step.
    /// Start of the current or last pass; its decisions use this time.
    Millis m_pass_begun;
    size_t m_steps_waiting = 0; ///< In the last pass.
    int64_t m_repeats_waiting = 0; ///< Due but not begun, in the last pass.
    WaitLogLimiter m_explanations;
    int m_gangs_prepared = 0; ///< In the current pass.
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
