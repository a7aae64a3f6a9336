// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Where and when tasks are started that are suspected of crashing their workers: apart
/// from each other, few at a time, and the likely ones with nothing else started beside
/// them, so that little is lost with a worker and what was lost tells which of them it is.

#include "scheduler.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace pathport::jobs {

namespace {

/// Suspects of one job that are tried at a time: so many workers at most are at risk.
constexpr int most_tried = 2;
/// A suspect waits so long at most for a worker where nothing else would be blamed.
constexpr Millis suspect_patience { 1000 };
constexpr Millis likely_patience { 2500 };
/// A suspect is on trial no longer after its start, whether it is cleared by then or not.
constexpr Millis longest_trial { 5000 };
/// A worker is held for a likely suspect no longer than until it is quiet, and a little.
constexpr Millis longest_held = startup_window + Millis(500);
/// One in so many workers is kept from other starts at a time.
constexpr size_t closed_fraction = 4;

} // namespace

// A suspect is about to start on the worker.
void Scheduler::track_suspect(Worker& worker, const TaskId& task)
{
    worker.active_suspects.insert(task.to_string());
    refresh_suspects(worker);
}

// Returns whether a suspect has been started so lately that it may yet crash its worker.
bool Scheduler::is_suspect_active(const Task& task, bool wary) const
{
    const bool ordered = task.phase != TaskPhase::intended;
    return task.placed() && Step::suspicion(task, wary) != Suspicion::none
        && (!ordered || m_context.loop.now() - task.ordered_at < longest_trial);
}

// What is not there any more, or is cleared, holds up nothing else.
void Scheduler::refresh_suspects(Worker& worker)
{
    if (worker.active_suspects.empty())
        return;
    bool closes = false;
    for (auto name = worker.active_suspects.begin();
         name != worker.active_suspects.end();) {
        const auto id = TaskId::parse(*name);
        JobRecord* job = find_job(id->job);
        const Task* task = job == nullptr ? nullptr : job->task(*id);
        const bool there = task != nullptr && task->worker == worker.session->id()
            && is_suspect_active(*task, job->step(id->repeat, id->step)->is_suspect());
        closes = closes || (there && task->crashes.suspicion() == Suspicion::likely);
        name = there ? std::next(name) : worker.active_suspects.erase(name);
    }
    worker.isolated = closes && (worker.isolated || may_isolate_another());
}

