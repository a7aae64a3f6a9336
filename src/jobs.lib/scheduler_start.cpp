// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Task starts. The choice of workers is recorded before the orders are sent, so that a
/// successor knows where each task may be running.

#include "scheduler.h"

#include <pathport/log.h>

namespace pathport::jobs {

namespace {

/// A worker is watched after the start of a suspect for at most this long.
constexpr Millis max_suspect_watch { 5000 };
/// A suspect is started only on a worker that has answered a poll sent at most this long
/// before its start was due.
constexpr Millis max_answer_age { 300 };
/// How long that answer is waited for: longer than a poll waits for its answer.
constexpr Millis max_answer_wait { 1000 };
/// Interval at which it is checked whether the worker has answered.
constexpr Millis answer_check_interval { 10 };

// Returns whether the cause of a failed start is the worker or the connection to it. Fences
// and tickets are the leader's responsibility.
bool is_worker_fault(OrderStatus status)
{
    return status != OrderStatus::stale_fence && status != OrderStatus::bad_ticket;
}

/// Returns whether the start order may be sent before its row is written. What is recorded
/// against a task has to outlive the leader before the task is tried again.
bool may_precede_its_record(const Task& task)
{
    return task.crashes.empty();
}

// Returns whether the worker answered. A lost answer is not held against it: a network
// partition loses those of many workers at once.
bool is_refusal(OrderStatus status)
{
    return is_worker_fault(status) && status != OrderStatus::unknown;
}

} // namespace

// Assigns the tasks with these indices to the workers and records the assignment.
void Scheduler::record_intent(JobRecord& job, Step& step, const std::vector<int>& tasks,
                              const std::vector<Assignment>& assignments)
{
    step.idle_since = Millis(0);
    note_advisor_use(job, step);
    step.advice.held_back = false;
    const bool refill = step.spec->gang && step.placed() > 0;
    step.advice.retry_at = Millis(0);
    step.advice.unhelpful_answers = 0;
    step.reserved_workers.clear();
    const int64_t run = refill ? step.gang_run : ++m_last_run;
    step.gang_run = run;
    const bool step_suspect = step.is_suspect();
    auto assignment = assignments.begin();
    int left = assignment->count;
    for (const int index : tasks) {
        while (left == 0) {
            if (++assignment == assignments.end())
                break;
            left = assignment->count;
        }
        if (assignment == assignments.end())
            break;
        --left;
        Task& task = step.tasks.edit(index);
        Worker& worker = *find_worker(assignment->worker);
        task.phase = TaskPhase::intended;
        task.worker = assignment->worker;
        task.run = run;
        task.placed_at = m_pass_begun;
        task.evidence = RunEvidence();
        const auto permission = step.advice.workers.find(worker.number);
        if (permission != step.advice.workers.end())
            task.ticket = permission->second.ticket;
        const TaskId id { job.id(), step.repeat, step.index, index };
        worker.last_start = m_pass_begun;
        task.crashes.note_start();
        if (Step::suspicion(task, step_suspect) != Suspicion::none)
            track_suspect(worker, id);
        occupy(worker, id, run, *step.spec, &job);
    }
    record(job, [this, id = job.id(), repeat = step.repeat, index = step.index, run] {
        send_orders(id, repeat, index, run, true);
    });
    // The store is slow, and the head row says that orders may precede their record. This
    // does not hold once this leader has resigned: its successor may already have claimed
    // the leadership and does not know jobs that came after its load.
    if (m_log.allows_early_orders() && !m_resigned)
        send_orders(job.id(), step.repeat, step.index, run, false);
}

// Tasks intended before the head row said that orders may precede their record need not
// wait for their own record any more.
void Scheduler::early_orders_enabled()
{
    if (m_resigned)
        return;
    for (auto& [id, job] : m_jobs) {
        for (auto& [number, repeat] : job->repeats()) {
            for (Step& step : repeat.steps) {
                for (const auto& [index, task] : step.tasks.records()) {
                    if (task.phase == TaskPhase::intended && may_precede_its_record(task)
                        && m_log.may_order_early(task.worker))
                        start_task(*job, step, index);
                }
            }
        }
    }
}

// Sends the orders of a run. Until the run is recorded, only orders to workers that the
// head row names are sent.
void Scheduler::send_orders(const std::string& id, int repeat, int index, int64_t run,
                            bool recorded)
{
    JobRecord* job = find_job(id);
    Step* step = job == nullptr ? nullptr : job->step(repeat, index);
    if (step == nullptr)
        return;
    for (const auto& [task_index, task] : step->tasks.records()) {
        if (task.phase != TaskPhase::intended || task.run != run)
            continue;
        const bool may_precede
            = may_precede_its_record(task) && m_log.may_order_early(task.worker);
        if (recorded && !task.crashes.empty())
            start_suspect({ id, repeat, index, task_index }, run, m_context.loop.now());
        else if (recorded || may_precede)
            start_task(*job, *step, task_index);
    }
}

// Starts a task with recorded losses, due at `due_at`, once its worker answers. A worker
// that is gone already would use up one of the few starts left to the task, and its loss
// would count against the task.
void Scheduler::start_suspect(const TaskId& id, int64_t run, Millis due_at)
{
    JobRecord* job = find_job(id.job);
    Task* task = job == nullptr ? nullptr : job->task(id);
    if (task == nullptr || task->phase != TaskPhase::intended || task->run != run)
        return;
    Worker* worker = find_worker(task->worker);
    if (worker == nullptr
        || worker->session->last_full_report() >= due_at - max_answer_age) {
        start_task(*job, *job->step(id.repeat, id.step), id.index);
        return;
    }
    if (m_context.loop.now() >= due_at + max_answer_wait) {
        withdraw_intent(id, *task);
        return;
    }
    worker->session->watch_until(due_at + max_answer_wait);
    m_context.loop.after(answer_check_interval, m_lifetime.wrap([this, id, run, due_at] {
        start_suspect(id, run, due_at);
    }));
}

// Returns a task to the waiting state whose start order was not sent.
void Scheduler::withdraw_intent(const TaskId& id, Task& task)
{
    if (Worker* worker = find_worker(task.worker))
        vacate(*worker, id, task.run);
    task.crashes.note_failed_start();
    release(task);
    schedule_pass();
}

// Returns whether all cancellations up to a short time ago are known. While the store is
// away they are not, and the record of an intent may be the first answer when it returns.
bool Scheduler::cancellations_known() const
{
    return m_context.loop.now() - m_feed.known_at() <= max_feed_age + max_start_latency;
}

void Scheduler::start_task(JobRecord& job, Step& step, int index)
{
    Task& task = step.tasks.edit(index);
    const TaskId id { job.id(), step.repeat, step.index, index };
    Worker* worker = find_worker(task.worker);
    const Millis now = m_context.loop.now();
    bool ticket_valid = true;
    if (worker != nullptr && job.accepted().queue.advice) {
        const auto permission = step.advice.workers.find(worker->number);
        ticket_valid
            = permission != step.advice.workers.end() && permission->second.holds(now);
    }
    refresh_drains();
    // The free capacity may have shrunk since the worker was chosen.
    const bool has_capacity = worker != nullptr
        && worker->load.used().fits_in(worker->session->info().capacity);
    if (!has_capacity || job.closed() || !orders_allowed() || !list_is_fresh()
        || !cancellations_known() || !ticket_valid || !is_eligible(*worker, job, step)) {
        withdraw_intent(id, task);
        return;
    }
    std::string checkpoint = task.checkpoint;
    if (step.spec->gang) {
        // All members save the same checkpoint.
        checkpoint.clear();
        for (const auto& [number, member] : step.tasks.records()) {
            if (!member.checkpoint.empty()) {
                checkpoint = member.checkpoint;
                break;
            }
        }
    }
    // How long the run exists decides which losses it refutes.
    if (!task.crashes.empty())
        worker->session->watch_until(
            now + std::min(task.crashes.clearing_runtime(), max_suspect_watch));
    task.phase = TaskPhase::starting;
    task.evidence = RunEvidence::ordered(now);
    worker->session->start(id, task.run, job.accepted().spec.payload, checkpoint,
                           task.ticket,
                           m_lifetime.wrap([this, id, name = task.worker, run = task.run](
                                               StartResult result, OrderStatus status) {
                               start_completed(id, name, run, result, status);
                           }));
}

// A job has begun when a worker has started one of its tasks; an intent does not count.
void Scheduler::note_begun(JobRecord& job)
{
    if (job.begun)
        return;
    job.begun = true;
    job.begun_at = m_context.loop.now();
    const Millis waited = m_context.loop.now() - job.seen();
    m_context.metrics.observe_seconds(
        "pathport_first_start_wait_seconds", double(waited.count()) / 1000,
        { { "priority", std::to_string(job.accepted().queue.priority) } });
}

// Called when a worker has accepted a start or lists its run. If other losses are recorded
// against the task, the next leader has to know that this run existed. The answer may also
// come after the worker was found to be lost.
void Scheduler::note_start_confirmed(JobRecord& job, Task& task, const std::string& worker,
                                     int64_t run)
{
    bool is_news = false;
    if (task.placed() && task.worker == worker && task.run == run) {
        is_news = !task.evidence.is_confirmed() && !task.crashes.empty();
        task.evidence = task.evidence.accepted(m_context.loop.now());
    } else {
        is_news = task.crashes.confirm(run, WorkerIncarnation::parse(worker).name);
    }
    if (is_news && !job.closed())
        record(job);
}

void Scheduler::start_completed(const TaskId& id, const std::string& name, int64_t run,
                                StartResult result, OrderStatus status)
{
    Worker* worker = find_worker(name);
    JobRecord* job = find_job(id.job);
    Task* task = job == nullptr ? nullptr : job->task(id);
    const bool current = task != nullptr && task->phase == TaskPhase::starting
        && task->run == run && task->worker == name;
    m_context.metrics.count("pathport_starts_total", { { "outcome", to_string(status) } });
    log_event(LogLevel::info, "task_start",
              { { "job", id.job },
                { "task", id.to_string() },
                { "run", run },
                { "worker", name },
                { "outcome", to_string(status) },
                { "there", result == StartResult::running ? "yes" : "no" } });
    if (result == StartResult::not_started) {
        if (worker != nullptr)
            vacate(*worker, id, run);
        if (!current)
            return;
        Step& step = *job->step(id.repeat, id.step);
        if (status == OrderStatus::bad_ticket && worker != nullptr)
            step.advice.forget(worker->number);
        if (is_worker_fault(status))
            step.deprioritize(name, m_context.loop.now());
        if (is_refusal(status) && worker != nullptr)
            note_refusal(*worker, task->placed_at);
        task->crashes.note_failed_start();
        release(*task);
        schedule_pass();
        return;
    }
    if (job != nullptr)
        note_begun(*job);
    if (task != nullptr)
        note_start_confirmed(*job, *task, name, run);
    if (current) {
        task->phase = TaskPhase::running;
        task->percent = 0;
        task->percent_at = m_context.loop.now();
        task->first_percent = 0;
        task->first_percent_at = Millis(0);
        if (!job->closed())
            return;
        task->phase = TaskPhase::stopping;
    }
    const bool ended_already = worker == nullptr || !worker->load.holds(id);
    if (!ended_already && (task == nullptr || job->closed()))
        worker->session->stop(id, run, StopReason::job_closed);
}

} // namespace pathport::jobs
