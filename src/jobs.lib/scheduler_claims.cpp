// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Which steps ask the advisor next, about which capacity, and how much of its time leads
/// to starts.

#include "scheduler.h"

#include <algorithm>
#include <cmath>

namespace pathport::jobs {

namespace {

constexpr double ms_per_s = 1000;
/// One query in this time goes to the step of a queue that has waited longest.
constexpr Millis longest_waiting_interval { 1000 };

Resources scaled(const Resources& amount, double factor)
{
    const auto scale = [factor](int64_t value) {
        return static_cast<int64_t>(std::ceil(double(value) * factor));
    };
    return { scale(amount.cpu_millis), scale(amount.memory_mb),
             scale(amount.accelerators) };
}

} // namespace

// Collects the claims of all queries in progress at the beginning of a pass.
void Scheduler::collect_claims(const std::vector<PendingStep>& waiting)
{
    m_claims.clear(m_capacity_table.size());
    m_pools.release_claims();
    for (const PendingStep& pending : waiting)
        claim_for(*pending.job, *pending.step);
}

// Claims what the tasks of a step will take on the workers named in its queries. A worker
// whose verdict is not known is expected to be allowed as often as those of its queue
// lately. Gangs reserve their workers instead.
void Scheduler::claim_for(const JobRecord& job, const Step& step)
{
    if (!uses(Mechanism::advice_claims) || !step.advice.asking() || step.spec->gang)
        return;
    const auto learned = m_allowed_share.find(job.accepted().queue.name);
    const double unknown_share = learned == m_allowed_share.end() ? 1 : learned->second;
    double needed = step.count(TaskPhase::waiting);
    for (const WorkerNumber number : step.advice.named) {
        if (needed <= 0)
            break;
        const CapacityRow& row = m_capacity_table.row(number);
        if (!row.open || !row.available_to(step))
            continue;
        const int fit = tasks_that_fit_into(*step.spec, row.free, max_tasks_per_step,
                                            row.max_new_tasks);
        if (fit == 0)
            continue;
        const auto known = step.advice.workers.find(number);
        const bool allowed = known != step.advice.workers.end() && known->second.allowed;
        const double tasks = std::min(needed, fit * (allowed ? 1 : unknown_share));
        Resources need = step.spec->need;
        if (step.spec->best_effort_cpu)
            need.cpu_millis = 0;
        const Resources claimed = scaled(need, tasks);
        m_claims.add(number, job.rank(), claimed);
        m_pools.claim(number, claimed);
        needed -= tasks;
    }
}

Resources Scheduler::capacity_to_ask_about(WorkerNumber worker, int rank,
                                           const Resources& free) const
{
    return m_claims.empty() ? free : m_claims.unclaimed(worker, rank, free);
}

// Lets the most urgent steps that could not ask, since enough queries of their queue
// waited, try again at once when there is a place. Otherwise a place goes to whichever step
// is due at that moment. Not with ample capacity, where a step that waits only for advice
// goes by its age: in a strict order the late ones would never ask (scarce_advice_test).
void Scheduler::advance_held_back(std::vector<PendingStep>& waiting)
{
    if (!uses(Mechanism::advice_claims) || capacity_is_ample())
        return;
    std::map<std::string, int> places;
    for (PendingStep& pending : waiting) {
        const StepAdvice& advice = pending.step->advice;
        if (!advice.held_back || advice.asking())
            continue;
        const Queue& queue = pending.job->accepted().queue;
        int& left = places.try_emplace(queue.name, free_query_places(queue)).first->second;
        if (left <= 0)
            continue;
        --left;
        pending.step->next_placement_at = Millis(0);
    }
}

// Chooses for each queue the step that has waited longest, unless such a step has asked a
// moment ago. Under lasting overload, the claims and queries of steps that can be in time
// would otherwise keep late ones from asking for as long as it lasts.
void Scheduler::choose_longest_waiting(const std::vector<PendingStep>& waiting)
{
    m_longest_waiting.clear();
    if (!uses(Mechanism::advice_claims))
        return;
    std::map<std::string, Step*> longest;
    for (const PendingStep& pending : waiting) {
        Step& step = *pending.step;
        const Queue& queue = pending.job->accepted().queue;
        if (!queue.advice || step.spec->gang || step.idle_since == Millis(0)
            || step.advice.asking() || m_pass_begun < step.advice.retry_at)
            continue;
        Step*& best = longest.try_emplace(queue.name, &step).first->second;
        if (step.idle_since < best->idle_since)
            best = &step;
    }
    for (const auto& [queue, step] : longest) {
        const auto last = m_longest_waiting_asked_at.find(queue);
        if (last != m_longest_waiting_asked_at.end()
            && m_pass_begun - last->second < longest_waiting_interval)
            continue;
        step->next_placement_at = Millis(0);
        m_longest_waiting.push_back(step);
    }
}

bool Scheduler::asks_regardless(const Step& step) const
{
    return std::find(m_longest_waiting.begin(), m_longest_waiting.end(), &step)
        != m_longest_waiting.end();
}

// `step` is null if the job has been closed meanwhile.
void Scheduler::note_advisor_answer(const std::string& queue, double cost_ms, bool answered,
                                    Step* step)
{
    double unused_ms = 0;
    m_advisor_time.note_answer(queue, cost_ms, answered,
                               step == nullptr ? unused_ms : step->advice.unused_ms);
    m_context.metrics.count(
        "pathport_advisor_seconds_total",
        { { "queue", queue }, { "outcome", answered ? "answered" : "unanswered" } },
        cost_ms / ms_per_s);
}

void Scheduler::note_advisor_use(const JobRecord& job, Step& step)
{
    if (step.advice.unused_ms <= 0)
        return;
    const std::string& queue = job.accepted().queue.name;
    m_context.metrics.count("pathport_advisor_seconds_total",
                            { { "queue", queue }, { "outcome", "used" } },
                            step.advice.unused_ms / ms_per_s);
    m_advisor_time.note_placement(queue, step.advice.unused_ms);
}

AdvisorTime Scheduler::advisor_time_since_report()
{
    const AdvisorTime total = m_advisor_time.total();
    const AdvisorTime before = m_advisor_time_logged;
    m_advisor_time_logged = total;
    return total - before;
}

} // namespace pathport::jobs
