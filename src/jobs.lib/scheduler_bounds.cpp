// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Resource usage of workspaces and the number of tasks that their bounds still allow. A
/// task counts from the choice of its worker until its end is reported or can no longer be.
/// Tasks that may run without a record count against every bound.

#include "scheduler.h"

#include <pathport/log.h>

#include <algorithm>
#include <cmath>

namespace pathport::jobs {

namespace {

/// Upper limit on the workspaces in one log line.
constexpr size_t max_logged = 40;

void log_bounds(int64_t version, const std::vector<callers::Workspace>& all)
{
    std::string text;
    for (size_t i = 0; i < all.size() && i < max_logged; ++i) {
        const callers::Workspace& workspace = all[i];
        text += workspace.name + " " + std::to_string(std::lround(workspace.weight)) + " "
            + std::to_string(workspace.bound.cpu_millis) + "/"
            + std::to_string(workspace.bound.memory_mb) + "/"
            + std::to_string(workspace.bound.accelerators) + " ";
    }
    log_event(LogLevel::info, "bounds_taken",
              { { "config", version },
                { "workspaces", static_cast<int64_t>(all.size()) },
                { "weights_and_bounds", text } });
}

} // namespace

// Returns the workspace of a task whose job is not open here.
callers::WorkspaceNumber Scheduler::workspace_number_of(const TaskId& task)
{
    const auto closed = m_closed.find(task.job);
    return closed == m_closed.end() ? callers::UsageLedger::unknown
                                    : m_usage.number_of(closed->second.workspace);
}

// Applies the bounds of the newest configuration. Where it lowers a bound, the earlier one
// may still be in force elsewhere; nothing is started in reliance on that one.
void Scheduler::update_bounds()
{
    const auto configuration
        = m_context.configuration ? m_context.configuration() : nullptr;
    if (configuration == m_bounds_from)
        return;
    m_bounds_from = configuration;
    if (configuration && configuration->workspaces) {
        m_usage.configure(*configuration->workspaces);
        log_bounds(configuration->version, configuration->workspaces->all());
        return;
    }
    m_usage.configure(callers::Workspaces(callers::KeyHasher(0)));
}

// Returns whether earlier jobs had already used up the share that the job's workspace may
// count on. Jobs come in the order of their acceptance, or nearly so.
bool Scheduler::is_beyond_share(const JobRecord& job)
{
    update_bounds();
    const bool has_share = m_bounds_from && m_bounds_from->workspaces
        && job.workspace != callers::UsageLedger::none;
    return has_share
        && !m_budgets[job.workspace].try_consume(m_usage.weight_of(job.workspace),
                                                 job.accepted().accepted_ms);
}

// Updates the ledger for a pass.
void Scheduler::count_usage()
{
    update_bounds();
    m_usage.clear_reservations();
    m_usage.clear_in_doubt();
    if (!m_in_doubt.empty() || !m_unresolved.empty())
        count_in_doubt();
    else
        m_closed_in_doubt.clear();
}

// Counts tasks that earlier leaders recorded on workers which have not reported as running,
// and likewise the whole capacity of workers where earlier leaders may have started tasks
// without a record.
void Scheduler::count_in_doubt()
{
    std::map<std::string, Allocation> closed;
    for (const auto& [worker, tasks] : m_in_doubt) {
        for (const TaskId& id : tasks) {
            JobRecord* job = find_job(id.job);
            const Task* task = job == nullptr ? nullptr : job->task(id);
            if (task != nullptr && task->phase == TaskPhase::in_doubt
                && task->worker == worker) {
                const Step& step = *job->step(id.repeat, id.step);
                m_usage.add_in_doubt(job->workspace, step.spec->need);
            }
            const auto found = m_closed_in_doubt.find(id.to_string());
            if (job == nullptr && found != m_closed_in_doubt.end())
                closed.insert(*found);
        }
    }
    m_closed_in_doubt = std::move(closed);
    for (const auto& [name, allocation] : m_closed_in_doubt)
        m_usage.add_in_doubt(allocation.workspace, allocation.charged);
    Resources all;
    Resources largest;
    for (const auto& [id, worker] : m_workers) {
        const Resources& capacity = worker.session->info().capacity;
        all = all + capacity;
        if (largest.cpu_millis < capacity.cpu_millis)
            largest = capacity;
    }
    for (const std::string& id : m_unresolved) {
        const Worker* worker = find_worker(id);
        const Resources capacity_in_doubt = id == any_worker ? all
            : worker == nullptr                              ? largest
                                : worker->session->info().capacity;
        m_usage.add_in_doubt(callers::UsageLedger::unknown, capacity_in_doubt);
    }
}

// Called before the job is discarded: its in-doubt tasks stay charged until their workers
// report or the leases end.
void Scheduler::keep_in_doubt_charges(const JobRecord& job)
{
    if (m_in_doubt.empty())
        return;
    for (const auto& [number, repeat] : job.repeats()) {
        for (const Step& step : repeat.steps) {
            for (const auto& [index, task] : step.tasks.records()) {
                if (task.phase != TaskPhase::in_doubt)
                    continue;
                const TaskId id { job.id(), number, step.index, index };
                Allocation allocation;
                allocation.workspace = job.workspace;
                allocation.charged = step.spec->need;
                m_closed_in_doubt[id.to_string()] = allocation;
            }
        }
    }
}

void Scheduler::discharge_all(const Worker& worker)
{
    for (const auto& [name, allocation] : worker.load.allocations())
        m_usage.discharge(allocation.workspace, allocation.charged);
}

// Returns how many of the waiting tasks of the step may be placed now. Capacity that the
// step lacks is set aside against later steps of its workspace; otherwise a wide gang would
// wait as long as narrower steps keep coming. Nothing is set aside while the workspace uses
// less than half of its bound: the other steps cannot delay this one for long then, and
// must not be blocked.
int Scheduler::tasks_within_bound(const JobRecord& job, Step& step, int needed)
{
    const Resources& need = step.spec->need;
    const int allowed = m_usage.tasks_allowed(job.workspace, need, needed);
    step.at_bound = allowed < needed;
    if (allowed == needed)
        return needed;
    const Resources& bound = m_usage.bound_of(job.workspace);
    const Resources doubled = m_usage.running(job.workspace) * 2;
    const bool half_used
        = callers::tasks_that_fit({ 1, 1, 1 }, bound - doubled, bound, 1) == 0;
    const int lacking = step.spec->gang ? needed : needed - allowed;
    if (half_used)
        m_usage.reserve(job.workspace, need * lacking);
    return step.spec->gang ? 0 : allowed;
}

std::vector<WorkspaceLoad> Scheduler::workspace_loads() const
{
    std::vector<WorkspaceLoad> loads;
    if (!m_bounds_from || !m_bounds_from->workspaces)
        return loads;
    std::map<callers::WorkspaceNumber, size_t> places;
    for (callers::WorkspaceNumber number = 0; number < m_usage.size(); ++number) {
        const callers::Workspace* known
            = m_bounds_from->workspaces->find(m_usage.name_of(number));
        if (known == nullptr)
            continue;
        places[number] = loads.size();
        loads.push_back({ *known, m_usage.running(number) });
    }
    for (const auto& [id, job] : m_jobs) {
        const auto place = places.find(job->workspace);
        if (place == places.end() || job->closed())
            continue;
        WorkspaceLoad& load = loads[place->second];
        load.beyond_share += job->beyond_share ? 1 : 0;
        bool placed = false;
        for (const auto& [number, repeat] : job->repeats()) {
            for (const Step& step : repeat.steps) {
                placed = placed || step.placed() > 0;
                load.steps_at_bound += step.at_bound && !step.finished() ? 1 : 0;
            }
        }
        load.waiting_jobs += placed ? 0 : 1;
    }
    return loads;
}

} // namespace pathport::jobs
