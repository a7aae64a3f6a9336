// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Reports about jobs that the scheduler does not know yet. An earlier leader that is
/// unaware of this one may have started a job that came after this one's load; the feed
/// delivers the job soon. Until the feed has caught up with the report, ends are not
/// acknowledged, since the job would run again, and a run that was stopped counts as a run
/// of the task.

#include "scheduler.h"

#include <pathport/log.h>

namespace pathport::jobs {

void Scheduler::defer_ends(const std::string& job, const Worker& worker,
                           const PollReport& report, std::function<void()> done)
{
    DeferredEnds deferred;
    deferred.worker = worker.session->id();
    deferred.done = std::move(done);
    deferred.received_at = m_context.loop.now();
    for (const EndedTask& end : report.ended) {
        if (end.task.job == job)
            deferred.ends.push_back(end);
    }
    m_deferred_ends[job].push_back(std::move(deferred));
    m_feed.poll_now();
}

// Called when the job has become known.
void Scheduler::apply_deferred_ends(const std::string& job)
{
    const auto found = m_deferred_ends.find(job);
    if (found == m_deferred_ends.end())
        return;
    const std::vector<DeferredEnds> all = std::move(found->second);
    m_deferred_ends.erase(found);
    for (const DeferredEnds& deferred : all) {
        Worker* worker = find_worker(deferred.worker);
        bool changed = false;
        for (const EndedTask& end : deferred.ends)
            changed = (worker != nullptr && apply_end(*worker, end, true)) || changed;
        if (changed)
            m_log.record(job, deferred.done);
        else
            m_log.when_recorded(job, deferred.done);
    }
}

// A job that the feed has not delivered by now was closed and archived by an earlier
// leader.
void Scheduler::drop_deferred_ends()
{
    for (auto entry = m_deferred_ends.begin(); entry != m_deferred_ends.end();) {
        if (m_feed.known_at() <= entry->second.back().received_at) {
            ++entry;
            continue;
        }
        const std::vector<DeferredEnds> all = std::move(entry->second);
        log_event(LogLevel::info, "ends_of_unknown_job",
                  { { "job", entry->first }, { "reports", int64_t(all.size()) } });
        entry = m_deferred_ends.erase(entry);
        for (const DeferredEnds& deferred : all)
            deferred.done();
    }
}

// Runs that were stopped because their job was unknown still occupy its tasks.
void Scheduler::attach_stray_runs(JobRecord& job)
{
    if (m_stray_jobs.erase(job.id()) == 0)
        return;
    for (const auto& [id, worker] : m_workers) {
        for (const auto& [name, allocation] : worker.load.allocations()) {
            const auto task_id = TaskId::parse(name);
            if (task_id && task_id->job == job.id())
                begin_repeats_of_run(*task_id);
            Task* task = task_id && task_id->job == job.id() ? job.task(*task_id) : nullptr;
            if (task == nullptr || task->phase != TaskPhase::waiting)
                continue;
            task->phase = TaskPhase::stopping;
            task->worker = id;
            task->run = allocation.run;
            task->evidence = RunEvidence::adopted(m_context.loop.now());
        }
    }
}

} // namespace pathport::jobs
