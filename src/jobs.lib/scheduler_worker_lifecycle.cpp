// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Worker incarnations: how they appear in and disappear from the worker list, and what
/// happens to the tasks of one that has ended.

#include "scheduler.h"

#include <pathport/log.h>

#include <algorithm>

namespace pathport::jobs {

namespace {

/// Maximum time that an unanswered order may be in transit, which is how long the worker
/// session waits for its answer at most.
constexpr Millis max_order_transit { 400 };

} // namespace

void Scheduler::update_workers(const std::vector<WorkerInfo>& listed)
{
    end_replaced(listed);
    std::set<std::string> present;
    for (const WorkerInfo& info : listed) {
        // The list may lag behind what the next incarnation has answered itself.
        if (m_ended_incarnations.count(info.id) > 0)
            continue;
        // An entry by another writer, for a service that is not in use, is not a worker: a
        // call to it would reach an unrelated process.
        if (m_workers.count(info.id) == 0
            && (!is_used(info.service) || lacks_start_time_of_known(info.id)))
            continue;
        present.insert(info.id);
        update_worker(info);
    }
    std::vector<std::string> unlisted;
    for (auto& [id, worker] : m_workers) {
        if (present.count(id) == 0)
            unlisted.push_back(id);
    }
    for (const std::string& id : unlisted)
        drop_unlisted(id);
    schedule_pass();
}

void Scheduler::update_worker(const WorkerInfo& info)
{
    const auto entry = m_workers.try_emplace(info.id).first;
    Worker& worker = entry->second;
    m_workers_by_id[entry->first] = &worker;
    if (worker.session && !worker.listed)
        log_event(LogLevel::info, "worker_listed_again",
                  { { "worker", info.id }, { "draining", info.draining ? "yes" : "no" } });
    worker.listed = true;
    worker.rack = info.rack();
    if (worker.session) {
        if (info.draining && !worker.session->info().draining)
            log_event(LogLevel::info, "worker_draining",
                      { { "worker", info.id }, { "remaining_ms", info.remaining_ms } });
        worker.session->update(info);
        refresh_row(worker);
        update_pools(worker); // Its labels may have changed.
        return;
    }
    if (m_phase != Phase::loading)
        inherit_from_previous(info.id);
    worker.number = m_capacity_table.add();
    m_workers_by_number.push_back(&worker);
    worker.session = std::make_unique<WorkerSession>(
        m_context.loop, m_context.workers, *this, info, m_claim.head.epoch, m_ended_fence,
        m_context.bounds,
        std::max(earlier_leases_until(info.id), unconfirmed_until(info.id)),
        m_context.mechanisms);
    refresh_row(worker);
    if (m_phase != Phase::loading)
        worker.session->start_polling();
}

// A worker has one incarnation at a time: those for whose worker the list contains another
// one have ended.
void Scheduler::end_replaced(const std::vector<WorkerInfo>& listed)
{
    std::set<std::string> ids;
    for (const WorkerInfo& info : listed)
        ids.insert(info.id);
    // Incarnations that are no longer listed do not return.
    for (auto ended = m_ended_incarnations.begin(); ended != m_ended_incarnations.end();)
        ended
            = ids.count(*ended) == 0 ? m_ended_incarnations.erase(ended) : std::next(ended);
    std::vector<std::string> missing;
    for (const auto& [id, worker] : m_workers) {
        if (ids.count(id) == 0)
            missing.push_back(id);
    }
    if (missing.empty())
        return;
    std::map<std::string, WorkerIncarnation> by_name;
    for (const std::string& id : ids) {
        if (m_ended_incarnations.count(id) > 0)
            continue;
        const WorkerIncarnation incarnation = WorkerIncarnation::parse(id);
        by_name[incarnation.name] = incarnation;
    }
    for (const std::string& id : missing) {
        const WorkerIncarnation known = WorkerIncarnation::parse(id);
        const auto listed_now = by_name.find(known.name);
        if (listed_now != by_name.end() && shows_end(listed_now->second, known))
            m_workers[id].session->mark_replaced();
    }
}

// Returns whether the id names a worker without the start time that it is known with.
bool Scheduler::lacks_start_time_of_known(const std::string& id) const
{
    const WorkerIncarnation incarnation = WorkerIncarnation::parse(id);
    if (incarnation.started_ms != 0)
        return false;
    // Ids begin with the name.
    for (auto known = m_workers.lower_bound(id);
         known != m_workers.end() && known->first.compare(0, id.size(), id) == 0; ++known) {
        if (WorkerIncarnation::parse(known->first).name == incarnation.name)
            return true;
    }
    return false;
}

// A worker that is no longer listed may still run its tasks, so it is removed only when
// nothing is placed there.
void Scheduler::drop_unlisted(const std::string& id)
{
    Worker& worker = m_workers[id];
    if (worker.listed)
        log_event(LogLevel::info, "worker_unlisted",
                  { { "worker", id },
                    { "draining", worker.session->info().draining ? "yes" : "no" },
                    { "remaining_ms", worker.session->info().remaining_ms },
                    { "silent", worker.session->silent() ? "yes" : "no" },
                    { "placed", static_cast<int64_t>(worker.load.allocations().size()) } });
    worker.listed = false;
    refresh_row(worker);
    if (worker.session->silent())
        attribute_lapsed_runs(id);
    if (worker.load.empty())
        end_session(worker);
}

// The worker may be listed again, and refuses fences below the highest one that it has
// seen. Its next incarnation has seen none, so only a higher fence invalidates there what
// was sent to this one.
void Scheduler::end_session(Worker& worker)
{
    // The session may be the caller.
    std::shared_ptr<WorkerSession> ended(std::move(worker.session));
    if (ended->silent() && !ended->replaced())
        note_session_end(*ended, ended->lease_expires_at());
    m_ended_fence = std::max(m_ended_fence, ended->fence() + 1);
    m_capacity_table.close_row(worker.number);
    m_pools.remove(worker.number);
    m_workers_by_number[worker.number] = nullptr;
    m_workers_by_id.erase(ended->id());
    m_silent_sessions.erase(ended->id());
    m_workers.erase(ended->id());
    m_context.loop.after(Millis(0), [ended] {});
}

// Returns all tasks placed on the worker to the waiting state, except those in doubt there
// if `keep_doubts`.
void Scheduler::release_tasks(Worker& worker, const char* reason, bool keep_in_doubt)
{
    int64_t released = 0;
    discharge_all(worker);
    worker.load.clear();
    worker.session->set_busy(false);
    refresh_row(worker);
    const std::string id = worker.session->id();
    for (auto& [name, job] : m_jobs) {
        for (auto& [number, repeat] : job->repeats()) {
            for (Step& step : repeat.steps) {
                for (auto& [index, task] : step.tasks.records()) {
                    const bool kept = keep_in_doubt && task.phase == TaskPhase::in_doubt;
                    if (!task.placed() || task.worker != id || kept)
                        continue;
                    // A member of a gang that may have started cannot rejoin its run.
                    if (task.phase != TaskPhase::intended)
                        task.ended_run = task.run;
                    release(task);
                    ++released;
                }
            }
        }
    }
    log_event(LogLevel::info, "worker_tasks_released",
              { { "worker", id }, { "reason", reason }, { "tasks", released } });
    schedule_pass();
}

void Scheduler::incarnation_ended(WorkerSession& session, EndEvidence evidence)
{
    m_context.metrics.count("pathport_worker_incarnations_ended_total",
                            { { "evidence", to_string(evidence) } });
    Worker* worker = find_worker(session.id());
    if (worker == nullptr)
        return;
    note_unrecorded_loss(session.id());
    const Millis lost_by = session.down_since().value_or(m_context.loop.now());
    const std::vector<LostRun> lost = attributable_runs(*worker, lost_by);
    const char* const reason = session.replaced() ? "reborn" : "life_over";
    if (session.replaced()) {
        m_ended_incarnations.insert(session.id());
        keep_unconfirmed_starts(session);
    } else {
        // The rows may still name the incarnation, which the next leader cannot ask.
        note_session_end(session, m_context.loop.now());
        resolve_unrecorded(session.id());
    }
    release_tasks(*worker, reason, session.replaced());
    attribute_lapsed_runs(session.id());
    if (!session.info().draining || !lost.empty())
        attribute_loss(lost, session.id(), reason, Loss::crash);
    end_session(*worker);
    activate_when_ready();
}

// An order is delivered to whichever incarnation has the worker's name when it arrives. The
// next incarnation may have received orders that this leader sent without a report since,
// and those of earlier leaders if the ended one has not reported to this leader. A task
// placed anew at once would run twice, so it waits for the first report of the next
// incarnation or for the end of all leases.
void Scheduler::keep_unconfirmed_starts(const WorkerSession& session)
{
    const std::string& id = session.id();
    const Millis now = m_context.loop.now();
    // While the rows are being read, more tasks of theirs may turn out to be placed there.
    const bool of_earlier_leaders = m_phase == Phase::loading || m_in_doubt.count(id) > 0
        || m_unresolved.count(id) > 0;
    Millis until = of_earlier_leaders ? std::max(now, m_earlier_leases_until) : now;
    int64_t kept = 0;
    for (const TaskRun& start : session.unconfirmed_starts()) {
        JobRecord* job = find_job(start.task.job);
        Task* task = job == nullptr ? nullptr : job->task(start.task);
        const bool open = task != nullptr && task->placed() && task->worker == id
            && task->run == start.run;
        if (!open)
            continue;
        task->phase = TaskPhase::in_doubt;
        task->evidence = task->evidence.after_restart();
        m_in_doubt[id].push_back(start.task);
        ++kept;
    }
    if (kept > 0)
        until = std::max(until,
                         now + max_local_duration(m_context.bounds.max_lease)
                             + max_order_transit);
    // It may have inherited starts in doubt from the incarnation before it.
    until = std::max(until, unconfirmed_until(id));
    // The rows may still name this incarnation, which the next leader cannot ask.
    if (store_clock_known())
        m_silent_workers.set(id, m_context.store_clock->latest_at(until));
    if (until <= now)
        return;
    m_unconfirmed_until[id] = until;
    log_event(LogLevel::info, "strays_kept",
              { { "worker", id },
                { "tasks", kept },
                { "of_earlier_leaders", of_earlier_leaders ? "yes" : "no" },
                { "until_in_ms", (until - now).count() } });
}

Millis Scheduler::unconfirmed_until(const std::string& worker) const
{
    const auto found = m_unconfirmed_until.find(worker);
    return found == m_unconfirmed_until.end() ? Millis(0) : found->second;
}

// Tasks that may run on an earlier incarnation of the worker run on this one or not at all,
// which its first report decides.
void Scheduler::inherit_from_previous(const std::string& id)
{
    const std::string name = WorkerIncarnation::parse(id).name;
    const auto is_earlier = [&](const std::string& other) {
        return other != id && WorkerIncarnation::parse(other).name == name;
    };
    // Incarnation ids begin with the name, so those of one worker are adjacent, among those
    // of longer names.
    const auto has_name_prefix = [&](const std::string& other) {
        return other.compare(0, name.size(), name) == 0;
    };
    for (auto in_doubt_tasks = m_in_doubt.lower_bound(name);
         in_doubt_tasks != m_in_doubt.end() && has_name_prefix(in_doubt_tasks->first);) {
        if (!is_earlier(in_doubt_tasks->first)) {
            ++in_doubt_tasks;
            continue;
        }
        inherit_in_doubt(in_doubt_tasks->first, id, in_doubt_tasks->second);
        in_doubt_tasks = m_in_doubt.erase(in_doubt_tasks);
    }
    for (auto earlier = m_unresolved.lower_bound(name);
         earlier != m_unresolved.end() && has_name_prefix(*earlier);) {
        if (!is_earlier(*earlier)) {
            ++earlier;
            continue;
        }
        note_unrecorded_loss(*earlier);
        earlier = m_unresolved.erase(earlier);
        m_unresolved.insert(id);
    }
}

void Scheduler::inherit_in_doubt(const std::string& earlier, const std::string& id,
                                 const std::vector<TaskId>& tasks)
{
    std::vector<LostRun> lost;
    for (const TaskId& name : tasks) {
        JobRecord* job = find_job(name.job);
        Task* task = job == nullptr ? nullptr : job->task(name);
        if (task == nullptr || task->phase != TaskPhase::in_doubt
            || task->worker != earlier)
            continue;
        task->worker = id;
        m_in_doubt[id].push_back(name);
        lost.push_back({ name, task->run, task->evidence, m_context.loop.now() });
        task->evidence = task->evidence.after_restart();
    }
    // Runs missing from this incarnation were lost with the earlier one; for those it has,
    // the loss is retracted.
    if (!lost.empty())
        attribute_loss(lost, earlier, "reborn", Loss::crash);
    const Millis until = unconfirmed_until(earlier);
    m_unconfirmed_until.erase(earlier);
    if (until > Millis(0))
        m_unconfirmed_until[id] = std::max(until, unconfirmed_until(id));
    log_event(LogLevel::info, "doubts_inherited",
              { { "worker", id },
                { "from", earlier },
                { "tasks", static_cast<int64_t>(tasks.size()) } });
}

void Scheduler::lease_expired(WorkerSession& session)
{
    Worker* worker = find_worker(session.id());
    if (worker == nullptr)
        return;
    note_unrecorded_loss(session.id());
    // It may have run on: polls also fail if only their answers are lost.
    std::vector<LostRun> lost = attributable_runs(*worker, m_context.loop.now());
    release_tasks(*worker, "lease_lapsed", false);
    note_lapsed_runs(session.id(), std::move(lost), worker->listed, Loss::silence);
    resolve_unrecorded(session.id());
    if (!worker->listed)
        end_session(*worker);
}

} // namespace pathport::jobs
