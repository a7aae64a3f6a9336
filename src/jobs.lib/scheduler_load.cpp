// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How a scheduler loads the recorded state and learns of workers and jobs.

#include "scheduler.h"
#include "store_keys.h"

#include <pathport/log.h>

#include <algorithm>
#include <iterator>
#include <set>

namespace pathport::jobs {

namespace {

constexpr Millis read_timeout { 1500 };
/// How long a new leader waits for the workers' first reports before it starts scheduling
/// without the silent ones.
constexpr Millis first_report_wait { 250 };
/// Interval of log lines while no orders are sent, and time after which they begin.
constexpr Millis withheld_report_interval { 1000 };
constexpr Millis workers_interval { 700 };
constexpr Millis workers_retry { 150 };
/// Number of list reads within the time left to observe an announced end, so that two reads
/// may be lost or slow.
constexpr int list_reads = 3;
/// Maximum time from choosing a worker to the order's arrival, for the record and the
/// order. Subtracted from the time within which an announced end has to be observed.
constexpr Millis start_latency { 400 };

void append(std::vector<StoredRow>& all, std::vector<StoredRow> rows)
{
    std::move(rows.begin(), rows.end(), std::back_inserter(all));
}

// Frees a value that is decoded, so that it does not stand beside the record made from it.
void discard(std::string& value)
{
    std::string().swap(value);
}

} // namespace

void Scheduler::begin()
{
    log_event(LogLevel::info, "takeover_begun",
              { { "epoch", m_claim.head.epoch }, { "head_version", m_claim.version } });
    m_loading = 2;
    m_load_begun = m_context.loop.now();
    m_orders_allowed_at = m_load_begun;
    m_progress_reader.read(
        progress_table, { scheduler_partition },
        [this](std::vector<StoredRow> rows) { append(m_loaded_progress, std::move(rows)); },
        [this](int64_t) { table_loaded(); });
    m_job_reader.read(
        jobs_table, job_partition_names(),
        [this](std::vector<StoredRow> rows) { append(m_loaded_jobs, std::move(rows)); },
        [this](int64_t version) {
            m_jobs_version = version;
            table_loaded();
        });
    read_workers();
    tick();
}

void Scheduler::observe_phase(const char* phase)
{
    const Millis span = m_context.loop.now() - m_claim.claimed;
    m_context.metrics.observe_seconds("pathport_takeover_seconds",
                                      double(span.count()) / 1000, { { "phase", phase } });
}

// A leader that sends no orders for long says what it waits for.
void Scheduler::report_withheld_orders()
{
    const Millis now = m_context.loop.now();
    if (now - m_orders_allowed_at < withheld_report_interval
        || now - m_withheld_reported < withheld_report_interval)
        return;
    m_withheld_reported = now;
    size_t fenced = 0;
    for (const auto& [id, worker] : m_workers)
        fenced += worker.session->fenced() ? 1 : 0;
    const char* phase = "scheduling";
    if (m_phase == Phase::loading)
        phase = "loading";
    if (m_phase == Phase::awaiting_reports)
        phase = "awaiting_reports";
    log_event(LogLevel::warn, "orders_withheld",
              { { "epoch", m_claim.head.epoch },
                { "phase", phase },
                { "tables_left", m_loading },
                { "progress_rows", static_cast<int64_t>(m_loaded_progress.size()) },
                { "job_rows", static_cast<int64_t>(m_loaded_jobs.size()) },
                { "workers_known", m_workers_known ? "yes" : "no" },
                { "workers", static_cast<int64_t>(m_workers.size()) },
                { "fenced", static_cast<int64_t>(fenced) },
                { "lease_left_ms", (m_log.lease_until() - now).count() },
                { "store_serves_log", m_log.served() ? "yes" : "no" },
                { "log_backlog", static_cast<int64_t>(m_log.backlog()) },
                { "lateness_ms", m_log.lateness().count() },
                { "withheld_ms", (now - m_orders_allowed_at).count() } });
}

void Scheduler::table_loaded()
{
    if (--m_loading > 0 || m_phase != Phase::loading)
        return;
    build_records();
    m_phase = Phase::awaiting_reports;
    observe_phase("loaded");
    m_activate_by = m_context.loop.now() + first_report_wait;
    log_event(LogLevel::info, "takeover_loaded",
              { { "epoch", m_claim.head.epoch },
                { "open_jobs", static_cast<int64_t>(m_jobs.size()) },
                { "closed_jobs", static_cast<int64_t>(m_closed.size()) },
                { "unrecorded_workers", static_cast<int64_t>(m_unresolved.size()) },
                { "after_ms", (m_context.loop.now() - m_claim.claimed).count() } });
    for (auto& [id, worker] : m_workers) {
        inherit_from_previous(id);
        worker.session->start_polling();
    }
    m_context.loop.after(first_report_wait,
                         m_lifetime.wrap([this] { activate_when_ready(); }));
    m_feed.begin(m_jobs_version, m_load_begun);
    activate_when_ready();
}

void Scheduler::build_records()
{
    std::map<std::string, std::string*> progress;
    for (StoredRow& row : m_loaded_progress)
        progress[row.id.key] = &row.value;
    std::set<std::string> canceled;
    for (const StoredRow& row : m_loaded_jobs) {
        const std::string job = canceled_job(row.id.key);
        if (!job.empty())
            canceled.insert(job);
    }
    std::vector<std::unique_ptr<JobRecord>> open;
    for (StoredRow& row : m_loaded_jobs) {
        const std::string& id = row.id.key;
        if (!canceled_job(id).empty())
            continue;
        const auto found = progress.find(id);
        const auto final_state = found == progress.end()
            ? std::nullopt
            : final_state_of_progress(*found->second);
        if (final_state) {
            m_closed[id] = { *final_state, workspace_of_job_row(row.value) };
            m_to_archive[job_partition(id)].push_back(id);
            progress.erase(found);
            continue;
        }
        Failure reason;
        auto accepted = decode_accepted_job(id, row.value, reason);
        if (!accepted) {
            log_event(LogLevel::error, "job_row_malformed",
                      { { "job", id }, { "reason", reason.detail() } });
            continue;
        }
        discard(row.value);
        auto job = std::make_unique<JobRecord>(std::move(*accepted), m_context.loop.now());
        if (found != progress.end()) {
            if (!job->apply_progress(*found->second))
                log_event(LogLevel::error, "progress_row_malformed", { { "job", id } });
            discard(*found->second);
            progress.erase(found);
            note_in_doubt(*job);
        }
        job->canceled = canceled.count(id) > 0;
        job->loaded = true;
        open.push_back(std::move(job));
    }
    // The share of a workspace depends on the order in which its jobs came.
    std::sort(open.begin(), open.end(), [](const auto& left, const auto& right) {
        return left->accepted().accepted_ms < right->accepted().accepted_ms;
    });
    for (auto& job : open)
        add_job(std::move(job));
    // The remaining rows belong to jobs that an earlier leader had archived.
    for (const auto& [id, value] : progress) {
        const auto final_state = final_state_of_progress(*value);
        if (!final_state) {
            // An earlier leader ran tasks of the job, so it must have been accepted.
            log_event(LogLevel::error, "progress_without_job",
                      { { "job", id }, { "epoch", m_claim.head.epoch } });
            continue;
        }
        m_closed[id] = { *final_state, workspace_of_final_progress(*value) };
        archived({ id });
    }
    m_loaded_jobs.clear();
    m_loaded_jobs.shrink_to_fit();
    m_loaded_progress.clear();
    m_loaded_progress.shrink_to_fit();
}

void Scheduler::read_workers()
{
    if (m_phase == Phase::terminated || m_reading_workers)
        return;
    m_reading_workers = true;
    const Millis begun = m_context.loop.now();
    m_context.directory.read_workers(
        read_timeout, m_lifetime.wrap([this, begun](const WorkerList& answer) {
            m_reading_workers = false;
            workers_read(answer, begun);
        }));
}

// A worker that announces its end must not get a task later than a known time after that,
// so nothing is started on the basis of a list that may lack such an announcement. The list
// can become older than that if a store is slow or loses answers, or a node is short of
// processor time: a list of a thousand workers is read in pages.
bool Scheduler::list_is_fresh() const
{
    return m_context.loop.now() - m_workers_as_of
        < m_context.bounds.drain_margin - start_latency;
}

void Scheduler::workers_read(const WorkerList& answer, Millis begun)
{
    if (m_phase == Phase::terminated)
        return;
    const bool complete = answer.status == StoreStatus::ok && answer.value;
    if (complete) {
        m_workers_as_of = begun;
        m_stale_list_logged = false;
        update_workers(*answer.value);
        m_workers_known = true;
        activate_when_ready();
    }
    const Millis observation_time = m_context.bounds.drain_margin - start_latency;
    const Millis interval
        = std::min(workers_interval, Millis(observation_time.count() / list_reads));
    const Millis took = m_context.loop.now() - begun;
    m_context.loop.after(complete ? std::max(Millis(0), interval - took) : workers_retry,
                         m_lifetime.wrap([this] { read_workers(); }));
}

// A service that was removed from the configuration may still have jobs.
bool Scheduler::is_used(const std::string& service) const
{
    return !m_context.knows_service || m_context.knows_service(service)
        || std::any_of(m_jobs.begin(), m_jobs.end(), [&](const auto& entry) {
               return entry.second->accepted().queue.service == service;
           });
}

void Scheduler::activate_when_ready()
{
    if (m_phase != Phase::awaiting_reports || !m_workers_known)
        return;
    size_t fenced = 0;
    for (const auto& [id, worker] : m_workers)
        fenced += worker.session->fenced() ? 1 : 0;
    if (fenced < m_workers.size() && m_context.loop.now() < m_activate_by)
        return;
    m_phase = Phase::scheduling;
    observe_phase("acting");
    log_event(LogLevel::info, "takeover_done",
              { { "epoch", m_claim.head.epoch },
                { "workers", static_cast<int64_t>(m_workers.size()) },
                { "silent_workers", static_cast<int64_t>(m_workers.size() - fenced) },
                { "after_ms", (m_context.loop.now() - m_claim.claimed).count() } });
    schedule_pass();
}

void Scheduler::job_row_seen(const StoredRow& row)
{
    if (row.removed)
        return;
    const std::string canceled = canceled_job(row.id.key);
    if (!canceled.empty()) {
        job_canceled(canceled, "store");
        return;
    }
    if (m_jobs.count(row.id.key) > 0 || m_closed.count(row.id.key) > 0 || row.value.empty())
        return;
    Failure reason;
    const auto job = decode_accepted_job(row.id.key, row.value, reason);
    if (job)
        job_accepted(*job, row.version, "store");
    else
        log_event(LogLevel::error, "job_row_malformed",
                  { { "job", row.id.key }, { "reason", reason.detail() } });
}

// A task of a job known to an earlier leader may run without a record on a worker that is
// silent to this one. An earlier leader that is unaware of this one still receives new jobs
// while its lease lasts, so the acceptance time counts, not the time when the job became
// known here.
bool Scheduler::awaits_unrecorded_runs(const JobRecord& job) const
{
    if (m_unresolved.empty())
        return false;
    return job.loaded || job.accepted().accepted_ms < m_earlier_leaders_until_ms;
}

// The runs on the worker are known now, or it has none.
void Scheduler::resolve_unrecorded(const std::string& worker)
{
    if (m_unresolved.erase(worker) == 0 || !m_unresolved.empty())
        return;
    log_event(LogLevel::info, "unrecorded_tasks_known",
              { { "epoch", m_claim.head.epoch },
                { "after_ms", (m_context.loop.now() - m_claim.claimed).count() } });
    schedule_pass();
}

// Releases tasks that an earlier leader intended for workers that are not listed, once they
// must have ended.
void Scheduler::release_expired_in_doubt()
{
    const Millis now = m_context.loop.now();
    const std::set<std::string> unresolved = m_unresolved;
    for (const std::string& worker : unresolved) {
        // The session of a listed worker knows sooner.
        const bool listed = m_workers.count(worker) > 0;
        if (now < (listed ? m_earlier_leases_until : earlier_leases_until(worker)))
            continue;
        note_unrecorded_loss(worker);
        resolve_unrecorded(worker);
    }
    for (auto in_doubt_tasks = m_in_doubt.begin(); in_doubt_tasks != m_in_doubt.end();) {
        if (m_workers.count(in_doubt_tasks->first) > 0
            || now < earlier_leases_until(in_doubt_tasks->first)
            || now < unconfirmed_until(in_doubt_tasks->first)) {
            ++in_doubt_tasks;
            continue;
        }
        const std::string worker = in_doubt_tasks->first;
        std::vector<LostRun> lost;
        for (const TaskId& id : in_doubt_tasks->second) {
            JobRecord* job = find_job(id.job);
            const Task* task = job == nullptr ? nullptr : job->task(id);
            if (task != nullptr && task->phase == TaskPhase::in_doubt
                && task->worker == worker)
                lost.push_back({ id, task->run, task->evidence, now });
        }
        release_in_doubt(worker, in_doubt_tasks->second);
        m_unconfirmed_until.erase(worker);
        in_doubt_tasks = m_in_doubt.erase(in_doubt_tasks);
        note_lapsed_runs(worker, std::move(lost), false, Loss::silence);
        schedule_pass();
    }
}

// Indexes in-doubt tasks by worker. At a takeover a thousand workers report, and each finds
// its tasks without a scan of all jobs.
void Scheduler::note_in_doubt(const JobRecord& job)
{
    for (const auto& [number, repeat] : job.repeats()) {
        for (const Step& step : repeat.steps) {
            for (const auto& [index, task] : step.tasks.records()) {
                if (task.phase == TaskPhase::in_doubt)
                    m_in_doubt[task.worker].push_back(
                        { job.id(), number, step.index, index });
            }
        }
    }
}

} // namespace pathport::jobs
