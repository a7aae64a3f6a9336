// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Gangs that have no room or no tickets yet: their workers are kept free, and a gang that
/// would be late otherwise takes the place of less urgent tasks whose progress is kept.

#include "scheduler.h"

#include <pathport/log.h>

#include <algorithm>

namespace pathport::jobs {

namespace {

/// A step that can wait for longer than this preempts nothing.
constexpr int64_t patient_slack_ms = 5000;
/// A job is worth something to its caller until so many times the time that it is allowed
/// (the users' rules on late jobs); after that it preempts nothing.
constexpr int64_t late_multiple = 3;
/// Gangs that wait for room and are looked at in one pass.
constexpr int most_gangs_prepared = 16;
/// At most one in so many workers is kept free for gangs whose room is not there yet.
constexpr int reserved_fraction = 4;
/// A ticket that holds for so long outlasts the end of the tasks that give way.
constexpr Millis ticket_reserve { 750 };
/// Workers are kept no longer while an answer of the advisor is waited for.
constexpr Millis longest_question { 3000 };
/// A gang that got no room for so long on the workers that it may use asks about further
/// ones.
constexpr Millis verdicts_patience { 600 };
/// Pause after a look that showed that all allowed workers together have too little room.
constexpr Millis hopeless_pause { 100 };

} // namespace

void Scheduler::reserve(Worker& worker, const Step& step)
{
    if (worker.kept_for != nullptr || !uses(Mechanism::reservations))
        return;
    worker.kept_for = &step;
    ++m_reserved_count;
}

// Begins a pass: a gang that waits for tickets or for tasks to end keeps the workers that
// it chose, also from more urgent gangs, since all that it waits for would be in vain
// otherwise.
void Scheduler::renew_reservations(const std::vector<Candidate>& waiting)
{
    m_reserved_count = 0;
    m_gangs_prepared = 0;
    for (auto& [id, worker] : m_workers)
        worker.kept_for = nullptr;
    const Millis now = m_pass_begun;
    for (const Candidate& candidate : waiting) {
        Step& step = *candidate.step;
        if (now >= step.kept_until)
            step.kept_workers.clear();
        for (const std::string& id : step.kept_workers) {
            Worker* worker = find_worker(id);
            if (worker != nullptr)
                reserve(*worker, step);
        }
    }
}

// Keeps workers for the step over the passes to come.
void Scheduler::keep(Step& step, const std::vector<Prospect>& workers, Millis span)
{
    step.kept_workers = names(workers);
    step.kept_until = m_pass_begun + span;
}

// Returns whether the gang has room, but for verdicts that may have changed.
bool Scheduler::refused_would_do(const Prospects& found, int needed)
{
    int fit = found.fit;
    for (const Prospect& prospect : found.refused)
        fit += prospect.fit;
    return fit >= needed;
}

// A gang waits for room, tickets or verdicts. Verdicts are asked for at once. Workers that
// it may use are kept free of what comes after it once they suffice, and tickets are only
// asked for when the room is there.
void Scheduler::prepare_gang(const JobRecord& job, Step& step, int needed)
{
    const bool advised = job.accepted().queue.advice.has_value();
    if (step.advice.asking || m_pass_begun < step.advice.retry_at)
        return;
    const bool first_question = advised && step.advice.workers.empty();
    if (!first_question && ++m_gangs_prepared > most_gangs_prepared)
        return;
    Prospects found = prospects(job, step, needed);
    const bool room_now = found.fit >= needed;
    const bool waited_long = m_pass_begun - step.advice.verdicts_at > verdicts_patience;
    const bool lacks_verdicts
        = !found.unasked.empty() && (found.later_fit < needed || waited_long);
    if (!room_now && advised && (first_question || lacks_verdicts)) {
        ask_about_more(job, step, needed, found, found.unasked);
        return;
    }
    if (advised && found.later_fit < needed && refused_would_do(found, needed)) {
        ask_about_more(job, step, needed, found, found.refused);
        return;
    }
    // If all that it may use is not enough, keeping workers free would help nobody.
    if (found.later_fit < needed) {
        step.advice.retry_at = m_pass_begun + hopeless_pause;
        return;
    }
    const bool chosen = choose_for_gang(step, found.allowed, needed, room_now);
    if (!room_now && !(chosen && make_room(job, step, found.allowed, needed)))
        return;
    if (!advised || tickets_last(step, found.allowed)) {
        keep(step, found.allowed, ticket_reserve);
        return;
    }
    ask(job, step, names(found.allowed));
    if (step.advice.asking)
        keep(step, found.allowed, longest_question);
}

// Keeps workers free for the gang, those with the most room first, and leaves only them in
// `allowed`. Returns whether they suffice.
bool Scheduler::choose_for_gang(const Step& step, std::vector<Prospect>& allowed,
                                int needed, bool room_now)
{
    const int most_reserved = std::max(1, int(m_workers.size()) / reserved_fraction);
    size_t used = 0;
    int kept = 0;
    while (used < allowed.size() && kept < needed
           && (room_now || m_reserved_count < most_reserved)) {
        kept += room_now ? allowed[used].fit : allowed[used].later_fit;
        reserve(*allowed[used++].worker, step);
    }
    allowed.resize(used);
    return kept >= needed;
}

// Returns whether the tickets for all these workers hold until less urgent tasks have
// ended.
bool Scheduler::tickets_last(const Step& step, const std::vector<Prospect>& workers) const
{
    const Millis until = m_pass_begun + ticket_reserve;
    return std::all_of(workers.begin(), workers.end(), [&](const Prospect& prospect) {
        const auto known = step.advice.workers.find(prospect.worker->session->id());
        return known != step.advice.workers.end() && known->second.holds(until);
    });
}

std::vector<Scheduler::Victim> Scheduler::victims_on(const Worker& worker, int priority)
{
    std::vector<Victim> victims;
    for (const auto& [name, occupant] : worker.load.occupants()) {
        const auto id = TaskId::parse(name);
        JobRecord* job = id ? find_job(id->job) : nullptr;
        Task* task = job == nullptr ? nullptr : job->task(*id);
        if (task == nullptr || task->run != occupant.run || occupant.priority <= priority)
            continue;
        const StepSpec& spec = *job->step(id->repeat, id->step)->spec;
        const bool stoppable = task->phase == TaskPhase::running && spec.saves_progress
            && !spec.gang && !spec.lasting;
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
    const int64_t now_ms = m_parts.store_clock_ms();
    JobRecord& record = *m_jobs.at(job.id());
    const int64_t allowed = allowed_ms(record);
    const bool worthless = now_ms - job.accepted().accepted_ms > late_multiple * allowed;
    return uses(Mechanism::preemption) && !worthless
        && slack_ms(record, now_ms) <= patient_slack_ms;
}

// Tasks that need not start together, and have no room on any worker that they may use:
// less urgent tasks there give way, on as few workers as needed, which are kept until then.
// Returns whether room will come.
bool Scheduler::prepare_some(const JobRecord& job, Step& step, Prospects& found, int needed)
{
    if (found.fit > 0 || found.later_fit == 0 || !may_preempt(job))
        return false;
    auto& allowed = found.allowed;
    const auto without_room
        = std::remove_if(allowed.begin(), allowed.end(),
                         [](const Prospect& prospect) { return prospect.later_fit == 0; });
    allowed.erase(without_room, allowed.end());
    const int wanted = std::min(needed, found.later_fit);
    size_t used = 0;
    int fit = 0;
    while (used < allowed.size() && fit < wanted)
        fit += allowed[used++].later_fit;
    allowed.resize(used);
    if (!make_room(job, step, allowed, wanted))
        return false;
    for (const Prospect& prospect : allowed)
        reserve(*prospect.worker, step);
    if (!job.accepted().queue.advice || tickets_last(step, allowed)) {
        keep(step, allowed, ticket_reserve);
        return true;
    }
    ask(job, step, names(allowed));
    keep(step, allowed, step.advice.asking ? longest_question : ticket_reserve);
    return true;
}

// Stops tasks on the workers that are kept for the gang, if that makes enough room there.
// Returns whether the room will come.
bool Scheduler::make_room(const JobRecord& job, const Step& step,
                          const std::vector<Prospect>& kept, int needed)
{
    const int priority = job.accepted().queue.priority;
    if (!may_preempt(job))
        return false;
    const std::string key = step.name(job.id());
    std::vector<std::pair<Worker*, Victim>> chosen;
    int fit = 0;
    for (const Prospect& prospect : kept) {
        WorkerRoom room = room_on(*prospect.worker, step, key);
        int here = tasks_that_fit(*step.spec, room);
        const int wanted = std::min(prospect.later_fit, needed - fit);
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
        worker->session->stop(victim.id, victim.task->run);
        victim.task->phase = TaskPhase::stopping;
    }
    if (chosen.empty())
        return true;
    log_event(LogLevel::info, "preempted",
              { { "job", job.id() }, { "stopped", static_cast<int64_t>(chosen.size()) } });
    m_parts.metrics.count("pathport_preemptions_total", {}, double(chosen.size()));
    return true;
}

} // namespace pathport::jobs
