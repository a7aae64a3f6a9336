// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Log lines that explain why steps wait.

#include "scheduler.h"

#include <pathport/log.h>
#include <pathport/shortage/prospect.h>

namespace pathport::jobs {

// Logs why a step has not started, for operators and users asking about its job.
void Scheduler::log_wait_reason(JobRecord& job, Step& step, Millis now)
{
    if (now - job.seen() <= min_explanation_interval || step.count(TaskPhase::waiting) == 0
        || !job.dependencies_met(step) || !m_explanations.acquire(now, step.wait_logged_at))
        return;
    step.wait_logged_at = now;
    const std::string name = step.name(job.id());
    int eligible = 0;
    int allowed = 0;
    int fit = 0;
    int fit_any = 0; // Whatever the verdict, to tell a lack of capacity from one of advice.
    int tickets = 0;
    int fit_with_tickets = 0;
    int fit_reserved_by_others = 0;
    for (const auto& [id, worker] : m_workers) {
        if (!is_eligible(worker, job, step))
            continue;
        ++eligible;
        const int here = tasks_that_fit(*step.spec, option_on(worker, step, name));
        fit_any += here;
        const auto known = step.advice.workers.find(worker.number);
        if (known == step.advice.workers.end() || !known->second.allowed)
            continue;
        ++allowed;
        const bool available = m_capacity_table.row(worker.number).available_to(step);
        fit += here;
        fit_reserved_by_others += available ? 0 : here;
        tickets += known->second.holds(now) ? 1 : 0;
        fit_with_tickets += available && known->second.holds(now) ? here : 0;
    }
    const shortage::Deadline deadline = deadline_of(job, m_context.store_clock_ms());
    log_event(
        LogLevel::info, "step_waits",
        { { "job", job.id() },
          { "step", name },
          { "waiting", step.count(TaskPhase::waiting) },
          { "placed", step.placed() },
          { "eligible", eligible },
          { "asked", static_cast<int64_t>(step.advice.workers.size()) },
          { "allowed", allowed },
          { "fit", fit },
          { "fit_any", fit_any },
          { "fit_reserved_by_others", fit_reserved_by_others },
          { "tickets", tickets },
          { "fit_with_tickets", fit_with_tickets },
          { "reserved_workers", static_cast<int64_t>(step.reserved_workers.size()) },
          { "gang_lacks", std::string(to_string(step.gang_wait)) },
          { "slack_ms", deadline.slack_ms },
          { "prospect", std::string(to_string(shortage::prospect_of(deadline))) },
          { "suspected", step.count(TaskPhase::waiting) - step.unsuspected_waiting() },
          { "workspace", job.accepted().workspace },
          { "at_bound", step.at_bound ? "yes" : "no" },
          { "asking", step.advice.asking() ? "yes" : "no" },
          { "idle_ms", step.idle_since == Millis(0) ? 0 : (now - step.idle_since).count() },
          { "held_back", awaits_unrecorded_runs(job) ? "yes" : "no" } });
}

} // namespace pathport::jobs
