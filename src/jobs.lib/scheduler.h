// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The leader's work in one epoch: it rebuilds what its predecessors recorded, fences the
/// workers, and then starts, watches and ends tasks until it is deposed.

#pragma once

#include "advice_door.h"
#include "advice_pool.h"
#include "explanation_turns.h"
#include "head_log.h"
#include "job_feed.h"
#include "job_record.h"
#include "lifetime.h"
#include "placement.h"
#include "scheduler_parts.h"
#include "silent_workers.h"
#include "store_clock.h"
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
constexpr Millis trial_time { 2500 };

/// How long the record and the order of a start take at most, once its room is there.
constexpr Millis record_and_order { 350 };
/// Workers are kept no longer while an answer of the advisor is waited for.
constexpr Millis longest_question { 3000 };

/// The scheduler of one epoch.
class Scheduler : public SessionListener, public HeadLogOwner {
public:
    /// `deposed` is called once, when another leader has taken over.
    Scheduler(SchedulerParts parts, const Claim& claim, std::function<void()> deposed);
    ~Scheduler() override;

    /// Begins: reads what is recorded, then looks at the workers, then orders.
    void begin();
    /// Returns whether it has read everything and orders.
    bool acting() const { return m_phase == Phase::acting; }
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
    const std::vector<ClosedQueue>& closed_queues() const { return m_door.closed(); }
    /// Returns the load of each workspace of the configuration.
    std::vector<WorkspaceLoad> workspace_loads() const;
    const HeadLog& log() const { return m_log; }
    size_t open_jobs() const { return m_jobs.size(); }
    size_t known_workers() const { return m_workers.size(); }
    /// Returns how many workers there are that have answered lately.
    size_t reachable_workers() const;

    // SessionListener
    bool may_order() const override;
    void answer_missing() override;
    bool answers_go_missing() const override;
    bool may_lease(const WorkerSession& session) const override;
    void lost(WorkerSession& session) override;
    void reported(WorkerSession& session, const LookReport& report,
                  ReportStage stage) override;
    void life_over(WorkerSession& session) override;
    void lease_lapsed(WorkerSession& session) override;
    void run_gone(WorkerSession& session, const TaskId& task, int64_t run) override;
    void fenced_off(WorkerSession& session) override;
    // HeadLogOwner
    std::optional<std::string> progress_of(const std::string& job) override;
    std::vector<std::string> unrecorded_workers(bool orders_precede) override;
    SilentWorkers silent_workers() override;
    void head_written() override;
    void orders_released() override;
    void log_lost() override;

private:
    enum class Phase { loading, settling, acting, over };

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
    struct KeptEnds {
        std::string worker;
        std::vector<EndedTask> ends;
        std::function<void()> done; ///< The worker may forget them.
        Millis told;
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
        std::optional<Millis> lived;
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
        bool held = false; ///< They are held against their tasks.
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
        int surprises = 0; ///< Failures, refusals and standing tasks since a success.
        std::string last_failed_job;
        std::set<std::string> on_trial; ///< Suspects there, not cleared yet.
        bool closed = false; ///< One of them is to be alone with what was there before.
        Millis last_start; ///< When it was last chosen for a task.
        std::string held_for; ///< A suspect that is to start there once that is quiet.
        Millis held_until; ///< Nothing else is started there until then.
        Millis refused_at; ///< When a refusal was last counted.
        Millis avoid_until;
        /// Smoothed logarithm of its run times against the same queues' elsewhere.
        double slowness = 0;
    };
    /// A worker that a step may use, or may be allowed to.
    struct Prospect {
        Worker* worker = nullptr;
        int fit = 0; ///< Tasks of the step for which there is room.
        int later_fit = 0; ///< The same once less urgent tasks there have ended.
        bool second_choice = false; ///< As in WorkerRoom.
        bool slow = false; ///< Slower than others, and the step is urgent.
    };
    /// All such workers, those with the most room first.
    struct Prospects {
        std::vector<Prospect> allowed;
        std::vector<Prospect> unasked;
        std::vector<Prospect> refused; ///< So long ago that they may be asked about again.
        int refused_fit = 0; ///< Sum over those refused.
        int first_fit = 0; ///< Sum over those allowed that are no second choice.
        int fit = 0; ///< Sums over those allowed.
        int later_fit = 0;
    };
    /// A run that may be stopped for more urgent work without losing its progress.
    struct Victim {
        TaskId id;
        Task* task = nullptr;
        Resources need;
        bool stopping = false; ///< It was told to stop already.
    };
    static bool fit_first(const Prospect& left, const Prospect& right);
    static std::vector<WorkerNumber> numbers(const std::vector<Prospect>& prospects);

