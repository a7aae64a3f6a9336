// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Processing of worker reports.

#include "scheduler.h"

#include <pathport/log.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace pathport::jobs {

namespace {

/// A worker with this many faults in a row, which are failures of different jobs and
/// refusals, is avoided for a while.
constexpr int max_consecutive_faults = 2;
/// A step that has failed on this many workers is considered the cause of its failures.
constexpr size_t failed_workers_for_step_fault = 2;
/// At most one in this many workers is avoided at a time. If more seem to fail, the tasks
/// are the cause, and avoiding their workers would block the others.
constexpr size_t avoided_fraction = 4;
constexpr Millis avoid_time { 3000 };
/// Weights of a single run in the queue's mean estimate error and in the worker's speed.
constexpr double estimate_learning_rate = 0.03;
constexpr double speed_learning_rate = 0.08;
/// Limit on what a single run can contribute, as a logarithm.
constexpr double max_slowness = 1.0;
/// Slowness from which a worker counts as slow: about an eighth slower than the others.
constexpr double min_slowness = 0.12;

} // namespace

void Scheduler::report_received(WorkerSession& session, const PollReport& report,
                                ReportStage stage)
{
    Worker* worker = find_worker(session.id());
    if (worker == nullptr || m_phase == Phase::terminated)
        return;
    const bool first = stage != ReportStage::subsequent;
    note_answered(session);
    std::set<std::string> changed;
    // All ended runs are removed before the first end is applied: that may close the job,
    // and ended runs must not be told to stop.
    for (const EndedTask& end : report.ended)
        vacate(*worker, end.task, end.run);
    for (const EndedTask& end : report.ended) {
        if (apply_end(*worker, end, first))
            changed.insert(end.task.job);
    }
    // Running tasks are processed after the ends that precede them. A first report in
    // several parts lists them in each part.
    for (const RunningTask& running : report.running) {
        if (!first)
            reconcile(*worker, running);
        else if (!worker->load.holds(running.task))
            adopt(*worker, running);
        else
            note_progress(*worker, running);
    }
    record_ends(*worker, report, changed);
    refresh_row(*worker);
    if (stage == ReportStage::first_complete) {
        m_unconfirmed_until.erase(session.id());
        release_missing(*worker);
        resolve_unrecorded(session.id());
        activate_when_ready();
        schedule_pass();
    }
}

// Lets the worker discard the ends once all their effects are in the store. An end without
// effect, such as that of another member of a gang, waits for the pending writes of its
// job.
void Scheduler::record_ends(Worker& worker, const PollReport& report,
                            const std::set<std::string>& changed)
{
    if (report.ended.empty())
        return;
    auto batch = std::make_shared<EndBatch>();
    batch->last_number = report.ended.back().number;
    worker.batches.push_back(batch);
    std::set<std::string> reported_jobs;
    for (const EndedTask& end : report.ended)
        reported_jobs.insert(end.task.job);
    // Kept open until all jobs have been counted.
    batch->open = 1;
    for (const std::string& id : reported_jobs) {
        ++batch->open;
        const auto done = m_lifetime.wrap([this, worker = worker.session->id(), batch] {
            --batch->open;
            batch_recorded(worker, batch);
        });
        const bool known = find_job(id) != nullptr || m_closed.count(id) > 0;
        if (!known)
            defer_ends(id, worker, report, done);
        else if (changed.count(id) > 0)
            m_log.record(id, done);
        else
            m_log.when_recorded(id, done);
    }
    --batch->open;
    batch_recorded(worker.session->id(), batch);
}

