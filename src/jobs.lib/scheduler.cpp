// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "scheduler.h"

#include <pathport/log.h>

#include <algorithm>

namespace pathport::jobs {

namespace {
/// The store's clock is known only from answers, which a slow store may delay by this much.
constexpr Millis store_clock_error { 2500 };
/// Clients of all nodes ask how many jobs are pending; the jobs are counted at most once in
/// this time.
constexpr Millis pending_count_interval { 20 };
} // namespace

Scheduler::Scheduler(SchedulerContext parts, const Claim& claim,
                     std::function<void()> deposed)
    : m_context(std::move(parts))
    , m_claim(claim)
    , m_deposed(std::move(deposed))
    , m_log(m_context.loop, m_context.store, *this, claim.head, claim.version,
            claim.claimed, m_context.mechanisms)
    , m_last_run(claim.head.epoch * runs_per_epoch)
    , m_job_reader(m_context.loop, m_context.store)
    , m_progress_reader(m_context.loop, m_context.store)
    , m_feed(m_context.loop, m_context.store, [this](const StoredRow& row) {
        if (m_phase != Phase::terminated)
            job_row_seen(row);
    })
{
    constexpr Millis margin { 300 };
    m_earlier_leases_until = claim.known + leader_lease
        + max_local_duration(m_context.bounds.max_lease) + margin;
    m_earlier_leaders_until_ms
        = store_time_at(claim.known + leader_lease) + store_clock_error.count();
    m_silent_workers = claim.head.silent;
    m_unresolved = { claim.head.unrecorded_task_workers.begin(),
                     claim.head.unrecorded_task_workers.end() };
    refresh_drains();
    m_log.set_link_rate(m_context.link_bytes);
    m_job_reader.set_link_rate(m_context.link_bytes);
    m_progress_reader.set_link_rate(m_context.link_bytes);
    m_feed.set_link_rate(m_context.link_bytes);
}

Scheduler::~Scheduler() = default;

// Converts a time of this process to the store's clock.
int64_t Scheduler::store_time_at(Millis time) const
{
    return m_context.store_clock_ms() + (time - m_context.loop.now()).count();
}

bool Scheduler::orders_allowed() const
{
    if (m_phase == Phase::terminated)
        return false;
    const Millis now = m_context.loop.now();
    return now < m_log.lease_until() || now < m_promised_until;
}

void Scheduler::call_timed_out()
{
    m_last_call_timeout = m_context.loop.now();
    ++m_load_counts.answers_missing;
}

bool Scheduler::has_recent_timeouts() const
{
    // About a thousand calls are made in this time, so even rare losses keep this true.
    constexpr Millis memory { 3000 };
    return m_last_call_timeout && m_context.loop.now() - *m_last_call_timeout < memory;
}

void Scheduler::depose()
{
    if (m_phase == Phase::terminated)
        return;
    m_phase = Phase::terminated;
    // The owner destroys this scheduler, which must not happen within one of its callbacks.
    m_context.loop.after(Millis(0), m_deposed);
}

void Scheduler::hand_over(std::string leader_row, std::string incarnation,
                          std::function<void()> done)
{
    m_log.hand_over(std::move(leader_row), std::move(incarnation),
                    m_lifetime.wrap([this, done = std::move(done)] {
                        done();
                        depose();
                    }));
}

void Scheduler::log_fenced()
{
    depose();
}

void Scheduler::fenced_off(WorkerSession& session)
{
    log_event(LogLevel::warn, "fenced_off",
              { { "worker", session.id() }, { "epoch", m_claim.head.epoch } });
    depose();
}

std::optional<std::string> Scheduler::progress_of(const std::string& job)
{
    if (m_archived.erase(job) > 0)
        return std::nullopt;
    const JobRecord* record = find_job(job);
    if (record != nullptr)
        return record->encode_progress();
    // The job was closed after this write was requested.
    const auto closed = m_closed.find(job);
    return closed == m_closed.end()
        ? std::string()
        : encode_final_progress(closed->second.state, closed->second.workspace);
}

std::vector<std::string> Scheduler::unrecorded_workers(bool early_orders, size_t max_bytes)
{
    std::set<std::string> workers = m_unresolved;
    size_t bytes = 0;
    for (const std::string& worker : workers)
        bytes += bytes_in_head(worker);
    const auto add = [&](const std::string& id) {
        if (bytes + bytes_in_head(id) > max_bytes || !workers.insert(id).second)
            return;
        bytes += bytes_in_head(id);
    };
    if (early_orders) {
        for (const std::string& id : workers_awaiting_record())
            add(id);
        for (const auto& [id, worker] : m_workers)
            add(id);
    }
    return { workers.begin(), workers.end() };
}

// Returns the workers that have been chosen for tasks whose record is still being written.
std::set<std::string> Scheduler::workers_awaiting_record() const
{
    std::set<std::string> workers;
    for (const auto& [id, job] : m_jobs) {
        for (const auto& [number, repeat] : job->repeats()) {
            for (const Step& step : repeat.steps) {
                if (step.count(TaskPhase::intended) == 0)
                    continue;
                for (const auto& [index, task] : step.tasks.records()) {
                    if (task.phase == TaskPhase::intended)
                        workers.insert(task.worker);
                }
            }
        }
    }
    return workers;
}

JobRecord* Scheduler::find_job(const std::string& id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

Step* Scheduler::find_step(const std::string& id, int repeat, int index)
{
    JobRecord* job = find_job(id);
    return job == nullptr ? nullptr : job->step(repeat, index);
}

size_t Scheduler::reachable_workers() const
{
    return static_cast<size_t>(
        std::count_if(m_workers.begin(), m_workers.end(),
                      [](const auto& entry) { return entry.second.session->usable(); }));
}

Scheduler::Worker* Scheduler::find_worker(const std::string& id)
{
    const auto found = m_workers_by_id.find(id);
    return found == m_workers_by_id.end() ? nullptr : found->second;
}

const Scheduler::Worker* Scheduler::find_worker(const std::string& id) const
{
    const auto found = m_workers_by_id.find(id);
    return found == m_workers_by_id.end() ? nullptr : found->second;
}

std::optional<JobState> Scheduler::state_of(const std::string& id) const
{
    const auto closed = m_closed.find(id);
    if (closed != m_closed.end())
        return closed->second.state;
    const auto open = m_jobs.find(id);
    if (open == m_jobs.end() || !orders_allowed())
        return std::nullopt;
    return open->second->visible_state();
}

std::string Scheduler::workspace_of(const std::string& id) const
{
    const auto closed = m_closed.find(id);
    if (closed != m_closed.end())
        return closed->second.workspace;
    const auto open = m_jobs.find(id);
    return open == m_jobs.end() ? std::string() : open->second->accepted().workspace;
}

std::optional<int64_t> Scheduler::pending_in(const std::string& queue)
{
    if (m_phase == Phase::loading || !orders_allowed())
        return std::nullopt;
    const Millis now = m_context.loop.now();
    if (now - m_pending_counted_at >= pending_count_interval) {
        m_pending_counted_at = now;
        m_pending.clear();
        for (const auto& [id, job] : m_jobs) {
            if (job->state() == JobState::pending)
                ++m_pending[job->accepted().queue.name];
        }
    }
    const auto found = m_pending.find(queue);
    return found == m_pending.end() ? 0 : found->second;
}

// `job` is the task's job, or null if it is not open.
void Scheduler::occupy(Worker& worker, const TaskId& task, int64_t run,
                       const StepSpec& spec, const JobRecord* job)
{
    if (worker.load.holds(task))
        return;
    Allocation allocation;
    allocation.run = run;
    allocation.need = spec.need;
    if (spec.best_effort_cpu)
        allocation.need.cpu_millis = 0;
    allocation.priority = job == nullptr ? 0 : job->rank();
    allocation.stoppable = job != nullptr && is_stoppable(spec);
    allocation.workspace = job == nullptr ? workspace_number_of(task) : job->workspace;
    allocation.charged = spec.need;
    m_pools.add_priority(allocation.priority);
    worker.load.add(task, allocation);
    m_usage.charge(allocation.workspace, allocation.charged);
    worker.session->set_busy(true);
    refresh_row(worker);
}

void Scheduler::vacate(Worker& worker, const TaskId& task, int64_t run)
{
    const Allocation* found = worker.load.find(task, run);
    if (found == nullptr)
        return;
    m_usage.discharge(found->workspace, found->charged);
    worker.load.remove(task, run);
    worker.session->set_busy(!worker.load.empty());
    refresh_row(worker);
    schedule_pass();
}

void Scheduler::release(Task& task)
{
    task.phase = TaskPhase::waiting;
    task.requeued_at = m_context.loop.now();
    task.worker.clear();
    task.evidence = RunEvidence();
    task.ticket.clear();
    task.speed_percent = 100;
}

} // namespace pathport::jobs