    /// A step that has tasks to place.
    struct Candidate {
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
    void update_door();
    std::vector<AdviceDemand> advice_demands();
    bool awaits_advice(const JobRecord& job, const Step& step) const;
    void tell_of_door(const std::vector<ClosedQueue>& before,
                      const std::vector<AdviceDemand>& demands) const;
    bool is_overdue(const Candidate& candidate, bool room_is_ample);
    double free_share() const;
    void settle();
    void job_row_seen(const StoredRow& row);
    void release_unknown_doubts();
    bool holds_back(const JobRecord& job) const;
    void resolve_unrecorded(const std::string& worker);
    int64_t store_time_at(Millis time) const;

    // Lives of workers (scheduler_lives.cpp).
    void take_workers(const std::vector<WorkerInfo>& listed);
    void take_worker(const WorkerInfo& info);
    void end_succeeded(const std::vector<WorkerInfo>& listed);
    void drop_unlisted(const std::string& worker);
    void end_session(Worker& worker);
    void release_all(Worker& worker, const char* reason, bool keep_doubts);
    void keep_strays(const WorkerSession& session);
    Millis strays_until(const std::string& worker) const;
    void inherit(const std::string& id);
    void inherit_doubts(const std::string& earlier, const std::string& id,
                        const std::vector<TaskId>& tasks);

    // Lost workers and what ran there (scheduler_crashes.cpp).
    std::vector<LostRun> runs_on(const Worker& worker);
    static std::optional<Millis> lived(const Task& task);
    void hold_against(const std::vector<LostRun>& lost, const std::string& worker,
                      const char* reason, Loss loss);
    bool hold_against(const LostRun& run, bool alone, Suspicion worst);
    bool lost_alone(const LostRun& run, const std::vector<LostRun>& lost);
    static bool is_proven(const CrashRecord& before, const CrashRecord& after);
    Suspicion worst_suspicion(const std::vector<LostRun>& lost);
    bool others_fell(Millis at) const;
    void judge_soon(const TaskId& id, Task& task);
    void note_unexplained(const std::string& worker);
    bool give_up_spent(JobRecord& job, Step& step);
    void give_up(JobRecord& job, const TaskId& id, const char* reason);
    void hold_lapsed(const std::string& worker, std::vector<LostRun> lost, bool listed,
                     Loss loss);
    void settle_lapsed(const std::string& worker);
    void take_back_lapsed(const std::string& worker);
    void clear_if_outlived(const TaskId& id, Task& task);
    // Tasks suspected of it (scheduler_suspects.cpp).
    void begin_trial(Worker& worker, const TaskId& task);
    bool is_on_trial(const Task& task, bool wary) const;
    void refresh_trials(Worker& worker);
    std::vector<size_t> suspects_to_try(JobRecord& job, const Step& step);
    void place_suspects(JobRecord& job, Step& step, const std::vector<size_t>& suspects,
                        std::vector<WorkerRoom>& rooms);
    bool place_on_held(JobRecord& job, Step& step, size_t index);
    void hold_for(const JobRecord& job, const Step& step, size_t index,
                  const std::vector<WorkerRoom>& rooms);
    Worker* held_for(const std::string& task);
    size_t best_for_suspect(const Task& task, const std::vector<WorkerRoom>& rooms);
    bool may_close_another() const;
    bool gang_waits_apart(const Step& step, int needed, std::vector<WorkerRoom>& rooms);

    // Silent workers (scheduler_silent.cpp).
    bool store_clock_known() const;
    Millis unknown_until(const std::string& worker) const;
    void note_answered(const WorkerSession& session);
    void note_ended(const WorkerSession& session, Millis lapses_at);
    void note_unlisted();

    // Reports (scheduler_reports.cpp, scheduler_compare.cpp).
    void record_ends(Worker& worker, const LookReport& report,
                     const std::set<std::string>& changed);
    void adopt(Worker& worker, const RunningTask& running);
    void occupy_unplanned(Worker& worker, const RunningTask& running);
    void compare(Worker& worker, const RunningTask& running);
    void stop_unwanted(Worker& worker, const RunningTask& running);
    bool take_back_intent(const TaskId& id, Task& task);
    static bool is_late_success(const Step& step, const EndedTask& end);
    void note_progress(Worker& worker, const RunningTask& running);
    void note_progress(Task& task, const RunningTask& running);
    void release_missing(const Worker& worker);
    void release_doubts(const std::string& worker, const std::vector<TaskId>& tasks);
    void note_doubts(const JobRecord& job);
    static bool is_untold_end(const Task& task, const EndedTask& end);
    bool apply_end(Worker& worker, const EndedTask& end, bool first);
    void apply_done(JobRecord& job, Step& step, Task& task);
    void apply_failure(Worker& worker, JobRecord& job, Step& step, Task& task,
                       const EndedTask& end);
    static bool count_failure(JobRecord& job, Step& step, Task& task, int64_t run);
    void batch_recorded(const std::string& worker, const std::shared_ptr<EndBatch>& batch);
    void learn_speed(Worker& worker, const JobRecord& job, const Step& step,
                     const Task& task);
    bool is_slow(const Worker& worker) const;
    void note_surprise(Worker& worker, const std::string& job);
    bool avoids_enough_besides(const Worker& worker) const;
    void note_refusal(Worker& worker, Millis chosen_at);
    void count_surprise(Worker& worker);

