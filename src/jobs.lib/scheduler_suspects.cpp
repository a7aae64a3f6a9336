// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Placement of tasks suspected of crashing their workers. Suspects start apart from each
/// other and few at a time, likely ones with nothing else started beside them, so that the
/// loss of a worker costs little and identifies the cause.

#include "scheduler.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace pathport::jobs {

namespace {

/// Suspects of one job that run at a time, which limits the number of workers at risk.
constexpr int max_active_suspects = 2;
/// Maximum time that a suspect waits for a worker where no other task would be blamed.
constexpr Millis suspect_wait { 1000 };
constexpr Millis likely_suspect_wait { 2500 };
/// After its start a suspect is considered active for at most this long, whether cleared or
/// not.
constexpr Millis max_suspect_activity { 5000 };
/// A worker is reserved for a likely suspect at most until no run there is recent, plus a
/// margin.
constexpr Millis max_reservation = startup_window + Millis(500);
/// At most one in this many workers is closed to other starts at a time.
constexpr size_t isolated_fraction = 4;

} // namespace

// Registers a suspect that is about to start on the worker.
void Scheduler::track_suspect(Worker& worker, const TaskId& task)
{
    worker.active_suspects.insert(task.to_string());
    refresh_suspects(worker);
}

// Returns whether a suspect was started so recently that it may still crash its worker.
bool Scheduler::is_suspect_active(const Task& task, bool step_suspect) const
{
    const bool ordered = task.phase != TaskPhase::intended;
    return task.placed() && Step::suspicion(task, step_suspect) != Suspicion::none
        && (!ordered
            || m_context.loop.now() - task.evidence.since() < max_suspect_activity);
}

// Removes suspects that have ended or been cleared, so that they no longer block other
// starts.
void Scheduler::refresh_suspects(Worker& worker)
{
    if (worker.active_suspects.empty())
        return;
    bool isolates = false;
    for (auto name = worker.active_suspects.begin();
         name != worker.active_suspects.end();) {
        const auto id = TaskId::parse(*name);
        JobRecord* job = find_job(id->job);
        const Task* task = job == nullptr ? nullptr : job->task(*id);
        const bool there = task != nullptr && task->worker == worker.session->id()
            && is_suspect_active(*task, job->step(id->repeat, id->step)->is_suspect());
        isolates = isolates || (there && task->crashes.suspicion() == Suspicion::likely);
        name = there ? std::next(name) : worker.active_suspects.erase(name);
    }
    worker.isolated = isolates && (worker.isolated || may_isolate_another());
}

// Returns whether another worker may be closed to other starts.
bool Scheduler::may_isolate_another() const
{
    const auto closed
        = std::count_if(m_workers.begin(), m_workers.end(), [this](const auto& entry) {
              return entry.second.isolated || m_pass_begun < entry.second.reserved_until;
          });
    return static_cast<size_t>(closed)
        < std::max<size_t>(1, m_workers.size() / isolated_fraction);
}

// Returns the suspects of the step that may be started now. Likely ones start one at a time
// and before the others of the job: if they crash their worker, the others need not be
// tried.
std::vector<int> Scheduler::suspects_to_try(JobRecord& job, const Step& step)
{
    int active = 0;
    bool has_likely = false;
    for (const auto& [number, repeat] : job.repeats()) {
        for (const Step& other : repeat.steps) {
            if (!other.has_crashes)
                continue;
            const bool step_suspect = other.is_suspect();
            for (const auto& [index, task] : other.tasks.records()) {
                const Suspicion suspicion = Step::suspicion(task, step_suspect);
                if (suspicion == Suspicion::none || task.phase == TaskPhase::done)
                    continue;
                active += is_suspect_active(task, step_suspect) ? 1 : 0;
                has_likely = has_likely || suspicion == Suspicion::likely;
            }
        }
    }
    const int most = has_likely ? 1 : max_active_suspects;
    const bool step_suspect = step.is_suspect();
    std::vector<int> found;
    for (int i = step.tasks.next_open(0); i < step.tasks.size() && active < most;
         i = step.tasks.next_open(i + 1)) {
        const Task& task = step.tasks.at(i);
        const Suspicion suspicion = Step::suspicion(task, step_suspect);
        const bool startable = task.phase == TaskPhase::waiting
            && suspicion != Suspicion::none && m_pass_begun >= task.verdict_at
            && (!has_likely || suspicion == Suspicion::likely);
        if (!startable)
            continue;
        found.push_back(i);
        ++active;
    }
    return found;
}

// Returns the index in `options` of the worker for the suspect, where no other task would
// be blamed and the fewest tasks are at risk; `options.size()` if it should wait.
size_t Scheduler::best_for_suspect(const Task& task,
                                   const std::vector<PlacementOption>& options)
{
    const bool likely = task.crashes.suspicion() == Suspicion::likely;
    const Millis max_wait = likely ? likely_suspect_wait : suspect_wait;
    const bool may_wait = m_pass_begun - task.requeued_at < max_wait;
    const bool isolates = !likely || may_isolate_another();
    using Key = std::tuple<bool, bool, bool, bool, size_t, size_t>;
    std::optional<Key> best;
    for (size_t i = 0; i < options.size(); ++i) {
        const Worker& worker = *find_worker(std::string(options[i].worker));
        const bool shared = !worker.active_suspects.empty() || !isolates
            || (likely && m_pass_begun - worker.last_start < startup_window);
        if (shared && may_wait)
            continue;
        // A failure of the worker's own would use up a start and tell nothing.
        const bool faulty = worker.consecutive_faults > 0;
        const Key key { shared,
                        !worker.active_suspects.empty(),
                        faulty,
                        options[i].second_choice,
                        worker.load.allocations().size(),
                        i };
        if (!best || key < *best)
            best = key;
    }
    return best ? std::get<5>(*best) : options.size();
}