// A task that is running in the first report was started by an earlier leader.
void Scheduler::adopt(Worker& worker, const RunningTask& running)
{
    begin_repeats_of_run(running.task);
    JobRecord* job = find_job(running.task.job);
    Task* task = job == nullptr ? nullptr : job->task(running.task);
    // A member of a gang may be tried on several workers under the same run id.
    const bool expected = task != nullptr && task->phase == TaskPhase::in_doubt
        && (task->worker == worker.session->id() || running.run >= task->run);
    // Its order preceded its record.
    const bool unrecorded = task != nullptr && task->phase == TaskPhase::waiting;
    Step* step
        = job == nullptr ? nullptr : job->step(running.task.repeat, running.task.step);
    occupy_unexpected(worker, running);
    if (step == nullptr || task == nullptr || job->closed() || !(expected || unrecorded)) {
        log_event(
            LogLevel::info, "stray_run_stopped",
            { { "task", running.task.to_string() }, { "worker", worker.session->id() } });
        worker.session->stop(running.task, running.run,
                             job != nullptr && job->closed() ? StopReason::job_closed
                                                             : StopReason::unknown_run);
        if (job == nullptr && m_closed.count(running.task.job) == 0)
            m_stray_jobs.insert(running.task.job);
        return;
    }
    const Millis now = m_context.loop.now();
    const bool known_to_exist = task->evidence.is_confirmed() || task->crashes.empty();
    const bool recorded = expected && task->worker == worker.session->id()
        && task->run == running.run && known_to_exist;
    task->phase = TaskPhase::running;
    task->worker = worker.session->id();
    task->run = running.run;
    task->placed_at = now;
    task->evidence = RunEvidence::adopted(now);
    // A start thought lost with another incarnation has taken place.
    task->crashes.retract(running.run, WorkerIncarnation::parse(worker.session->id()).name);
    if (task->crashes.suspicion() != Suspicion::none)
        track_suspect(worker, running.task);
    task->percent = running.percent;
    task->percent_at = now;
    if (!running.checkpoint.empty())
        task->checkpoint = running.checkpoint;
    step->gang_run = running.run;
    note_begun(*job);
    // The next leader might not hear from this worker.
    if (!recorded)
        record(*job);
}

void Scheduler::note_progress(Worker& worker, const RunningTask& running)
{
    JobRecord* job = find_job(running.task.job);
    Task* task = job == nullptr ? nullptr : job->task(running.task);
    if (task != nullptr && task->worker == worker.session->id() && task->run == running.run)
        note_progress(*job, *task, running, worker.session->last_full_report());
}

// Updates a task that its worker has listed in its answer to a poll sent at `polled_at` or
// later.
void Scheduler::note_progress(JobRecord& job, Task& task, const RunningTask& running,
                              Millis polled_at)
{
    if (!running.checkpoint.empty())
        task.checkpoint = running.checkpoint;
    const Millis now = m_context.loop.now();
    note_start_confirmed(job, task, task.worker, task.run);
    task.evidence = task.evidence.listed(now, polled_at);
    clear_if_survived(running.task, task);
    if (task.percent == running.percent)
        return;
    task.percent = running.percent;
    task.percent_at = now;
    if (task.first_percent_at == Millis(0)) {
        task.first_percent = task.percent;
        task.first_percent_at = now;
    }
}

// Releases tasks that were intended for the worker but are not there: the order did not
// arrive, and the fence prevents it from arriving later.
void Scheduler::release_missing(const Worker& worker)
{
    const std::string& id = worker.session->id();
    const auto in_doubt_tasks = m_in_doubt.find(id);
    if (in_doubt_tasks == m_in_doubt.end())
        return;
    const std::string name = WorkerIncarnation::parse(id).name;
    for (const TaskId& missing : in_doubt_tasks->second) {
        JobRecord* job = find_job(missing.job);
        Task* task = job == nullptr ? nullptr : job->task(missing);
        const bool never_started = task != nullptr && task->phase == TaskPhase::in_doubt
            && task->worker == id && !task->crashes.has_loss(task->run, name);
        if (never_started)
            task->crashes.note_failed_start();
    }
    release_in_doubt(id, in_doubt_tasks->second);
    m_in_doubt.erase(in_doubt_tasks);
}

void Scheduler::release_in_doubt(const std::string& worker,
                                 const std::vector<TaskId>& tasks)
{
    for (const TaskId& id : tasks) {
        JobRecord* job = find_job(id.job);
        Task* task = job == nullptr ? nullptr : job->task(id);
        if (task != nullptr && task->phase == TaskPhase::in_doubt && task->worker == worker)
            release(*task);
    }
}