    // What is told of jobs that aren't known yet (scheduler_unknown_jobs.cpp).
    void keep_ends(const std::string& job, const Worker& worker, const LookReport& report,
                   std::function<void()> done);
    void take_kept_ends(const std::string& job);
    void forget_kept_ends();
    void join_stray_runs(JobRecord& job);

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
    std::vector<Candidate> candidates();
    static int64_t slack_ms(JobRecord& job, int64_t now_ms);
    static int64_t allowed_ms(JobRecord& job);
    void place(const Candidate& candidate);
    size_t place_until(const std::vector<Candidate>& waiting, size_t first, Millis end);
    void check_again_soon();
    bool gang_may_be_placed(const Step& step) const;
    std::vector<WorkerNumber> second_choices(const Step& step) const;
    bool avoids_second_choices(const JobRecord& job, const Step& step) const;
    std::vector<WorkerRoom> rooms_for(const JobRecord& job, const Step& step, int needed);
    WorkerRoom room_on(const Worker& worker, const Step& step,
                       const std::string& step_name) const;
    bool is_eligible(const Worker& worker, const JobRecord& job, const Step& step) const;
    Prospects prospects(const JobRecord& job, const Step& step, int needed);
    static void sort_best(std::vector<Prospect>& prospects);
    int service_number(const std::string& service);
    int tasks_at_most(const Worker& worker) const;
    void refresh_row(const Worker& worker);
    void refresh_rows();
    static void sort_in(Prospects& found, Prospect prospect, const Permission* known,
                        Millis now);
    static bool any_room(const std::vector<Prospect>& prospects);
    void reserve(Worker& worker, const Step& step);
    void renew_reservations(const std::vector<Candidate>& waiting);
    void keep(Step& step, const std::vector<Prospect>& workers, Millis span);
    Millis ticket_reserve() const;
    bool choose_for_gang(const Step& step, std::vector<Prospect>& allowed, int needed,
                         bool room_now);
    bool tickets_last(const Step& step, const std::vector<Prospect>& workers) const;
    void prepare_gang(const JobRecord& job, Step& step, int needed);
    bool make_room(const JobRecord& job, const Step& step,
                   const std::vector<Prospect>& kept, int needed);
    bool may_preempt(const JobRecord& job) const;
    bool prepare_some(const JobRecord& job, Step& step, Prospects& found, int needed);
    std::vector<Victim> victims_on(const Worker& worker, int priority);
    void ask_about_more(const JobRecord& job, Step& step, int needed,
                        const Prospects& found, const std::vector<Prospect>& unknown);
    void note_cost(const AdviceQuestion& question);
    bool take_answer(StepAdvice& advice, const std::vector<WorkerNumber>& asked,
                     const std::vector<WorkerTicket>& tickets, Millis now, Millis expires);
    void ask_for_some(const JobRecord& job, Step& step, int needed);
    static int least_to_ask(const JobRecord& job, const Step& step);
    bool advice_crowded(const JobRecord& job) const;
    void ask(const JobRecord& job, Step& step, std::vector<WorkerNumber> workers);
    void explain_wait(const JobRecord& job, Step& step, Millis now);
    void advice_came(const std::string& job, int repeat, int step,
                     const std::vector<WorkerNumber>& asked, Millis asked_at,
                     const AdviceReply& reply);
    void intend(JobRecord& job, Step& step, const std::vector<size_t>& tasks,
                const std::vector<Share>& shares);
    void send_intended(const std::string& job, int repeat, int step, int64_t run,
                       bool recorded);
    void start_task(JobRecord& job, Step& step, int index);
    void note_begun(JobRecord& job);
    void start_ended(const TaskId& id, const std::string& worker, int64_t run,
                     StartResult result, OrderStatus status);

    // Bounds of workspaces (scheduler_bounds.cpp).
    callers::WorkspaceNumber workspace_number_of(const TaskId& task);
    bool is_beyond_share(const JobRecord& job);
    void take_bounds();
    void count_usage();
    void count_doubts();
    void keep_doubtful_charges(const JobRecord& job);
    int tasks_within_bound(const JobRecord& job, Step& step, int needed);
    void discharge_all(const Worker& worker);

