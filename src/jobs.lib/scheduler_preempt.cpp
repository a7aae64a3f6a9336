// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Who gives way: less urgent tasks whose progress is kept are stopped for a step that
/// could not wait for their ends.

#include "scheduler.h"

#include <pathport/log.h>

#include <algorithm>

namespace pathport::jobs {

namespace {

/// A step that can wait for longer than this preempts nothing. It is long, since gangs
/// rarely get room otherwise in a cell that is nearly full, and what gives way keeps its
/// progress.
constexpr int64_t patient_slack_ms = 10000;
/// A job is worth something to its caller until so many times the time that it is allowed
/// (the users' rules on late jobs); after that it preempts nothing.
constexpr int64_t late_multiple = 3;

} // namespace

std::vector<Scheduler::Victim> Scheduler::victims_on(const Worker& worker, int priority)
{
    std::vector<Victim> victims;
    for (const auto& [name, occupant] : worker.load.allocations()) {
        const auto id = TaskId::parse(name);
        JobRecord* job = id ? find_job(id->job) : nullptr;
        Task* task = job == nullptr ? nullptr : job->task(*id);
        if (task == nullptr || task->run != occupant.run || occupant.priority <= priority)
            continue;
        const StepSpec& spec = *job->step(id->repeat, id->step)->spec;
        // A start that counts against a suspect is its chance to be cleared.
        const bool on_last_tries = task->crashes.tries() > 0;
        const bool stoppable = task->phase == TaskPhase::running && spec.saves_progress
            && !spec.gang && !spec.long_running && !on_last_tries;
        const bool stopping = task->phase == TaskPhase::stopping;
        if (stoppable || stopping)
            victims.push_back({ *id, task, occupant.need, stopping });
    }
    // What is ending anyway is counted before anything else is stopped.
    std::stable_sort(victims.begin(), victims.end(),
                     [](const Victim& left, const Victim& right) {
                         return left.stopping && !right.stopping;
                     });
    return victims;
}

// Returns whether the job can't wait long any more and is still worth something.
bool Scheduler::may_preempt(const JobRecord& job) const
{
    const int64_t now_ms = m_context.store_clock_ms();
    JobRecord& record = *m_jobs.at(job.id());
    const int64_t allowed = allowed_ms(record);
    const bool worthless = now_ms - job.accepted().accepted_ms > late_multiple * allowed;
    return uses(Mechanism::preemption) && !worthless
        && slack_ms(record, now_ms) <= patient_slack_ms;
}

// Tasks that need not start together, and have no room on any worker that they may use:
// less urgent tasks there give way, on as few workers as needed, which are kept until then.
// Returns whether room will come.
bool Scheduler::preempt_for_independent(const JobRecord& job, Step& step,
                                        WorkerCandidates& found, int needed)
{
    if (found.fit > 0 || found.potential_fit == 0 || !may_preempt(job))
        return false;
    auto& allowed = found.allowed;
    const auto without_room = std::remove_if(
        allowed.begin(), allowed.end(),
        [](const WorkerCandidate& prospect) { return prospect.potential_fit == 0; });
    allowed.erase(without_room, allowed.end());
    const int wanted = std::min(needed, found.potential_fit);
    size_t used = 0;
    int fit = 0;
    while (used < allowed.size() && fit < wanted)
        fit += allowed[used++].potential_fit;
    allowed.resize(used);
    if (!preempt_for(job, step, allowed, wanted))
        return false;
    for (const WorkerCandidate& prospect : allowed)
        reserve(*prospect.worker, step);
    if (!job.accepted().queue.advice || tickets_last(step, allowed)) {
        keep(step, allowed, min_ticket_lifetime());
        return true;
    }
    ask(job, step, worker_numbers(allowed));
    keep(step, allowed, step.advice.asking ? max_advice_wait : min_ticket_lifetime());
    return true;
}

// Stops tasks on the workers that are kept for the gang, if that makes enough room there.
// Returns whether the room will come.
bool Scheduler::preempt_for(const JobRecord& job, const Step& step,
                            const std::vector<WorkerCandidate>& kept, int needed)
{
    const int priority = job.rank();
    if (!may_preempt(job))
        return false;
    const std::string key = step.name(job.id());
    std::vector<std::pair<Worker*, Victim>> chosen;
    int fit = 0;
    for (const WorkerCandidate& prospect : kept) {
        PlacementOption room = option_on(*prospect.worker, step, key);
        int here = tasks_that_fit(*step.spec, room);
        const int wanted = std::min(prospect.potential_fit, needed - fit);
        for (const Victim& victim : victims_on(*prospect.worker, priority)) {
            if (here >= wanted)
                break;
            room.free = room.free + victim.need;
            here = tasks_that_fit(*step.spec, room);
            if (!victim.stopping)
                chosen.emplace_back(prospect.worker, victim);
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
