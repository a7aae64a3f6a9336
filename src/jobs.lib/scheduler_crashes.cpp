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
#include <numeric>
#include <tuple>

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
/// Suspects of one job that are tried at a time: so many workers at most are at risk.
constexpr int most_tried = 2;
/// A suspect waits so long at most for a worker where nothing else would be blamed.
constexpr Millis suspect_patience { 1000 };
constexpr Millis likely_patience { 2500 };
/// A suspect is on trial no longer after its start, whether it is cleared by then or not.
constexpr Millis longest_trial { 5000 };
/// One in so many workers is kept from other starts at a time.
constexpr size_t closed_fraction = 4;
/// How long a lapsed worker may take to show that it was cut off, and not lost.
constexpr Millis lapsed_remembered { 60000 };
/// Workers that are lost within this time may have been lost for the same cause.
constexpr Millis same_cause { 1500 };
/// So long the loss of a worker is remembered: its entry may linger in the list.
constexpr Millis loss_remembered { 10000 };

} // namespace

// Returns for how long the run is known to have been there; nothing if an earlier leader
// started it.
std::optional<Millis> Scheduler::lived(const Task& task)
{
    if (task.adopted || task.phase == TaskPhase::in_doubt)
        return std::nullopt;
    return std::max(Millis(0), task.listed_at - task.placed_at);
}

// Returns the runs that may be on the worker: all whose orders may have reached it.
std::vector<Scheduler::LostRun> Scheduler::runs_on(const Worker& worker)
{
    const std::string& id = worker.session->id();
    std::vector<TaskId> tasks;
    for (const auto& [name, occupant] : worker.load.occupants()) {
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
            found.push_back({ name, task->run, lived(*task) });
    }
    return found;
}

// Returns whether none of another job that was lost with it may have been the cause as
// well.
bool Scheduler::lost_alone(const LostRun& run, const std::vector<LostRun>& lost)
{
    return std::none_of(lost.begin(), lost.end(), [&](const LostRun& other) {
        JobRecord* job
            = other.task.job == run.task.job ? nullptr : find_job(other.task.job);
        const Task* task = job == nullptr ? nullptr : job->task(other.task);
        return task != nullptr
            && (other.lived.value_or(unknown_life) < fresh_run
                || task->crashes.suspicion() != Suspicion::none);
    });
}

// Returns whether it was the task, if nothing else could have done it the last time: it was
// suspected before, and it has happened often enough.
bool Scheduler::is_proven(const CrashRecord& before, const CrashRecord& after)
{
    const size_t enough = after.lives_alike() ? lost_alike : lost_when_alone;
    return before.suspicion() == Suspicion::likely && after.size() >= enough;
}

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

void Scheduler::note_unexplained(const std::string& worker)
{
    const Millis now = m_parts.loop.now();
    auto& losses = m_unexplained_losses;
    for (auto entry = losses.begin(); entry != losses.end();)
        entry = now - entry->second > loss_remembered ? losses.erase(entry)
                                                      : std::next(entry);
    losses.try_emplace(worker, now);
}

// Returns whether others were lost at about the same time, and not for what was on trial
// there: then the cause may lie outside of all of them.
bool Scheduler::others_fall(const std::string& worker) const
{
    const Millis now = m_parts.loop.now();
    return std::any_of(m_unexplained_losses.begin(), m_unexplained_losses.end(),
                       [&](const auto& entry) {
                           return entry.first != worker && now - entry.second < same_cause;
                       });
}

void Scheduler::hold_against(const std::vector<LostRun>& lost, const std::string& worker,
                             const char* reason, Loss loss)
{
    const Suspicion worst = worst_suspicion(lost);
    if (worst != Suspicion::likely)
        note_unexplained(worker);
    // The entry of a lost worker may linger, and is found to be over again and again.
    if (!lost.empty())
        m_parts.metrics.count("pathport_workers_lost_total", { { "reason", reason } });
    const bool only_one = loss == Loss::crash && !others_fall(worker);
    std::vector<bool> alone;
    for (const LostRun& run : lost)
        alone.push_back(only_one && run.lived && lost_alone(run, lost));
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
                        { "lived_ms", run.lived ? run.lived->count() : -1 },
                        { "alone", alone[i] ? "yes" : "no" },
                        { "suspect_there", to_string(worst) } });
        if (hold_against(run, alone[i], worst))
            changed.insert(run.task.job);
    }
    for (const std::string& id : changed) {
        JobRecord* job = find_job(id);
        if (job != nullptr && !job->closed())
            record(*job);
    }
}

