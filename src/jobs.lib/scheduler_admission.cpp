// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Closes queues to further jobs when the advisor cannot answer their queries in time, and
/// limits them when the capacity does not suffice for further jobs in time.

#include "scheduler.h"

#include <pathport/log.h>

#include <algorithm>
#include <cmath>

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
/// Nodes are told of forecasts above this; shorter waits refuse nothing.
constexpr Millis min_limiting_wait { 1000 };
/// Bound on the learned error of estimates (a factor of 10), so that a few runs that hung
/// do not decide about other jobs.
constexpr double max_estimate_error = 2.303;
/// A leader that has been paused for longer than this does not give out its old forecasts
/// as new ones. It covers two ticks.
constexpr Millis max_published_age { 500 };

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

// Orders are not allowed or the state is being loaded: what is known of the load is out of
// date or incomplete, so nothing is limited.
void Scheduler::discard_room_forecast()
{
    m_room_forecast.clear();
    m_limited.clear();
}

void Scheduler::update_room_forecast()
{
    m_room_forecast.begin_update(m_context.loop.now());
    note_processors();
    note_waiting_work();
    publish_limited_queues();
}

void Scheduler::note_processors()
{
    std::map<int, shortage::ServiceProcessors> services;
    for (WorkerNumber number = 0; number < m_capacity_table.size(); ++number) {
        const CapacityRow& row = m_capacity_table.row(number);
        if (!row.open)
            continue;
        shortage::ServiceProcessors& service = services[row.service];
        service.service = row.service;
        service.total_millis += std::max(int64_t(0), row.capacity.cpu_millis);
        service.free_millis += std::max(int64_t(0), row.free.cpu_millis);
    }
    for (const auto& [number, service] : services)
        m_room_forecast.note_service(service);
}

// A step that its workspace's bound holds back does not wait for capacity. A long-running
// task has no expected end, and one whose processors don't count takes no capacity.
void Scheduler::note_waiting_work()
{
    const int64_t now_ms = m_context.store_clock_ms();
    for (auto& [id, job] : m_jobs) {
        if (job->closed() || awaits_unrecorded_runs(*job))
            continue;
        const Queue& queue = job->accepted().queue;
        shortage::WaitingWork work;
        work.service = service_number(queue.service);
        work.priority = job->rank();
        work.prospect = shortage::prospect_of(deadline_of(*job, now_ms));
        const double factor = estimate_factor(queue.name);
        for (const auto& [number, repeat] : job->repeats()) {
            for (const Step& step : repeat.steps) {
                const StepSpec& spec = *step.spec;
                work.tasks = step.count(TaskPhase::waiting);
                if (work.tasks == 0 || step.at_bound || spec.long_running
                    || spec.best_effort_cpu || !job->dependencies_met(step))
                    continue;
                work.cpu_millis = spec.need.cpu_millis;
                work.run_ms = double(spec.expected_ms) * factor;
                m_room_forecast.note_waiting(work);
            }
        }
        note_waiting_repeats(*job, work, factor);
    }
}

// Adds the repeats that are due but not begun. Each step that depends on another one waits
// for that first.
void Scheduler::note_waiting_repeats(const JobRecord& job, shortage::WaitingWork work,
                                     double estimate_factor)
{
    const int64_t repeats = due_repeats(job);
    if (repeats == 0)
        return;
    for (const StepSpec& spec : job.accepted().spec.steps) {
        if (!spec.after.empty() || spec.long_running || spec.best_effort_cpu)
            continue;
        work.tasks = static_cast<int>(repeats * spec.count);
        work.cpu_millis = spec.need.cpu_millis;
        work.run_ms = double(spec.expected_ms) * estimate_factor;
        m_room_forecast.note_waiting(work);
    }
}

// Returns by how much runs of a queue exceed the submitters' estimates, as learned.
double Scheduler::estimate_factor(const std::string& queue) const
{
    const auto found = m_estimate_error.find(queue);
    if (found == m_estimate_error.end())
        return 1;
    return std::exp(std::clamp(found->second, -max_estimate_error, max_estimate_error));
}

std::vector<LimitedQueue> Scheduler::limited_queues() const
{
    return limited_queues_age() < max_published_age ? m_limited
                                                    : std::vector<LimitedQueue>();
}

void Scheduler::publish_limited_queues()
{
    m_limited.clear();
    m_limited_at = m_context.loop.now();
    const auto configuration
        = m_context.configuration ? m_context.configuration() : nullptr;
    if (!configuration)
        return;
    for (const Queue& queue : configuration->queues) {
        const int service = service_number(queue.service);
        const Millis wait = m_room_forecast.wait(service, queue.priority);
        m_context.metrics.set("pathport_capacity_wait_seconds", double(wait.count()) / 1000,
                              { { "queue", queue.name } });
        if (uses(Mechanism::capacity_admission) && wait > min_limiting_wait
            && m_room_forecast.is_short(service))
            m_limited.push_back({ queue.name, wait });
    }
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
