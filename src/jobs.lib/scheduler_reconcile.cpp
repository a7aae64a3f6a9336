// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Reconciles the runs that a worker reports with those that are placed there.

#include "scheduler.h"

#include <pathport/log.h>

namespace pathport::jobs {

// The resources of a run of a closed job are unknown; the whole worker is the upper bound.
void Scheduler::occupy_unexpected(Worker& worker, const RunningTask& running)
{
    JobRecord* job = find_job(running.task.job);
    const Step* step
        = job == nullptr ? nullptr : job->step(running.task.repeat, running.task.step);
    StepSpec unknown;
    unknown.need = worker.session->info().capacity;
    occupy(worker, running.task, running.run, step == nullptr ? unknown : *step->spec, job);
}

// Running tasks are reconciled in every report, not only in the first: otherwise a run that
// the leader has lost track of would continue to its end, even after its job is cancelled.
void Scheduler::reconcile(Worker& worker, const RunningTask& running)
{
    // Started by a successor that this leader does not know of yet.
    if (running.run / runs_per_epoch > m_claim.head.epoch)
        return;
    begin_repeats_of_run(running.task);
    JobRecord* job = find_job(running.task.job);
    const bool open = job != nullptr && !job->closed();
    Task* task = open ? job->task(running.task) : nullptr;
    const bool placed_here = task != nullptr && task->run == running.run
        && task->worker == worker.session->id();
    if (placed_here)
        note_progress(*job, *task, running, worker.session->last_full_report());
    // A run that is charged here although its task is not placed here belongs to a gang
    // that is done, or has been told to stop: its end will be reported.
    else if (!open || !worker.load.holds(running.task, running.run))
        stop_unwanted(worker, running);
}

// The run occupies capacity until it has ended, and its task is not placed anew until then.
void Scheduler::stop_unwanted(Worker& worker, const RunningTask& running)
{
    JobRecord* job = find_job(running.task.job);
    const bool closed = job == nullptr || job->closed();
    if (!worker.load.holds(running.task, running.run)) {
        log_event(LogLevel::warn, "unwanted_run",
                  { { "job", running.task.job },
                    { "task", running.task.to_string() },
                    { "run", running.run },
                    { "worker", worker.session->id() },
                    { "job_open", closed ? "no" : "yes" } });
        if (!worker.load.holds(running.task))
            occupy_unexpected(worker, running);
        Task* task = closed ? nullptr : job->task(running.task);
        if (task != nullptr && cancel_intent(running.task, *task)) {
            task->phase = TaskPhase::stopping;
            task->worker = worker.session->id();
            task->run = running.run;
            task->evidence = RunEvidence::adopted(m_context.loop.now());
            // The next leader might not hear from this worker.
            record(*job);
        }
    }
    worker.session->stop(running.task, running.run,
                         closed ? StopReason::job_closed : StopReason::unknown_run);
}

// Returns whether the task is waiting, which includes a task whose start order was not sent
// yet and is withdrawn here.
bool Scheduler::cancel_intent(const TaskId& id, Task& task)
{
    if (task.phase == TaskPhase::intended) {
        if (Worker* worker = find_worker(task.worker))
            vacate(*worker, id, task.run);
        release(task);
    }
    return task.phase == TaskPhase::waiting;
}

void Scheduler::run_gone(WorkerSession& session, const TaskId& id, int64_t run)
{
    Worker* worker = find_worker(session.id());
    if (worker == nullptr || m_phase == Phase::terminated)
        return;
    vacate(*worker, id, run);
    JobRecord* job = find_job(id.job);
    Task* task = job == nullptr ? nullptr : job->task(id);
    const bool awaited = task != nullptr && task->phase == TaskPhase::stopping
        && task->worker == session.id() && task->run == run;
    if (!awaited)
        return;
    release(*task);
    schedule_pass();
}

} // namespace pathport::jobs