// Returns whether the next leader should know what has changed by it. `worst` is what spoke
// against any task that was lost with the worker.
bool Scheduler::hold_against(const LostRun& run, bool alone, Suspicion worst)
{
    JobRecord* job = find_job(run.task.job);
    Task* task = job == nullptr ? nullptr : job->task(run.task);
    if (task == nullptr || job->closed() || task->phase == TaskPhase::done)
        return false;
    const CrashRecord before = task->crashes;
    Millis life = run.lived.value_or(unknown_life);
    // A suspect explains the loss, so it says less of what ran beside it.
    if (before.suspicion() == Suspicion::none && worst != Suspicion::none)
        life = std::max(life, unknown_life);
    if (!task->crashes.add({ run.run, life.count() }))
        return false;
    job->step(run.task.repeat, run.task.step)->has_crashes = true;
    if (alone && is_proven(before, task->crashes)) {
        give_up(*job, run.task, "crashes_its_workers");
        return false;
    }
    const Suspicion suspicion = task->crashes.suspicion();
    if (suspicion == before.suspicion())
        return false;
    log_event(LogLevel::warn, "task_suspected",
              { { "job", run.task.job },
                { "task", run.task.to_string() },
                { "workers_lost", static_cast<int64_t>(task->crashes.size()) },
                { "suspicion", to_string(suspicion) } });
    return true;
}

void Scheduler::give_up(JobRecord& job, const TaskId& id, const char* reason)
{
    const CrashRecord& crashes = job.task(id)->crashes;
    log_event(LogLevel::warn, "task_given_up",
              { { "job", id.job },
                { "task", id.to_string() },
                { "reason", reason },
                { "workers_lost", static_cast<int64_t>(crashes.size()) },
                { "tries", crashes.tries() } });
    m_parts.metrics.count("pathport_tasks_given_up_total", { { "reason", reason } });
    job.gave_up = true;
    close_if_final(job);
}

// Returns whether a task of the step is not to be started any more, and its job has failed.
bool Scheduler::give_up_spent(JobRecord& job, Step& step)
{
    for (size_t i = 0; i < step.tasks.size(); ++i) {
        const Task& task = step.tasks[i];
        if (task.phase != TaskPhase::waiting || !task.crashes.spent())
            continue;
        give_up(job, { job.id(), step.repeat, step.index, static_cast<int>(i) },
                "not_cleared");
        return true;
    }
    return false;
}

// The lease of all that was there is over. A worker that the list still names, or names
// again, was cut off; one that it has dropped is taken for lost.
void Scheduler::hold_lapsed(const std::string& worker, std::vector<LostRun> lost,
                            bool listed, Loss loss)
{
    const Millis now = m_parts.loop.now();
    for (auto entry = m_lapsed_runs.begin(); entry != m_lapsed_runs.end();) {
        const bool old = now - entry->second.at > lapsed_remembered;
        entry = old ? m_lapsed_runs.erase(entry) : std::next(entry);
    }
    if (lost.empty())
        return;
    m_lapsed_runs[worker] = { std::move(lost), loss, false, now };
    if (!listed)
        settle_lapsed(worker);
}

// A worker whose lease had lapsed is lost.
void Scheduler::settle_lapsed(const std::string& worker)
{
    const auto found = m_lapsed_runs.find(worker);
    if (found == m_lapsed_runs.end() || found->second.held)
        return;
    found->second.held = true;
    hold_against(found->second.runs, worker, "lapsed", found->second.loss);
}

// A worker whose lease had lapsed answers again: it was cut off.
void Scheduler::take_back_lapsed(const std::string& worker)
{
    const auto found = m_lapsed_runs.find(worker);
    if (found == m_lapsed_runs.end())
        return;
    for (const LostRun& run : found->second.runs) {
        JobRecord* job = found->second.held ? find_job(run.task.job) : nullptr;
        Task* task = job == nullptr ? nullptr : job->task(run.task);
        if (task != nullptr && task->crashes.take_back(run.run))
            log_event(LogLevel::info, "task_loss_taken_back",
                      { { "job", run.task.job },
                        { "task", run.task.to_string() },
                        { "worker", worker } });
    }
    m_lapsed_runs.erase(found);
}

