// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Periodic checks of the scheduler.

#include "scheduler.h"

#include <pathport/log.h>

namespace pathport::jobs {

namespace {

constexpr Millis tick_interval = explanation_round_interval;
constexpr Millis load_interval { 2000 };
/// A gang with a missing member is stopped this long before its members give up, which
/// covers a tick, the order and its retry.
constexpr Millis gang_margin { 700 };
/// A task without progress for this long is considered stalled.
constexpr Millis stall_time { 2600 };
constexpr int all_done_percent = 100;

} // namespace

void Scheduler::tick()
{
    if (m_phase == Phase::terminated)
        return;
    if (m_phase == Phase::scheduling && orders_allowed()) {
        m_orders_allowed_at = m_context.loop.now();
        release_expired_in_doubt();
        drop_deferred_ends();
        m_explanations.begin_round(m_steps_waiting, m_workers.size());
        // Read once: reading the clock for each step would take longer than most of the
        // checks.
        const Millis now = m_context.loop.now();
        for (auto& [id, job] : m_jobs) {
            if (job->closed())
                continue;
            for (auto& [number, repeat] : job->repeats()) {
                for (Step& step : repeat.steps) {
                    check_gang(*job, step, now);
                    check_stalled(*job, step, now);
                    stop_on_draining(*job, step);
                    check_listed(*job, step);
                    log_wait_reason(*job, step, now);
                }
            }
        }
        update_admission();
        update_room_forecast();
        report_load();
        archive_closed();
        schedule_pass();
    } else {
        discard_room_forecast();
        report_withheld_orders();
    }
    m_context.loop.after(tick_interval, m_lifetime.wrap([this] { tick(); }));
}

// Logs the load of the workers and the waiting work every few seconds.
void Scheduler::report_load()
{
    const Millis now = m_context.loop.now();
    if (now - m_load_reported < load_interval)
        return;
    m_load_reported = now;
    int64_t total = 0;
    int64_t taken = 0;
    for (const auto& [id, worker] : m_workers) {
        if (!worker.session->usable() || worker.session->info().draining)
            continue;
        total += worker.session->info().capacity.cpu_millis;
        taken += worker.load.used().cpu_millis;
    }
    int64_t waiting = 0;
    std::map<GangWait, int64_t> waiting_gangs;
    for (auto& [id, job] : m_jobs) {
        for (auto& [number, repeat] : job->repeats()) {
            for (Step& step : repeat.steps) {
                const int count = step.count(TaskPhase::waiting);
                if (count == 0 || job->closed() || !job->dependencies_met(step))
                    continue;
                waiting += count;
                if (step.spec->gang)
                    ++waiting_gangs[step.gang_wait];
            }
        }
    }
    int64_t all_waiting_gangs = 0;
    for (const GangWait lack : all_gang_waits) {
        all_waiting_gangs += waiting_gangs[lack];
        m_context.metrics.set("pathport_gangs_waiting", double(waiting_gangs[lack]),
                              { { "lacks", std::string(to_string(lack)) } });
    }
    const AdviceBacklog advice = m_context.advice.backlog();
    const AdvisorTime advisor = advisor_time_since_report();
    log_event(LogLevel::info, "load",
              { { "epoch", m_claim.head.epoch },
                { "workers", static_cast<int64_t>(m_workers.size()) },
                { "cpu_total", total },
                { "cpu_taken", taken },
                { "open_jobs", static_cast<int64_t>(m_jobs.size()) },
                { "passes", m_load_counts.passes },
                { "pass_ms", m_load_counts.pass_time.count() },
                { "cut_passes", m_load_counts.cut_passes },
                { "steps_left", m_load_counts.steps_left },
                { "steps_tried", m_load_counts.steps_tried },
                { "workers_examined", m_load_counts.workers_examined },
                { "queries", m_load_counts.queries },
                { "answers_missing", m_load_counts.answers_missing },
                { "waiting_tasks", waiting },
                { "waiting_gangs", all_waiting_gangs },
                { "advice_fast", advice.fast },
                { "advice_medium", advice.medium },
                { "advice_slow", advice.slow },
                { "advice_callers", advice.callers },
                { "advisor_ms", static_cast<int64_t>(advisor.answered_ms) },
                { "advisor_used_ms", static_cast<int64_t>(advisor.used_ms) },
                { "log_backlog", static_cast<int64_t>(m_log.backlog()) } });
    report_memory();
    m_context.metrics.count("pathport_pass_steps_total", {},
                            double(m_load_counts.steps_tried));
    m_context.metrics.count("pathport_pass_workers_examined_total", {},
                            double(m_load_counts.workers_examined));
    m_load_counts = LoadCounts();
}

// Reports what the jobs hold in memory, which follows what is in progress.
void Scheduler::report_memory()
{
    size_t open_bytes = 0;
    size_t task_records = 0;
    int64_t repeats_in_progress = 0;
    for (const auto& [id, job] : m_jobs) {
        open_bytes += job->memory_bytes();
        task_records += job->task_records();
        repeats_in_progress += static_cast<int64_t>(job->repeats().size());
    }
    constexpr size_t id_bytes = 32;
    constexpr size_t closed_job_bytes
        = map_node_bytes + sizeof(std::pair<std::string, ClosedJob>) + id_bytes;
    const size_t closed_bytes = m_closed.size() * closed_job_bytes;
    m_context.metrics.set("pathport_job_memory_bytes", double(open_bytes),
                          { { "jobs", "open" } });
    m_context.metrics.set("pathport_job_memory_bytes", double(closed_bytes),
                          { { "jobs", "closed" } });
    m_context.metrics.set("pathport_task_records", double(task_records));
    m_context.metrics.set("pathport_repeats_waiting", double(m_repeats_waiting));
    log_event(LogLevel::info, "job_memory",
              { { "epoch", m_claim.head.epoch },
                { "open_jobs", static_cast<int64_t>(m_jobs.size()) },
                { "open_bytes", static_cast<int64_t>(open_bytes) },
                { "task_records", static_cast<int64_t>(task_records) },
                { "repeats_in_progress", repeats_in_progress },
                { "repeats_waiting", m_repeats_waiting },
                { "closed_jobs", static_cast<int64_t>(m_closed.size()) },
                { "closed_bytes", static_cast<int64_t>(closed_bytes) } });
}

// Stops members that wait for one that could not be placed, so that all are placed anew
// together.
void Scheduler::check_gang(JobRecord& job, Step& step, Millis now)
{
    if (!step.spec->gang || step.count(TaskPhase::waiting) == 0)
        return;
    const Millis timeout = m_context.bounds.gang_timeout - gang_margin;
    for (auto& [index, task] : step.tasks.records()) {
        if (task.phase != TaskPhase::running || now - task.placed_at < timeout)
            continue;
        Worker* worker = find_worker(task.worker);
        if (worker == nullptr)
            continue;
        worker->session->stop({ job.id(), step.repeat, step.index, index }, task.run,
                              StopReason::gang_incomplete);
        task.phase = TaskPhase::stopping;
    }
}

void Scheduler::check_stalled(JobRecord& job, Step& step, Millis now)
{
    if (step.spec->long_running)
        return;
    for (auto& [index, task] : step.tasks.records()) {
        // A member that has finished its work waits for the others.
        const bool working
            = task.phase == TaskPhase::running && task.percent < all_done_percent;
        if (!working || now - task.placed_at < stall_time)
            continue;
        Worker* worker = find_worker(task.worker);
        if (worker == nullptr || !worker->session->usable())
            continue;
        // Only a full report tells that there was no progress or no such task, and this
        // leader may read it late.
        if (worker->session->last_full_report() - task.percent_at < stall_time)
            continue;
        const TaskId id { job.id(), step.repeat, step.index, index };
        log_event(
            LogLevel::warn, "task_stands_still",
            { { "job", job.id() },
              { "task", id.to_string() },
              { "worker", task.worker },
              { "percent", task.percent },
              { "for_ms", (now - task.percent_at).count() },
              { "reported_ms_ago", (now - worker->session->last_full_report()).count() } });
        note_fault(*worker, job.id());
        step.deprioritize(task.worker, now);
        worker->session->stop(id, task.run, StopReason::stalled);
        task.phase = TaskPhase::stopping;
    }
}

// A long-running task reports no progress that could show a stall. One that is missing from
// a later report has ended without a listed end; the stop makes sure of that.
void Scheduler::check_listed(JobRecord& job, Step& step)
{
    if (!step.spec->long_running)
        return;
    for (auto& [index, task] : step.tasks.records()) {
        Worker* worker = find_worker(task.worker);
        if (task.phase != TaskPhase::running || worker == nullptr
            || worker->session->last_full_report() <= task.evidence.last_listed())
            continue;
        worker->session->stop({ job.id(), step.repeat, step.index, index }, task.run,
                              StopReason::stalled);
        task.phase = TaskPhase::stopping;
    }
}

// Long-running tasks leave a draining worker at once, since they cannot end before it does.
void Scheduler::stop_on_draining(JobRecord& job, Step& step)
{
    if (!step.spec->long_running)
        return;
    for (auto& [index, task] : step.tasks.records()) {
        Worker* worker = find_worker(task.worker);
        if (task.phase != TaskPhase::running || worker == nullptr
            || !worker->session->info().draining)
            continue;
        worker->session->stop({ job.id(), step.repeat, step.index, index }, task.run,
                              StopReason::worker_draining);
        task.phase = TaskPhase::stopping;
    }
}

} // namespace pathport::jobs
