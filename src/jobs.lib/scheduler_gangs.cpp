// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Gangs that lack capacity or tickets, and the workers reserved for waiting steps.

#include "scheduler.h"

#include <pathport/log.h>

#include <algorithm>

namespace pathport::jobs {

namespace {

/// Gangs waiting for capacity that are tried in one pass.
constexpr int max_gangs_prepared = 16;
/// At most one in this many workers is reserved for gangs whose capacity is not free yet.
constexpr size_t reserved_fraction = 4;
/// A gang without enough capacity on its allowed workers for this long asks about further
/// workers.
constexpr Millis verdict_wait { 600 };
/// Delay after all allowed workers together turned out to have too little capacity.
constexpr Millis no_capacity_delay { 100 };
/// Workers chosen before enough of their capacity is free stay reserved until the gang is
/// tried again (every 20 ms, plus a long pass in between). Passes are more frequent, and
/// the lower-priority steps of each would take the capacity that has become free.
constexpr Millis reservation_until_retry { 60 };
} // namespace

void Scheduler::reserve(Worker& worker, const Step& step)
{
    if (uses(Mechanism::reservations))
        m_capacity_table.reserve_row(worker.number, step);
}

// Begins a pass: a gang that waits for tickets or for tasks to end keeps its reserved
// workers, even against more urgent gangs, since its wait would otherwise be wasted.
void Scheduler::renew_reservations(const std::vector<PendingStep>& waiting)
{
    m_gangs_prepared = 0;
    m_capacity_table.release_reservations();
    const Millis now = m_pass_begun;
    for (const PendingStep& pending : waiting) {
        Step& step = *pending.step;
        if (now >= step.reserved_until)
            step.reserved_workers.clear();
        for (const WorkerNumber number : step.reserved_workers) {
            if (m_workers_by_number[number] != nullptr)
                reserve(*m_workers_by_number[number], step);
        }
    }
}

// Tickets valid for at least this long remain valid until preempted tasks have ended.
Millis Scheduler::min_ticket_lifetime() const
{
    return m_context.bounds.kill_grace + max_start_latency;
}

// Keeps the workers reserved for the step over the next passes.
void Scheduler::extend_reservation(Step& step, const std::vector<WorkerCandidate>& workers,
                                   Millis span)
{
    step.reserved_workers = worker_numbers(workers);
    step.reserved_until = m_pass_begun + span;
}

// Prepares a gang that lacks capacity, tickets or verdicts. Verdicts are requested at once.
// Once the allowed workers suffice they are reserved against later steps; tickets are
// requested only when the capacity is free. Returns what the gang lacks.
GangWait Scheduler::prepare_gang(const JobRecord& job, Step& step, int needed)
{
    const bool advised = job.accepted().queue.advice.has_value();
    step.advice.held_back = false;
    if (step.advice.asking())
        return GangWait::answer;
    if (m_pass_begun < step.advice.retry_at)
        return GangWait::retry_delay;
    const bool first_query = advised && step.advice.workers.empty();
    if (!first_query && ++m_gangs_prepared > max_gangs_prepared)
        return GangWait::turn;
    WorkerCandidates found = worker_candidates(job, step, needed);
    const bool capacity_free = found.fit >= needed;
    const bool waited_long = m_pass_begun - step.advice.verdicts_at > verdict_wait;
    const bool by_stops = !capacity_free && can_stop_enough(job, found, needed);
    const bool lacks_verdicts = !found.unasked.empty()
        && (found.potential_fit < needed || (waited_long && !by_stops));
    if (!capacity_free && advised && (first_query || lacks_verdicts)) {
        ask_about(job, step, needed, found, found.unasked);
        return GangWait::verdicts;
    }
    // The capacity would suffice with workers whose refusal may have been lifted.
    const bool refused_suffice = found.fit + found.refused_fit >= needed;
    if (advised && found.potential_fit < needed && refused_suffice) {
        ask_about(job, step, needed, found, found.refused);
        return GangWait::verdicts;
    }
    // If all allowed workers are not enough, reserving them would benefit no step.
    if (found.potential_fit < needed) {
        step.advice.retry_at = m_pass_begun + no_capacity_delay;
        return GangWait::allowed_capacity;
    }
    if (by_stops)
        std::sort(found.allowed.begin(), found.allowed.end(), is_more_stoppable);
    const auto obtainable = capacity_free ? &WorkerCandidate::fit
        : by_stops                        ? &WorkerCandidate::stoppable_fit
                                          : &WorkerCandidate::potential_fit;
    const bool chosen
        = choose_for_gang(step, found.allowed, needed, obtainable, capacity_free);
    if (!capacity_free && !(chosen && preempt_for(job, step, found.allowed, needed))) {
        extend_reservation(step, found.allowed, reservation_until_retry);
        return chosen ? GangWait::running_tasks : GangWait::reservation;
    }
    if (!advised || tickets_outlast_preemption(step, found.allowed)) {
        extend_reservation(step, found.allowed, min_ticket_lifetime());
        return GangWait::preemption;
    }
    // The other tickets have to be valid when the answer arrives.
    const Millis answered_at = m_pass_begun + longest_answer_time(job);
    ask(job, step,
        without_ticket_until(step, found.allowed, answered_at + min_ticket_lifetime()));
    if (step.advice.asking())
        extend_reservation(step, found.allowed, max_advice_wait);
    return GangWait::tickets;
}

// Reserves workers for the gang in their order, and removes all others from `allowed`.
// Returns whether what is `obtainable` on them suffices. Workers that are already reserved
// for the gang do not count against the limit a second time.
bool Scheduler::choose_for_gang(const Step& step, std::vector<WorkerCandidate>& allowed,
                                int needed, int WorkerCandidate::*obtainable,
                                bool capacity_free)
{
    const size_t max_reserved = std::max<size_t>(1, m_workers.size() / reserved_fraction);
    std::vector<WorkerCandidate> chosen;
    int capacity_reserved = 0;
    for (const WorkerCandidate& candidate : allowed) {
        if (capacity_reserved >= needed)
            break;
        const WorkerNumber number = candidate.worker->number;
        const bool is_own = m_capacity_table.row(number).reserved_for == &step;
        if (!capacity_free && !is_own && m_capacity_table.reserved_count() >= max_reserved)
            continue;
        capacity_reserved += candidate.*obtainable;
        reserve(*candidate.worker, step);
        chosen.push_back(candidate);
    }
    allowed = std::move(chosen);
    return capacity_reserved >= needed;
}

// Returns whether the tickets for all these workers remain valid until preempted tasks have
// ended.
bool Scheduler::tickets_outlast_preemption(
    const Step& step, const std::vector<WorkerCandidate>& workers) const
{
    return without_ticket_until(step, workers, m_pass_begun + min_ticket_lifetime())
        .empty();
}

// Returns the workers for which there is no ticket that is valid until then.
std::vector<WorkerNumber>
Scheduler::without_ticket_until(const Step& step,
                                const std::vector<WorkerCandidate>& workers, Millis until)
{
    std::vector<WorkerNumber> without;
    for (const WorkerCandidate& candidate : workers) {
        const auto known = step.advice.workers.find(candidate.worker->number);
        if (known == step.advice.workers.end() || !known->second.holds(until))
            without.push_back(candidate.worker->number);
    }
    return without;
}

} // namespace pathport::jobs