// The worker has just listed the task.
void Scheduler::clear_if_outlived(const TaskId& id, Task& task)
{
    if (task.crashes.empty())
        return;
    const Step& step = *find_job(id.job)->step(id.repeat, id.step);
    const Millis life = m_parts.loop.now() - task.placed_at;
    Millis clearing = task.crashes.clearing_life();
    if (step.spec->lasting)
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

void Scheduler::prove(Worker& worker, const TaskId& task)
{
    worker.proving.insert(task.to_string());
    refresh_proving(worker);
}

// Returns whether a suspect has been started so lately that it may yet crash its worker.
bool Scheduler::is_on_trial(const Task& task) const
{
    return task.placed() && task.crashes.suspicion() != Suspicion::none
        && m_parts.loop.now() - task.placed_at < longest_trial;
}

// What is not there any more, or is cleared, holds up nothing else.
void Scheduler::refresh_proving(Worker& worker)
{
    if (worker.proving.empty())
        return;
    bool closes = false;
    for (auto name = worker.proving.begin(); name != worker.proving.end();) {
        const auto id = TaskId::parse(*name);
        JobRecord* job = find_job(id->job);
        const Task* task = job == nullptr ? nullptr : job->task(*id);
        const bool there
            = task != nullptr && is_on_trial(*task) && task->worker == worker.session->id();
        closes = closes || (there && task->crashes.suspicion() == Suspicion::likely);
        name = there ? std::next(name) : worker.proving.erase(name);
    }
    worker.closed = closes && (worker.closed || may_close_another());
}

bool Scheduler::may_close_another() const
{
    const auto closed
        = std::count_if(m_workers.begin(), m_workers.end(),
                        [](const auto& entry) { return entry.second.closed; });
    return static_cast<size_t>(closed)
        < std::max<size_t>(1, m_workers.size() / closed_fraction);
}

// Returns the suspects of the step that may be tried now. Those that are likely to crash
// their worker go one at a time, and before the others of the job: if they do, the others
// need not be tried any more.
std::vector<size_t> Scheduler::suspects_to_try(JobRecord& job, const Step& step)
{
    int tried = 0;
    bool has_likely = false;
    for (const auto& [number, repeat] : job.repeats()) {
        for (const Step& other : repeat.steps) {
            for (const Task& task : other.tasks) {
                const Suspicion suspicion = task.crashes.suspicion();
                if (suspicion == Suspicion::none || task.phase == TaskPhase::done)
                    continue;
                tried += is_on_trial(task) ? 1 : 0;
                has_likely = has_likely || suspicion == Suspicion::likely;
            }
        }
    }
    const int most = has_likely ? 1 : most_tried;
    std::vector<size_t> found;
    for (size_t i = 0; i < step.tasks.size() && tried < most; ++i) {
        const Task& task = step.tasks[i];
        const Suspicion suspicion = task.crashes.suspicion();
        const bool goes = task.phase == TaskPhase::waiting && suspicion != Suspicion::none
            && (!has_likely || suspicion == Suspicion::likely);
        if (!goes)
            continue;
        found.push_back(i);
        ++tried;
    }
    return found;
}

// Returns the place in `rooms` of the worker to try the suspect on: where nothing else
// would be blamed, and the least is at risk. Returns their number if it should wait.
size_t Scheduler::best_for_suspect(const Task& task, const std::vector<WorkerRoom>& rooms)
{
    const bool likely = task.crashes.suspicion() == Suspicion::likely;
    const Millis patience = likely ? likely_patience : suspect_patience;
    const bool patient = m_pass_begun - task.released_at < patience;
    const bool closes = !likely || may_close_another();
    using Key = std::tuple<bool, bool, bool, size_t, size_t>;
    std::optional<Key> best;
    for (size_t i = 0; i < rooms.size(); ++i) {
        const Worker& worker = *find_worker(std::string(rooms[i].worker));
        const bool shared = !worker.proving.empty() || !closes
            || (likely && m_pass_begun - worker.last_start < fresh_run);
        if (shared && patient)
            continue;
        const Key key { shared, !worker.proving.empty(), rooms[i].second_choice,
                        worker.load.occupants().size(), i };
        if (!best || key < *best)
            best = key;
    }
    return best ? std::get<4>(*best) : rooms.size();
}

// Places suspects one to a worker, and leaves in `rooms` the workers that the others of the
// step may use.
void Scheduler::place_suspects(JobRecord& job, Step& step,
                               const std::vector<size_t>& suspects,
                               std::vector<WorkerRoom>& rooms)
{
    for (const size_t i : suspects) {
        std::vector<WorkerRoom> fitting;
        for (const WorkerRoom& room : rooms) {
            if (tasks_that_fit(*step.spec, room) > 0)
                fitting.push_back(room);
        }
        const size_t best = best_for_suspect(step.tasks[i], fitting);
        if (best == fitting.size())
            continue;
        const std::string worker(fitting[best].worker);
        intend(job, step, { i }, { { worker, 1 } });
        rooms.erase(
            std::remove_if(rooms.begin(), rooms.end(),
                           [&](const WorkerRoom& room) { return room.worker == worker; }),
            rooms.end());
    }
}

// A gang that has suspects stays away from those of others. Returns whether it waits for
// room apart from them; else `rooms` are those that it may use.
bool Scheduler::gang_waits_apart(const Step& step, int needed,
                                 std::vector<WorkerRoom>& rooms)
{
    Millis released;
    bool has_suspect = false;
    for (const Task& task : step.tasks) {
        has_suspect = has_suspect || task.crashes.suspicion() != Suspicion::none;
        released = std::max(released, task.released_at);
    }
    if (!has_suspect)
        return false;
    std::vector<WorkerRoom> apart;
    int fit = 0;
    for (const WorkerRoom& room : rooms) {
        if (!find_worker(std::string(room.worker))->proving.empty())
            continue;
        apart.push_back(room);
        fit += tasks_that_fit(*step.spec, room);
    }
    if (fit >= needed) {
        rooms = std::move(apart);
        return false;
    }
    const bool enough = std::accumulate(rooms.begin(), rooms.end(), 0,
                                        [&](int sum, const WorkerRoom& room) {
                                            return sum + tasks_that_fit(*step.spec, room);
                                        })
        >= needed;
    return enough && m_pass_begun - released < likely_patience;
}

} // namespace pathport::jobs
