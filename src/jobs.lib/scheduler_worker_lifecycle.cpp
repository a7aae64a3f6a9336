// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Lives of workers: how they come and go with the list, and what becomes of the tasks of
/// one that is over.

#include "scheduler.h"

#include <pathport/log.h>

#include <algorithm>

namespace pathport::jobs {

namespace {

/// So long an order may be on its way that nobody has answered: as its sender waits at most
/// (most_answer_time).
constexpr Millis order_way { 400 };

} // namespace

void Scheduler::update_workers(const std::vector<WorkerInfo>& listed)
{
    end_replaced(listed);
    std::set<std::string> present;
    for (const WorkerInfo& info : listed) {
        // The list may be behind what the next life has answered itself.
        if (m_ended_incarnations.count(info.id) > 0)
            continue;
        // Another writer's entry is no worker: a call to it would go to a stranger.
        if (m_workers.count(info.id) == 0 && !is_used(info.service))
            continue;
        present.insert(info.id);
        update_worker(info);
    }
    std::vector<std::string> gone;
    for (auto& [id, worker] : m_workers) {
        if (present.count(id) == 0)
            gone.push_back(id);
    }
    for (const std::string& id : gone)
        drop_unlisted(id);
    schedule_pass();
}

void Scheduler::update_worker(const WorkerInfo& info)
{
    Worker& worker = m_workers[info.id];
    worker.listed = true;
    worker.rack = info.rack();
    if (worker.session) {
        if (info.draining && !worker.session->info().draining)
            log_event(LogLevel::info, "worker_draining",
                      { { "worker", info.id }, { "remaining_ms", info.remaining_ms } });
        worker.session->update(info);
        refresh_row(worker);
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

// A worker has one life at a time: those of which the list names another one are over.
void Scheduler::end_replaced(const std::vector<WorkerInfo>& listed)
{
    std::set<std::string> ids;
    for (const WorkerInfo& info : listed)
        ids.insert(info.id);
    // What the list names no more won't come back.
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
    std::set<std::string> names;
    for (const std::string& id : ids) {
        if (m_ended_incarnations.count(id) == 0)
            names.insert(WorkerIncarnation::parse(id).name);
    }
    for (const std::string& id : missing) {
        if (names.count(WorkerIncarnation::parse(id).name) > 0)
            m_workers[id].session->mark_replaced();
    }
}

// A worker that has gone from the list may still run what it was given: it is forgotten
// only when nothing is placed there.
void Scheduler::drop_unlisted(const std::string& id)
{
    Worker& worker = m_workers[id];
    worker.listed = false;
    refresh_row(worker);
    if (worker.session->info().draining)
        worker.session->mark_left();
    if (worker.session->silent())
        attribute_lapsed_runs(id);
    if (worker.load.empty())
        end_session(worker);
}

// The worker may be listed again, and refuses fences below the highest that it has seen.
// Its next life has seen none: what was sent to this one is void there only below its
// fence.
void Scheduler::end_session(Worker& worker)
{
    // The session may be in a call of its own.
    std::shared_ptr<WorkerSession> ended(std::move(worker.session));
    if (ended->silent() && !ended->replaced())
        note_session_end(*ended, ended->lease_expires_at());
    m_ended_fence = std::max(m_ended_fence, ended->fence() + 1);
    m_capacity_table.close_row(worker.number);
    m_workers_by_number[worker.number] = nullptr;
    m_workers.erase(ended->id());
    m_context.loop.after(Millis(0), [ended] {});
}

// All that was placed on the worker is placed anew, but for what is in doubt there if
// `keep_doubts`.
void Scheduler::release_tasks(Worker& worker, const char* reason, bool keep_doubts)
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
                for (Task& task : step.tasks) {
                    const bool kept = keep_doubts && task.phase == TaskPhase::in_doubt;
                    if (!task.placed() || task.worker != id || kept)
                        continue;
                    // A member of a gang that may have started can't join its run again.
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

void Scheduler::incarnation_ended(WorkerSession& session)
{
    Worker* worker = find_worker(session.id());
    if (worker == nullptr)
        return;
    const std::vector<LostRun> lost = runs_on(*worker);
    const char* const reason = session.replaced() ? "reborn" : "life_over";
    if (session.replaced()) {
        m_ended_incarnations.insert(session.id());
        keep_unconfirmed_starts(session);
    } else {
        // The rows may name the life on, and the next leader can't ask it.
        note_session_end(session, m_context.loop.now());
        resolve_unrecorded(session.id());
    }
    release_tasks(*worker, reason, session.replaced());
    attribute_lapsed_runs(session.id());
    // One that had announced its end did not crash.
    if (!session.info().draining)
        attribute_loss(lost, session.id(), reason, Loss::crash);
    end_session(*worker);
    activate_when_ready();
}

// An order to a life goes to whichever one has its name when it arrives: the next life may
// have carried out what this leader sent to this one without a report since, and what
// earlier leaders sent if it has not reported to this one. Placed anew at once, such a task
// would run twice, so it waits for that life's first report, or until all leases have
// ended.
void Scheduler::keep_unconfirmed_starts(const WorkerSession& session)
{
    const std::string& id = session.id();
    const Millis now = m_context.loop.now();
    // While the rows are being read, they may yet put tasks there.
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
        m_in_doubt[id].push_back(start.task);
        ++kept;
    }
    if (kept > 0)
        until = std::max(until,
                         now + max_local_duration(m_context.bounds.max_lease) + order_way);
    // The rows may name this life on, and the next leader can't ask it.
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

// What may run at an earlier life of the worker's name runs at this one or not at all: its
// first report tells.
void Scheduler::inherit_from_previous(const std::string& id)
{
    const std::string name = WorkerIncarnation::parse(id).name;
    const auto is_earlier = [&](const std::string& other) {
        return other != id && WorkerIncarnation::parse(other).name == name;
    };
    // Ids of lives begin with the name, so they stand together, among those of longer
    // names.
    const auto stands_near = [&](const std::string& other) {
        return other.compare(0, name.size(), name) == 0;
    };
    for (auto doubts = m_in_doubt.lower_bound(name);
         doubts != m_in_doubt.end() && stands_near(doubts->first);) {
        if (!is_earlier(doubts->first)) {
            ++doubts;
            continue;
        }
        inherit_in_doubt(doubts->first, id, doubts->second);
        doubts = m_in_doubt.erase(doubts);
    }
    for (auto earlier = m_unresolved.lower_bound(name);
         earlier != m_unresolved.end() && stands_near(*earlier);) {
        if (!is_earlier(*earlier)) {
            ++earlier;
            continue;
        }
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
        lost.push_back({ name, task->run, std::nullopt });
    }
    // What this life does not have went down with the earlier one; what it has is taken
    // back.
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
    std::vector<LostRun> lost = runs_on(*worker);
    release_tasks(*worker, "lease_lapsed", false);
    if (!session.info().draining)
        note_lapsed_runs(session.id(), std::move(lost), worker->listed,
                         session.refuses_connections() ? Loss::crash : Loss::silence);
    resolve_unrecorded(session.id());
    if (!worker->listed)
        end_session(*worker);
}

} // namespace pathport::jobs