    // Upkeep (scheduler_tick.cpp).
    void tick();
    void report_load();
    void observe_phase(const char* phase);
    void check_gang(JobRecord& job, Step& step, Millis now);
    void check_standing(JobRecord& job, Step& step, Millis now);
    void leave_draining(JobRecord& job, Step& step);
    void check_listed(JobRecord& job, Step& step);

    bool uses(Mechanism mechanism) const { return m_parts.mechanisms.uses(mechanism); }
    Worker* find_worker(const std::string& id);
    const Worker* find_worker(const std::string& id) const;
    void occupy(Worker& worker, const TaskId& task, int64_t run, const StepSpec& spec,
                const JobRecord* job);
    void vacate(Worker& worker, const TaskId& task, int64_t run);
    void release(Task& task);
    void depose();

    SchedulerParts m_parts;
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
    bool m_stale_list_told = false;
    bool m_reading_workers = false;
    Millis m_settle_by;
    /// Workers on which earlier leaders may have started tasks without a record, and which
    /// have not reported to this one.
    std::set<std::string> m_unresolved;
    /// What an earlier leader started without us has ended by then, wherever it was.
    Millis m_unknown_until;
    /// Of workers that have not answered this leader, or not again since their sessions
    /// ended: when their leases are over, as earlier leaders or those sessions tell.
    SilentWorkers m_unreached;
    /// Workers that answer and wait for a head row that does not name them as silent.
    std::set<std::string> m_lease_waits;
    /// Tasks that earlier leaders recorded on a worker, until it reports or none of them
    /// can run there any more.
    std::map<std::string, std::vector<TaskId>> m_in_doubt;
    /// Of lives that are over: when tasks have surely ended of which the next life of the
    /// name may have taken the orders.
    std::map<std::string, Millis> m_strays_until;
    /// Lives after which another one of their name answered, as long as the list names
    /// them.
    std::set<std::string> m_ended_lives;
    /// Workers that were lost lately with nothing on trial there, and when.
    std::map<std::string, Millis> m_unexplained_losses;
    /// By life of a worker, of those whose lease has lapsed lately.
    std::map<std::string, LapsedRuns> m_lapsed_runs;
    /// The store's time when no earlier leader can start anything any more.
    int64_t m_leases_over_ms = 0;

    std::map<std::string, std::unique_ptr<JobRecord>>
        m_jobs; ///< Those that are not closed.
    std::map<std::string, ClosedJob> m_closed; ///< Final states, recorded.
    std::map<std::string, std::vector<KeptEnds>> m_kept_ends; ///< By job, not known yet.
    std::set<std::string> m_early_cancels; ///< Of jobs that are not known yet.
    std::set<std::string> m_stray_jobs; ///< Not known when runs of theirs were found.
    std::map<std::string, std::vector<std::string>> m_to_archive; ///< By part.
    std::set<std::string> m_archived; ///< Their progress rows are not removed yet.
    Millis m_archive_tried;
    std::map<std::string, Worker> m_workers; ///< By id of the life.
    RoomTable m_rooms; ///< What each of them has to offer.
    std::vector<Worker*> m_numbered; ///< By number; none for one that is gone.
    std::vector<std::string> m_services; ///< By the numbers of the table.
    Millis m_rooms_at; ///< When all rows were last brought up to date.
    /// Above the fences of all sessions that have ended, since one number is bounded and a
    /// list of the workers that may come back isn't. It rises by one with each that ends
    /// and while an order waits for its answer.
    int64_t m_ended_fence = 0;
    std::map<std::string, double>
        m_allowed_share; ///< By queue, of the workers asked about.
    std::map<std::string, double>
        m_question_ms; ///< By queue, the advisor's time for a question, smoothed.
    AdviceDoor m_door;
    callers::UsageLedger m_usage; ///< What each workspace has running.
    std::map<callers::WorkspaceNumber, callers::JobBudget> m_budgets;
    std::shared_ptr<const Configuration> m_bounds_from; ///< Whose bounds the ledger has.
    /// Of jobs that are closed, tasks that may yet run on workers that are silent: what is
    /// charged for each, by name.
    std::map<std::string, Occupant> m_closed_doubts;
    std::map<std::string, double> m_guess_error; ///< By queue, smoothed logarithm.
    std::optional<Millis>
        m_answer_missed_at; ///< When a worker last left a call unanswered.
    Millis m_load_reported;
    bool m_pass_due = false;
    bool m_check_due = false; ///< A pass will follow for steps that wait for room.
    LoadCounts m_load_counts; ///< Since load was last reported.
    Millis m_last_pass_time; ///< Spent in the last one.
    Millis m_pass_begun; ///< The present or last pass; the time that its choices go by.
    size_t m_steps_waiting = 0; ///< In the last pass.
    ExplanationTurns m_explanations;
    int m_gangs_prepared = 0; ///< In the present pass.
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
