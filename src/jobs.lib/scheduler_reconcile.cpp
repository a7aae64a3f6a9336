// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What runs at a worker is compared with what should.

#include "scheduler.h"

#include <pathport/log.h>

namespace pathport::jobs {

// Of a run whose job is closed it isn't known what it takes: the whole worker at most.
void Scheduler::occupy_unexpected(Worker& worker, const RunningTask& running)
{
    JobRecord* job = find_job(running.task.job);
    const Step* step
        = job == nullptr ? nullptr : job->step(running.task.repeat, running.task.step);
    StepSpec unknown;
    unknown.need = worker.session->info().capacity;
    occupy(worker, running.task, running.run, step == nullptr ? unknown : *step->spec, job);
}

// What runs is compared with what should in every report, not only in the first: a run that
// the leader has lost sight of, for whatever reason, would otherwise go on to its end, also
// when its job is cancelled.
void Scheduler::reconcile(Worker& worker, const RunningTask& running)
{
    // A successor's, which this leader does not know of yet.
    if (running.run / runs_per_epoch > m_claim.head.epoch)
        return;
    JobRecord* job = find_job(running.task.job);
    const bool open = job != nullptr && !job->closed();
    Task* task = open ? job->task(running.task) : nullptr;
    const bool placed_here = task != nullptr && task->run == running.run
        && task->worker == worker.session->id();
    if (placed_here)
        note_progress(*task, running);
    // What is held though its task is not placed here is a member of a gang that is done,
    // or was told to stop: its end is on its way.
    else if (!open || !worker.load.holds(running.task, running.run))
        stop_unwanted(worker, running);
}

// Until it has ended, it takes room, and its task is not placed anew beside it.
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
            // The next leader might not hear from this worker.
            record(*job);
        }
    }
    worker.session->stop(running.task, running.run,
                         closed ? StopReason::job_closed : StopReason::unknown_run);
}

// Returns whether the task waits, also because the order for it had not been sent yet.
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
