// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Lost workers, the runs lost with them, and tasks suspected of crashing workers. A
/// crashed worker does not report the cause, so the loss is recorded against every task
/// that ran there. A task lost soon after its start is retried on a worker without other
/// suspects and, after a second loss, with nothing else started beside it. If that worker
/// is lost as well, the task is given up and its job fails. If a run outlives the earlier
/// ones, the task is cleared.

#include "scheduler.h"

#include <pathport/log.h>

#include <algorithm>

namespace pathport::jobs {

namespace {

/// Upper limit on the tasks logged for one lost worker.
constexpr size_t max_logged = 24;
/// A task is given up once this many workers were lost with it and nothing else could have
/// caused the last loss. The lower number applies if all were lost about equally long after
/// the task's start.
constexpr size_t min_similar_losses = 3;
constexpr size_t min_losses = 4;
/// A long-running task is cleared after this run time at the latest: it is always on some
/// worker, so over time it sees many workers lost for other reasons.
constexpr Millis max_clearing_runtime { 10000 };
/// How long a worker with a lapsed lease may take to prove that it was partitioned rather
/// than lost.
constexpr Millis lapsed_retention { 60000 };
/// Workers lost within this time of each other may share a cause.
constexpr Millis shared_cause_window { 1500 };
/// A shared cause is likely with this many other losses.
constexpr int min_correlated_losses = 2;
/// How long the loss of a worker is remembered: its entry may linger in the worker list,
/// and many losses without a suspect show that workers are lost for other reasons.
constexpr Millis loss_retention { 30000 };
/// With this many unexplained losses within that time, those of one task may be
/// coincidence.
constexpr int max_unexplained_losses = 3;
/// Limit on the rows that are written only because a loss was possible, so that they do not
/// hold back the starts of a long queue.
constexpr int max_rows_for_losses = 100;
/// A new leader knows too little of other losses to tell coincidence for this long.
constexpr Millis min_observation { 10000 };

// Returns whether this leader had ordered the run shortly before it was lost, so that it
// may have crashed the worker by starting.
bool may_have_just_started(const LostRun& run)
{
    if (!run.evidence.is_confirmed())
        return run.evidence.max_runtime(run.lost_by).has_value();
    return run.evidence.known_runtime().value_or(unknown_runtime) < startup_window;
}

} // namespace

// Returns the runs that may be on the worker, which was lost by `lost_by`: all those whose
// start orders may have arrived.
std::vector<LostRun> Scheduler::runs_on(const Worker& worker, Millis lost_by)
{
    const std::string& id = worker.session->id();
    std::vector<TaskId> tasks;
    for (const auto& [name, allocation] : worker.load.allocations()) {
        if (const auto task = TaskId::parse(name))
            tasks.push_back(*task);
    }
    const auto in_doubt_tasks = m_in_doubt.find(id);
    if (in_doubt_tasks != m_in_doubt.end())
        tasks.insert(tasks.end(), in_doubt_tasks->second.begin(),
                     in_doubt_tasks->second.end());
    std::vector<LostRun> found;
    for (const TaskId& name : tasks) {
        JobRecord* job = find_job(name.job);
        const Task* task = job == nullptr ? nullptr : job->task(name);
        const bool may_be_there = task != nullptr && task->placed() && task->worker == id
            && task->evidence.may_exist();
        if (may_be_there)
            found.push_back({ name, task->run, task->evidence, lost_by });
    }
    return found;
}

// Returns the runs on the worker that may have crashed it. A worker that had announced its
// end left as announced, unless a run had just started: none is started there shortly
// before an announced end.
std::vector<LostRun> Scheduler::attributable_runs(const Worker& worker, Millis lost_by)
{
    std::vector<LostRun> runs = runs_on(worker, lost_by);
    if (worker.session->info().draining) {
        const auto is_older = [](const LostRun& run) {
            return run.evidence.known_runtime().value_or(Millis(0)) >= startup_window;
        };
        runs.erase(std::remove_if(runs.begin(), runs.end(), is_older), runs.end());
    }
    return runs;
}

// Returns whether the run existed and no run of another job that may have been lost with it
// could be the cause as well.
bool Scheduler::is_sole_suspect(const LostRun& run, const std::vector<LostRun>& lost)
{
    if (!run.evidence.known_runtime())
        return false;
    return std::none_of(lost.begin(), lost.end(), [&](const LostRun& other) {
        JobRecord* job
            = other.task.job == run.task.job ? nullptr : find_job(other.task.job);
        const Task* task = job == nullptr ? nullptr : job->task(other.task);
        return task != nullptr
            && (may_have_just_started(other)
                || task->crashes.suspicion() != Suspicion::none);
    });
}

// Returns whether the task is proven to be the cause, given that nothing else could have
// caused the last loss: it was already a likely suspect, and enough workers were lost.
bool Scheduler::is_proven_cause(const CrashRecord& before, const CrashRecord& after)
{
    const bool are_similar
        = after.confirmed_losses() >= min_similar_losses && after.has_similar_runtimes();
    return before.suspicion() == Suspicion::likely && after.may_give_up()
        && (are_similar || after.size() >= min_losses);
}

// Returns the loss as it is recorded against the task. A run of which only the order is
// known tells nothing of how soon after a start the task might crash its worker.
CrashedRun Scheduler::recorded_loss(const LostRun& run, const std::string& worker)
{
    const Millis runtime = run.evidence.known_runtime().value_or(unknown_runtime);
    const Millis max_runtime = run.evidence.max_runtime(run.lost_by).value_or(Millis(0));
    return { run.run,
             runtime.count(),
             false,
             WorkerIncarnation::parse(worker).name,
             max_runtime.count(),
             run.evidence.is_confirmed() };
}

// Returns the highest suspicion against any of the tasks.
Suspicion Scheduler::worst_suspicion(const std::vector<LostRun>& lost)
{
    Suspicion worst = Suspicion::none;
    for (const LostRun& run : lost) {
        JobRecord* job = find_job(run.task.job);
        const Task* task = job == nullptr ? nullptr : job->task(run.task);
        if (task != nullptr)
            worst = std::max(worst, task->crashes.suspicion());
    }
    return worst;
}

// Records a loss that no active suspect accounts for.
void Scheduler::note_unattributed_loss(const std::string& worker)
{
    const Millis now = m_context.loop.now();
    auto& losses = m_unattributed_losses;
    for (auto entry = losses.begin(); entry != losses.end();)
        entry = now - entry->second.at > loss_retention ? losses.erase(entry)
                                                        : std::next(entry);
    losses.try_emplace(worker, UnattributedLoss { now, false });
}

// A task with several losses accounts for the workers that were lost with it, so these do
// not show that workers are lost for other reasons.
void Scheduler::note_explained_losses(const CrashRecord& crashes)
{
    for (auto& [worker, loss] : m_unattributed_losses)
        loss.explained
            = loss.explained || crashes.lost_worker(WorkerIncarnation::parse(worker).name);
}

// Returns whether several other workers were lost at about the same time without a suspect
// to account for it: the cause may then be external to all of them.
bool Scheduler::has_correlated_losses(Millis at) const
{
    const auto others = std::count_if(m_unattributed_losses.begin(),
                                      m_unattributed_losses.end(), [&](const auto& entry) {
                                          return at - entry.second.at < shared_cause_window
                                              && entry.second.at - at < shared_cause_window;
                                      });
    return others >= min_correlated_losses;
}

// Returns whether so few workers were lost lately beside those lost with suspects of the
// step that the latter are unlikely to be coincidence.
bool Scheduler::losses_are_rare_without(const Step& step) const
{
    const Millis now = m_context.loop.now();
    const auto lost_with_step = [&](const std::string& worker) {
        return step.tasks.any_record([&](const Task& task) {
            return task.crashes.suspicion() != Suspicion::none
                && task.crashes.lost_worker(worker);
        });
    };
    const auto unexplained = std::count_if(
        m_unattributed_losses.begin(), m_unattributed_losses.end(), [&](const auto& entry) {
            return now - entry.second.at < loss_retention && !entry.second.explained
                && !lost_with_step(WorkerIncarnation::parse(entry.first).name);
        });
    return now - m_claim.claimed >= min_observation && unexplained < max_unexplained_losses;
}

// Delays the verdict until it is known whether other workers are lost at the same time: the
// loss of a rack or of all workers is no evidence against a task.
void Scheduler::schedule_verdict(const TaskId& id, Task& task)
{
    const Millis lost_at = m_context.loop.now();
    task.verdict_at = lost_at + shared_cause_window;
    m_context.loop.after(shared_cause_window, m_lifetime.wrap([this, id, lost_at] {
        JobRecord* job = find_job(id.job);
        const Task* suspect = job == nullptr ? nullptr : job->task(id);
        if (suspect == nullptr || job->closed() || suspect->phase != TaskPhase::waiting)
            return;
        const Step& step = *job->step(id.repeat, id.step);
        if (!has_correlated_losses(lost_at) && losses_are_rare_without(step))
            give_up(*job, id, "crashes_its_workers");
        schedule_pass();
    }));
}

// Records the loss of a worker against the tasks that ran there.
void Scheduler::attribute_loss(const std::vector<LostRun>& lost, const std::string& worker,
                               const char* reason, Loss loss)
{
    const Suspicion worst = worst_suspicion(lost);
    if (worst != Suspicion::likely)
        note_unattributed_loss(worker);
    // The entry of a lost worker may linger, and its end is then found repeatedly.
    if (!lost.empty())
        m_context.metrics.count("pathport_workers_lost_total", { { "reason", reason } });
    std::vector<bool> sole_suspect;
    for (const LostRun& run : lost)
        sole_suspect.push_back(loss == Loss::crash && is_sole_suspect(run, lost));
    std::set<std::string> changed;
    for (size_t i = 0; i < lost.size(); ++i) {
        const LostRun& run = lost[i];
        if (i < max_logged)
            log_event(
                LogLevel::info, "task_lost_with_worker",
                { { "job", run.task.job },
                  { "task", run.task.to_string() },
                  { "run", run.run },
                  { "worker", worker },
                  { "reason", reason },
                  { "existence", to_string(run.evidence.existence()) },
                  { "lived_ms", run.evidence.known_runtime().value_or(Millis(-1)).count() },
                  { "alone", sole_suspect[i] ? "yes" : "no" },
                  { "suspect_there", to_string(worst) } });
        if (attribute_loss(run, worker, sole_suspect[i], worst))
            changed.insert(run.task.job);
    }
    for (const std::string& id : changed) {
        JobRecord* job = find_job(id);
        if (job != nullptr && !job->closed())
            record(*job);
    }
}

// Records the loss against one task. `worst` is the highest suspicion against any of the
// tasks before. Returns whether the record changed, so that it must be saved for the next
// leader.
bool Scheduler::attribute_loss(const LostRun& run, const std::string& worker,
                               bool sole_suspect, Suspicion worst)
{
    JobRecord* job = find_job(run.task.job);
    Task* task = job == nullptr ? nullptr : job->task(run.task);
    if (task == nullptr || job->closed() || task->phase == TaskPhase::done)
        return false;
    Step& step = *job->step(run.task.repeat, run.task.step);
    task->crashes.expect_unrecorded_losses(step.unrecorded_losses);
    const CrashRecord before = task->crashes;
    CrashedRun loss = recorded_loss(run, worker);
    loss.is_weak = before.suspicion() == Suspicion::none && worst != Suspicion::none;
    if (!task->crashes.add(loss))
        return false;
    step.has_crashes = true;
    if (task->crashes.size() >= min_similar_losses)
        note_explained_losses(task->crashes);
    if (sole_suspect && is_proven_cause(before, task->crashes))
        schedule_verdict(run.task, *task);
    const Suspicion suspicion = task->crashes.suspicion();
    if (suspicion == before.suspicion())
        return true;
    log_event(LogLevel::warn, "task_suspected",
              { { "job", run.task.job },
                { "task", run.task.to_string() },
                { "workers_lost", static_cast<int64_t>(task->crashes.size()) },
                { "confirmed", static_cast<int64_t>(task->crashes.confirmed_losses()) },
                { "suspicion", to_string(suspicion) } });
    return true;
}

// Fails the job; the task is not started again.
void Scheduler::give_up(JobRecord& job, const TaskId& id, const char* reason)
{
    const CrashRecord& crashes = job.task(id)->crashes;
    log_event(LogLevel::warn, "task_given_up",
              { { "job", id.job },
                { "task", id.to_string() },
                { "reason", reason },
                { "workers_lost", static_cast<int64_t>(crashes.size()) },
                { "confirmed", static_cast<int64_t>(crashes.confirmed_losses()) },
                { "tries", crashes.tries() } });
    m_context.metrics.count("pathport_tasks_given_up_total", { { "reason", reason } });
    job.retries_exhausted = true;
    close_if_final(job);
}

// Fails the job if a task of the step has used up its starts. Returns whether it did.
bool Scheduler::give_up_exhausted(JobRecord& job, Step& step)
{
    for (const auto& [index, task] : step.tasks.records()) {
        if (task.phase != TaskPhase::waiting || !task.crashes.tries_exhausted())
            continue;
        give_up(job, { job.id(), step.repeat, step.index, index }, "not_cleared");
        return true;
    }
    return false;
}

// Called when a worker on which an earlier leader may have started tasks without a record
// is lost before it has reported to this leader. Nothing tells which tasks it started, so
// the loss is taken into account for all that it may have started. At most one start of a
// task can be lost with a leader this way: a second one waits for the record of the first
// loss.
void Scheduler::note_unrecorded_loss(const std::string& worker)
{
    if (m_unresolved.count(worker) == 0 || m_unrecorded_loss_noted)
        return;
    m_unrecorded_loss_noted = true;
    int64_t steps = 0;
    int rows = 0;
    for (auto& [id, job] : m_jobs) {
        if (!job->loaded || job->closed())
            continue;
        const int64_t before = steps;
        for (auto& [number, repeat] : job->repeats()) {
            for (Step& step : repeat.steps) {
                if (!step.may_start_unrecorded() || !job->dependencies_met(step))
                    continue;
                ++step.unrecorded_losses;
                ++steps;
            }
        }
        // The next leader finds no worker in doubt any more. The rows of other jobs are
        // written with their next start.
        if (steps > before && ++rows <= max_rows_for_losses)
            record(*job);
    }
    log_event(LogLevel::info, "unrecorded_loss_possible",
              { { "worker", worker }, { "steps", steps } });
}

// Handles the end of a worker's lease. A worker that is still listed, or is listed again,
// was partitioned; one that is no longer listed counts as lost.
void Scheduler::note_lapsed_runs(const std::string& worker, std::vector<LostRun> lost,
                                 bool listed, Loss loss)
{
    const Millis now = m_context.loop.now();
    for (auto entry = m_lapsed_runs.begin(); entry != m_lapsed_runs.end();) {
        const bool old = now - entry->second.at > lapsed_retention;
        entry = old ? m_lapsed_runs.erase(entry) : std::next(entry);
    }
    if (lost.empty())
        return;
    m_lapsed_runs[worker] = { std::move(lost), loss, false, now };
    if (listed)
        record_provisional_losses(worker);
    else
        attribute_lapsed_runs(worker);
}

// Until it is known whether a listed worker was lost or partitioned, its runs are recorded
// as weak evidence, and not as confirmed losses: this leader may be replaced before that,
// and the tasks are started again.
void Scheduler::record_provisional_losses(const std::string& worker)
{
    std::set<std::string> changed;
    for (const LostRun& run : m_lapsed_runs[worker].runs) {
        JobRecord* job = find_job(run.task.job);
        Task* task = job == nullptr ? nullptr : job->task(run.task);
        if (task == nullptr || job->closed() || task->phase == TaskPhase::done)
            continue;
        Step& step = *job->step(run.task.repeat, run.task.step);
        CrashedRun loss = recorded_loss(run, worker);
        loss.is_weak = true;
        loss.is_confirmed = false;
        task->crashes.expect_unrecorded_losses(step.unrecorded_losses);
        task->crashes.add(loss);
        step.has_crashes = true;
        changed.insert(run.task.job);
    }
    for (const std::string& id : changed)
        record(*find_job(id));
}

// Removes the losses recorded for a worker whose lease lapsed. Returns the runs whose
// losses were recorded.
std::vector<LostRun> Scheduler::retract_losses(const std::string& worker,
                                               const std::vector<LostRun>& runs)
{
    std::vector<LostRun> retracted;
    const std::string name = WorkerIncarnation::parse(worker).name;
    for (const LostRun& run : runs) {
        JobRecord* job = find_job(run.task.job);
        Task* task = job == nullptr ? nullptr : job->task(run.task);
        if (task != nullptr && task->crashes.retract(run.run, name))
            retracted.push_back(run);
    }
    return retracted;
}

// A worker with a lapsed lease is lost.
void Scheduler::attribute_lapsed_runs(const std::string& worker)
{
    const auto found = m_lapsed_runs.find(worker);
    if (found == m_lapsed_runs.end() || found->second.attributed)
        return;
    found->second.attributed = true;
    // What was recorded provisionally counts in full now.
    retract_losses(worker, found->second.runs);
    attribute_loss(found->second.runs, worker, "lapsed", found->second.loss);
}

// A worker with a lapsed lease answers again, so it was only partitioned.
void Scheduler::retract_lapsed_loss(const std::string& worker)
{
    const auto found = m_lapsed_runs.find(worker);
    if (found == m_lapsed_runs.end())
        return;
    for (const LostRun& run : retract_losses(worker, found->second.runs))
        log_event(LogLevel::info, "task_loss_taken_back",
                  { { "job", run.task.job },
                    { "task", run.task.to_string() },
                    { "worker", worker } });
    m_lapsed_runs.erase(found);
}

// Called when the worker has just reported the task as running.
void Scheduler::clear_if_survived(const TaskId& id, Task& task)
{
    const Millis runtime = task.evidence.age(m_context.loop.now());
    JobRecord& job = *find_job(id.job);
    Step& step = *job.step(id.repeat, id.step);
    step.has_survivor = step.has_survivor || runtime > startup_window;
    if (step.spec->long_running)
        task.crashes.note_survival(runtime);
    if (task.crashes.empty())
        return;
    const auto losses = static_cast<int64_t>(task.crashes.size());
    task.crashes.refute(runtime);
    if (step.spec->long_running && runtime > max_clearing_runtime)
        task.crashes.clear();
    // The next leader knows nothing of this run's length.
    if (static_cast<int64_t>(task.crashes.size()) < losses)
        record(job);
    if (!task.crashes.empty())
        return;
    log_event(LogLevel::info, "task_cleared",
              { { "job", id.job },
                { "task", id.to_string() },
                { "worker", task.worker },
                { "workers_lost", losses },
                { "lived_ms", runtime.count() } });
}

// Called when a run has ended by itself or on request while its worker lives on.
void Scheduler::refute_losses_by_end(const TaskId& id, Task& task, EndKind kind)
{
    if (task.crashes.empty())
        return;
    Millis runtime = task.evidence.observed_runtime();
    // It ended because it had waited that long for the other members.
    if (kind == EndKind::gang_not_formed)
        runtime = std::max(runtime, m_context.bounds.gang_timeout);
    if (!task.crashes.refute_by_end(runtime))
        return;
    log_event(LogLevel::info, "task_losses_refuted",
              { { "job", id.job },
                { "task", id.to_string() },
                { "worker", task.worker },
                { "how", to_string(kind) },
                { "lived_ms", runtime.count() },
                { "losses_left", static_cast<int64_t>(task.crashes.size()) } });
}

} // namespace pathport::jobs
