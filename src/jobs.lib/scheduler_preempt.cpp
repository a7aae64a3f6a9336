// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Preemption: stops lower-priority tasks that save their progress in favour of a step that
/// cannot wait for them to end.

#include "scheduler.h"

#include <pathport/log.h>

#include <algorithm>

namespace pathport::jobs {

namespace {

/// A step with more slack than this preempts nothing. The limit is high, since in a nearly
/// full cell gangs rarely get capacity otherwise, and preempted tasks keep their progress.
constexpr int64_t max_preempting_slack_ms = 10000;

} // namespace

// A stop costs such a task no work, since it resumes from its checkpoint.
bool Scheduler::is_stoppable(const StepSpec& spec)
{
    return spec.saves_progress && !spec.gang && !spec.long_running;
}

// Returns whether the task will have ended by itself by the time a stop takes effect. One
// that should have ended before does not count, since its progress misled.
bool Scheduler::ends_soon(const Task& task) const
{
    const auto left
        = shortage::remaining_run_time(task.percent_at - task.first_percent_at,
                                       task.percent - task.first_percent, task.percent);
    if (!left || task.phase != TaskPhase::running || task.evidence.is_adopted())
        return false;
    const Millis ends_in = task.percent_at + *left - m_context.loop.now();
    const Millis stop_time = m_context.bounds.kill_grace;
    return ends_in <= stop_time && Millis(0) - stop_time <= ends_in;
}

// The workers with the most capacity that stops can free come first, and among these the
// ones where the fewest tasks have to be stopped.
bool Scheduler::is_more_stoppable(const WorkerCandidate& left, const WorkerCandidate& right)
{
    const auto key = [](const WorkerCandidate& candidate) {
        return std::make_tuple(candidate.stoppable_fit == 0, candidate.second_choice,
                               candidate.slow, -candidate.stoppable_fit, -candidate.fit,
                               candidate.worker->number);
    };
    return key(left) < key(right);
}

// Returns whether the step may preempt, and stopping tasks on its allowed workers frees
// enough capacity for `needed` tasks.
bool Scheduler::can_stop_enough(const JobRecord& job, const WorkerCandidates& found,
                                int needed) const
{
    return uses(Mechanism::cheapest_victims) && found.stoppable_fit >= needed
        && may_preempt(job);
}

std::vector<Scheduler::Victim> Scheduler::victims_on(const Worker& worker, int priority)
{
    const int64_t now_ms = m_context.store_clock_ms();
    std::vector<Victim> victims;
    for (const auto& [name, allocation] : worker.load.allocations()) {
        const auto id = TaskId::parse(name);
        JobRecord* job = id ? find_job(id->job) : nullptr;
        Task* task = job == nullptr ? nullptr : job->task(*id);
        if (task == nullptr || task->run != allocation.run
            || allocation.priority <= priority)
            continue;
        const StepSpec& spec = *job->step(id->repeat, id->step)->spec;
        // A counted start of a suspect is its chance to be cleared, so it is not preempted.
        const bool on_counted_start = task->crashes.tries() > 0;
        const bool stoppable
            = task->phase == TaskPhase::running && is_stoppable(spec) && !on_counted_start;
        const bool by_cost = uses(Mechanism::cheapest_victims);
        const bool ends_anyway
            = task->phase == TaskPhase::stopping || (by_cost && ends_soon(*task));
        if (!stoppable && !ends_anyway)
            continue;
        shortage::VictimCost cost;
        cost.ending = ends_anyway;
        if (by_cost) {
            cost.priority = allocation.priority;
            cost.deadline = deadline_of(*job, now_ms);
        }
        victims.push_back({ *id, task, allocation.need, ends_anyway, cost });
    }
    std::stable_sort(victims.begin(), victims.end(),
                     [](const Victim& left, const Victim& right) {
                         return shortage::costs_less(left.cost, right.cost);
                     });
    return victims;
}

// Returns whether the job cannot wait much longer and still has value.
bool Scheduler::may_preempt(const JobRecord& job) const
{
    const int64_t now_ms = m_context.store_clock_ms();
    JobRecord& record = *m_jobs.at(job.id());
    const int64_t allowed = allowed_ms(record);
    const bool past_value = waited_ms(job, now_ms) > shortage::late_multiple * allowed;
    return uses(Mechanism::preemption) && !past_value
        && slack_ms(record, now_ms) <= max_preempting_slack_ms;
}

// For tasks that need not start together and have no capacity on any allowed worker:
// preempts lower-priority tasks on as few workers as needed and reserves those until then.
// Returns whether capacity will become free. Free capacity that is claimed does not count
// as lacking: reserving it would keep it from the step with the claim.
bool Scheduler::preempt_for_independent(const JobRecord& job, Step& step,
                                        WorkerCandidates& found, int needed)
{
    const bool by_cost = uses(Mechanism::cheapest_victims);
    const int obtainable = by_cost ? found.stoppable_fit : found.potential_fit;
    const bool has_room
        = std::any_of(found.allowed.begin(), found.allowed.end(),
                      [](const WorkerCandidate& candidate) { return candidate.has_room; });
    if (has_room || obtainable == 0 || !may_preempt(job))
        return false;
    const auto obtainable_on = [by_cost](const WorkerCandidate& candidate) {
        return by_cost ? candidate.stoppable_fit : candidate.potential_fit;
    };
    auto& allowed = found.allowed;
    const auto without_capacity = std::remove_if(
        allowed.begin(), allowed.end(),
        [&](const WorkerCandidate& candidate) { return obtainable_on(candidate) == 0; });
    allowed.erase(without_capacity, allowed.end());
    if (by_cost)
        std::sort(allowed.begin(), allowed.end(), is_more_stoppable);
    const int wanted = std::min(needed, obtainable);
    size_t used = 0;
    int fit = 0;
    while (used < allowed.size() && fit < wanted)
        fit += obtainable_on(allowed[used++]);
    allowed.resize(used);
    if (!preempt_for(job, step, allowed, wanted))
        return false;
    for (const WorkerCandidate& candidate : allowed)
        reserve(*candidate.worker, step);
    if (!job.accepted().queue.advice || tickets_outlast_preemption(step, allowed)) {
        extend_reservation(step, allowed, min_ticket_lifetime());
        return true;
    }
    ask(job, step, worker_numbers(allowed));
    extend_reservation(step, allowed,
                       step.advice.asking() ? max_advice_wait : min_ticket_lifetime());
    return true;
}

// Stops tasks on the workers reserved for the step if that frees enough capacity. Returns
// whether the capacity will become free.
bool Scheduler::preempt_for(const JobRecord& job, const Step& step,
                            const std::vector<WorkerCandidate>& reserved_workers,
                            int needed)
{
    const int priority = job.rank();
    if (!may_preempt(job))
        return false;
    const std::string key = step.name(job.id());
    std::vector<std::pair<Worker*, Victim>> chosen;
    int fit = 0;
    for (const WorkerCandidate& candidate : reserved_workers) {
        PlacementOption option = option_on(*candidate.worker, step, key);
        int here = tasks_that_fit(*step.spec, option);
        const int wanted = std::min(candidate.potential_fit, needed - fit);
        for (const Victim& victim : victims_on(*candidate.worker, priority)) {
            if (here >= wanted)
                break;
            option.free = option.free + victim.need;
            here = tasks_that_fit(*step.spec, option);
            if (!victim.stopping)
                chosen.emplace_back(candidate.worker, victim);
        }
        fit += here;
    }
    if (fit < needed)
        return false;
    for (const auto& [worker, victim] : chosen) {
        worker->session->stop(victim.id, victim.task->run, StopReason::preempted);
        victim.task->phase = TaskPhase::stopping;
    }
    if (chosen.empty())
        return true;
    log_event(LogLevel::info, "preempted",
              { { "job", job.id() }, { "stopped", static_cast<int64_t>(chosen.size()) } });
    m_context.metrics.count("pathport_preemptions_total", {}, double(chosen.size()));
    return true;
}

} // namespace pathport::jobs