// Returns whether this is the end of a run of which an earlier leader recorded neither the
// end nor the start.
bool Scheduler::is_unrecorded_end(const Task& task, const EndedTask& end)
{
    if (task.phase == TaskPhase::done || end.run <= task.ended_run)
        return false;
    if (task.phase == TaskPhase::waiting)
        return true;
    // A member of a gang may be tried on several workers under the same run id.
    return task.phase == TaskPhase::in_doubt && end.run >= task.run;
}

// Returns whether a run that was considered lapsed has completed after all, so that its
// task need not run again. A gang that has been placed anew is left alone.
bool Scheduler::is_late_success(const Step& step, const EndedTask& end)
{
    return end.kind == EndKind::done && !step.spec->long_running
        && (!step.spec->gang || step.placed() == 0);
}

bool Scheduler::apply_end(Worker& worker, const EndedTask& end, bool first)
{
    m_context.metrics.count("pathport_ends_total", { { "how", to_string(end.kind) } });
    vacate(worker, end.task, end.run);
    schedule_pass();
    begin_repeats_of_run(end.task);
    JobRecord* job = find_job(end.task.job);
    Task* task = job == nullptr ? nullptr : job->task(end.task);
    const bool placed_here = task != nullptr && task->placed()
        && task->worker == worker.session->id() && task->run == end.run;
    const bool counted
        = placed_here || (first && task != nullptr && is_unrecorded_end(*task, end));
    log_event(LogLevel::info, "task_ended",
              { { "job", end.task.job },
                { "task", end.task.to_string() },
                { "run", end.run },
                { "worker", worker.session->id() },
                { "how", to_string(end.kind) },
                { "number", end.number },
                { "counts", counted ? "yes" : "no" } });
    Step* found = job == nullptr ? nullptr : job->step(end.task.repeat, end.task.step);
    if (!counted && task != nullptr && is_late_success(*found, end)
        && cancel_intent(end.task, *task)) {
        apply_done(*found, end.task.index);
        after_step_change(*job, *found);
        return true;
    }
    if (!counted) {
        // An unrecorded failure of an earlier run, of a task that runs again elsewhere.
        const bool unrecorded_failure = first && task != nullptr
            && end.kind == EndKind::failed && task->phase != TaskPhase::done
            && end.run < task->run;
        if (!unrecorded_failure || !count_failure(*job, *found, *task, end.run))
            return false;
        after_step_change(*job, *found);
        return true;
    }
    Step& step = *found;
    note_begun(*job);
    // Reports may come late, so only the time up to the last one that listed the run as
    // running counts. Nothing is known of a run that an earlier leader ordered.
    const bool ordered_here = end.run / runs_per_epoch == m_claim.head.epoch;
    const auto runtime = placed_here ? task->evidence.known_runtime() : std::nullopt;
    if (ordered_here && runtime && task->crashes.cleared_by_end_after(*runtime))
        task->crashes.clear();
    if (placed_here && end.kind != EndKind::done)
        refute_losses_by_end(end.task, *task, end.kind);
    task->ended_run = end.run;
    task->run = std::max(task->run, end.run);
    if (!end.checkpoint.empty())
        task->checkpoint = end.checkpoint;
    if (end.kind == EndKind::done) {
        worker.consecutive_faults = 0;
        worker.has_succeeded = true;
        learn_speed(worker, *job, step, *task);
        apply_done(step, end.task.index);
    } else if (end.kind == EndKind::failed) {
        apply_failure(worker, *job, step, *task, end);
    } else {
        release(*task);
    }
    after_step_change(*job, step);
    return true;
}

// The record of the task ends, unless it lasts.
void Scheduler::apply_done(Step& step, int index)
{
    if (!step.spec->gang || step.spec->long_running) {
        release(step.tasks.edit(index));
        if (!step.spec->long_running)
            step.tasks.set_done(index);
        return;
    }
    // The end of one member stands for the whole gang.
    for (auto& [number, member] : step.tasks.records())
        release(member);
    step.tasks.set_all_done();
}

