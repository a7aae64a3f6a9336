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
/// A job has value for its caller until this multiple of its allowed time (the users' rule
/// for late jobs); after that it preempts nothing.
constexpr int64_t late_multiple = 3;

} // namespace

std::vector<Scheduler::Victim> Scheduler::victims_on(const Worker& worker, int priority)
{
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
        const bool stoppable = task->phase == TaskPhase::running && spec.saves_progress
            && !spec.gang && !spec.long_running && !on_counted_start;
        const bool stopping = task->phase == TaskPhase::stopping;
        if (stoppable || stopping)
            victims.push_back({ *id, task, allocation.need, stopping });
    }
    // Tasks that are already stopping are counted before any other is stopped.
    std::stable_sort(victims.begin(), victims.end(),
                     [](const Victim& left, const Victim& right) {
                         return left.stopping && !right.stopping;
                     });
    return victims;
}

// Returns whether the job cannot wait much longer and still has value.
bool Scheduler::may_preempt(const JobRecord& job) const
{
    const int64_t now_ms = m_context.store_clock_ms();
    JobRecord& record = *m_jobs.at(job.id());
    const int64_t allowed = allowed_ms(record);
    const bool past_value = now_ms - job.accepted().accepted_ms > late_multiple * allowed;
    return uses(Mechanism::preemption) && !past_value
        && slack_ms(record, now_ms) <= max_preempting_slack_ms;
}

// For tasks that need not start together and have no capacity on any allowed worker:
// preempts lower-priority tasks on as few workers as needed and reserves those until then.
// Returns whether capacity will become free.
bool Scheduler::preempt_for_independent(const JobRecord& job, Step& step,
                                        WorkerCandidates& found, int needed)
{
    if (found.fit > 0 || found.potential_fit == 0 || !may_preempt(job))
        return false;
    auto& allowed = found.allowed;
    const auto without_capacity = std::remove_if(
        allowed.begin(), allowed.end(),
        [](const WorkerCandidate& candidate) { return candidate.potential_fit == 0; });
    allowed.erase(without_capacity, allowed.end());
    const int wanted = std::min(needed, found.potential_fit);
    size_t used = 0;
    int fit = 0;
    while (used < allowed.size() && fit < wanted)
        fit += allowed[used++].potential_fit;
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
