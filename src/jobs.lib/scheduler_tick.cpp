// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a scheduler looks after at regular times.

#include "scheduler.h"

#include <pathport/log.h>

namespace pathport::jobs {

namespace {

constexpr Millis tick_interval { 200 };
/// A gang of which a member is missing for so long is stopped, before its members give up.
constexpr Millis gang_patience { 2300 };
/// A task whose progress has not moved for so long stands still.
constexpr Millis standing_time { 2600 };

} // namespace

void Scheduler::tick()
{
    if (m_phase == Phase::over)
        return;
    if (m_phase == Phase::acting && may_order()) {
        release_unknown_doubts();
        for (auto& [id, job] : m_jobs) {
            if (job->closed())
                continue;
            begin_due_repeats(*job);
            for (auto& [number, repeat] : job->repeats()) {
                for (Step& step : repeat.steps) {
                    check_gang(*job, step);
                    check_standing(*job, step);
                    leave_draining(*job, step);
                    explain_wait(*job, step);
                }
            }
        }
        schedule_pass();
    }
    m_parts.loop.after(tick_interval, m_lifetime.wrap([this] { tick(); }));
}

// Members that wait for one that could not be placed are stopped and placed anew together.
void Scheduler::check_gang(JobRecord& job, Step& step)
{
    if (!step.spec->gang || step.count(TaskPhase::waiting) == 0)
        return;
    const Millis now = m_parts.loop.now();
    for (size_t i = 0; i < step.tasks.size(); ++i) {
        Task& task = step.tasks[i];
        if (task.phase != TaskPhase::running || now - task.placed_at < gang_patience)
            continue;
        Worker* worker = find_worker(task.worker);
        if (worker == nullptr)
            continue;
        worker->session->stop({ job.id(), step.repeat, step.index, static_cast<int>(i) },
                              task.run);
        task.phase = TaskPhase::stopping;
    }
}

void Scheduler::check_standing(JobRecord& job, Step& step)
{
    if (step.spec->lasting)
        return;
    const Millis now = m_parts.loop.now();
    for (size_t i = 0; i < step.tasks.size(); ++i) {
        Task& task = step.tasks[i];
        if (task.phase != TaskPhase::running || now - task.percent_at < standing_time
            || now - task.placed_at < standing_time)
            continue;
        Worker* worker = find_worker(task.worker);
        if (worker == nullptr || !worker->session->usable())
            continue;
        const TaskId id { job.id(), step.repeat, step.index, static_cast<int>(i) };
        log_event(LogLevel::warn, "task_stands_still",
                  { { "job", job.id() },
                    { "task", id.to_string() },
                    { "worker", task.worker },
                    { "percent", task.percent },
                    { "for_ms", (now - task.percent_at).count() } });
        note_surprise(*worker, job.id());
        worker->session->stop(id, task.run);
        task.phase = TaskPhase::stopping;
    }
}

// Lasting tasks leave a draining worker at once, since they can't end before it does.
void Scheduler::leave_draining(JobRecord& job, Step& step)
{
    if (!step.spec->lasting)
        return;
    for (size_t i = 0; i < step.tasks.size(); ++i) {
        Task& task = step.tasks[i];
        Worker* worker = find_worker(task.worker);
        if (task.phase != TaskPhase::running || worker == nullptr
            || !worker->session->info().draining)
            continue;
        worker->session->stop({ job.id(), step.repeat, step.index, static_cast<int>(i) },
                              task.run);
        task.phase = TaskPhase::stopping;
    }
}

} // namespace pathport::jobs
