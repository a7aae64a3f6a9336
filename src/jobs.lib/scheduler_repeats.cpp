// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Begins the due repeats of scheduled jobs. A repeat that is due but not begun is only a
/// number; one that is begun takes memory, a part of the job's progress row, and time in
/// each pass. So repeats begin in the order of their due times, as far as there is room for
/// their tasks.

#include "scheduler.h"

#include <pathport/log.h>

#include <algorithm>

namespace pathport::jobs {

namespace {

/// Limit on what the repeats in progress may take of the job's progress row, in bytes. The
/// rest is left for what the losses of workers add to the row.
constexpr size_t repeat_row_budget = max_row_bytes / 2;
/// A placed task takes at least this much of the row, in bytes.
constexpr size_t min_task_bytes = 6;
/// The search for room ends at this number of tasks, which the row cannot exceed.
constexpr int64_t max_tasks_in_row = repeat_row_budget / min_task_bytes;
/// An earlier leader's clock may have been ahead by this much when it found a repeat due.
constexpr Millis max_clock_skew { 5000 };

} // namespace

// Returns whether another pass should follow soon: repeats were begun, and more of them may
// start once these are placed.
bool Scheduler::begin_due_repeats()
{
    int begun = 0;
    m_repeats_waiting = 0;
    for (auto& [id, job] : m_jobs) {
        if (!has_due_repeat(*job))
            continue;
        begun += begin_due_repeats(*job);
        m_repeats_waiting += due_repeats(*job);
    }
    return begun > 0 && m_repeats_waiting > 0;
}

bool Scheduler::has_due_repeat(const JobRecord& job) const
{
    const auto due = job.next_due();
    return due && (!job.accepted().spec.has_schedule() || *due <= m_context.wall_ms());
}

// Returns the number of repeats that are due but not begun.
int64_t Scheduler::due_repeats(const JobRecord& job) const
{
    if (!has_due_repeat(job))
        return 0;
    const JobSpec& spec = job.accepted().spec;
    const int64_t left = spec.instances() - job.next_repeat();
    if (!spec.has_schedule() || spec.interval_ms <= 0)
        return left;
    return std::min(left, (m_context.wall_ms() - *job.next_due()) / spec.interval_ms + 1);
}

// Returns the number of repeats that were begun.
int Scheduler::begin_due_repeats(JobRecord& job)
{
    const int first = job.next_repeat();
    if (job.repeats().empty())
        job.begin_repeat();
    // Checked before the search for room, which takes longer.
    if (job.max_progress_bytes(0) + job.max_repeat_bytes(0) <= repeat_row_budget) {
        RepeatRoom room = room_for_repeats(job);
        while (has_due_repeat(job) && room.bytes + room.repeat_bytes <= repeat_row_budget
               && room.has_start()) {
            job.begin_repeat();
            room.take_repeat();
        }
    }
    note_repeats_behind(job);
    return job.next_repeat() - first;
}

// Logs when repeats of the job begin to wait for earlier ones, and when none does any more.
void Scheduler::note_repeats_behind(JobRecord& job)
{
    const int64_t waiting = due_repeats(job);
    if ((waiting > 0) == job.behind)
        return;
    job.behind = waiting > 0;
    log_event(LogLevel::info, "repeats_behind",
              { { "job", job.id() },
                { "waiting", waiting },
                { "in_progress", static_cast<int64_t>(job.repeats().size()) },
                { "next", job.next_repeat() },
                { "row_bytes", static_cast<int64_t>(job.max_progress_bytes(1)) } });
}

bool Scheduler::RepeatRoom::has_start() const
{
    return std::any_of(steps.begin(), steps.end(), [](const StepRoom& step) {
        return step.waiting == 0 || step.waiting < step.fit;
    });
}

void Scheduler::RepeatRoom::take_repeat()
{
    bytes += repeat_bytes;
    for (StepRoom& step : steps)
        step.waiting += step.count;
}

// Returns how much of further repeats of the job could start now. Each step that depends on
// no other is considered by itself, so that one which finds no worker does not keep the
// others from starting.
Scheduler::RepeatRoom Scheduler::room_for_repeats(const JobRecord& job)
{
    RepeatRoom room;
    double spread = 0;
    for (const Step& sample : job.repeats().begin()->second.steps) {
        if (!sample.spec->after.empty())
            continue;
        RepeatRoom::StepRoom step;
        step.count = sample.spec->count;
        for (const auto& [number, repeat] : job.repeats())
            step.waiting += repeat.steps[size_t(sample.index)].count(TaskPhase::waiting);
        const Fit found = fit_up_to(job, sample, step.waiting + max_tasks_in_row);
        step.fit = found.tasks;
        spread = std::max(
            spread, found.tasks == 0 ? 1 : double(found.workers) / double(found.tasks));
        room.steps.push_back(step);
    }
    room.bytes = job.max_progress_bytes(spread);
    room.repeat_bytes = job.max_repeat_bytes(spread);
    return room;
}

// Returns how many tasks of the step fit into the free capacity, and on how many workers;
// stops at `wanted` tasks.
Scheduler::Fit Scheduler::fit_up_to(const JobRecord& job, const Step& step, int64_t wanted)
{
    Fit found;
    pool_for(job, step).free.visit_tightest(*step.spec, [&](WorkerNumber number) {
        note_examined(1);
        const CapacityRow& row = m_capacity_table.row(number);
        const int here = row.open ? tasks_that_fit_into(
                             *step.spec, row.free, max_tasks_per_step, row.max_new_tasks)
                                  : 0;
        found.tasks += here;
        found.workers += here > 0 ? 1 : 0;
        return found.tasks < wanted;
    });
    return found;
}

// Called for a run that a worker reports. An earlier leader may have begun its repeat, and
// so all before it, without a record: orders may precede their record.
void Scheduler::begin_repeats_of_run(const TaskId& task)
{
    JobRecord* job = find_job(task.job);
    if (job == nullptr || task.repeat < job->next_repeat())
        return;
    const JobSpec& spec = job->accepted().spec;
    const bool may_be_due = task.repeat < spec.instances()
        && spec.due_ms(task.repeat) <= m_context.wall_ms() + max_clock_skew.count();
    while (may_be_due && !job->closed() && job->next_repeat() <= task.repeat)
        job->begin_repeat();
}

} // namespace pathport::jobs