// Returns whether a further worker may be kept from other starts.
bool Scheduler::may_isolate_another() const
{
    const auto closed
        = std::count_if(m_workers.begin(), m_workers.end(), [this](const auto& entry) {
              return entry.second.isolated || m_pass_begun < entry.second.held_until;
          });
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
            if (!other.has_crashes)
                continue;
            const bool wary = other.is_suspect();
            for (const Task& task : other.tasks) {
                const Suspicion suspicion = Step::suspicion(task, wary);
                if (suspicion == Suspicion::none || task.phase == TaskPhase::done)
                    continue;
                tried += is_suspect_active(task, wary) ? 1 : 0;
                has_likely = has_likely || suspicion == Suspicion::likely;
            }
        }
    }
    const int most = has_likely ? 1 : most_tried;
    const bool wary = step.is_suspect();
    std::vector<size_t> found;
    for (size_t i = 0; i < step.tasks.size() && tried < most; ++i) {
        const Task& task = step.tasks[i];
        const Suspicion suspicion = Step::suspicion(task, wary);
        const bool goes = task.phase == TaskPhase::waiting && suspicion != Suspicion::none
            && m_pass_begun >= task.verdict_at
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
size_t Scheduler::best_for_suspect(const Task& task,
                                   const std::vector<PlacementOption>& rooms)
{
    const bool likely = task.crashes.suspicion() == Suspicion::likely;
    const Millis patience = likely ? likely_patience : suspect_patience;
    const bool patient = m_pass_begun - task.requeued_at < patience;
    const bool closes = !likely || may_isolate_another();
    using Key = std::tuple<bool, bool, bool, size_t, size_t>;
    std::optional<Key> best;
    for (size_t i = 0; i < rooms.size(); ++i) {
        const Worker& worker = *find_worker(std::string(rooms[i].worker));
        const bool shared = !worker.active_suspects.empty() || !closes
            || (likely && m_pass_begun - worker.last_start < startup_window);
        if (shared && patient)
            continue;
        const Key key { shared, !worker.active_suspects.empty(), rooms[i].second_choice,
                        worker.load.allocations().size(), i };
        if (!best || key < *best)
            best = key;
    }
    return best ? std::get<4>(*best) : rooms.size();
}

// Returns the worker that is held for the task; none if there is none.
Scheduler::Worker* Scheduler::held_for(const std::string& task)
{
    for (auto& [id, worker] : m_workers) {
        if (worker.held_for == task && m_pass_begun < worker.held_until)
            return &worker;
    }
    return nullptr;
}

// On a busy site no worker is quiet by itself, so one is kept from other starts until a
// likely suspect can start there with nothing fresh beside it.
void Scheduler::hold_for(const JobRecord& job, const Step& step, size_t index,
                         const std::vector<PlacementOption>& rooms)
{
    const TaskId id { job.id(), step.repeat, step.index, static_cast<int>(index) };
    const bool likely = step.tasks[index].crashes.suspicion() == Suspicion::likely;
    if (!likely || held_for(id.to_string()) != nullptr || !may_isolate_another())
        return;
    Worker* best = nullptr;
    for (const PlacementOption& room : rooms) {
        Worker& worker = *find_worker(std::string(room.worker));
        const auto known = step.advice.workers.find(worker.number);
        const bool ticket_lasts = !job.accepted().queue.advice
            || (known != step.advice.workers.end()
                && known->second.holds(worker.last_start + startup_window));
        const bool better = best == nullptr
            || worker.load.allocations().size() < best->load.allocations().size();
        if (ticket_lasts && worker.active_suspects.empty() && better)
            best = &worker;
    }
    if (best == nullptr)
        return;
    best->held_for = id.to_string();
    best->held_until = m_pass_begun + longest_held;
    refresh_row(*best);
    m_context.loop.after(best->last_start + startup_window - m_pass_begun,
                         m_lifetime.wrap([this] { schedule_pass(); }));
}

// Returns whether the task waits for the worker that is held for it, or has been given to
// it.
bool Scheduler::place_on_held(JobRecord& job, Step& step, size_t index)
{
    const TaskId id { job.id(), step.repeat, step.index, static_cast<int>(index) };
    Worker* held = held_for(id.to_string());
    if (held == nullptr)
        return false;
    if (m_pass_begun - held->last_start < startup_window)
        return true;
    held->held_until = Millis(0);
    refresh_row(*held);
    const auto known = step.advice.workers.find(held->number);
    const bool ticket_good = !job.accepted().queue.advice
        || (known != step.advice.workers.end() && known->second.holds(m_pass_begun));
    const PlacementOption room = option_on(*held, step, step.name(job.id()));
    if (!ticket_good || !is_eligible(*held, job, step)
        || tasks_that_fit(*step.spec, room) == 0)
        return false;
    record_intent(job, step, { index }, { { held->session->id(), 1 } });
    return true;
}

// Places suspects one to a worker, and leaves in `rooms` the workers that the others of the
// step may use.
void Scheduler::place_suspects(JobRecord& job, Step& step,
                               const std::vector<size_t>& suspects,
                               std::vector<PlacementOption>& rooms)
{
    for (const size_t i : suspects) {
        if (place_on_held(job, step, i))
            continue;
        std::vector<PlacementOption> fitting;
        for (const PlacementOption& room : rooms) {
            if (tasks_that_fit(*step.spec, room) > 0)
                fitting.push_back(room);
        }
        const size_t best = best_for_suspect(step.tasks[i], fitting);
        if (best == fitting.size()) {
            hold_for(job, step, i, fitting);
            continue;
        }
        const std::string worker(fitting[best].worker);
        record_intent(job, step, { i }, { { worker, 1 } });
        rooms.erase(std::remove_if(
                        rooms.begin(), rooms.end(),
                        [&](const PlacementOption& room) { return room.worker == worker; }),
                    rooms.end());
    }
}

// A gang that has suspects stays away from those of others. Returns whether it waits for
// room apart from them; else `rooms` are those that it may use.
bool Scheduler::gang_awaits_isolation(const Step& step, int needed,
                                      std::vector<PlacementOption>& rooms)
{
    Millis released;
    Millis judged;
    bool has_suspect = false;
    for (const Task& task : step.tasks) {
        has_suspect = has_suspect || task.crashes.suspicion() != Suspicion::none;
        released = std::max(released, task.requeued_at);
        judged = std::max(judged, task.verdict_at);
    }
    if (m_pass_begun < judged)
        return true;
    if (!has_suspect)
        return false;
    std::vector<PlacementOption> apart;
    int fit = 0;
    for (const PlacementOption& room : rooms) {
        if (!find_worker(std::string(room.worker))->active_suspects.empty())
            continue;
        apart.push_back(room);
        fit += tasks_that_fit(*step.spec, room);
    }
    if (fit >= needed) {
        rooms = std::move(apart);
        return false;
    }
    const bool enough = std::accumulate(rooms.begin(), rooms.end(), 0,
                                        [&](int sum, const PlacementOption& room) {
                                            return sum + tasks_that_fit(*step.spec, room);
                                        })
        >= needed;
    return enough && m_pass_begun - released < likely_patience;
}

} // namespace pathport::jobs