void Scheduler::apply_failure(Worker& worker, JobRecord& job, Step& step, Task& task,
                              const EndedTask& end)
{
    task.failed_on = worker.session->id();
    task.failed_at = m_context.loop.now();
    release(task);
    step.failed_workers.insert(worker.session->id());
    // A worker that fails all its tasks may end a run before that could crash it.
    const bool sound = worker.has_succeeded && worker.consecutive_faults == 0;
    if (sound && step.failed_workers.size() >= failed_workers_for_step_fault)
        task.crashes.note_harmless_failure();
    // A step that fails on several workers is itself the cause.
    if (step.failed_workers.size() < failed_workers_for_step_fault)
        note_fault(worker, job.id());
    count_failure(job, step, task, end.run);
}

// Each run counts once, even if its end is reported to several leaders.
bool Scheduler::count_failure(JobRecord& job, Step& step, Task& task, int64_t run)
{
    if (step.spec->long_running)
        return false;
    auto& runs = step.spec->gang ? step.gang_failed_runs : task.failed_runs;
    if (std::find(runs.begin(), runs.end(), run) != runs.end())
        return false;
    runs.push_back(run);
    if (runs.size() >= size_t(job.accepted().queue.max_failures))
        job.retries_exhausted = true;
    return true;
}

// Submitters' estimates are inaccurate in a way that is typical of each queue, so a run is
// compared with the queue's mean error.
void Scheduler::learn_speed(Worker& worker, const JobRecord& job, const Step& step,
                            const Task& task)
{
    const Millis took = m_context.loop.now() - task.placed_at;
    const bool comparable = !step.spec->gang && !step.spec->long_running
        && !step.spec->best_effort_cpu && task.checkpoint.empty()
        && step.spec->expected_ms > 0 && took > Millis(0);
    if (!comparable)
        return;
    const double error = std::log(double(took.count()) / double(step.spec->expected_ms));
    double& typical
        = m_estimate_error.try_emplace(job.accepted().queue.name, error).first->second;
    typical += estimate_learning_rate * (error - typical);
    const double against_others = std::clamp(error - typical, -max_slowness, max_slowness);
    worker.slowness += speed_learning_rate * (against_others - worker.slowness);
}

// Only urgent work avoids slow workers; all other work has to use them.
bool Scheduler::is_slow(const Worker& worker) const
{
    return uses(Mechanism::slow_workers) && worker.slowness > min_slowness;
}

void Scheduler::note_fault(Worker& worker, const std::string& job)
{
    if (worker.last_failed_job == job && worker.consecutive_faults > 0)
        return;
    worker.last_failed_job = job;
    count_fault(worker);
}

// Starts chosen before a refusal was known count as one fault together with it. A later
// refusal counts again, even for the same job: a job does not cause a worker to refuse.
void Scheduler::note_refusal(Worker& worker, Millis chosen_at)
{
    if (chosen_at <= worker.refused_at)
        return;
    worker.refused_at = m_context.loop.now();
    count_fault(worker);
}

// Returns whether so many other workers are avoided that this one must not be.
bool Scheduler::avoidance_limit_reached(const Worker& worker) const
{
    const Millis now = m_context.loop.now();
    const auto avoided
        = std::count_if(m_workers.begin(), m_workers.end(), [&](const auto& entry) {
              return &entry.second != &worker
                  && now < entry.second.avoid_until + probation_time;
          });
    return static_cast<size_t>(avoided)
        >= std::max<size_t>(1, m_workers.size() / avoided_fraction);
}

void Scheduler::count_fault(Worker& worker)
{
    if (++worker.consecutive_faults < max_consecutive_faults
        || avoidance_limit_reached(worker) || !uses(Mechanism::avoided_workers))
        return;
    worker.avoid_until = m_context.loop.now() + avoid_time;
    log_event(
        LogLevel::warn, "worker_avoided",
        { { "worker", worker.session->id() }, { "surprises", worker.consecutive_faults } });
}

void Scheduler::batch_recorded(const std::string& id,
                               const std::shared_ptr<EndBatch>& batch)
{
    Worker* worker = find_worker(id);
    if (worker == nullptr || batch->open > 0)
        return;
    int64_t recorded = 0;
    while (!worker->batches.empty() && worker->batches.front()->open == 0) {
        recorded = worker->batches.front()->last_number;
        worker->batches.pop_front();
    }
    if (recorded > 0)
        worker->session->ends_recorded(recorded);
}

} // namespace pathport::jobs