// Returns the worker that is reserved for the task, or null.
Scheduler::Worker* Scheduler::reserved_for(const std::string& task)
{
    for (auto& [id, worker] : m_workers) {
        if (worker.reserved_for == task && m_pass_begun < worker.reserved_until)
            return &worker;
    }
    return nullptr;
}

// On a busy site every worker has recent starts, so one is closed to other starts until a
// likely suspect can start there without a recent run beside it.
void Scheduler::reserve_for_suspect(const JobRecord& job, const Step& step, int index,
                                    const std::vector<PlacementOption>& options)
{
    const TaskId id { job.id(), step.repeat, step.index, index };
    const bool likely = step.tasks.at(index).crashes.suspicion() == Suspicion::likely;
    if (!likely || reserved_for(id.to_string()) != nullptr || !may_isolate_another())
        return;
    Worker* best = nullptr;
    for (const PlacementOption& option : options) {
        Worker& worker = *find_worker(std::string(option.worker));
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
    best->reserved_for = id.to_string();
    best->reserved_until = m_pass_begun + max_reservation;
    refresh_row(*best);
    m_context.loop.after(best->last_start + startup_window - m_pass_begun,
                         m_lifetime.wrap([this] { schedule_pass(); }));
}

// Returns whether the task waits for the worker reserved for it, or has been placed on it.
bool Scheduler::place_on_reserved(JobRecord& job, Step& step, int index)
{
    const TaskId id { job.id(), step.repeat, step.index, index };
    Worker* reserved = reserved_for(id.to_string());
    if (reserved == nullptr)
        return false;
    if (m_pass_begun - reserved->last_start < startup_window)
        return true;
    reserved->reserved_until = Millis(0);
    refresh_row(*reserved);
    const auto known = step.advice.workers.find(reserved->number);
    const bool ticket_valid = !job.accepted().queue.advice
        || (known != step.advice.workers.end() && known->second.holds(m_pass_begun));
    const PlacementOption option = option_on(*reserved, step, step.name(job.id()));
    if (!ticket_valid || !is_eligible(*reserved, job, step)
        || tasks_that_fit(*step.spec, option) == 0)
        return false;
    record_intent(job, step, { index }, { { reserved->session->id(), 1 } });
    return true;
}

// Places each suspect on a worker of its own, and leaves in `options` the workers that the
// other tasks of the step may use.
void Scheduler::place_suspects(JobRecord& job, Step& step, const std::vector<int>& suspects,
                               std::vector<PlacementOption>& options)
{
    for (const int i : suspects) {
        if (place_on_reserved(job, step, i))
            continue;
        std::vector<PlacementOption> fitting;
        for (const PlacementOption& option : options) {
            if (tasks_that_fit(*step.spec, option) > 0)
                fitting.push_back(option);
        }
        const size_t best = best_for_suspect(step.tasks.at(i), fitting);
        if (best == fitting.size()) {
            reserve_for_suspect(job, step, i, fitting);
            continue;
        }
        const std::string worker(fitting[best].worker);
        record_intent(job, step, { i }, { { worker, 1 } });
        options.erase(std::remove_if(options.begin(), options.end(),
                                     [&](const PlacementOption& option) {
                                         return option.worker == worker;
                                     }),
                      options.end());
    }
}

// A gang with suspects avoids workers with suspects of others. Returns whether it waits for
// capacity elsewhere; if not, `options` are the workers that it may use.
bool Scheduler::gang_awaits_isolation(const Step& step, int needed,
                                      std::vector<PlacementOption>& options)
{
    Millis last_requeued;
    Millis last_verdict;
    bool has_suspect = false;
    for (const auto& [index, task] : step.tasks.records()) {
        has_suspect = has_suspect || task.crashes.suspicion() != Suspicion::none;
        last_requeued = std::max(last_requeued, task.requeued_at);
        last_verdict = std::max(last_verdict, task.verdict_at);
    }
    if (m_pass_begun < last_verdict)
        return true;
    if (!has_suspect)
        return false;
    std::vector<PlacementOption> separate;
    int fit = 0;
    for (const PlacementOption& option : options) {
        if (!find_worker(std::string(option.worker))->active_suspects.empty())
            continue;
        separate.push_back(option);
        fit += tasks_that_fit(*step.spec, option);
    }
    if (fit >= needed) {
        options = std::move(separate);
        return false;
    }
    const bool enough = std::accumulate(options.begin(), options.end(), 0,
                                        [&](int sum, const PlacementOption& option) {
                                            return sum + tasks_that_fit(*step.spec, option);
                                        })
        >= needed;
    return enough && m_pass_begun - last_requeued < likely_suspect_wait;
}

} // namespace pathport::jobs
