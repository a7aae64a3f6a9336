// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Workers that are lost with what ran there, and tasks that are suspected of it. A worker
/// that crashes says nothing of the cause, so each task that was there is remembered with
/// it. One that went down with a worker soon after its start is tried again where no other
/// suspect is, and after a second time with nothing else started beside it. If the worker
/// is lost once more then, the task is given up and its job has failed; if the task
/// outlives what it did before, nothing is held against it any more.

#include "scheduler.h"

#include <pathport/log.h>

#include <algorithm>

namespace pathport::jobs {

namespace {

/// Tasks that are named in the log for one lost worker.
constexpr size_t most_told = 24;
/// A task is given up once so many workers were lost with it, the last one while nothing
/// else could have done it: the first number if all were lost about as long after its
/// start.
constexpr size_t lost_alike = 3;
constexpr size_t lost_when_alone = 4;
/// A task that lasts is cleared after this life at the latest: it is on some worker always,
/// so time alone loses it many.
constexpr Millis longest_clearing_life { 10000 };
/// How long a lapsed worker may take to show that it was cut off, and not lost.
constexpr Millis lapsed_remembered { 60000 };
/// Workers that are lost within this time may have been lost for the same cause.
constexpr Millis same_cause { 1500 };
/// So many others make it likely.
constexpr int others_of_same_cause = 2;
/// So long the loss of a worker is remembered: its entry may linger in the list.
constexpr Millis loss_remembered { 10000 };

} // namespace

// Returns for how long the run is known to have been there; nothing if an earlier leader
// started it.
std::optional<Millis> Scheduler::known_runtime(const Task& task)
{
    if (task.adopted || task.phase == TaskPhase::in_doubt)
        return std::nullopt;
    return std::max(Millis(0), task.listed_at - task.ordered_at);
}

// Returns the runs that may be on the worker: all whose orders may have reached it.
std::vector<Scheduler::LostRun> Scheduler::runs_on(const Worker& worker)
{
    const std::string& id = worker.session->id();
    std::vector<TaskId> tasks;
    for (const auto& [name, occupant] : worker.load.allocations()) {
        if (const auto task = TaskId::parse(name))
            tasks.push_back(*task);
    }
    const auto doubts = m_in_doubt.find(id);
    if (doubts != m_in_doubt.end())
        tasks.insert(tasks.end(), doubts->second.begin(), doubts->second.end());
    std::vector<LostRun> found;
    for (const TaskId& name : tasks) {
        JobRecord* job = find_job(name.job);
        const Task* task = job == nullptr ? nullptr : job->task(name);
        const bool there = task != nullptr && task->placed() && task->worker == id
            && task->phase != TaskPhase::intended;
        if (there)
            found.push_back({ name, task->run, known_runtime(*task) });
    }
    return found;
}

// Returns whether none of another job that was lost with it may have been the cause as
// well.
bool Scheduler::is_sole_suspect(const LostRun& run, const std::vector<LostRun>& lost)
{
    return std::none_of(lost.begin(), lost.end(), [&](const LostRun& other) {
        JobRecord* job
            = other.task.job == run.task.job ? nullptr : find_job(other.task.job);
        const Task* task = job == nullptr ? nullptr : job->task(other.task);
        return task != nullptr
            && (other.known_runtime.value_or(unknown_runtime) < startup_window
                || task->crashes.suspicion() != Suspicion::none);
    });
}

// Returns whether it was the task, if nothing else could have done it the last time: it was
// suspected before, and it has happened often enough.
bool Scheduler::is_confirmed(const CrashRecord& before, const CrashRecord& after)
{
    const size_t enough = after.has_similar_runtimes() ? lost_alike : lost_when_alone;
    return before.suspicion() == Suspicion::likely && after.size() >= enough;
}

// Returns the worst that speaks against any of the tasks.
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

// No task on trial explains the loss of the worker.
void Scheduler::note_unattributed_loss(const std::string& worker)
{
    const Millis now = m_context.loop.now();
    auto& losses = m_unattributed_losses;
    for (auto entry = losses.begin(); entry != losses.end();)
        entry = now - entry->second > loss_remembered ? losses.erase(entry)
                                                      : std::next(entry);
    losses.try_emplace(worker, now);
}

// Returns whether several others were lost at about the same time, and not for what was on
// trial there: then the cause may lie outside of all of them.
bool Scheduler::has_correlated_losses(Millis at) const
{
    const auto others = std::count_if(
        m_unattributed_losses.begin(), m_unattributed_losses.end(), [&](const auto& entry) {
            return at - entry.second < same_cause && entry.second - at < same_cause;
        });
    return others >= others_of_same_cause;
}

// The task waits until it is known whether others fall at the same time: what takes a rack
// or all workers tells against no task.
void Scheduler::schedule_verdict(const TaskId& id, Task& task)
{
    const Millis lost_at = m_context.loop.now();
    task.verdict_at = lost_at + same_cause;
    m_context.loop.after(same_cause, m_lifetime.wrap([this, id, lost_at] {
        JobRecord* job = find_job(id.job);
        const Task* judged = job == nullptr ? nullptr : job->task(id);
        if (judged == nullptr || job->closed() || judged->phase != TaskPhase::waiting)
            return;
        if (!has_correlated_losses(lost_at))
            give_up(*job, id, "crashes_its_workers");
        schedule_pass();
    }));
}

// Remembers the loss of a worker with the tasks that were there.
void Scheduler::attribute_loss(const std::vector<LostRun>& lost, const std::string& worker,
                               const char* reason, Loss loss)
{
    const Suspicion worst = worst_suspicion(lost);
    if (worst != Suspicion::likely)
        note_unattributed_loss(worker);
    // The entry of a lost worker may linger, and is found to be over again and again.
    if (!lost.empty())
        m_context.metrics.count("pathport_workers_lost_total", { { "reason", reason } });
    std::vector<bool> alone;
    for (const LostRun& run : lost)
        alone.push_back(loss == Loss::crash && run.known_runtime
                        && is_sole_suspect(run, lost));
    std::set<std::string> changed;
    for (size_t i = 0; i < lost.size(); ++i) {
        const LostRun& run = lost[i];
        if (i < most_told)
            log_event(LogLevel::info, "task_lost_with_worker",
                      { { "job", run.task.job },
                        { "task", run.task.to_string() },
                        { "run", run.run },
                        { "worker", worker },
                        { "reason", reason },
                        { "lived_ms", run.known_runtime ? run.known_runtime->count() : -1 },
                        { "alone", alone[i] ? "yes" : "no" },
                        { "suspect_there", to_string(worst) } });
        if (attribute_loss(run, alone[i], worst))
            changed.insert(run.task.job);
    }
    for (const std::string& id : changed) {
        JobRecord* job = find_job(id);
        if (job != nullptr && !job->closed())
            record(*job);
    }
}

// Remembers it with one of them. `worst` is what spoke against any of them before. Returns
// whether it is news, which the next leader has to know.
bool Scheduler::attribute_loss(const LostRun& run, bool alone, Suspicion worst)
{
    JobRecord* job = find_job(run.task.job);
    Task* task = job == nullptr ? nullptr : job->task(run.task);
    if (task == nullptr || job->closed() || task->phase == TaskPhase::done)
        return false;
    const CrashRecord before = task->crashes;
    const Millis life = run.known_runtime.value_or(unknown_runtime);
    const bool explained
        = before.suspicion() == Suspicion::none && worst != Suspicion::none;
    if (!task->crashes.add({ run.run, life.count(), explained }))
        return false;
    job->step(run.task.repeat, run.task.step)->has_crashes = true;
    if (alone && is_confirmed(before, task->crashes))
        schedule_verdict(run.task, *task);
    const Suspicion suspicion = task->crashes.suspicion();
    if (suspicion == before.suspicion())
        return true;
    log_event(LogLevel::warn, "task_suspected",
              { { "job", run.task.job },
                { "task", run.task.to_string() },
                { "workers_lost", static_cast<int64_t>(task->crashes.size()) },
                { "suspicion", to_string(suspicion) } });
    return true;
}

// The job has failed: the task is not started again.
void Scheduler::give_up(JobRecord& job, const TaskId& id, const char* reason)
{
    const CrashRecord& crashes = job.task(id)->crashes;
    log_event(LogLevel::warn, "task_given_up",
              { { "job", id.job },
                { "task", id.to_string() },
                { "reason", reason },
                { "workers_lost", static_cast<int64_t>(crashes.size()) },
                { "tries", crashes.tries() } });
    m_context.metrics.count("pathport_tasks_given_up_total", { { "reason", reason } });
    job.retries_exhausted = true;
    close_if_final(job);
}

// Returns whether a task of the step is not to be started any more, and its job has failed.
bool Scheduler::give_up_exhausted(JobRecord& job, Step& step)
{
    for (size_t i = 0; i < step.tasks.size(); ++i) {
        const Task& task = step.tasks[i];
        if (task.phase != TaskPhase::waiting || !task.crashes.tries_exhausted())
            continue;
        give_up(job, { job.id(), step.repeat, step.index, static_cast<int>(i) },
                "not_cleared");
        return true;
    }
    return false;
}

// The lease of all that was there is over. A worker that the list still names, or names
// again, was cut off; one that it has dropped is taken for lost.
void Scheduler::note_lapsed_runs(const std::string& worker, std::vector<LostRun> lost,
                                 bool listed, Loss loss)
{
    const Millis now = m_context.loop.now();
    for (auto entry = m_lapsed_runs.begin(); entry != m_lapsed_runs.end();) {
        const bool old = now - entry->second.at > lapsed_remembered;
        entry = old ? m_lapsed_runs.erase(entry) : std::next(entry);
    }
    if (lost.empty())
        return;
    m_lapsed_runs[worker] = { std::move(lost), loss, false, now };
    if (!listed)
        attribute_lapsed_runs(worker);
}

// A worker whose lease had lapsed is lost.
void Scheduler::attribute_lapsed_runs(const std::string& worker)
{
    const auto found = m_lapsed_runs.find(worker);
    if (found == m_lapsed_runs.end() || found->second.attributed)
        return;
    found->second.attributed = true;
    attribute_loss(found->second.runs, worker, "lapsed", found->second.loss);
}

// A worker whose lease had lapsed answers again: it was cut off.
void Scheduler::retract_lapsed_loss(const std::string& worker)
{
    const auto found = m_lapsed_runs.find(worker);
    if (found == m_lapsed_runs.end())
        return;
    for (const LostRun& run : found->second.runs) {
        JobRecord* job = found->second.attributed ? find_job(run.task.job) : nullptr;
        Task* task = job == nullptr ? nullptr : job->task(run.task);
        if (task != nullptr && task->crashes.retract(run.run))
            log_event(LogLevel::info, "task_loss_taken_back",
                      { { "job", run.task.job },
                        { "task", run.task.to_string() },
                        { "worker", worker } });
    }
    m_lapsed_runs.erase(found);
}

// The worker has just listed the task.
void Scheduler::clear_if_survived(const TaskId& id, Task& task)
{
    const Millis life = m_context.loop.now() - task.ordered_at;
    Step& step = *find_job(id.job)->step(id.repeat, id.step);
    step.has_survivor = step.has_survivor || life > startup_window;
    if (task.crashes.empty())
        return;
    Millis clearing = task.crashes.clearing_runtime();
    if (step.spec->long_running)
        clearing = std::min(clearing, longest_clearing_life);
    if (life <= clearing)
        return;
    log_event(LogLevel::info, "task_cleared",
              { { "job", id.job },
                { "task", id.to_string() },
                { "worker", task.worker },
                { "workers_lost", static_cast<int64_t>(task.crashes.size()) },
                { "lived_ms", life.count() } });
    task.crashes.clear();
}

} // namespace pathport::jobs
