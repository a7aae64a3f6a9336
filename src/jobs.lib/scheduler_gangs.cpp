// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Gangs that have no room or no tickets yet, and the workers that are kept free for steps
/// that wait.

#include "scheduler.h"

#include <pathport/log.h>

#include <algorithm>

namespace pathport::jobs {

namespace {

/// Gangs that wait for room and are looked at in one pass.
constexpr int most_gangs_prepared = 16;
/// At most one in so many workers is kept free for gangs whose room is not there yet.
constexpr size_t reserved_fraction = 4;
/// A gang that got no room for so long on the workers that it may use asks about further
/// ones.
constexpr Millis verdicts_patience { 600 };
/// Pause after a look that showed that all allowed workers together have too little room.
constexpr Millis hopeless_pause { 100 };
/// What a gang chose while its room was not there stays kept until it is looked at again
/// (each 20 ms, and a long pass between). Passes come more often, and the less urgent steps
/// of each would take the room that has come.
constexpr Millis kept_until_next_look { 60 };

} // namespace

void Scheduler::reserve(Worker& worker, const Step& step)
{
    if (uses(Mechanism::reservations))
        m_capacity_table.keep(worker.number, step);
}

// Begins a pass: a gang that waits for tickets or for tasks to end keeps the workers that
// it chose, also from more urgent gangs, since all that it waits for would be in vain
// otherwise.
void Scheduler::renew_reservations(const std::vector<PendingStep>& waiting)
{
    m_gangs_prepared = 0;
    m_capacity_table.release_kept();
    const Millis now = m_pass_begun;
    for (const PendingStep& candidate : waiting) {
        Step& step = *candidate.step;
        if (now >= step.reserved_until)
            step.reserved_workers.clear();
        for (const WorkerNumber number : step.reserved_workers) {
            if (m_workers_by_number[number] != nullptr)
                reserve(*m_workers_by_number[number], step);
        }
    }
}

// A ticket that holds for so long outlasts the end of the tasks that give way.
Millis Scheduler::min_ticket_lifetime() const
{
    return m_context.bounds.kill_grace + max_start_latency;
}

// Keeps workers for the step over the passes to come.
void Scheduler::keep(Step& step, const std::vector<WorkerCandidate>& workers, Millis span)
{
    step.reserved_workers = worker_numbers(workers);
    step.reserved_until = m_pass_begun + span;
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
    WorkerCandidates found = worker_candidates(job, step, needed);
    const bool room_now = found.fit >= needed;
    const bool waited_long = m_pass_begun - step.advice.verdicts_at > verdicts_patience;
    const bool lacks_verdicts
        = !found.unasked.empty() && (found.potential_fit < needed || waited_long);
    if (!room_now && advised && (first_question || lacks_verdicts)) {
        ask_about(job, step, needed, found, found.unasked);
        return;
    }
    // It has room, but for verdicts that may have changed.
    const bool refused_would_do = found.fit + found.refused_fit >= needed;
    if (advised && found.potential_fit < needed && refused_would_do) {
        ask_about(job, step, needed, found, found.refused);
        return;
    }
    // If all that it may use is not enough, keeping workers free would help nobody.
    if (found.potential_fit < needed) {
        step.advice.retry_at = m_pass_begun + hopeless_pause;
        return;
    }
    const bool chosen = choose_for_gang(step, found.allowed, needed, room_now);
    if (!room_now && !(chosen && preempt_for(job, step, found.allowed, needed))) {
        keep(step, found.allowed, kept_until_next_look);
        return;
    }
    if (!advised || tickets_last(step, found.allowed)) {
        keep(step, found.allowed, min_ticket_lifetime());
        return;
    }
    ask(job, step, worker_numbers(found.allowed));
    if (step.advice.asking)
        keep(step, found.allowed, max_advice_wait);
}

// Keeps workers free for the gang, those with the most room first, and leaves only them in
// `allowed`. Returns whether they suffice.
bool Scheduler::choose_for_gang(const Step& step, std::vector<WorkerCandidate>& allowed,
                                int needed, bool room_now)
{
    const size_t most_reserved = std::max<size_t>(1, m_workers.size() / reserved_fraction);
    size_t used = 0;
    int kept = 0;
    while (used < allowed.size() && kept < needed
           && (room_now || m_capacity_table.kept_count() < most_reserved)) {
        kept += room_now ? allowed[used].fit : allowed[used].potential_fit;
        reserve(*allowed[used++].worker, step);
    }
    allowed.resize(used);
    return kept >= needed;
}

// Returns whether the tickets for all these workers hold until less urgent tasks have
// ended.
bool Scheduler::tickets_last(const Step& step,
                             const std::vector<WorkerCandidate>& workers) const
{
    const Millis until = m_pass_begun + min_ticket_lifetime();
    return std::all_of(
        workers.begin(), workers.end(), [&](const WorkerCandidate& prospect) {
            const auto known = step.advice.workers.find(prospect.worker->number);
            return known != step.advice.workers.end() && known->second.holds(until);
        });
}

} // namespace pathport::jobs
