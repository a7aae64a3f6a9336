// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A job in its scheduler, from its arrival through its steps to its end.

#include "scheduler.h"
#include "store_keys.h"

#include <pathport/log.h>

namespace pathport::jobs {

namespace {
constexpr Millis archive_interval { 1500 };
constexpr Millis archive_timeout { 2000 };
/// Entries that an archived job needs in a transaction, and jobs per transaction.
constexpr size_t archive_entries = 3;
/// Limit on remembered cancellations of jobs that are not known yet: about ten seconds'
/// worth at the users' largest site, at 16 bytes each plus the set's overhead.
constexpr size_t max_early_cancels = 2000;
constexpr size_t max_archived = max_transaction_entries / archive_entries;
} // namespace

void Scheduler::record(JobRecord& job, std::function<void()> done)
{
    m_log.record(job.id(), m_lifetime.wrap([done = std::move(done)] {
        if (done)
            done();
    }));
}

void Scheduler::add_job(std::unique_ptr<JobRecord> job)
{
    JobRecord& added = *job;
    if (m_early_cancels.erase(added.id()) > 0)
        added.canceled = true;
    added.workspace = m_usage.number_of(added.accepted().workspace);
    added.beyond_share = is_beyond_share(added);
    m_jobs[added.id()] = std::move(job);
    // The repeats of a schedule begin in a pass, which knows the free capacity.
    if (!added.accepted().spec.has_schedule() && added.next_due())
        added.begin_repeat();
    schedule_pass();
    close_if_final(added);
}

void Scheduler::job_announced(const AcceptedJob& accepted, int64_t version)
{
    if (version > m_claim.version)
        job_accepted(accepted, version, "peer");
}

// `version` is the version of the job's row; `source` names the origin in the log.
void Scheduler::job_accepted(const AcceptedJob& accepted, int64_t version,
                             const char* source)
{
    if (m_phase == Phase::loading || m_jobs.count(accepted.id) > 0
        || m_closed.count(accepted.id) > 0)
        return;
    log_event(LogLevel::info, "job_known",
              { { "job", accepted.id },
                { "queue", accepted.queue.name },
                { "source", source },
                { "version", version },
                { "stretch_percent", static_cast<int64_t>(accepted.queue.stretch * 100) },
                { "slo_ms", accepted.queue.slo_ms } });
    add_job(std::make_unique<JobRecord>(accepted, m_context.loop.now()));
    attach_stray_runs(*m_jobs[accepted.id]);
    apply_deferred_ends(accepted.id);
    schedule_pass();
}

void Scheduler::job_canceled(const std::string& id, const char* source)
{
    JobRecord* job = find_job(id);
    if (job == nullptr && m_closed.count(id) == 0) {
        // The feed, which delivers jobs and cancellations in order, may stall for a long
        // time.
        if (m_early_cancels.size() < max_early_cancels)
            m_early_cancels.insert(id);
        log_event(LogLevel::info, "cancel_of_unknown_job",
                  { { "job", id },
                    { "source", source },
                    { "loading", m_phase == Phase::loading ? "yes" : "no" } });
    }
    if (job == nullptr || job->canceled || job->closed())
        return;
    job->canceled = true;
    log_event(LogLevel::info, "job_canceled",
              { { "job", id },
                { "source", source },
                { "feed_age_ms", (m_context.loop.now() - m_feed.known_at()).count() } });
    close_if_final(*job);
}

void Scheduler::after_step_change(JobRecord& job, Step& step)
{
    if (step.finished()) {
        const int number = step.repeat;
        const auto found = job.repeats().find(number);
        if (found != job.repeats().end() && found->second.finished())
            job.finish_repeat(number); // `step` is invalid now.
    }
    close_if_final(job);
}

// Learns how long a completed job took from its first start beyond its critical path.
void Scheduler::note_completion(JobRecord& job)
{
    const bool tells_margin = job.begun_at && job.state() == JobState::completed
        && !job.accepted().spec.has_schedule();
    if (tells_margin) {
        const Millis chain(job.longest_chain_ms());
        m_start_margins[job.accepted().queue.name].note_completion(m_context.loop.now()
                                                                   - *job.begun_at - chain);
    }
    job.begun_at.reset();
}

void Scheduler::close_if_final(JobRecord& job)
{
    if (!job.closed() || job.recorded_state)
        return;
    note_completion(job);
    stop_placed(job);
    const std::string id = job.id();
    record(job, [this, id] { job_recorded(id); });
}

void Scheduler::stop_placed(JobRecord& job)
{
    for (auto& [number, repeat] : job.repeats()) {
        for (Step& step : repeat.steps) {
            for (auto& [index, task] : step.tasks.records()) {
                const TaskId id { job.id(), number, step.index, index };
                Worker* worker = find_worker(task.worker);
                if (worker == nullptr)
                    continue;
                if (task.phase == TaskPhase::running) {
                    if (worker->load.holds(id, task.run))
                        worker->session->stop(id, task.run, StopReason::job_closed);
                    task.phase = TaskPhase::stopping;
                }
                if (task.phase == TaskPhase::intended) {
                    vacate(*worker, id, task.run);
                    release(task);
                }
            }
        }
    }
}

// The final state is in the store, so only that state has to be kept. Tasks that still run
// have been told to stop; their capacity is accounted for at their workers.
void Scheduler::job_recorded(const std::string& id)
{
    JobRecord* job = find_job(id);
    if (job == nullptr || !job->closed())
        return;
    log_event(LogLevel::info, "job_closed",
              { { "job", id },
                { "queue", job->accepted().queue.name },
                { "state", to_string(job->state()) },
                { "after_ms", (m_context.loop.now() - job->seen()).count() } });
    m_context.metrics.observe_seconds(
        "pathport_job_seconds", double((m_context.loop.now() - job->seen()).count()) / 1000,
        { { "state", to_string(job->state()) } });
    m_closed[id] = { job->state(), job->accepted().workspace };
    keep_in_doubt_charges(*job);
    m_jobs.erase(id);
    m_to_archive[job_partition(id)].push_back(id);
}

// Replaces the row of a closed job by a small one in another table, so that a takeover
// reads only open jobs while the id stays known. The progress row is removed only after
// that. A lost write does no harm: the next leader archives the job.
void Scheduler::archive_closed()
{
    const Millis now = m_context.loop.now();
    if (now - m_archive_tried < archive_interval || !m_log.served()
        || m_log.allows_early_orders() || !uses(Mechanism::archive))
        return;
    m_archive_tried = now;
    for (auto& [part, ids] : m_to_archive) {
        if (ids.size() < m_context.archive_batch)
            continue;
        StoreWrite write;
        std::vector<std::string> batch;
        while (!ids.empty() && batch.size() < max_archived) {
            const std::string& id = ids.back();
            const ClosedJob& closed = m_closed[id];
            write.puts.push_back(
                { closed_row(id), encode_final_progress(closed.state, closed.workspace) });
            write.removes.push_back(job_row(id));
            if (closed.state == JobState::canceled)
                write.removes.push_back(cancel_row(id));
            batch.push_back(id);
            ids.pop_back();
        }
        m_context.store.write(write, archive_timeout,
                              m_lifetime.wrap([this, batch](const StoreResult& result) {
                                  if (result.status == StoreStatus::ok)
                                      archived(batch);
                              }));
    }
}

void Scheduler::archived(const std::vector<std::string>& ids)
{
    for (const std::string& id : ids) {
        m_archived.insert(id);
        m_log.record(id);
    }
}

} // namespace pathport::jobs
