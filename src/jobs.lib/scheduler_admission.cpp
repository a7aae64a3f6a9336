// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Closes queues to further jobs when the advisor cannot answer their queries in time.

#include "scheduler.h"

#include <pathport/log.h>

#include <algorithm>

namespace pathport::jobs {

namespace {

/// Time after which a new leader knows which nodes can reach the advisor: by then they have
/// found out and sent a heartbeat.
constexpr Millis caller_discovery_time { 1000 };
/// With a smaller share of the capacity free than this, steps wait for capacity rather than
/// for advice.
constexpr double min_free_share = 0.25;
/// Assumed number of workers in a query while the queue has sent none.
constexpr int typical_query_size = 10;

bool is_closed(const std::vector<ClosedQueue>& closed, const std::string& queue)
{
    return std::any_of(closed.begin(), closed.end(),
                       [&](const ClosedQueue& entry) { return entry.queue == queue; });
}

} // namespace

bool Scheduler::awaits_advice(const JobRecord& job, const Step& step) const
{
    return job.accepted().queue.advice && step.advice.workers.empty()
        && step.count(TaskPhase::waiting) > 0 && step.placed() == 0
        && job.dependencies_met(step);
}

std::vector<AdviceDemand> Scheduler::advice_demands()
{
    const Millis now = m_context.loop.now();
    std::map<std::string, AdviceDemand> demands;
    const int64_t now_ms = m_context.store_clock_ms();
    for (auto& [id, job] : m_jobs) {
        if (job->closed() || awaits_unrecorded_runs(*job))
            continue;
        const Queue& queue = job->accepted().queue;
        const bool late = slack_ms(*job, now_ms) < 0;
        for (auto& [number, repeat] : job->repeats()) {
            for (const Step& step : repeat.steps) {
                if (!awaits_advice(*job, step))
                    continue;
                AdviceDemand& demand = demands[queue.name];
                demand.queue = queue.name;
                demand.priority = queue.priority;
                const bool idle = step.idle_since > Millis(0);
                demand.add_step(idle ? now - step.idle_since : Millis(0), late);
                const auto asked = m_query_ms.find(queue.name);
                demand.query_ms = asked != m_query_ms.end() ? asked->second
                                                            : queue.advice->decision_ms
                        + queue.advice->per_worker_ms * typical_query_size;
            }
        }
    }
    std::vector<AdviceDemand> all;
    for (auto& [name, demand] : demands)
        all.push_back(std::move(demand));
    return all;
}

void Scheduler::update_admission()
{
    if (m_context.loop.now() - m_claim.known < caller_discovery_time)
        return;
    const std::vector<ClosedQueue> before = m_admission.closed();
    // When capacity is short, steps without any query wait for capacity.
    const std::vector<AdviceDemand> demands
        = free_share() > min_free_share ? advice_demands() : std::vector<AdviceDemand>();
    m_admission.update(demands, m_context.advice.spare_callers());
    for (const auto& [queue, smoothed_ms] : m_query_ms)
        m_context.metrics.set("pathport_advice_wait_seconds",
                              double(m_admission.estimated_wait(queue).count()) / 1000,
                              { { "queue", queue } });
    log_admission_changes(before, demands);
}

void Scheduler::log_admission_changes(const std::vector<ClosedQueue>& before,
                                      const std::vector<AdviceDemand>& demands) const
{
    for (const AdviceDemand& demand : demands) {
        if (is_closed(before, demand.queue)
            || !is_closed(m_admission.closed(), demand.queue))
            continue;
        log_event(LogLevel::warn, "queue_closed",
                  { { "queue", demand.queue },
                    { "steps", demand.steps },
                    { "oldest_ms", demand.oldest.count() },
                    { "wait_ms", m_admission.estimated_wait(demand.queue).count() },
                    { "question_ms", static_cast<int64_t>(demand.query_ms) },
                    { "callers", m_context.advice.backlog().callers } });
    }
    for (const ClosedQueue& entry : before) {
        if (!is_closed(m_admission.closed(), entry.queue))
            log_event(LogLevel::info, "queue_opened",
                      { { "queue", entry.queue },
                        { "wait_ms", m_admission.estimated_wait(entry.queue).count() } });
    }
}

} // namespace pathport::jobs
